// Package crnet is an in-memory network for tests: hosts with listeners and
// stream connections that can be slow, stall or break. It works inside a
// testing/synctest bubble, in which it must be made.
package crnet

import (
	"context"

	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"crocusrack/core/crbackoff"
)

// firstPort is the lowest port of the dialling ends of connections.
const firstPort = 32768

// Network connects hosts. Delay is set before the first use.
type Network struct {
	// Delay returns the one-way delay from a failure domain to another, or to
	// itself. Nil means none.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	hosts     map[string]*host
	owners    map[netip.Addr]*host
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{} // dialling ends
	cuts      map[link]cut
	changed   chan struct{} // closed and replaced when a link changes
	nextPort  uint16
}

type host struct {
	name          string
	failureDomain string
	address       netip.Addr
	paused        bool
}

// link is a direction between two hosts or failure domains, by name.
type link struct{ from, to string }

type cut int

const (
	cutStalls cut = iota + 1
	cutRefuses
)

// AddHost adds a host with one address. Host names, failure domains and
// addresses must differ from each other.
func (n *Network) AddHost(name, failureDomain string, address netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = make(map[string]*host)
		n.owners = make(map[netip.Addr]*host)
		n.listeners = make(map[netip.AddrPort]*listener)
		n.conns = make(map[*conn]struct{})
		n.cuts = make(map[link]cut)
		n.changed = make(chan struct{})
		n.nextPort = firstPort
	}
	if n.hosts[name] != nil || n.owners[address] != nil {
		panic(fmt.Sprintf("crnet: host %s at %s is known already", name, address))
	}
	h := &host{name: name, failureDomain: failureDomain, address: address}
	n.hosts[name] = h
	n.owners[address] = h
}

// Listen listens on an address of a host.
func (n *Network) Listen(address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owners[address.Addr()] == nil {
		return nil, opError("listen", address, syscall.EADDRNOTAVAIL)
	}
	if n.listeners[address] != nil {
		return nil, opError("listen", address, syscall.EADDRINUSE)
	}
	l := &listener{
		network:  n,
		address:  address,
		incoming: make(chan *conn),
		closed:   make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

func opError(op string, address netip.AddrPort, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: net.TCPAddrFromAddrPort(address), Err: err}
}

// Dial returns a function that connects from the named host, for an
// http.Transport or a grpc dialler.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		c, err := n.dial(ctx, from, to)
		if err != nil {
			return nil, opError("dial", to, err)
		}
		return c, nil
	}
}

func (n *Network) dial(ctx context.Context, from string, to netip.AddrPort) (*conn, error) {
	if err := n.handshake(ctx, from, to.Addr()); err != nil {
		return nil, err
	}
	l, near, far, err := n.connect(from, to)
	if err != nil {
		return nil, err
	}
	select {
	case l.incoming <- far:
		return near, nil
	case <-l.closed:
		near.abort()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		near.abort()
		return nil, ctx.Err()
	}
}

// handshake waits for a round trip, and as long as the link stalls.
func (n *Network) handshake(ctx context.Context, from string, to netip.Addr) error {
	for {
		n.mu.Lock()
		a, b := n.hosts[from], n.owners[to]
		if a == nil || b == nil {
			n.mu.Unlock()
			return syscall.EHOSTUNREACH
		}
		refused := n.cutBetween(a, b) == cutRefuses
		stalled := n.stalled(a, b) || n.stalled(b, a)
		delay := n.delay(a, b) + n.delay(b, a)
		changed := n.changed
		n.mu.Unlock()
		if refused {
			return syscall.ECONNREFUSED
		}
		if !stalled {
			return crbackoff.Sleep(ctx, delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect makes the two ends of a connection.
func (n *Network) connect(from string, to netip.AddrPort) (l *listener, near, far *conn, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.listeners[to]
	if l == nil {
		return nil, nil, nil, syscall.ECONNREFUSED
	}
	a, b := n.hosts[from], n.owners[to.Addr()]
	n.nextPort = max(firstPort, n.nextPort+1)
	local := netip.AddrPortFrom(a.address, n.nextPort)
	there, back := newPipe(n.delay(a, b)), newPipe(n.delay(b, a))
	near = &conn{network: n, host: a, local: local, remote: to, in: back, out: there}
	far = &conn{network: n, host: b, local: to, remote: local, in: there, out: back}
	near.peer, far.peer = far, near
	n.conns[near] = struct{}{}
	n.apply(near)
	return l, near, far, nil
}

// delay, cutBetween, stalled and apply need the lock.
func (n *Network) delay(a, b *host) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(a.failureDomain, b.failureDomain)
}

func (n *Network) cutBetween(a, b *host) cut {
	var worst cut
	for _, from := range []string{a.name, a.failureDomain} {
		for _, to := range []string{b.name, b.failureDomain} {
			worst = max(worst, n.cuts[link{from, to}])
		}
	}
	return worst
}

func (n *Network) stalled(a, b *host) bool {
	return a.paused || b.paused || n.cutBetween(a, b) == cutStalls
}

// apply makes a connection follow the state of its link.
func (n *Network) apply(near *conn) {
	a, b := near.host, near.peer.host
	if n.cutBetween(a, b) == cutRefuses {
		near.out.reset()
		near.in.reset()
		return
	}
	near.out.stall(n.stalled(a, b))
	near.in.stall(n.stalled(b, a))
}

// change applies a change of links or hosts to all connections.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		n.apply(c)
	}
}

// Cut stalls all data in one direction, as if each packet were lost. What was
// written arrives when the link heals. From and to name hosts or failure
// domains.
func (n *Network) Cut(from, to string) {
	n.change(func() { n.cuts[link{from, to}] = cutStalls })
}

// Part stalls all data between two hosts or failure domains.
func (n *Network) Part(a, b string) {
	n.change(func() {
		n.cuts[link{a, b}] = cutStalls
		n.cuts[link{b, a}] = cutStalls
	})
}

// Refuse breaks the connections between two hosts or failure domains and
// refuses new ones.
func (n *Network) Refuse(a, b string) {
	n.change(func() {
		n.cuts[link{a, b}] = cutRefuses
		n.cuts[link{b, a}] = cutRefuses
	})
}

// Heal ends what Cut, Part or Refuse did between two names, in both directions.
func (n *Network) Heal(a, b string) {
	n.change(func() {
		delete(n.cuts, link{a, b})
		delete(n.cuts, link{b, a})
	})
}

// Pause stalls all connections of a host, until Resume. The host's own code
// goes on.
func (n *Network) Pause(name string) { n.change(func() { n.known(name).paused = true }) }

// Resume ends a pause.
func (n *Network) Resume(name string) { n.change(func() { n.known(name).paused = false }) }

func (n *Network) known(name string) *host {
	h := n.hosts[name]
	if h == nil {
		panic("crnet: no host " + name)
	}
	return h
}

// Kill closes the listeners and connections of a host at once. Its peers see a
// reset, once data from it can reach them. The host may listen again.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	h := n.known(name)
	var listeners []*listener
	for address, l := range n.listeners {
		if address.Addr() == h.address {
			listeners = append(listeners, l)
		}
	}
	var ends []*conn
	for c := range n.conns {
		switch h {
		case c.host:
			ends = append(ends, c)
		case c.peer.host:
			ends = append(ends, c.peer)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range ends {
		c.abort()
	}
}

// forget drops a connection that is closed at both ends.
func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	delete(n.conns, c.peer)
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	address  netip.AddrPort
	incoming chan *conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", l.address, net.ErrClosed)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
