// Package crdeployment runs a whole deployment in one process: the platform,
// the endpoints and the daemons, over any network. Demonstrations, measurements
// and tests of failures use it.
package crdeployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crsettings"
	"crocusrack/io/crplacement"
	"crocusrack/io/crtransport"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/croperator"
	"crocusrack/schema/croperator/croperatorconnect"
	"crocusrack/stand/crengine"
	"crocusrack/stand/crobjectstore"
	"crocusrack/stand/crservice"
)

// Ports of the hosts. Each host has an address of its own.
const (
	platformPort = 7000
	endpointPort = 7100
	callerPort   = 7200
	peerPort     = 7300
	operatorPort = 7400
)

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// PlatformHost is the name of the host that serves the platform.
const PlatformHost = "platform"

// Network is what a deployment needs of a network.
type Network struct {
	// AddHost returns the address of a new host in a failure domain.
	AddHost func(name, domain string) netip.Addr
	Listen  func(netip.AddrPort) (net.Listener, error)
	// Dial returns the dialer of a host.
	Dial func(from string) crtransport.DialFunc
	// Kill closes a host's listeners and connections at once.
	Kill func(name string)
}

// Instance names a daemon.
type Instance struct {
	Name, FailureDomain string
}

// Deployment is a whole in one process. Set the exported fields before Start.
type Deployment struct {
	// Catalogue is the first version; its endpoints get new addresses.
	Catalogue *pb.Catalogue
	Instances []Instance
	Network   Network
	Log       *zap.Logger
	// Engine and Service shape the stand-ins before they serve; may be nil.
	Engine  func(*pb.Endpoint, *crengine.Engine)
	Service func(*pb.Endpoint, *crservice.Service)
	// Settings shapes a daemon's settings; may be nil.
	Settings func(*crsettings.Settings)
	// Loads bounds the loads that daemons order; defaults where zero.
	Loads crplacement.LoadLimits

	Platform crobjectstore.Server
	Engines  map[string]*crengine.Engine
	Services map[string]*crservice.Service

	mu      sync.Mutex
	nodes   map[string]*Node
	order   []string
	servers map[string]*http.Server
	hosts   map[string]netip.Addr
	tasks   sync.WaitGroup
	clients []*http.Client
}

// Start serves everything, puts the catalogue in force and waits until every
// daemon has it.
func (d *Deployment) Start(ctx context.Context) error {
	d.nodes = make(map[string]*Node)
	d.servers = make(map[string]*http.Server)
	d.hosts = make(map[string]netip.Addr)
	d.Engines = make(map[string]*crengine.Engine)
	d.Services = make(map[string]*crservice.Service)
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	domain := d.Instances[0].FailureDomain
	if err := d.serve(PlatformHost, domain, platformPort, d.Platform.Handler()); err != nil {
		return err
	}
	if err := d.startEndpoints(); err != nil {
		return err
	}
	for _, i := range d.Instances {
		d.addNode(i)
	}
	for _, name := range d.order {
		d.nodes[name].Start()
	}
	if err := d.Apply(ctx, 0, d.Catalogue); err != nil {
		return err
	}
	return d.WaitVersion(ctx, 1)
}

func (d *Deployment) startEndpoints() error {
	d.Catalogue = proto.Clone(d.Catalogue).(*pb.Catalogue)
	kinds := make(map[string]*pb.Service)
	for _, s := range d.Catalogue.Services {
		kinds[s.Name] = s
	}
	for _, e := range d.Catalogue.Endpoints {
		s := kinds[e.Service]
		if s == nil {
			return fmt.Errorf("endpoint %s is of unknown service %q", e.Name, e.Service)
		}
		if err := d.serve(e.Name, e.FailureDomain, endpointPort, d.endpoint(e, s)); err != nil {
			return err
		}
		e.Address = netip.AddrPortFrom(d.hosts[e.Name], endpointPort).String()
	}
	return nil
}

func (d *Deployment) endpoint(e *pb.Endpoint, s *pb.Service) http.Handler {
	if s.Kind == pb.ServiceKind_SERVICE_KIND_PLAIN {
		service := &crservice.Service{Name: e.Name, Capacity: int(e.Capacity)}
		if d.Service != nil {
			d.Service(e, service)
		}
		d.Services[e.Name] = service
		return service.Handler()
	}
	engine := &crengine.Engine{
		Name:         e.Name,
		Model:        s.Model,
		Role:         e.Role,
		Capacity:     int(e.Capacity),
		ColdCapacity: int(e.ColdCapacity),
		CheckOrders:  e.ChecksOrders,
	}
	if d.Engine != nil {
		d.Engine(e, engine)
	}
	d.Engines[e.Name] = engine
	return engine.Handler()
}

// serve adds a host that serves a handler.
func (d *Deployment) serve(name, domain string, port uint16, h http.Handler) error {
	address, ok := d.hosts[name]
	if !ok {
		address = d.Network.AddHost(name, domain)
		d.hosts[name] = address
	}
	l, err := d.Network.Listen(netip.AddrPortFrom(address, port))
	if err != nil {
		return fmt.Errorf("host %s: %w", name, err)
	}
	server := crtransport.Server(h)
	d.servers[name] = server
	d.tasks.Go(func() {
		// The listener's end is the host's end.
		_ = server.Serve(l)
	})
	return nil
}

func (d *Deployment) addNode(i Instance) {
	address := d.Network.AddHost(i.Name, i.FailureDomain)
	d.hosts[i.Name] = address
	d.order = append(d.order, i.Name)
	d.nodes[i.Name] = &Node{deployment: d, settings: d.settings(i, address)}
}

func (d *Deployment) settings(i Instance, address netip.Addr) crsettings.Settings {
	listener := func(port uint16) crsettings.Listener {
		at := netip.AddrPortFrom(address, port)
		return crsettings.Listener{Address: at, Advertise: at, PlainText: true}
	}
	s := crsettings.Settings{
		Instance:      i.Name,
		FailureDomain: i.FailureDomain,
		Caller:        listener(callerPort),
		Peer:          listener(peerPort),
		Operator:      listener(operatorPort),
		Platform: crsettings.Platform{
			URL:             "http://" + netip.AddrPortFrom(d.hosts[PlatformHost], platformPort).String(),
			Timeout:         time.Second,
			ReadsPerSecond:  20,
			WritesPerSecond: 20,
		},
		AddressLifetime: 10 * time.Second,
		DrainTimeout:    time.Minute,
		LogLevel:        "info",
		MaxRequestBytes: 4 << 20,
		OutcomeLifetime: 10 * time.Minute,
	}
	// The first three daemons are the seeds of all.
	for _, name := range d.order[:min(len(d.order), 3)] {
		s.Seeds = append(s.Seeds, netip.AddrPortFrom(d.hosts[name], peerPort))
	}
	if d.Settings != nil {
		d.Settings(&s)
	}
	return s
}

// Node returns a daemon by its instance's name, or nil.
func (d *Deployment) Node(name string) *Node { return d.nodes[name] }

// Nodes returns all daemons in the order of Instances.
func (d *Deployment) Nodes() []*Node {
	list := make([]*Node, len(d.order))
	for i, name := range d.order {
		list[i] = d.nodes[name]
	}
	return list
}

// EndpointAddress returns the address of an endpoint.
func (d *Deployment) EndpointAddress(name string) netip.AddrPort {
	return netip.AddrPortFrom(d.hosts[name], endpointPort)
}

// CallerAddresses returns the caller addresses of all daemons.
func (d *Deployment) CallerAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range d.Nodes() {
		list = append(list, n.settings.Caller.Advertise)
	}
	return list
}

// HTTPClient returns a client on a new host of callers in a failure domain.
func (d *Deployment) HTTPClient(host, domain string) *http.Client {
	d.Network.AddHost(host, domain)
	c := crtransport.Client(d.Network.Dial(host), nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clients = append(d.clients, c)
	return c
}

// Operator returns the operators' client of a daemon.
func (d *Deployment) Operator(n *Node) croperatorconnect.OperatorServiceClient {
	c := crtransport.Client(d.Network.Dial(n.settings.Instance), nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clients = append(d.clients, c)
	return croperatorconnect.NewOperatorServiceClient(c, "http://"+n.settings.Operator.Advertise.String())
}

// Apply makes a catalogue current through the first daemon that answers.
func (d *Deployment) Apply(ctx context.Context, base uint64, c *pb.Catalogue) error {
	return d.operate(ctx, func(o croperatorconnect.OperatorServiceClient) error {
		_, err := o.Apply(ctx, connect.NewRequest(&croperator.ApplyRequest{Catalogue: c, BaseVersion: base, Author: "deployment"}))
		return err
	})
}

// SetOut takes failure domains out of service or back, and returns the
// catalogue version that says so.
func (d *Deployment) SetOut(ctx context.Context, out bool, domains ...string) (uint64, error) {
	var version uint64
	err := d.operate(ctx, func(o croperatorconnect.OperatorServiceClient) error {
		answer, err := o.SetOut(ctx, connect.NewRequest(&croperator.SetOutRequest{FailureDomains: domains, Out: out, Author: "deployment"}))
		if err == nil {
			version = answer.Msg.Version
		}
		return err
	})
	return version, err
}

// operate tries the daemons in turn until one answers.
func (d *Deployment) operate(ctx context.Context, f func(croperatorconnect.OperatorServiceClient) error) error {
	err := errors.New("no daemon runs")
	for range int(readyTimeout / time.Second) {
		for _, n := range d.Nodes() {
			if !n.Running() {
				continue
			}
			if err = f(d.Operator(n)); err == nil || connect.CodeOf(err) != connect.CodeUnavailable {
				return err
			}
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return err
}

// WaitVersion waits until every running daemon has a catalogue version.
func (d *Deployment) WaitVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if d.inForce(version) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("catalogue version %d is not in force everywhere after %v", version, readyTimeout)
}

func (d *Deployment) inForce(version uint64) bool {
	for _, n := range d.Nodes() {
		if n.Running() && n.CatalogueVersion() < version {
			return false
		}
	}
	return true
}

// Stop ends everything.
func (d *Deployment) Stop() {
	for _, n := range d.nodes {
		n.Kill()
	}
	for _, s := range d.servers {
		s.Close()
	}
	d.mu.Lock()
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	d.mu.Unlock()
	d.tasks.Wait()
}

func newRun() uint64 { return rand.Uint64() }
