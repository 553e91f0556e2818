package crnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferBytes is what a direction of a connection holds before writers wait.
const bufferBytes = 1 << 20

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network       *Network
	host          *host
	peer          *conn
	local, remote netip.AddrPort
	in, out       *pipe
	discards      atomic.Bool // when closed
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	count, err := c.in.read(b)
	return count, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	count, err := c.out.write(b)
	return count, c.wrap("write", err)
}

func (c *conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return opError(op, c.remote, err)
}

// SetLinger tells what Close does with data that the peer hasn't got: 0
// discards it, as at a net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.discards.Store(seconds == 0)
	return nil
}

// Close implements net.Conn. The peer reads what was written, then the end.
func (c *conn) Close() error {
	if c.discards.Load() {
		c.abort()
		return nil
	}
	c.out.closeWriter()
	c.in.closeReader()
	c.forget()
	return nil
}

// abort closes this end and resets the other.
func (c *conn) abort() {
	c.out.closeWriter()
	c.out.reset()
	c.in.closeReader()
	c.forget()
}

// forget drops the connection from the network when both ends are closed.
func (c *conn) forget() {
	if c.out.dead() && c.in.dead() {
		c.network.forget(c)
	}
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// pipe is one direction of a connection.
type pipe struct {
	delay time.Duration

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at every change
	segments      []segment
	buffered      int // bytes in segments
	stalled       bool
	broken        bool // reset by the network or the writer
	writerClosed  bool
	readerClosed  bool
	readDeadline  time.Time
	writeDeadline time.Time
}

// segment is data that arrives at a time.
type segment struct {
	at   time.Time
	data []byte
}

func newPipe(delay time.Duration) *pipe {
	return &pipe{delay: delay, changed: make(chan struct{})}
}

// update changes the pipe and wakes whoever waits on it.
func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.wake()
}

// wake needs the lock.
func (p *pipe) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) closeWriter()                 { p.update(func() { p.writerClosed = true }) }
func (p *pipe) closeReader()                 { p.update(func() { p.readerClosed = true }) }
func (p *pipe) reset()                       { p.update(func() { p.broken = true }) }
func (p *pipe) stall(stalled bool)           { p.update(func() { p.stalled = stalled }) }
func (p *pipe) setReadDeadline(t time.Time)  { p.update(func() { p.readDeadline = t }) }
func (p *pipe) setWriteDeadline(t time.Time) { p.update(func() { p.writeDeadline = t }) }

func (p *pipe) dead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writerClosed && p.readerClosed
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		count, until, err := p.tryRead(b)
		if count > 0 {
			p.wake()
		}
		changed := p.changed
		p.mu.Unlock()
		if count > 0 || err != nil || len(b) == 0 {
			return count, err
		}
		wait(changed, until)
	}
}

// tryRead reads what has arrived. Else it returns an error, or the time at
// which to try again, which is zero if only a change helps. It needs the lock.
func (p *pipe) tryRead(b []byte) (count int, until time.Time, err error) {
	now := time.Now()
	if p.readerClosed {
		return 0, until, net.ErrClosed
	}
	if passed(p.readDeadline, now) {
		return 0, until, os.ErrDeadlineExceeded
	}
	until = p.readDeadline
	if p.stalled {
		return 0, until, nil
	}
	if p.broken {
		return 0, until, syscall.ECONNRESET
	}
	if len(p.segments) == 0 {
		if p.writerClosed {
			return 0, until, io.EOF
		}
		return 0, until, nil
	}
	if at := p.segments[0].at; at.After(now) {
		return 0, earlier(until, at), nil
	}
	return p.take(b, now), until, nil
}

// take copies the segments that have arrived.
func (p *pipe) take(b []byte, now time.Time) int {
	count := 0
	for len(p.segments) > 0 && count < len(b) && !p.segments[0].at.After(now) {
		first := &p.segments[0]
		copied := copy(b[count:], first.data)
		count += copied
		first.data = first.data[copied:]
		if len(first.data) == 0 {
			p.segments = p.segments[1:]
		}
	}
	p.buffered -= count
	return count
}

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for {
		p.mu.Lock()
		count, err := p.tryWrite(b[written:])
		if count > 0 {
			p.wake()
		}
		changed, until := p.changed, p.writeDeadline
		p.mu.Unlock()
		written += count
		if err != nil || written == len(b) {
			return written, err
		}
		wait(changed, until)
	}
}

// tryWrite takes as much of b as there is room for. It needs the lock.
func (p *pipe) tryWrite(b []byte) (int, error) {
	now := time.Now()
	switch {
	case p.writerClosed:
		return 0, net.ErrClosed
	case passed(p.writeDeadline, now):
		return 0, os.ErrDeadlineExceeded
	case p.stalled:
		// The writer can't learn yet that the other end has gone.
	case p.broken:
		return 0, syscall.ECONNRESET
	case p.readerClosed:
		return 0, syscall.EPIPE
	}
	count := min(len(b), bufferBytes-p.buffered)
	if count == 0 {
		return 0, nil
	}
	data := make([]byte, count)
	copy(data, b)
	p.segments = append(p.segments, segment{now.Add(p.delay), data})
	p.buffered += count
	return count, nil
}

func passed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// earlier returns the earlier of two times, of which a zero one is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// wait returns at a change, or at the given time if it isn't zero.
func wait(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}
