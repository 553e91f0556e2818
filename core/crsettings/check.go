package crsettings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crtoml"
)

// maxNameBytes is the maximum length of the name of an instance or failure domain.
const maxNameBytes = 63

// checker checks settings and collects the problems that it finds.
type checker struct {
	problems crtoml.Problems
}

// keys checks each value against its entry in the table of keys. It skips values for
// which the decoder has already reported a problem, such as a wrong type.
func (c *checker) keys(m protoreflect.Message, table []Key) {
	decodeProblems := slices.Clone(c.problems)
	for _, k := range table {
		if hasProblem(decodeProblems, k.Path) {
			continue
		}
		value := lookup(m, strings.Split(k.Path, "."))
		if value == nil {
			if k.Required {
				c.problems.Addf(k.Path, "missing")
			}
			continue
		}
		c.value(k, value)
	}
}

// hasProblem reports whether there is a problem with the key at a path, with a table
// that contains it or with an item of its list.
func hasProblem(problems crtoml.Problems, path string) bool {
	return slices.ContainsFunc(problems, func(p crtoml.Problem) bool {
		return p.Path == path || strings.HasPrefix(path, p.Path+".") || strings.HasPrefix(p.Path, path+"[")
	})
}

// lookup returns the value at a path, or nil if it is not set. An integer always counts
// as set. The defaults of integers are never zero, so a zero was written in the file.
func lookup(m protoreflect.Message, path []string) any {
	field := m.Descriptor().Fields().ByJSONName(path[0])
	if len(path) > 1 {
		return lookup(m.Get(field).Message(), path[1:])
	}
	if !m.Has(field) && field.Kind() != protoreflect.Uint32Kind {
		return nil
	}
	if field.IsList() {
		return texts(m.Get(field).List())
	}
	if field.Kind() == protoreflect.MessageKind {
		return m.Get(field).Message().Interface()
	}
	return m.Get(field).Interface()
}

// texts returns the items of a list of strings.
func texts(list protoreflect.List) []string {
	values := make([]string, list.Len())
	for i := range values {
		values[i] = list.Get(i).String()
	}
	return values
}

// value checks a value that is set against its entry in the table of keys.
func (c *checker) value(k Key, value any) {
	switch v := value.(type) {
	case string:
		c.text(k, v)
	case uint32:
		if int64(v) < parseBound(k.Min) || int64(v) > parseBound(k.Max) {
			c.problems.Addf(k.Path, "out of range %s to %s: %d", k.Min, k.Max, v)
		}
	case uint64:
		if v < uint64(parseBound(k.Min)) || v > uint64(parseBound(k.Max)) {
			c.problems.Addf(k.Path, "out of range %s to %s: %d", k.Min, k.Max, v)
		}
	case float64:
		if v < float64(parseBound(k.Min)) || v > float64(parseBound(k.Max)) {
			c.problems.Addf(k.Path, "out of range %s to %s: %g", k.Min, k.Max, v)
		}
	case *durationpb.Duration:
		if d := v.AsDuration(); d < parseDuration(k.Min) || d > parseDuration(k.Max) {
			c.problems.Addf(k.Path, "out of range %s to %s: %s", k.Min, k.Max, d)
		}
	case []string:
		c.list(k, v)
	}
}

// parseBound parses a bound of the table of keys. It panics on a malformed bound, which
// is an error in the table.
func parseBound(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic("crsettings: bad bound in the table of keys: " + text)
	}
	return n
}

// text checks the format of a text, and that it is one of the allowed values.
func (c *checker) text(k Key, v string) {
	switch k.Type {
	case TypeAddress:
		c.address(k.Path, v)
	case TypeName:
		if !isName(v) {
			c.problems.Addf(k.Path, "not a name of at most %d lower-case letters, digits and hyphens: %q", maxNameBytes, v)
		}
	case TypeURL:
		c.url(k.Path, v)
	case TypeFile:
		if v == "" {
			c.problems.Addf(k.Path, "the name of the file is empty; leave the key out if no certificates are to be checked")
		}
	}
	if len(k.Values) > 0 && !slices.Contains(k.Values, v) {
		c.problems.Addf(k.Path, "not one of %s: %q", strings.Join(k.Values, ", "), v)
	}
}

// isName reports whether v is a valid name of an instance or failure domain.
func isName(v string) bool {
	if v == "" || len(v) > maxNameBytes || v[0] == '-' || v[len(v)-1] == '-' {
		return false
	}
	return strings.Trim(v, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// address checks that v is an IP address with a port other than 0.
func (c *checker) address(path, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.problems.Addf(path, "not an IP address and port: %q", v)
		return
	}
	if a.Port() == 0 {
		c.problems.Addf(path, "port 0 can't be reached by others: %q", v)
	}
}

// list checks each value of a list, and that no value occurs twice.
func (c *checker) list(k Key, values []string) {
	for i, v := range values {
		path := k.Path + "[" + strconv.Itoa(i) + "]"
		if k.Type == TypeAddresses {
			c.address(path, v)
		} else if !slices.Contains(k.Values, v) {
			c.problems.Addf(path, "not one of %s: %q", strings.Join(k.Values, ", "), v)
		}
		if slices.Contains(values[:i], v) {
			c.problems.Addf(path, "listed twice: %q", v)
		}
	}
}

// url checks that v is a base URL with the scheme http or https.
func (c *checker) url(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.problems.Addf(path, "not an http or https URL: %q", v)
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.problems.Addf(path, "not a base URL: it has a user, a query or a fragment")
	}
}

// relation adds a problem that arises from several values together. The problem is
// reported at the path of one of these values, unless that path already has one.
func (c *checker) relation(path, format string, args ...any) {
	if !hasProblem(c.problems, path) {
		c.problems.Addf(path, format, args...)
	}
}

// relations checks that the values are consistent with each other.
func (c *checker) relations(s Settings) {
	c.listener("caller", s.Caller)
	c.listener("peer", s.Peer)
	c.listener("operator", s.Operator)
	if !s.Peer.PlainText && s.Peer.TLS.ClientAuthorities == "" {
		c.relation("peer.tls.client-authorities", "missing: instances check each other's certificates unless peer.plain-text is true")
	}
	if s.Platform.Authorities != "" && strings.HasPrefix(s.Platform.URL, "http://") {
		c.relation("platform.authorities", "set although platform.url has the scheme http")
	}
	c.distinctAddresses(s)
	if s.DrainTimeout < s.AddressLifetime {
		c.relation("drain-timeout", "shorter than address-lifetime, which is %s: %s", s.AddressLifetime, s.DrainTimeout)
	}
}

// listener checks the advertised address and the TLS files of a listener.
func (c *checker) listener(name string, l Listener) {
	if l.Advertise.IsValid() && l.Advertise.Addr().IsUnspecified() {
		c.relation(name+".advertise", "others can't use %s: set an address of this instance", l.Advertise)
	}
	if l.PlainText {
		if l.TLS != (TLS{}) {
			c.relation(name+".plain-text", "true although TLS files are set")
		}
		return
	}
	if l.TLS.Certificate == "" {
		c.relation(name+".tls.certificate", "missing: set it, or %s.plain-text = true", name)
	}
	if l.TLS.Key == "" {
		c.relation(name+".tls.key", "missing: set it, or %s.plain-text = true", name)
	}
}

// distinctAddresses checks that no two listeners have the same address.
func (c *checker) distinctAddresses(s Settings) {
	listeners := []struct {
		name    string
		address netip.AddrPort
	}{{"caller", s.Caller.Address}, {"operator", s.Operator.Address}, {"peer", s.Peer.Address}}
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.address.IsValid() && l.address == earlier.address {
				c.relation(l.name+".address", "the same as %s.address: %q", earlier.name, l.address)
			}
		}
	}
}
