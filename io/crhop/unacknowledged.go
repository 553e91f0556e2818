package crhop

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long the rest of a request may stay unacknowledged without any
	// progress before its connection is reset. It is under tcpUserTimeout: when the system ends a
	// connection, what it holds can't be withdrawn any more and may arrive after a cut.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// unacknowledgedInterval is the time between two checks.
	unacknowledgedInterval = 250 * time.Millisecond
)

// errUnacknowledged means that an endpoint's host acknowledged nothing of the rest of a request.
var errUnacknowledged = errors.New("the request was not acknowledged for " + unacknowledgedTimeout.String())

// SendQueue is what was written to a connection, in bytes.
type SendQueue struct {
	// Unsent waits until the other end reads, InFlight is sent and not acknowledged, and
	// Acknowledged is the sum of what was acknowledged.
	Unsent, InFlight, Acknowledged uint64
}

// sendQueue returns the send queue of a TCP connection, and false if the system doesn't tell.
func sendQueue(c net.Conn) (SendQueue, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return SendQueue{}, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return SendQueue{}, false
	}
	var q SendQueue
	controlErr := raw.Control(func(fd uintptr) {
		var queued int
		if queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			return
		}
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			q.Unsent, q.Acknowledged = uint64(info.Notsent_bytes), info.Bytes_acked
			q.InFlight = uint64(max(0, queued-int(info.Notsent_bytes)))
		}
	})
	return q, controlErr == nil && err == nil
}

// sendWatch resets a connection on which the rest of a request stays unacknowledged.
type sendWatch struct {
	answer *Answer

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// checked is true after the first check. acknowledged is the number of acknowledged bytes at the
	// last one, and since when there was no progress.
	checked      bool
	acknowledged uint64
	since        time.Time
	// expired is true once the connection was reset for it.
	expired bool
}

// watchSending watches the connection until all of the request is acknowledged or stop is called.
func (a *Answer) watchSending() *sendWatch {
	w := &sendWatch{answer: a, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(unacknowledgedInterval, w.check)
	return w
}

// stop ends the watch. The connection may be used for another request afterwards.
func (w *sendWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// hasExpired reports whether the connection was reset.
func (w *sendWatch) hasExpired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

func (w *sendWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	read := sendQueue
	if w.answer.client.SendQueue != nil {
		read = w.answer.client.SendQueue
	}
	q, ok := read(w.answer.conn.Conn)
	if !ok || q.Unsent == 0 && q.InFlight == 0 && w.isWritten() {
		return
	}
	// An endpoint that doesn't read for a while is in reach.
	if q.InFlight == 0 || w.checked && q.Acknowledged != w.acknowledged {
		w.since = time.Now()
	}
	w.checked, w.acknowledged = true, q.Acknowledged
	if time.Since(w.since) >= unacknowledgedTimeout {
		w.expired = true
		w.answer.conn.abort()
		return
	}
	w.timer.Reset(unacknowledgedInterval)
}

// isWritten reports whether the request was written to the connection.
func (w *sendWatch) isWritten() bool {
	select {
	case <-w.answer.written:
		return true
	default:
		return false
	}
}
