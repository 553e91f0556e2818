// Package crhop sends HTTP/1.1 requests to endpoints, each at most once, over
// kept connections. Unlike a general HTTP client it never repeats a request by
// itself, it tells whether any of a request was sent, and it gives up a
// connection on which anything but the answer to its own request arrives.
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
	// dialAgain is when a second connection is tried beside one that isn't
	// answered: the first packet may have been lost, and TCP repeats it after
	// a second only.
	dialAgain = 120 * time.Millisecond
	// dialTimeout is when an endpoint that doesn't answer counts as
	// unreachable: several times the round trip between failure domains.
	dialTimeout = 350 * time.Millisecond
	// userTimeout is how long sent bytes may go unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent host
	// while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is how long a connection is kept when the endpoint doesn't
	// say: shorter than the usual five seconds of servers.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the endpoint a connection is given
	// up, so that a request never crosses its close.
	idleMargin = 800 * time.Millisecond
	// freshIdle is how long a connection may have been idle to carry a request
	// that must not be repeated: it may have been closed without notice.
	freshIdle = 1500 * time.Millisecond
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 8
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4096
	// defaultHeadBytes is the limit of an answer's head when none is set.
	defaultHeadBytes = 64 << 10
	// maxInterim is how many interim answers may come before the final one.
	maxInterim = 8
)

// Client sends requests to endpoints. Set the exported fields before first use.
type Client struct {
	// Dial opens connections; over the host's network when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called with each new connection; may be nil.
	Opened func()
	// HeadBytes bounds the head of an answer, with the interim answers before it;
	// 64 KiB when zero.
	HeadBytes int64

	mu   sync.Mutex
	idle map[crledger.Key][]*conn
}

// Endpoint is where a request goes.
type Endpoint struct {
	Key     crledger.Key
	Address netip.AddrPort
}

// Request is a request as it goes to an endpoint.
type Request struct {
	Method string
	// Target is the request target, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once is true when the request must not be repeated.
	Once bool
	// Echoed reports whether an answer belongs to the request. The first answer on
	// a connection can't be a late copy of an earlier one.
	Echoed func(status int, h http.Header, first bool) bool
	// Allowed reports whether the request may still be sent. It is asked when the
	// connection is there, right before the request is written; nil allows it.
	Allowed func() bool
}

// Error is a failure to get an answer.
type Error struct {
	// Sent is true when the endpoint may have got the whole request.
	Sent bool
	// Unreachable is true when no connection could be opened.
	Unreachable bool
	Cause       error
}

// Error returns the cause.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("not sent: %v", e.Cause)
	}
	return fmt.Sprintf("sent without an answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var (
	errSpoilt = errors.New("the answer belongs to another request")
	// ErrWithdrawn is the cause when a request was no longer allowed once its
	// connection was there.
	ErrWithdrawn = errors.New("the request may no longer be sent")
	// errHeadTooLong ends an answer whose head doesn't end.
	errHeadTooLong = errors.New("the head of the answer is too long")
)

type conn struct {
	net.Conn
	reader *bufio.Reader
	// unread is how many bytes may still be read while a head is awaited; no
	// bound when negative.
	unread int64
	// answered is true once an answer has come over the connection.
	answered bool
	// usableUntil is when the endpoint may close the connection.
	usableUntil time.Time
	idleSince   time.Time
}

// Send sends a request and returns the answer once its header has arrived. The
// error is of type *Error. The caller closes the answer; when ctx ends before
// that, the connection is reset, which stops the endpoint's work.
func (c *Client) Send(ctx context.Context, e Endpoint, r *Request) (*Answer, error) {
	k := c.take(e.Key, r.Once)
	if k == nil {
		var err error
		if k, err = c.open(ctx, e.Address); err != nil {
			return nil, &Error{Unreachable: ctx.Err() == nil, Cause: err}
		}
	}
	return c.exchange(ctx, e.Key, k, r)
}

// Probe opens a connection to an endpoint and keeps it for later. An error
// means that the endpoint can't be reached.
func (c *Client) Probe(ctx context.Context, e Endpoint) error {
	k, err := c.open(ctx, e.Address)
	if err != nil {
		return err
	}
	c.keep(e.Key, k, time.Now().Add(defaultIdle))
	return nil
}

// take returns an idle connection on which nothing has arrived, or nil.
func (c *Client) take(key crledger.Key, once bool) *conn {
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
		stale := now.After(k.usableUntil) || once && now.Sub(k.idleSince) > freshIdle
		if !stale && k.quiet() {
			return k
		}
		k.Close()
	}
}

// quiet reports whether nothing has arrived on an idle connection, not even
// its end.
func (k *conn) quiet() bool {
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

// keep returns a connection to the idle ones.
func (c *Client) keep(key crledger.Key, k *conn, until time.Time) {
	k.usableUntil, k.idleSince = until, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[crledger.Key][]*conn)
	}
	if len(c.idle[key]) >= maxIdle {
		k.Close()
		return
	}
	c.idle[key] = append(c.idle[key], k)
}

// Prune closes idle connections that are past their time, or that keep
// doesn't want.
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

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c, unread: -1}
	k.reader = bufio.NewReaderSize(k, bufferBytes)
	return k
}

// Read reads what the bound on a head leaves.
func (k *conn) Read(p []byte) (int, error) {
	if k.unread < 0 {
		return k.Conn.Read(p)
	}
	if k.unread == 0 {
		return 0, errHeadTooLong
	}
	n, err := k.Conn.Read(p[:min(int64(len(p)), k.unread)])
	k.unread -= int64(n)
	return n, err
}

type dialed struct {
	conn net.Conn
	err  error
}

// open opens a connection, and a second one beside it if the first isn't
// answered soon.
func (c *Client) open(ctx context.Context, a netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialed, 2)
	try := func() {
		n, err := c.dial(ctx, a)
		results <- dialed{n, err}
	}
	go try()
	pending := 1
	again := time.NewTimer(dialAgain)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			pending++
			go try()
		case d := <-results:
			pending--
			if d.err == nil {
				go discard(results, pending)
				if c.Opened != nil {
					c.Opened()
				}
				return newConn(d.conn), nil
			}
			if pending == 0 {
				return nil, d.err
			}
		}
	}
}

// discard closes the connections of attempts that came too late.
func discard(results <-chan dialed, pending int) {
	for range pending {
		if d := <-results; d.conn != nil {
			d.conn.Close()
		}
	}
}

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
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, "tcp", a.String())
}
