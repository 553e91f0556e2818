// Package crhop sends HTTP/1.1 requests to endpoints, each at most once, over
// connections that are kept for reuse. Unlike a general HTTP client, it never repeats a
// request by itself, it reports whether any part of a request was sent, and it drops a
// connection on which anything other than the answer to its own request arrives.
package crhop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"crocusrack/core/crledger"
)

const (
	// secondDialDelay is when a second connection is tried in parallel to one that isn't
	// established yet: its first packet may have been lost, and TCP repeats that only
	// after a second.
	secondDialDelay = 120 * time.Millisecond
	// dialTimeout is when an endpoint that doesn't answer counts as unreachable. It is
	// several times the round trip between failure domains.
	dialTimeout = 350 * time.Millisecond
	// tcpUserTimeout bounds how long sent bytes may remain unacknowledged before the system ends the
	// connection. A connection with an attempt is reset earlier, after unacknowledgedTimeout.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive,
	// which detects an unreachable host while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long a connection is kept if the endpoint doesn't say.
	// It is shorter than the usual idle timeout of servers, five seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's idle timeout a connection is given
	// up, so that no request is sent while the endpoint closes the connection.
	idleMargin = 800 * time.Millisecond
	// maxIdleBeforeOnce is the idle time above which a connection isn't used for a
	// request that must not be repeated, since it may have been closed without notice.
	maxIdleBeforeOnce = 1500 * time.Millisecond
	// maxIdlePerEndpoint bounds the number of idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4096
	// defaultHeadBytes is the limit of an answer's head if Client.MaxHeaderBytes isn't set.
	defaultHeadBytes = 64 << 10
	// maxInterim is how many interim (1xx) answers may precede the final one.
	maxInterim = 8
)

// Client sends requests to endpoints. The exported fields must be set before first use.
// Client is safe for concurrent use.
type Client struct {
	// Dial opens connections. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called for each new connection. It may be nil.
	OnConnect func()
	// SendQueue returns what is known of a connection's send queue, and false if nothing is. If it is
	// nil, the system is asked.
	SendQueue func(c net.Conn) (SendQueue, bool)
	// MaxHeaderBytes bounds the size of an answer's head, including the interim answers
	// before it. Zero means 64 KiB.
	MaxHeaderBytes int64

	mu   sync.Mutex
	idle map[crledger.Key][]*conn
}

// Endpoint is the endpoint to which a request is sent.
type Endpoint struct {
	Key     crledger.Key
	Address netip.AddrPort
}

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is the body in parts.
	Body [][]byte
	// Written is called once Body isn't read any more: it was written, or won't be. If it is
	// nil, nothing is called.
	Written func()
	// Once is true if the request must not be repeated.
	Once bool
	// Echoed reports whether an answer belongs to the request, which endpoints show by
	// repeating its id in the answer. The parameter first is true for the first answer
	// on a connection, which can't be a late copy of an earlier one.
	Echoed func(status int, h http.Header, first bool) bool
	// Allowed reports whether the request may still be sent. It is called once there is
	// a connection, right before the request is written. If it is nil, the request may
	// be sent.
	Allowed func() bool
}

// bodyRead tells that Body isn't read any more.
func (r *Request) bodyRead() {
	if r.Written != nil {
		r.Written()
	}
}

// bodyLength returns the length of the body in bytes.
func (r *Request) bodyLength() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// Error is the reason why a request got no answer.
type Error struct {
	// Sent is true if any part of the request may have been written to the connection,
	// so that the endpoint may have received it.
	Sent bool
	// Unreachable is true if no connection could be opened and this process had the means to
	// open one.
	Unreachable bool
	Cause       error
}

// Error returns the cause and whether the request may have been sent.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("not sent: %v", e.Cause)
	}
	return fmt.Sprintf("sent without an answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var (
	// errWrongAnswer means that an answer doesn't belong to the request.
	errWrongAnswer = errors.New("the answer belongs to another request")
	// ErrWithdrawn is the cause of an Error if Request.Allowed returned false.
	ErrWithdrawn = errors.New("the request may no longer be sent")
	// errBadStatus means that an answer has a status that isn't one of HTTP.
	errBadStatus = errors.New("the answer has no valid status")
	// errHeadTooLong means that the head of an answer exceeds its limit, or that more
	// than maxInterim interim answers came before the final one.
	errHeadTooLong = errors.New("the head of the answer is too long")
)

// conn is a connection to an endpoint, with the state that decides on its reuse.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headBytesLeft is how many more bytes may be read while a head is awaited. A
	// negative value means that there is no bound.
	headBytesLeft int64
	// answered is true once an answer has been read from the connection.
	answered bool
	// usableUntil is when the connection must no longer be used, because the endpoint
	// may close it.
	usableUntil time.Time
	idleSince   time.Time
}

// Send sends a request and returns the answer once its header has arrived. The error is
// of type *Error. The caller must close the answer. If ctx ends before that, the
// connection is reset, which stops the endpoint's work.
func (c *Client) Send(ctx context.Context, e Endpoint, r *Request) (*Answer, error) {
	k := c.takeIdle(e.Key, r.Once)
	if k == nil {
		var err error
		if k, err = c.open(ctx, e.Address); err != nil {
			r.bodyRead()
			return nil, &Error{Unreachable: ctx.Err() == nil && !localShortage(err), Cause: err}
		}
	}
	return c.exchange(ctx, e.Key, k, r)
}

// Probe opens a connection to an endpoint and keeps it for later requests. An error
// means that the endpoint can't be reached.
func (c *Client) Probe(ctx context.Context, e Endpoint) error {
	k, err := c.open(ctx, e.Address)
	if err != nil {
		return err
	}
	c.putIdle(e.Key, k, time.Now().Add(defaultIdleTimeout))
	return nil
}

// takeIdle removes and returns an idle connection on which no data has arrived. It
// returns nil if there is none, and closes those that can't be used.
func (c *Client) takeIdle(key crledger.Key, once bool) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[key]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := list[len(list)-1]
		c.idle[key] = list[:len(list)-1]
		c.mu.Unlock()
		stale := now.After(k.usableUntil) || once && now.Sub(k.idleSince) > maxIdleBeforeOnce
		if !stale && k.nothingArrived() {
			return k
		}
		k.Close()
	}
}

// nothingArrived reports whether nothing has arrived on an idle connection: neither data
// nor the end of the connection.
func (k *conn) nothingArrived() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	s, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// putIdle adds a connection to the idle ones, or closes it if there are too many.
func (c *Client) putIdle(key crledger.Key, k *conn, until time.Time) {
	k.usableUntil, k.idleSince = until, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[crledger.Key][]*conn)
	}
	if len(c.idle[key]) >= maxIdlePerEndpoint {
		k.Close()
		return
	}
	c.idle[key] = append(c.idle[key], k)
}

// Prune closes the idle connections that have expired, and those to endpoints for which
// keep returns false.
func (c *Client) Prune(now time.Time, keep func(crledger.Key) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.idle {
		wanted := keep(key)
		kept := list[:0]
		for _, k := range list {
			if wanted && now.Before(k.usableUntil) {
				kept = append(kept, k)
			} else {
				k.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, key)
		} else {
			c.idle[key] = kept
		}
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() { c.Prune(time.Now(), func(crledger.Key) bool { return false }) }

// localShortage reports whether a connection failed because this process or its machine lacks
// descriptors, ports or memory, which says nothing about the endpoint.
func localShortage(err error) bool {
	for _, cause := range []error{unix.EMFILE, unix.ENFILE, unix.EADDRNOTAVAIL, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c, headBytesLeft: -1}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	return k
}

// Read reads from the connection, within the limit of a head while one is awaited.
func (k *conn) Read(p []byte) (int, error) {
	if k.headBytesLeft < 0 {
		return k.Conn.Read(p)
	}
	if k.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := k.Conn.Read(p[:min(int64(len(p)), k.headBytesLeft)])
	k.headBytesLeft -= int64(n)
	return n, err
}

// dialResult is the result of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// open opens a connection. If it isn't established after secondDialDelay, a second one
// is tried in parallel and the first to be established is used.
func (c *Client) open(ctx context.Context, a netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult, 2)
	try := func() {
		n, err := c.dial(ctx, a)
		results <- dialResult{n, err}
	}
	go try()
	pending := 1
	again := time.NewTimer(secondDialDelay)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			pending++
			go try()
		case d := <-results:
			pending--
			if d.err == nil {
				go closeLateConns(results, pending)
				if c.OnConnect != nil {
					c.OnConnect()
				}
				return newConn(d.conn), nil
			}
			if pending == 0 {
				return nil, d.err
			}
		}
	}
}

// closeLateConns closes the connections of the pending dials that are established too
// late.
func closeLateConns(results <-chan dialResult, pending int) {
	for range pending {
		if d := <-results; d.conn != nil {
			d.conn.Close()
		}
	}
}

// dial opens a TCP connection by Client.Dial, or by a net.Dialer with keep-alive and
// TCP_USER_TIMEOUT.
func (c *Client) dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, "tcp", a.String())
	}
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, "tcp", a.String())
}
