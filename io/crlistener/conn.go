package crlistener

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crocusrack/core/crconnection"
	"crocusrack/core/crmemory"
)

// errClosing is the error of reads from a connection that takes no more requests. net/http
// answers nothing to a net.OpError with the operation "read".
var errClosing = errors.New("connection takes no more requests")

// Conn is the connection of a caller. It measures header sections before net/http allocates
// memory for them.
type Conn struct {
	net.Conn
	listener *Listener
	holder   *crmemory.Holder

	// entry is guarded by Listener.mu, and nil once the connection is closed.
	entry *crconnection.Conn
	// closing is true once the connection takes no more requests. linger is true if its
	// descriptor then stays open after Close, so that its caller can read the last response.
	// inBody is true between the end of a header section and the end of its response. ended is
	// true once the budget wants the memory back. These are guarded by Listener.mu.
	closing, linger, inBody, ended bool
	// wasPartial is true if the connection was given up in the middle of a header section.
	wasPartial bool
	// served is true between the call of a request's handler and the end of its response.
	served atomic.Bool

	// reserved is the cost of the header section beyond headBytes.
	reserved atomic.Int64

	// The fields below belong to the goroutine that reads. Those that serve a connection read
	// one after the other, and net/http synchronizes them.

	head crconnection.Head
	// restLines is the number of lines behind the section's end among the bytes that were read
	// last. net/http may hold those of the next section.
	restLines int
}

// Read reads from the connection. It fails, after a refusal was written, when a header section is
// too large or finds no memory.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.received(p[:n]) {
		return n, err
	}
	return 0, c.readError()
}

func (c *Conn) readError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errClosing}
}

// received takes note of bytes of the caller. It returns false if they aren't to be served.
func (c *Conn) received(p []byte) bool {
	l := c.listener
	l.mu.Lock()
	if c.closing || c.entry == nil {
		c.linger = true
		l.mu.Unlock()
		return false
	}
	if c.inBody {
		l.mu.Unlock()
		c.restLines = bytes.Count(p, newline)
		return true
	}
	now := time.Now()
	length, verdict := c.head.Add(p, l.limits.HeaderBytes)
	why := reason(-1)
	switch {
	case verdict == crconnection.TooLarge:
		why = headerTooLarge
	case verdict == crconnection.Empty:
		why = emptyLines
	case !c.reserve(now, c.head.Cost()):
		why = noMemory
	case verdict == crconnection.Complete:
		c.inBody = true
		l.table.Move(now, c.entry, crconnection.Busy)
	case c.entry.Phase() != crconnection.Partial:
		l.table.Move(now, c.entry, crconnection.Partial)
	}
	if why < 0 {
		l.mu.Unlock()
		c.restLines = bytes.Count(p[length:], newline)
		return true
	}
	c.beginRefusal(now, why)
	if text := refusal(why); text != "" {
		writeLast(c.Conn, text)
	}
	return false
}

// beginRefusal moves the connection to Closing, where its descriptor stays open. The caller holds
// the lock of the listener, which is released.
func (c *Conn) beginRefusal(now time.Time, why reason) {
	l := c.listener
	address := c.entry.Address()
	c.closing, c.linger = true, true
	l.table.Move(now, c.entry, crconnection.Closing)
	l.mu.Unlock()
	l.Counters.record(l.Log, now, why, address)
}

// Write writes to the connection. What net/http writes without a handler refuses a malformed
// request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.served.Load() {
		return c.Conn.Write(p)
	}
	l := c.listener
	now := time.Now()
	l.mu.Lock()
	if c.closing || c.entry == nil {
		// Another refusal has been written.
		l.mu.Unlock()
		return len(p), nil
	}
	c.beginRefusal(now, malformed)
	// The responses of net/http end with the connection, which stays open here.
	status, _, _ := bytes.Cut(p, []byte("\r\n"))
	writeLast(c.Conn, lastResponse(string(status), "", malformed.String()))
	return len(p), nil
}

var newline = []byte{'\n'}

// reserve reserves the memory of a header section of a cost in bytes. Small ones take the place of
// larger ones when memory is short, and larger ones may use only a part of the memory. The caller holds the lock of the listener.
func (c *Conn) reserve(now time.Time, cost int64) bool {
	c.holder.Moved(now)
	missing := cost - headBytes - c.reserved.Load()
	if missing <= 0 {
		return true
	}
	budget := c.listener.Budget
	if cost > smallHeadBytes && budget.Limit > 0 && budget.Used(crmemory.HeaderSection)+missing > budget.Limit/largeHeadShare {
		return false
	}
	for tries := 0; !c.holder.GrowKind(now, crmemory.HeaderSection, missing); tries++ {
		if tries == maxVictims || cost > smallHeadBytes || !c.listener.freeMemory(now, c) {
			return false
		}
	}
	c.reserved.Add(missing)
	return true
}

// setBusy notes that net/http serves a request.
func (c *Conn) setBusy() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.inBody = true
	if c.entry != nil && !c.closing && c.entry.Phase() != crconnection.Busy {
		l.table.Move(time.Now(), c.entry, crconnection.Busy)
	}
}

// isClosing reports whether the connection takes no more requests.
func (c *Conn) isClosing() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closing
}

// serve notes that a handler is called. It returns false if the connection takes no more
// requests.
func (c *Conn) serve() bool {
	if c.isClosing() {
		return false
	}
	c.served.Store(true)
	return true
}

// setIdle notes that a response was written.
func (c *Conn) setIdle(now time.Time) {
	if n := c.reserved.Swap(0); n > 0 {
		c.holder.ShrinkKind(crmemory.HeaderSection, n)
	}
	c.holder.Moved(now)
	c.head = crconnection.Head{EarlyLines: int64(c.restLines)}
	c.restLines = 0
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.inBody = false
	c.served.Store(false)
	if c.entry == nil || c.closing {
		return
	}
	l.table.Move(now, c.entry, crconnection.Idle)
	if c.ended && c.beginClosing(now) {
		c.release(now)
	}
}

// beginClosing moves the connection to Closing, unless a request may be under way. The caller
// holds the lock of the listener.
func (c *Conn) beginClosing(now time.Time) bool {
	if c.entry == nil || c.closing || c.entry.Phase() == crconnection.Busy {
		return false
	}
	if c.entry.Phase() != crconnection.Partial && hasUnread(c.Conn) {
		// A request has arrived, and is about to be read.
		c.listener.table.Move(now, c.entry, crconnection.Partial)
		return false
	}
	c.closing, c.wasPartial = true, c.entry.Phase() == crconnection.Partial
	c.listener.table.Move(now, c.entry, crconnection.Closing)
	return true
}

// endForMemory ends a connection for the memory that it holds, after its request if it carries
// one.
func (c *Conn) endForMemory() {
	now := time.Now()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.ended = true; c.beginClosing(now) {
		c.release(now)
	}
}

// release answers a connection for which beginClosing has returned true, and returns its memory at
// once. The caller holds the lock of the listener.
func (c *Conn) release(now time.Time) {
	c.linger = true
	c.holder.Close()
	address, why := c.entry.Address(), timeout
	if c.wasPartial {
		why = noMemory
	}
	go func() {
		c.listener.Counters.record(c.listener.Log, now, endedForMemory, address)
		writeEnd(c.Conn, refusal(why))
		// The goroutine that reads ends then. If it can't, the next sweeps close the connection.
		_ = c.Conn.SetReadDeadline(now)
	}()
}

// writeLast writes a response after which the connection takes no more requests. It doesn't wait: a
// connection whose caller hasn't read enough of earlier responses is closed.
func writeLast(c net.Conn, text string) {
	if n, err := tryWrite(c, []byte(text)); err != nil || n < len(text) {
		c.Close()
	}
}

// tryWrite writes what the system takes at once.
func tryWrite(c net.Conn, p []byte) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c.Write(p)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	writeErr := raw.Write(func(fd uintptr) bool {
		n, err = unix.Write(int(fd), p)
		return true
	})
	return n, errors.Join(writeErr, err)
}

// writeEnd writes a last response and closes the connection for writing, so that a caller that
// waits for nothing closes it, too.
func writeEnd(c net.Conn, text string) {
	writeLast(c, text)
	if half, ok := c.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		c.Close()
	}
}

// SetReadDeadline sets the deadline of reads, unless the connection is closing.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.isClosing() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and returns its memory. The descriptor of a connection that was
// refused stays open for at most closingTime.
func (c *Conn) Close() error {
	l := c.listener
	c.holder.Close()
	l.mu.Lock()
	if c.entry != nil {
		if c.linger {
			l.mu.Unlock()
			return nil
		}
		l.table.Close(c.entry)
		c.entry = nil
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// SyscallConn returns the raw connection, or an error if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger sets what happens to unsent data on closing.
func (c *Conn) SetLinger(seconds int) error {
	if s, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return s.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// reset closes the connection at once.
func (c *Conn) reset() {
	c.listener.mu.Lock()
	c.linger = false
	c.listener.mu.Unlock()
	// Without the option, the system keeps the connection for a while.
	_ = c.SetLinger(0)
	c.Close()
}

// hasUnread reports whether bytes were received that haven't been read.
func hasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// On error, the connection is closed, or about to be.
	_ = raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return unread > 0
}
