package crhop_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"crocusrack/io/crhop"
)

// resetConn is a connection on which the other end answers and resets while the request is written.
// As in the kernel, the error of the reset is returned once: to the write, so that reads end as if
// the connection had been closed.
type resetConn struct {
	net.Conn
	answer *strings.Reader
	reset  chan struct{}
	// late is true if the reads end before the write has returned.
	late bool
	once sync.Once
}

// Read returns the answer, and its end once the connection is reset.
func (c *resetConn) Read(p []byte) (int, error) {
	if c.answer.Len() > 0 {
		return c.answer.Read(p)
	}
	<-c.reset
	return 0, io.EOF
}

// Write writes the head. The first write after it fails with the reset.
func (c *resetConn) Write(p []byte) (int, error) {
	if strings.HasPrefix(string(p), http.MethodPost) {
		return len(p), nil
	}
	c.once.Do(func() { close(c.reset) })
	if c.late {
		time.Sleep(time.Millisecond)
	}
	return 0, syscall.ECONNRESET
}

// openConn is a connection whose other end closes its direction after the answer, and doesn't read
// on.
type openConn struct {
	net.Conn
	answer *strings.Reader
	closed chan struct{}
	once   sync.Once
}

func (c *openConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

func (c *openConn) Write(p []byte) (int, error) {
	if !strings.HasPrefix(string(p), http.MethodPost) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return len(p), nil
}

func (c *openConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

const unframed = "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\npart of the body"

// sendLong sends a long request over a connection, and returns the body of the answer.
func sendLong(t *testing.T, c net.Conn) (string, error) {
	client := &crhop.Client{Dial: func(context.Context, string, string) (net.Conn, error) { return c, nil }}
	a, err := client.Send(t.Context(), crhop.Endpoint{Key: 1}, &crhop.Request{
		Method: http.MethodPost, Target: "/", Host: "desk.example", Body: [][]byte{make([]byte, 500_000)},
		Echoed: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == "a" },
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// TestUnframedAnswerResetDuringUploadIsIncomplete guards against parts of answers that are passed on
// as complete, since the write of the request took the error of the reset.
func TestUnframedAnswerResetDuringUploadIsIncomplete(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			body, err := sendLong(t, &resetConn{Conn: near, answer: strings.NewReader(unframed), reset: make(chan struct{}), late: late})
			if err == nil {
				t.Errorf("write ends later: %t: got %q as a complete answer, want an error", late, body)
			}
		})
	}
}

// TestUnframedAnswerBeforeEndOfUploadIsComplete checks that an endpoint may close its direction while
// the request is still being written.
func TestUnframedAnswerBeforeEndOfUploadIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		body, err := sendLong(t, &openConn{Conn: near, answer: strings.NewReader(unframed), closed: make(chan struct{})})
		if err != nil || body != "part of the body" {
			t.Errorf("got %q and %v, want the body without an error", body, err)
		}
	})
}

// TestStatusBelow100IsNoAnswer guards against answers that are made of the body of another one, whose
// status is none.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\ninner"
	for _, head := range []string{"Content-Length: 50\r\n\r\n", "\r\n", "Connection: close\r\n\r\n"} {
		for _, status := range []string{"000", "099"} {
			e := serve(t, answers("HTTP/1.1 "+status+" x\r\nId: a\r\n"+head+inner))
			client := &crhop.Client{}
			if got, err := send(t, client, e, "a", false); err == nil {
				t.Errorf("status %s: got %q, want an error", status, got)
			}
			client.CloseIdle()
		}
	}
}
