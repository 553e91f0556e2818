// Package crsettings checks the settings of one daemon. Settings are written in
// TOML; Keys lists every key with its default, range and meaning.
package crsettings

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crsettings"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	// Instance is the name of this instance, unique in the fleet.
	Instance      string
	FailureDomain string
	// Caller, Peer and Operator are the three listeners.
	Caller   Listener
	Peer     Listener
	Operator Listener
	Platform Platform
	// Seeds are peer addresses of other instances, to start from.
	Seeds           []netip.AddrPort
	AddressLifetime time.Duration
	DrainTimeout    time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MaxRequestBytes bounds one request of a caller, in bytes.
	MaxRequestBytes int
	// ControlBytesPerSecond bounds the control traffic of this daemon, in
	// bytes sent and received each second.
	ControlBytesPerSecond int
	OutcomeLifetime       time.Duration
	// Policy names the way endpoints are chosen; empty is the standard one.
	Policy string
	// CacheEvents is true when the cache events of owned engines are followed.
	CacheEvents bool
}

// Listener is one listening socket and how others reach it.
type Listener struct {
	Address netip.AddrPort
	// Advertise is what others use. It is never empty in parsed settings.
	Advertise netip.AddrPort
	TLS       TLS
	// PlainText is true when the listener serves without TLS.
	PlainText bool
}

// TLS names PEM files. All are empty when the listener serves plain text.
type TLS struct {
	Certificate string
	Key         string
	// ClientAuthorities is empty when clients need no certificate.
	ClientAuthorities string
}

// Platform is how the platform's API is reached.
type Platform struct {
	// URL is the base URL of the API.
	URL string
	// Timeout bounds one call.
	Timeout         time.Duration
	ReadsPerSecond  int
	WritesPerSecond int
	// Authorities names a PEM file that the platform's certificate is checked
	// against; the system's authorities are used when it is empty.
	Authorities string
}

// Parse decodes and checks a settings file. Keys that the file lacks get their
// default. An error is of type crtoml.Problems and holds all problems found.
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

// settings converts the message. Addresses that don't parse stay zero: the
// check of the keys has named them.
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

// address returns the zero address when the text is none.
func address(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// asDuration reads a default or a bound of the table, which a test checks.
func asDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("crsettings: bad duration in the table of keys: " + text)
	}
	return durationpb.New(d).AsDuration()
}
