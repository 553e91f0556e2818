package crsettings

import (
	"fmt"
	"slices"
	"strings"

	"crocusrack/core/crpolicy"
	"crocusrack/core/crtoml"
)

// Type is the type of a key's value.
type Type string

// The types of values. A value of TypeName is a text of lower-case letters, digits
// and hyphens.
const (
	TypeName      Type = "name"
	TypeText      Type = "text"
	TypeFile      Type = "file"
	TypeBool      Type = "boolean"
	TypeInteger   Type = "integer"
	TypeNumber    Type = "number"
	TypeDuration  Type = "duration"
	TypeAddress   Type = "IP address and port"
	TypeAddresses Type = "list of IP addresses and ports"
	TypeChoices   Type = "list of names"
	TypeURL       Type = "URL"
)

// Key describes one key of the settings file.
type Key struct {
	// Path is the dotted path of the key, such as caller.address.
	Path     string
	Type     Type
	Required bool
	// Default is the default value in TOML syntax. Empty means no default.
	Default string
	// Min and Max are the inclusive bounds of integers, numbers and durations.
	Min, Max string
	// Values lists the allowed values. Empty means any value.
	Values []string
	// Unit is the unit of integers and numbers.
	Unit string
	// Doc describes the key in one or two sentences.
	Doc string
}

// Keys returns every key of a daemon's settings, sorted by path.
func Keys() []Key {
	keys := slices.Concat(
		listenerKeys("caller", "callers", "Callers need no certificate when it is not set."),
		listenerKeys("operator", "operators", "Whoever reaches the listener may edit the catalogue when it is not set."),
		listenerKeys("peer", "other instances", "Needed unless peer.plain-text is true."),
		generalKeys,
	)
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.Path, b.Path) })
	return keys
}

// generalKeys are the keys that do not belong to a listener.
var generalKeys = []Key{
	{Path: "address-lifetime", Type: TypeDuration, Default: `"1m"`, Min: "1s", Max: "1h",
		Doc: "How long callers may keep an address answer."},
	{Path: "cache-events", Type: TypeBool,
		Doc: "Whether the cache events of owned engines are followed. They cost control traffic with every prompt; without them the cached tokens of answers correct what is known."},
	{Path: "control-bytes-per-second", Type: TypeInteger, Default: "5000", Min: "1000", Max: "1000000", Unit: "bytes each second",
		Doc: "Budget of the control traffic of this instance, sent and received. Load sums are paced by it."},
	{Path: "drain-timeout", Type: TypeDuration, Default: `"5m"`, Min: "1s", Max: "1h",
		Doc: "How long a leaving instance waits for its requests to end. At least address-lifetime."},
	{Path: "failure-domain", Type: TypeName, Required: true,
		Doc: "Failure domain that this instance is in, as named in the catalogue."},
	{Path: "instance", Type: TypeName, Required: true,
		Doc: "Name of this instance, unique in the fleet."},
	{Path: "log-level", Type: TypeText, Default: `"info"`, Values: []string{"debug", "info", "warn", "error"},
		Doc: "Lowest level of log lines that are written."},
	{Path: "max-request-bytes", Type: TypeInteger, Default: "4194304", Min: "1024", Max: "67108864", Unit: "bytes",
		Doc: "Largest request that is taken from a caller."},
	{Path: "outcome-lifetime", Type: TypeDuration, Default: `"10m"`, Min: "1s", Max: "24h",
		Doc: "How long the outcome of an ended request is kept."},
	{Path: "platform.authorities", Type: TypeFile,
		Doc: "PEM file with the authorities that the platform's certificate is checked against. The system's when empty."},
	{Path: "platform.reads-per-second", Type: TypeInteger, Default: "2", Min: "1", Max: "2000", Unit: "calls each second",
		Doc: "Bound on reads of the platform's store by this instance. Keep the sum over all instances below the store's rate."},
	{Path: "platform.timeout", Type: TypeDuration, Default: `"2s"`, Min: "10ms", Max: "1m",
		Doc: "Timeout of one call to the platform."},
	{Path: "platform.url", Type: TypeURL, Required: true,
		Doc: "Base URL of the platform's API. Calls are in plain text when its scheme is http."},
	{Path: "platform.writes-per-second", Type: TypeInteger, Default: "1", Min: "1", Max: "1000", Unit: "calls each second",
		Doc: "Bound on writes to the platform's store by this instance."},
	{Path: "policy", Type: TypeName, Default: `"sharded"`, Values: policies(),
		Doc: "Way endpoints are chosen; all but sharded are for comparisons."},
	{Path: "seeds", Type: TypeAddresses,
		Doc: "Peer addresses of other instances, to start from beside the platform's list. The instance's own may be among them."},
}

// policies returns the sorted names of the policies that choose endpoints: sharded,
// the daemon's own, and the baselines of crpolicy.
func policies() []string {
	names := []string{"sharded"}
	for _, p := range crpolicy.Policies() {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}

// listenerKeys returns the keys of a listener. The texts users and authorities become
// part of their descriptions.
func listenerKeys(name, users, authorities string) []Key {
	return []Key{
		{Path: name + ".address", Type: TypeAddress, Required: true,
			Doc: fmt.Sprintf("Address that this instance listens on for %s.", users)},
		{Path: name + ".advertise", Type: TypeAddress,
			Doc: fmt.Sprintf("Address that %s use. The listening address when it is not set.", users)},
		{Path: name + ".plain-text", Type: TypeBool, Default: "false",
			Doc: "Serves without TLS. The TLS files must not be set then."},
		{Path: name + ".tls.certificate", Type: TypeFile,
			Doc: fmt.Sprintf("PEM file with the certificate chain. Needed unless %s.plain-text is true.", name)},
		{Path: name + ".tls.client-authorities", Type: TypeFile,
			Doc: fmt.Sprintf("PEM file with the authorities that certificates of %s are checked against. %s", users, authorities)},
		{Path: name + ".tls.key", Type: TypeFile,
			Doc: fmt.Sprintf("PEM file with the private key. Needed unless %s.plain-text is true.", name)},
	}
}

// defaults returns the defaults of a table of keys. It panics if a default is not
// valid TOML, which is an error in the table.
func defaults(keys []Key) crtoml.Table {
	var b strings.Builder
	for _, k := range keys {
		if k.Default != "" {
			fmt.Fprintf(&b, "%s = %s\n", k.Path, k.Default)
		}
	}
	table, err := crtoml.ParseTable([]byte(b.String()))
	if err != nil {
		panic("crsettings: bad default in the table of keys: " + err.Error())
	}
	return table
}
