// Package crloopback gives each host of a deployment in one process a loopback
// address of its own, and puts the delays between failure domains in at the
// dialling ends. A host can be killed, which closes its listeners and
// connections at once.
package crloopback

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/io/crtransport"
)

// Network hands out hosts. Set the fields before use.
type Network struct {
	// Delay returns the one-way delay between two failure domains at this
	// moment; nil is none.
	Delay func(from, to string) time.Duration

	mu    sync.Mutex
	hosts []*host
	octet byte
}

type host struct {
	name, domain string
	address      netip.Addr
	listeners    map[net.Listener]bool
	conns        map[net.Conn]bool
}

const (
	networkOctet = 10
	octets       = 200
	perOctet     = 250
)

// networks counts the networks of this process.
var networks atomic.Int32

// AddHost returns the address of a new host. Processes and networks get
// different ranges, so that two runs side by side seldom meet.
func (n *Network) AddHost(name, domain string) netip.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.hosts)
	if i == 0 {
		n.octet = byte(networkOctet + (os.Getpid()+int(networks.Add(1)))%octets)
	}
	address := netip.AddrFrom4([4]byte{127, n.octet, byte(i / perOctet), byte(1 + i%perOctet)})
	n.hosts = append(n.hosts, &host{
		name:      name,
		domain:    domain,
		address:   address,
		listeners: make(map[net.Listener]bool),
		conns:     make(map[net.Conn]bool),
	})
	return address
}

// Listen opens a listener on a host's address.
func (n *Network) Listen(at netip.AddrPort) (net.Listener, error) {
	h := n.at(at.Addr())
	if h == nil {
		return nil, fmt.Errorf("no host has the address %v", at)
	}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.listeners[l] = true
	return l, nil
}

// Dial returns the dialer of a host.
func (n *Network) Dial(from string) crtransport.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		near, far := n.named(from), n.at(to.Addr())
		if near == nil || far == nil {
			return nil, fmt.Errorf("no host %q or no host at %v", from, to)
		}
		// The handshake takes a round trip before the first byte can leave.
		if err := crbackoff.Sleep(ctx, n.delay(near, far)+n.delay(far, near)); err != nil {
			return nil, err
		}
		conn, err := crtransport.NetDial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.connect(conn, near, far), nil
	}
}

func (n *Network) connect(conn net.Conn, near, far *host) net.Conn {
	c := &delayed{
		Conn:   conn,
		out:    newLine(func() time.Duration { return n.delay(near, far) }),
		in:     newLine(func() time.Duration { return n.delay(far, near) }),
		closed: func(c net.Conn) { n.forget(c, near, far) },
	}
	n.mu.Lock()
	near.conns[c] = true
	far.conns[c] = true
	n.mu.Unlock()
	go c.send()
	go c.receive()
	return c
}

func (n *Network) forget(c net.Conn, hosts ...*host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range hosts {
		delete(h.conns, c)
	}
}

func (n *Network) delay(from, to *host) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(from.domain, to.domain)
}

// Kill closes the listeners and connections of a host. It may listen again.
func (n *Network) Kill(name string) {
	h := n.named(name)
	if h == nil {
		return
	}
	n.mu.Lock()
	listeners, conns := h.listeners, h.conns
	h.listeners = make(map[net.Listener]bool)
	h.conns = make(map[net.Conn]bool)
	n.mu.Unlock()
	for l := range listeners {
		l.Close()
	}
	for c := range conns {
		c.Close()
	}
}

func (n *Network) named(name string) *host {
	return n.find(func(h *host) bool { return h.name == name })
}

func (n *Network) at(a netip.Addr) *host {
	return n.find(func(h *host) bool { return h.address == a })
}

func (n *Network) find(match func(*host) bool) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		if match(h) {
			return h
		}
	}
	return nil
}
