package crhop_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocusrack/io/crhop"
)

// heldConn is a connection on which nothing arrives. It records how it is closed.
type heldConn struct {
	net.Conn
	mu     sync.Mutex
	linger int
	closed chan struct{}
}

func (c *heldConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *heldConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *heldConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = seconds
	return nil
}

func (c *heldConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// TestUnacknowledgedRequestIsReset guards against requests that were given up and reach their endpoint
// after a cut, since the system had ended their connection.
func TestUnacknowledgedRequestIsReset(t *testing.T) {
	for _, c := range []struct {
		name string
		// queue returns the send queue at a time after the start.
		queue func(after time.Duration) (crhop.SendQueue, bool)
		want  time.Duration
	}{
		{"nothing is acknowledged", func(time.Duration) (crhop.SendQueue, bool) { return crhop.SendQueue{InFlight: 100}, true }, 1500 * time.Millisecond},
		{"a part is acknowledged, on a kept connection", func(after time.Duration) (crhop.SendQueue, bool) {
			if after < 600*time.Millisecond {
				return crhop.SendQueue{InFlight: 100, Acknowledged: 7000}, true
			}
			return crhop.SendQueue{InFlight: 50, Acknowledged: 7050}, true
		}, 2250 * time.Millisecond},
		{"acknowledged bit by bit", func(after time.Duration) (crhop.SendQueue, bool) {
			return crhop.SendQueue{InFlight: 100, Acknowledged: uint64(after.Milliseconds())}, true
		}, 10 * time.Second},
		{"the endpoint doesn't read", func(time.Duration) (crhop.SendQueue, bool) {
			return crhop.SendQueue{Unsent: 100, Acknowledged: 100}, true
		}, 10 * time.Second},
		{"acknowledged", func(time.Duration) (crhop.SendQueue, bool) { return crhop.SendQueue{Acknowledged: 100}, true }, 10 * time.Second},
		{"the system doesn't tell", func(time.Duration) (crhop.SendQueue, bool) { return crhop.SendQueue{}, false }, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin, conn := time.Now(), &heldConn{linger: -1, closed: make(chan struct{})}
				client := &crhop.Client{
					Dial:      func(context.Context, string, string) (net.Conn, error) { return conn, nil },
					SendQueue: func(net.Conn) (crhop.SendQueue, bool) { return c.queue(time.Since(begin)) },
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := client.Send(ctx, crhop.Endpoint{Key: 1}, &crhop.Request{
					Method: http.MethodPost, Target: "/x/", Host: "desk.example", Header: http.Header{}, Body: [][]byte{[]byte("body")},
				})
				var failure *crhop.Error
				if !errors.As(err, &failure) || !failure.Sent || conn.linger != 0 {
					t.Errorf("error %v, linger %d; want a reset and a request that may have run", err, conn.linger)
				}
				if got := time.Since(begin); got != c.want {
					t.Errorf("the connection is reset after %s (%v), want %s", got, err, c.want)
				}
			})
		})
	}
}
