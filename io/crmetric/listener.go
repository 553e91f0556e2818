package crmetric

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// framing is the kind of the bytes of control connections that are not in
// messages: HTTP/2 frames, headers, pings and handshakes.
const framing = "framing"

// Listener counts the bytes of the connections that peers open for control
// traffic. A connection shows what it is for by its first call: until then its
// bytes are kept apart.
type Listener struct {
	net.Listener
	Set *Set

	mu    sync.Mutex
	conns map[string]*accepted
}

// Accept returns the next connection, counted.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &accepted{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[string]*accepted)
	}
	l.conns[conn.RemoteAddr().String()] = c
	return c, nil
}

// accepted is a connection that a peer has opened.
type accepted struct {
	net.Conn
	listener       *Listener
	control        atomic.Bool
	sent, received atomic.Int64
}

func (c *accepted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	c.flush()
	return n, err
}

func (c *accepted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	c.flush()
	return n, err
}

// flush moves the bytes of a control connection to the metrics.
func (c *accepted) flush() {
	if !c.control.Load() {
		return
	}
	c.listener.Set.ControlBytesSent.Add(framing, c.sent.Swap(0))
	c.listener.Set.ControlBytesReceived.Add(framing, c.received.Swap(0))
}

// Close forgets the connection.
func (c *accepted) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.RemoteAddr().String())
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

type acceptedKey struct{}

// tag puts the connection that a call came over into its context.
func (l *Listener) tag(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.conns[info.RemoteAddr.String()]
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, acceptedKey{}, c)
}

// markControl notes that the connection of a call carries control traffic.
func markControl(ctx context.Context) {
	if c, ok := ctx.Value(acceptedKey{}).(*accepted); ok {
		c.control.Store(true)
	}
}
