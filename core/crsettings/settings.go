// Package crsettings parses and validates the settings file of a daemon, which is in
// TOML. Keys and RouterKeys list every key with its default, range and meaning.
package crsettings

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crsettings"
)

// Settings holds the validated settings of a daemon.
type Settings struct {
	// Instance is the name of this instance, unique in the fleet.
	Instance      string
	FailureDomain string
	// Caller, Peer and Operator are the three listeners.
	Caller   Listener
	Peer     Listener
	Operator Listener
	Platform Platform
	// Seeds are peer addresses of other instances, used to join the fleet.
	Seeds []netip.AddrPort
	// AddressLifetime is how long callers may keep the answer to an address request.
	AddressLifetime time.Duration
	// DrainTimeout is how long a leaving instance waits for its requests to end.
	// It is not shorter than AddressLifetime.
	DrainTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MaxRequestBytes is the maximum size of a request of a caller, in bytes.
	MaxRequestBytes int
	// ControlBytesPerSecond is the maximum control traffic of this daemon, sent
	// and received together, in bytes per second.
	ControlBytesPerSecond int
	// OutcomeLifetime is how long the outcome of an ended request is kept.
	OutcomeLifetime time.Duration
	// Policy is the name of the plain policy that chooses endpoints, as in package
	// crpolicy. Empty means that the daemon's own admission chooses them.
	Policy string
	// CacheEvents is true if the daemon follows the changes of the prefix caches of
	// the model engines in the shards that it owns.
	CacheEvents bool
}

// Listener holds the settings of a listening socket.
type Listener struct {
	// Address is the address that the socket listens on.
	Address netip.AddrPort
	// Advertise is the address that clients connect to. Parse sets it to Address
	// if the file does not set it.
	Advertise netip.AddrPort
	TLS       TLS
	// PlainText is true if the listener serves without TLS.
	PlainText bool
}

// TLS holds the names of PEM files. All are empty if the listener serves plain text.
type TLS struct {
	Certificate string
	Key         string
	// ClientAuthorities is empty if clients need no certificate.
	ClientAuthorities string
}

// Platform holds the settings for calls of the platform's API.
type Platform struct {
	// URL is the base URL of the API.
	URL string
	// Timeout is the timeout of one call.
	Timeout time.Duration
	// ReadsPerSecond and WritesPerSecond limit the calls of the platform's store
	// by this instance.
	ReadsPerSecond  int
	WritesPerSecond int
	// Authorities is the name of a PEM file with the authorities that the
	// platform's certificate is checked against. Empty means the system's
	// authorities.
	Authorities string
}

// Parse decodes and validates a settings file. Keys that are missing in the file get
// their defaults. Errors are of type crtoml.Problems and hold all problems found.
func Parse(data []byte) (Settings, error) {
	table, err := crtoml.ParseTable(data)
	if err != nil {
		return Settings{}, err
	}
	message := &pb.Settings{}
	c := checker{}
	if err := table.WithDefaults(defaults(Keys())).Decode(message); err != nil {
		c.problems = err.(crtoml.Problems)
	}
	c.keys(message.ProtoReflect(), Keys())
	s := c.settings(message)
	c.relations(s)
	if err := c.problems.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// settings converts the message. Malformed addresses become the zero address; the
// check of the keys has already reported them.
func (c *checker) settings(m *pb.Settings) Settings {
	s := Settings{
		Instance:              m.GetInstance(),
		FailureDomain:         m.GetFailureDomain(),
		Caller:                listener(m.GetCaller()),
		Peer:                  listener(m.GetPeer()),
		Operator:              listener(m.GetOperator()),
		AddressLifetime:       m.GetAddressLifetime().AsDuration(),
		DrainTimeout:          m.GetDrainTimeout().AsDuration(),
		LogLevel:              m.GetLogLevel(),
		MaxRequestBytes:       int(m.GetMaxRequestBytes()),
		ControlBytesPerSecond: int(m.GetControlBytesPerSecond()),
		OutcomeLifetime:       m.GetOutcomeLifetime().AsDuration(),
		Policy:                m.GetPolicy(),
		CacheEvents:           m.GetCacheEvents(),
	}
	s.Platform = Platform{
		URL:             m.GetPlatform().GetUrl(),
		Timeout:         m.GetPlatform().GetTimeout().AsDuration(),
		ReadsPerSecond:  int(m.GetPlatform().GetReadsPerSecond()),
		WritesPerSecond: int(m.GetPlatform().GetWritesPerSecond()),
		Authorities:     m.GetPlatform().GetAuthorities(),
	}
	for _, seed := range m.GetSeeds() {
		s.Seeds = append(s.Seeds, address(seed))
	}
	return s
}

// listener converts the settings of a listener.
func listener(m *pb.Listener) Listener {
	l := Listener{
		Address:   address(m.GetAddress()),
		Advertise: address(m.GetAdvertise()),
		PlainText: m.GetPlainText(),
		TLS: TLS{
			Certificate:       m.GetTls().GetCertificate(),
			Key:               m.GetTls().GetKey(),
			ClientAuthorities: m.GetTls().GetClientAuthorities(),
		},
	}
	if m.GetAdvertise() == "" {
		l.Advertise = l.Address
	}
	return l
}

// address parses an IP address and port. It returns the zero address on failure.
func address(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// parseDuration parses a bound of the table of keys. It panics on a malformed duration,
// which is an error in the table.
func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("crsettings: bad duration in the table of keys: " + text)
	}
	return durationpb.New(d).AsDuration()
}
