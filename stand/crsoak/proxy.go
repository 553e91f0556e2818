package crsoak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFault is what a proxy does to what passes.
type linkFault int

// The faults of a link.
const (
	linkSound linkFault = iota
	// linkDelayed holds everything back for a while.
	linkDelayed
	// linkSilent lets nothing pass, and closes nothing.
	linkSilent
	// linkOneWay lets requests pass and no answers.
	linkOneWay
)

// linkDelay is the delay of a delayed link.
const linkDelay = 80 * time.Millisecond

// proxy forwards connections on loopback to a target.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener
	tasks    sync.WaitGroup

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.tasks.Go(p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.serve(near) })
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp4", p.target.String(), time.Second)
	if err != nil {
		reset(near)
		return
	}
	if !p.add(near, far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	p.copy(near, far, true)
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, near)
	delete(p.conns, far)
}

// add keeps a pair of connections, unless the proxy is closed.
func (p *proxy) add(near, far net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[near], p.conns[far] = true, true
	if p.closed {
		reset(near)
		reset(far)
	}
	return !p.closed
}

// copy forwards one direction until it ends; answers is true for the way back.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait(answers)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok && t.CloseWrite() == nil {
				return
			}
		}
		if err != nil {
			reset(to)
			reset(from)
			return
		}
	}
}

// wait returns when the link lets something pass.
func (p *proxy) wait(answers bool) {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed, fault == linkSound, fault == linkOneWay && !answers:
			return
		case fault == linkDelayed:
			time.Sleep(linkDelay)
			return
		}
		<-changed
	}
}

func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.resetAll()
	p.tasks.Wait()
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// A connection that can't be reset is closed all the same.
		_ = t.SetLinger(0)
	}
	c.Close()
}
