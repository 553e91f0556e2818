// Package crlistener accepts the connections of callers, and bounds their number, their idle
// times and the header sections that they send. The connections are for an http.Server, to which
// Listener.Attach is to be applied.
package crlistener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crconnection"
	"crocusrack/core/crmemory"
)

const (
	// connBytes is the memory that a connection takes by itself: two goroutine stacks, the two
	// buffers of net/http, and a header section of ordinary size.
	connBytes = 24 << 10
	// headBytes is the cost of a header section that connBytes includes.
	headBytes = 8 << 10
	// closingTime is how long a connection that takes no more requests waits for its caller to
	// close it. A response that was written before reaches the caller in that time: closing at
	// once would reset the connection if the caller still sends. A sender of faulty requests that
	// waits for the end costs no more than one of them in that time.
	closingTime = time.Second
	// refusalTime is how long a refused connection is kept open for its caller to read the refusal.
	refusalTime = 250 * time.Millisecond
	// sweepInterval is how often connections past their time are looked for.
	sweepInterval = 250 * time.Millisecond
	// smallHeadBytes is the cost up to which a header section takes the place of others when
	// memory is short: that of 16 KiB in lines of ordinary length.
	smallHeadBytes = 96 << 10
	// largeHeadShare is the part of the budget beyond which no larger sections are read. They are
	// cheap to send, and what was allocated for refused ones stays until the next collection.
	largeHeadShare = 4
	// maxVictims is how many connections are given up for the memory of one.
	maxVictims = 4
	// maxAdmitWait is how long a new connection waits for room, which it looks for after each
	// admitPause.
	maxAdmitWait = 200 * time.Millisecond
	admitPause   = 5 * time.Millisecond
	// maxRefused is how many refused connections may wait for their caller at a time.
	maxRefused = 16
	// fullTime is how long after the last connection without room the listener counts as full.
	fullTime = 2 * time.Second
	// acceptRetryDelay is the pause after the system had no descriptor or memory.
	acceptRetryDelay = 10 * time.Millisecond
)

// Limits are the limits in force. Zero fields stand for no limit.
type Limits struct {
	// HeaderBytes is the limit of a request line, and that of all header lines.
	HeaderBytes int64
	// HeaderTime is the time for a header section, and IdleTime that between two requests.
	HeaderTime, IdleTime time.Duration
	// Connections is how many connections may be open.
	Connections int
}

// Listener is a net.Listener for the connections of callers. Set the exported fields before the
// first use.
type Listener struct {
	net.Listener
	// Limits returns the limits in force, which hold for open connections, too.
	Limits func() Limits
	// Budget accounts for the memory of the connections and of the header sections.
	Budget *crmemory.Budget
	Log    *zap.Logger
	// Changed is called when Full changes. It may be nil.
	Changed func()

	Counters Counters

	mu     sync.Mutex
	table  crconnection.Table
	limits Limits
	// fullAt is when a connection last found no room, and full what Changed was told.
	fullAt time.Time
	full   bool

	refused   atomic.Int64
	once      sync.Once
	closeOnce sync.Once
	done      chan struct{}
}

func (l *Listener) init() {
	l.once.Do(func() {
		l.done = make(chan struct{})
		l.setLimits()
		go l.run()
	})
}

// run ends connections past their time until the listener is closed and all connections are.
func (l *Listener) run() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for closed := false; ; {
		select {
		case <-l.done:
			closed = true
			<-ticker.C
		case <-ticker.C:
		}
		l.setLimits()
		l.sweep(time.Now())
		if closed && l.Open() == 0 {
			return
		}
	}
}

func (l *Listener) setLimits() {
	limits := l.Limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// Accept returns the next connection. It lets the system have no descriptor for a while.
func (l *Listener) Accept() (net.Conn, error) {
	l.init()
	for {
		c, err := l.Listener.Accept()
		now := time.Now()
		if err != nil {
			if !exhausted(err) {
				return nil, err
			}
			l.relieve(now)
			select {
			case <-l.done:
				return nil, net.ErrClosed
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if admitted := l.admit(now, c); admitted != nil {
			return admitted, nil
		}
	}
}

// Close stops accepting. Open connections stay open.
func (l *Listener) Close() error {
	l.init()
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// exhausted reports whether a connection couldn't be accepted because the system has no
// descriptor or memory for it.
func exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// relieve gives up a connection after the system had no descriptor.
func (l *Listener) relieve(now time.Time) {
	l.mu.Lock()
	victim := l.table.Spare(now, l.limits.Connections)
	l.fullAt = now
	drop := l.table.First(crconnection.Closing)
	end := l.giveUp(now, victim)
	l.mu.Unlock()
	end()
	if drop != nil {
		drop.Value.(*Conn).reset()
	}
	l.Counters.record(l.Log, now, acceptFailed, netip.Addr{})
	l.tell(now)
}

// admit returns the connection to serve, or nil if it was refused.
func (l *Listener) admit(now time.Time, raw net.Conn) *Conn {
	address := addressOf(raw)
	c := &Conn{Conn: raw, listener: l}
	c.holder = l.Budget.Open(now, c.endForMemory)
	admitted, wait, why := l.tryAdmit(now, c, address)
	for end := now.Add(maxAdmitWait); wait && now.Before(end); {
		// Further connections wait in the queue of the system meanwhile.
		time.Sleep(admitPause)
		now = time.Now()
		admitted, wait, why = l.tryAdmit(now, c, address)
	}
	if admitted {
		return c
	}
	c.holder.Close()
	l.mu.Lock()
	l.fullAt = now
	l.mu.Unlock()
	l.Counters.record(l.Log, now, why, address)
	l.refuse(raw, why)
	l.tell(now)
	return nil
}

// tryAdmit enters a new connection in the table if there is room. Otherwise it returns whether
// there may be some soon, and what lacks.
func (l *Listener) tryAdmit(now time.Time, c *Conn, address netip.Addr) (admitted, wait bool, why reason) {
	l.mu.Lock()
	d := l.table.Decide(now, address, l.limits.Connections)
	why = noConnections
	for tries := 0; d.Admit && !c.holder.Grow(now, connBytes); tries++ {
		if tries == maxVictims || !l.freeMemory(now, nil) {
			d, why = crconnection.Decision{Wait: true}, noMemory
		}
	}
	end := l.giveUp(now, d.Victim)
	if d.Admit {
		c.entry = l.table.Open(now, address, c)
	}
	l.mu.Unlock()
	end()
	if d.Drop != nil {
		d.Drop.Value.(*Conn).reset()
	}
	return d.Admit, d.Wait, why
}

// freeMemory gives up a connection other than c for its memory: one that has sent much of a header
// section, else one as when descriptors are short. It returns false if there is none; there may be another
// one if it returns true and memory is still short. The caller holds the lock.
func (l *Listener) freeMemory(now time.Time, c *Conn) bool {
	victim := l.table.Spare(now, l.limits.Connections)
	var most int64
	l.table.Oldest(crconnection.Partial, func(e *crconnection.Conn) {
		if o := e.Value.(*Conn); o != c && o.reserved.Load() > most {
			victim, most = e, o.reserved.Load()
		}
	})
	if victim == nil || victim.Value.(*Conn) == c {
		return false
	}
	if o := victim.Value.(*Conn); o.beginClosing(now) {
		o.release(now)
	}
	return true
}

// refuse answers a connection that isn't served, and closes it.
func (l *Listener) refuse(raw net.Conn, reason reason) {
	writeLast(raw, refusal(reason))
	if l.refused.Add(1) > maxRefused {
		l.refused.Add(-1)
		raw.Close()
		return
	}
	time.AfterFunc(refusalTime, func() {
		raw.Close()
		l.refused.Add(-1)
	})
}

// giveUp ends a connection without a request, which may be nil. The caller holds the lock, and
// calls what is returned without it.
func (l *Listener) giveUp(now time.Time, entry *crconnection.Conn) func() {
	if entry == nil {
		return func() {}
	}
	c := entry.Value.(*Conn)
	why := closedIdle
	if entry.Phase() != crconnection.Idle {
		why = closedUnfinished
	}
	if !c.beginClosing(now) {
		return func() {}
	}
	return func() {
		l.Counters.record(l.Log, now, why, entry.Address())
		writeEnd(c.Conn, refusal(timeout))
	}
}

// Attach prepares a server for the connections of the listener: it sets ConnState, and extends
// Handler and ConnContext. It is to be called before the server serves.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = l.track
	s.Handler = handler(s.Handler)
	extended := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if extended != nil {
			ctx = extended(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// track follows the state of a connection.
func (l *Listener) track(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.setBusy()
	case http.StateIdle:
		c.setIdle(time.Now())
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// handler returns a handler that leaves out requests on connections that take no more requests:
// their callers were told that they don't run. Such a request was received before the
// connection was given up, behind another one.
func handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.serve() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Count()
}

// Busy returns the number of connections that carry a request, from the end of its header section
// until its response was written. The handler returns before that: the end of the response may
// wait for a slow caller.
func (l *Listener) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.CountOf(crconnection.Busy)
}

// Full reports whether connections were refused just now for the lack of room.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.full
}

// tell calls Changed if Full has changed.
func (l *Listener) tell(now time.Time) {
	l.mu.Lock()
	full := !l.fullAt.IsZero() && now.Sub(l.fullAt) < fullTime
	changed := full != l.full
	l.full = full
	open := l.table.Count()
	l.mu.Unlock()
	if !changed {
		return
	}
	if full {
		l.Log.Warn("listener: connections of callers find no room", zap.Int("open", open))
	} else {
		l.Log.Info("listener: connections of callers find room again", zap.Int("open", open))
	}
	if l.Changed != nil {
		l.Changed()
	}
}

// sweep ends the connections that are past their time, and notes that those with a request make
// progress: the budget doesn't end them.
func (l *Listener) sweep(now time.Time) {
	for {
		l.mu.Lock()
		entry := l.table.Overdue(now, crconnection.Limits{Header: l.limits.HeaderTime, Idle: l.limits.IdleTime, Closing: closingTime})
		if entry == nil {
			l.table.Each(crconnection.Busy, func(c *crconnection.Conn) { c.Value.(*Conn).holder.Moved(now) })
			l.mu.Unlock()
			break
		}
		c := entry.Value.(*Conn)
		phase := entry.Phase()
		began := phase != crconnection.Closing && c.beginClosing(now)
		l.mu.Unlock()
		switch {
		case phase == crconnection.Closing:
			c.reset()
		case !began:
			// A request has arrived.
		case phase == crconnection.Idle:
			c.Close()
		default:
			if phase == crconnection.Partial {
				l.Counters.record(l.Log, now, headerTooSlow, entry.Address())
			}
			// Callers may open connections in advance, and use one just now.
			writeEnd(c.Conn, refusal(timeout))
		}
	}
	l.tell(now)
}

// addressOf returns the address of the caller.
func addressOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
