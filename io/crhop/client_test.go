package crhop_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"crocusrack/core/crledger"
	"crocusrack/io/crhop"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint is an endpoint on loopback whose connections are handled by given functions
// in turn. The channel requests receives the id of each request that it has read.
type endpoint struct {
	address  netip.AddrPort
	requests chan string
}

// connHandler handles one connection of an endpoint. It calls next to read a request.
type connHandler func(t *testing.T, c net.Conn, next func() (*http.Request, error))

// serve starts an endpoint that handles one connection by each of the handlers.
func serve(t *testing.T, handlers ...connHandler) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: l.Addr().(*net.TCPAddr).AddrPort(), requests: make(chan string, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, h := range handlers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			h(t, c, func() (*http.Request, error) {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return nil, err
				}
				_, err = io.Copy(io.Discard, r.Body)
				e.requests <- r.Header.Get("Id")
				return r, err
			})
			c.Close()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return e
}

// answers returns a handler that answers each request with the next of the texts, in
// which ID stands for the id of the request.
func answers(texts ...string) connHandler {
	return func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
		for _, text := range texts {
			r, err := next()
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id"))); err != nil {
				return
			}
		}
		// Wait until the client closes the connection, or sends a request that it must
		// not send.
		_, _ = next()
	}
}

// refusal is an answer without an id, as from an overloaded endpoint.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"

// ok is an answer with the id of the request.
const ok = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

// send sends a request with the id and returns the body of the answer.
func send(t *testing.T, c *crhop.Client, e *endpoint, id string, once bool) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), crhop.Endpoint{Key: 1, Address: e.address}, &crhop.Request{
		Method: http.MethodPost, Target: "/x/", Host: "desk.example", Header: http.Header{"Id": {id}},
		Body: [][]byte{[]byte("body")}, Once: once,
		Echoed: func(status int, h http.Header, first bool) bool {
			return h.Get("Id") == id || first && status == http.StatusServiceUnavailable
		},
	})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// TestAnswers sends two requests in turn with one client, and checks the results of both
// and how many requests the endpoint received. The second request must not be affected
// by what the first left on the connection.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		handlers []connHandler
		first    string
		second   string
		requests int
	}{
		{"reused connection", []connHandler{answers(ok, ok)}, "ok", "ok", 2},
		{"closed by the answer", []connHandler{
			answers("HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), answers(ok),
		}, "ok", "ok", 2},
		{"second answer directly after the first", []connHandler{answers(ok + ok), answers(ok)}, "ok", "ok", 2},
		{"answer to another request", []connHandler{
			answers("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"), answers(ok),
		}, "sent", "ok", 2},
		{"refusal without an id", []connHandler{answers(refusal, ok)}, "no", "ok", 2},
		{"late refusal without an id", []connHandler{answers(ok, refusal), answers(ok)}, "ok", "sent", 2},
		{"not HTTP", []connHandler{answers("rubbish\r\n\r\n"), answers(ok)}, "sent", "ok", 2},
		{"body cut off", []connHandler{
			func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
				r, err := next()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\nok")
			}, answers(ok),
		}, "unexpected EOF", "ok", 2},
		{"body that ends with its connection", []connHandler{
			func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
				r, err := next()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\nall")
			}, answers(ok),
		}, "all", "ok", 2},
		{"close after the request", []connHandler{
			func(_ *testing.T, _ net.Conn, next func() (*http.Request, error)) { _, _ = next() }, answers(ok),
		}, "sent", "ok", 2},
		{"keep-alive timeout of zero", []connHandler{
			answers("HTTP/1.1 200 OK\r\nId: ID\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"), answers(ok),
		}, "ok", "ok", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := serve(t, c.handlers...)
			client := &crhop.Client{}
			defer client.CloseIdle()
			for i, want := range []string{c.first, c.second} {
				got, err := send(t, client, e, string(rune('a'+i)), false)
				var failure *crhop.Error
				switch {
				case errors.As(err, &failure) && failure.Sent:
					got = "sent"
				case errors.As(err, &failure):
					got = "not sent"
				case err != nil:
					got = err.Error()
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("request %d (-want +got):\n%s", i+1, diff)
				}
			}
			client.CloseIdle()
			if got := len(e.requests); got != c.requests {
				t.Errorf("the endpoint got %d requests, want %d", got, c.requests)
			}
		})
	}
}

// TestAbortedAnswerLeavesNoConnection guards against requests on the connection of an endpoint that
// stopped in its answer.
func TestAbortedAnswerLeavesNoConnection(t *testing.T) {
	e := serve(t, answers(ok), answers(ok))
	client := &crhop.Client{}
	defer client.CloseIdle()
	a, err := client.Send(t.Context(), crhop.Endpoint{Key: 1, Address: e.address}, &crhop.Request{
		Method: http.MethodPost, Target: "/x/", Host: "desk.example", Header: http.Header{"Id": {"a"}},
		Echoed: func(int, http.Header, bool) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(a.Body); err != nil {
		t.Fatal(err)
	}
	a.Abort()
	a.Close()
	if got, err := send(t, client, e, "b", true); got != "ok" || err != nil {
		t.Errorf("the next request: %q and %v, want an answer on a connection of its own", got, err)
	}
}

// TestNeverSentTwice checks that a request isn't sent again if the endpoint reads it
// from a kept connection and closes that without an answer. A general HTTP client would
// repeat it.
func TestNeverSentTwice(t *testing.T) {
	e := serve(t, func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
		r, err := next()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(ok, "ID", r.Header.Get("Id")))
		_, _ = next()
	}, answers(ok))
	client := &crhop.Client{}
	defer client.CloseIdle()
	if _, err := send(t, client, e, "a", true); err != nil {
		t.Fatal(err)
	}
	_, err := send(t, client, e, "b", true)
	var failure *crhop.Error
	if !errors.As(err, &failure) || !failure.Sent {
		t.Fatalf("got %v, want an Error with Sent", err)
	}
	if got := len(e.requests); got != 2 {
		t.Errorf("the endpoint got %d requests, want 2", got)
	}
}

// TestWithdrawn checks that a request isn't written if it is no longer allowed once
// there is a connection.
func TestWithdrawn(t *testing.T) {
	e := serve(t, answers(ok))
	_, err := (&crhop.Client{}).Send(t.Context(), crhop.Endpoint{Key: 1, Address: e.address}, &crhop.Request{
		Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}, Allowed: func() bool { return false },
	})
	var failure *crhop.Error
	if !errors.As(err, &failure) || failure.Sent || failure.Unreachable || !errors.Is(err, crhop.ErrWithdrawn) {
		t.Errorf("got %v, want ErrWithdrawn with neither Sent nor Unreachable", err)
	}
	if got := len(e.requests); got != 0 {
		t.Errorf("the endpoint got %d requests, want 0", got)
	}
}

// TestUnreachableIsNotSent checks the error for an endpoint that refuses connections.
func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: l.Addr().(*net.TCPAddr).AddrPort()}
	l.Close()
	_, err = send(t, &crhop.Client{}, e, "a", false)
	var failure *crhop.Error
	if !errors.As(err, &failure) || failure.Sent || !failure.Unreachable {
		t.Errorf("got %v, want an Error with Unreachable and not Sent", err)
	}
}

// TestCancelResets checks that the connection to the endpoint ends when the context of
// the request is canceled.
func TestCancelResets(t *testing.T) {
	ended := make(chan struct{})
	e := serve(t, func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
		if _, err := next(); err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-e.requests
		cancel()
	}()
	_, err := (&crhop.Client{}).Send(ctx, crhop.Endpoint{Key: 1, Address: e.address}, &crhop.Request{
		Method: http.MethodGet, Target: "/", Host: "x", Header: http.Header{}, Echoed: func(int, http.Header, bool) bool { return true },
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	<-ended
}

// TestPruneClosesExpiredConnections checks that an expired idle connection isn't used
// for the next request.
func TestPruneClosesExpiredConnections(t *testing.T) {
	e := serve(t, answers(ok), answers(ok))
	client := &crhop.Client{}
	defer client.CloseIdle()
	opened := 0
	client.OnConnect = func() { opened++ }
	if _, err := send(t, client, e, "a", false); err != nil {
		t.Fatal(err)
	}
	client.Prune(time.Now().Add(time.Minute), func(crledger.Key) bool { return true })
	if _, err := send(t, client, e, "b", false); err != nil {
		t.Fatal(err)
	}
	if opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
}
