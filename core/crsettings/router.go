package crsettings

import (
	"net/netip"
	"time"

	"crocusrack/core/crswitch"
	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crsettings"
)

// Router holds the validated settings of a daemon that forwards HTTP requests.
type Router struct {
	// Instance is the name of this instance, unique in the fleet.
	Instance      string
	FailureDomain string
	// Front is the address that serves callers' requests. Ready answers whether
	// this instance accepts requests. Directory tells callers where to connect.
	// Peer serves other instances. Metrics serves metrics; it is the zero
	// address if metrics are not served.
	Front, Ready, Directory, Peer, Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are peer addresses of other instances, used to join the fleet.
	Seeds []netip.AddrPort
	// KeyRevocation is the time after which a revoked key must not be accepted by
	// any instance.
	KeyRevocation time.Duration
	// AddressLifetime is how long callers may keep an answer of Directory.
	AddressLifetime time.Duration
	// StopTimeout is the time between SIGTERM and SIGKILL.
	StopTimeout time.Duration
	// RetryShare, RetrySlack and RetryWindow bound the retries of all instances
	// together. Within RetryWindow, they may retry the share RetryShare of the
	// requests for a service, and RetrySlack more requests.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// AnswerHeadBytes is the maximum size of the head of an endpoint's answer,
	// and AnswerEventBytes that of an event of a stream. AnswerMemoryBytes is
	// the maximum memory for the buffered data of all answers together.
	AnswerHeadBytes   int64
	AnswerEventBytes  int
	AnswerMemoryBytes int64
	// MemoryBytes is the memory of the process. Zero means what the system grants.
	MemoryBytes int64
	// EventDelay is the time within which an event of a stream must reach its
	// caller.
	EventDelay time.Duration
	// Disabled is the set of mechanisms that are switched off.
	Disabled crswitch.Set
	// RolloutShare is the fraction of a service's requests that a new version may get
	// before it is known to be good, and RolloutSlack the number of requests beyond it.
	// With a RolloutShare of zero, orders to move a service's traffic are ignored.
	RolloutShare float64
	RolloutSlack float64
	// Descriptors is the number of file descriptors that the process may use. Zero means as
	// many as the system grants.
	Descriptors int
	// CPUShare is the CPU time available to this instance, in cores.
	CPUShare float64
}

// RouterKeys returns every key of a router's settings, sorted by path.
func RouterKeys() []Key { return routerKeys }

// routerKeys is the table of keys of a router's settings.
var routerKeys = []Key{
	{Path: "address-lifetime", Type: TypeDuration, Default: `"1s"`, Min: "100ms", Max: "1h",
		Doc: "How long callers may keep an answer that says where to connect."},
	{Path: "answer-event-bytes", Type: TypeInteger, Default: "65536", Min: "1024", Max: "16777216", Unit: "bytes",
		Doc: "Largest event of a stream. A longer one breaks the stream, which then goes on at another endpoint where its route allows it."},
	{Path: "answer-head-bytes", Type: TypeInteger, Default: "32768", Min: "1024", Max: "1048576", Unit: "bytes",
		Doc: "Largest head of an endpoint's answer, with the interim answers before it. The connection is reset beyond it."},
	{Path: "answer-memory-bytes", Type: TypeInteger, Default: "25165824", Min: "1048576", Max: "17179869184", Unit: "bytes",
		Doc: "What is kept of all answers together beside 16 KiB for each. Without room, a long answer is passed on as it comes, and isn't repeated when it breaks off."},
	{Path: "cpu-share", Type: TypeNumber, Default: "1", Min: "0", Max: "60", Unit: "cores",
		Doc: "Processor time that this instance has. Those with the most relay for the others of a large failure domain."},
	{Path: "descriptors", Type: TypeInteger, Default: "0", Min: "0", Max: "1048576", Unit: "descriptors",
		Doc: "File descriptors that the process may use; 0 stands for what the system grants. 64 are kept for peers, the store and the other listeners; of the rest, half is for connections of callers and half for their requests at endpoints."},
	{Path: "directory", Type: TypeAddress, Required: true,
		Doc: "Address that answers callers who ask where to connect."},
	{Path: "disabled-mechanisms", Type: TypeChoices, Values: mechanisms(),
		Doc: "Mechanisms that are switched off, for the day when one misbehaves and for measurements."},
	{Path: "event-delay", Type: TypeDuration, Default: `"100ms"`, Min: "10ms", Max: "10s",
		Doc: "Time within which an event of a stream is to reach its caller. Events that follow each other within some part of it share a packet: a lost one stalls the stream."},
	{Path: "failure-domain", Type: TypeName, Required: true,
		Doc: "Failure domain that this instance is in."},
	{Path: "front", Type: TypeAddress, Required: true,
		Doc: "Address that callers send their requests to."},
	{Path: "instance", Type: TypeName, Required: true,
		Doc: "Name of this instance, unique in the fleet."},
	{Path: "key-revocation", Type: TypeDuration, Default: `"5s"`, Min: "1s", Max: "1h",
		Doc: "Time after which a key that was taken away works at no instance, even one that is cut off."},
	{Path: "log-level", Type: TypeText, Default: `"info"`, Values: []string{"debug", "info", "warn", "error"},
		Doc: "Lowest level of log lines that are written."},
	{Path: "memory-bytes", Type: TypeInteger, Default: "0", Min: "0", Max: "17592186044416", Unit: "bytes",
		Doc: "Memory of the process; 0 stands for what the system grants. Half of it may be held for callers and endpoints: connections, header sections, requests, bodies and responses that aren't read yet. Without room, new requests are refused with 503, reason no-memory."},
	{Path: "metrics", Type: TypeAddress,
		Doc: "Address that serves metrics at /debug/vars. None are served when it is not set."},
	{Path: "peer", Type: TypeAddress, Required: true,
		Doc: "Address for other instances, over UDP and TCP."},
	{Path: "ready", Type: TypeAddress, Required: true,
		Doc: "Address that answers whether this instance takes requests."},
	{Path: "retry-share", Type: TypeNumber, Default: "0.2", Min: "0", Max: "1",
		Doc: "Part of the requests for a service that all instances together may repeat."},
	{Path: "retry-slack", Type: TypeNumber, Default: "10", Min: "0", Max: "1000000", Unit: "requests",
		Doc: "How many more requests all instances together may repeat in each retry-window."},
	{Path: "retry-window", Type: TypeDuration, Default: `"10s"`, Min: "1s", Max: "10m",
		Doc: "Time in which repeats are counted."},
	{Path: "rollout-share", Type: TypeNumber, Default: "0", Min: "0", Max: "1",
		Doc: "Part of a service's requests that a new version may get from the order on until its deadline if it is bad. Orders are ignored when it is 0."},
	{Path: "rollout-slack", Type: TypeNumber, Default: "0", Min: "0", Max: "1000000", Unit: "requests",
		Doc: "How many requests more than that a bad version may get."},
	{Path: "seeds", Type: TypeAddresses,
		Doc: "Peer addresses of other instances, to start from. The instance's own may be among them."},
	{Path: "stop-timeout", Type: TypeDuration, Default: `"8s"`, Min: "1s", Max: "1h",
		Doc: "Time between the signal to stop and the end of the process by force."},
	{Path: "store", Type: TypeAddress, Required: true,
		Doc: "Address of the platform's store."},
}

// minMemoryBytes is what an instance uses without any caller, and some room beyond it.
const minMemoryBytes = 48_000_000

// mechanisms returns the names of all mechanisms that can be switched off.
func mechanisms() []string {
	var names []string
	for _, m := range crswitch.Mechanisms() {
		names = append(names, string(m.Name))
	}
	return names
}

// ParseRouter decodes and validates the settings file of a router. Keys that are
// missing in the file get their defaults. Errors are of type crtoml.Problems and hold
// all problems found.
func ParseRouter(data []byte) (Router, error) {
	table, err := crtoml.ParseTable(data)
	if err != nil {
		return Router{}, err
	}
	m := &pb.RouterSettings{}
	c := checker{}
	if err := table.WithDefaults(defaults(RouterKeys())).Decode(m); err != nil {
		c.problems = err.(crtoml.Problems)
	}
	c.keys(m.ProtoReflect(), RouterKeys())
	if n := m.GetMemoryBytes(); n > 0 && n < minMemoryBytes {
		c.relation("memory-bytes", "less than the program needs by itself, which is %d: %d", minMemoryBytes, n)
	}
	if err := c.problems.Err(); err != nil {
		return Router{}, err
	}
	s := Router{
		Instance:        m.GetInstance(),
		FailureDomain:   m.GetFailureDomain(),
		Front:           address(m.GetFront()),
		Ready:           address(m.GetReady()),
		Directory:       address(m.GetDirectory()),
		Peer:            address(m.GetPeer()),
		Metrics:         address(m.GetMetrics()),
		Store:           address(m.GetStore()),
		KeyRevocation:   m.GetKeyRevocation().AsDuration(),
		AddressLifetime: m.GetAddressLifetime().AsDuration(),
		StopTimeout:     m.GetStopTimeout().AsDuration(),
		RetryShare:      m.GetRetryShare(),
		RetrySlack:      m.GetRetrySlack(),
		RetryWindow:     m.GetRetryWindow().AsDuration(),
		LogLevel:        m.GetLogLevel(),

		AnswerHeadBytes:   int64(m.GetAnswerHeadBytes()),
		AnswerEventBytes:  int(m.GetAnswerEventBytes()),
		AnswerMemoryBytes: int64(m.GetAnswerMemoryBytes()),
		MemoryBytes:       int64(m.GetMemoryBytes()),
		RolloutShare:      m.GetRolloutShare(),
		RolloutSlack:      m.GetRolloutSlack(),
		CPUShare:          m.GetCpuShare(),
		Descriptors:       int(m.GetDescriptors()),
		EventDelay:        m.GetEventDelay().AsDuration(),
		Disabled:          crswitch.NewSet(m.GetDisabledMechanisms()),
	}
	for _, a := range m.GetSeeds() {
		s.Seeds = append(s.Seeds, address(a))
	}
	return s, nil
}
