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

// endpoint is a scripted endpoint on loopback. Each connection is handled by
// the next of its scripts; requests counts what it has read.
type endpoint struct {
	address  netip.AddrPort
	requests chan string
}

type script func(t *testing.T, c net.Conn, next func() (*http.Request, error))

func serve(t *testing.T, scripts ...script) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: l.Addr().(*net.TCPAddr).AddrPort(), requests: make(chan string, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, s := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			s(t, c, func() (*http.Request, error) {
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

// answers answers each request by one of the texts, in which ID stands for its
// id.
func answers(texts ...string) script {
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
		// The caller closes, or sends what it should not.
		_, _ = next()
	}
}

// refusal is an answer without an id, as of an endpoint that is full.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"

const ok = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

func send(t *testing.T, c *crhop.Client, e *endpoint, id string, once bool) (string, error) {
	t.Helper()
	a, err := c.Send(t.Context(), crhop.Endpoint{Key: 1, Address: e.address}, &crhop.Request{
		Method: http.MethodPost, Target: "/x/", Host: "desk.example", Header: http.Header{"Id": {id}},
		Body: []byte("body"), Once: once,
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

// TestAnswers sends two requests over what the first left, and tells how the
// second ended and how many requests the endpoint got.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		scripts []script
		first   string
		second  string
		got     int
	}{
		{"kept connection", []script{answers(ok, ok)}, "ok", "ok", 2},
		{"closed by the answer", []script{
			answers("HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), answers(ok),
		}, "ok", "ok", 2},
		{"second answer right behind", []script{answers(ok + ok), answers(ok)}, "ok", "ok", 2},
		{"answer to another request", []script{
			answers("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"), answers(ok),
		}, "sent", "ok", 2},
		{"refusal without an id", []script{answers(refusal, ok)}, "no", "ok", 2},
		{"late refusal without an id", []script{answers(ok, refusal), answers(ok)}, "ok", "sent", 2},
		{"no HTTP", []script{answers("rubbish\r\n\r\n"), answers(ok)}, "sent", "ok", 2},
		{"cut body", []script{
			func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
				r, err := next()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\nok")
			}, answers(ok),
		}, "unexpected EOF", "ok", 2},
		{"body that ends with its connection", []script{
			func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
				r, err := next()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\nall")
			}, answers(ok),
		}, "all", "ok", 2},
		{"close after the request", []script{
			func(_ *testing.T, _ net.Conn, next func() (*http.Request, error)) { _, _ = next() }, answers(ok),
		}, "sent", "ok", 2},
		{"not to be kept", []script{
			answers("HTTP/1.1 200 OK\r\nId: ID\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"), answers(ok),
		}, "ok", "ok", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := serve(t, c.scripts...)
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
			if got := len(e.requests); got != c.got {
				t.Errorf("the endpoint got %d requests, want %d", got, c.got)
			}
		})
	}
}

// TestNeverSentTwice: an endpoint takes a request on a kept connection and closes
// it without an answer. A general client would send the request again.
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
		t.Fatalf("got %v, want that the request may have run", err)
	}
	if got := len(e.requests); got != 2 {
		t.Errorf("the endpoint got %d requests, want 2", got)
	}
}

// TestWithdrawn: a request stops being allowed while its connection is opened. It
// isn't written.
func TestWithdrawn(t *testing.T) {
	e := serve(t, answers(ok))
	_, err := (&crhop.Client{}).Send(t.Context(), crhop.Endpoint{Key: 1, Address: e.address}, &crhop.Request{
		Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}, Allowed: func() bool { return false },
	})
	var failure *crhop.Error
	if !errors.As(err, &failure) || failure.Sent || failure.Unreachable || !errors.Is(err, crhop.ErrWithdrawn) {
		t.Errorf("got %v, want that the request was withdrawn", err)
	}
	if got := len(e.requests); got != 0 {
		t.Errorf("the endpoint got %d requests", got)
	}
}

func TestRefusedIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: l.Addr().(*net.TCPAddr).AddrPort()}
	l.Close()
	_, err = send(t, &crhop.Client{}, e, "a", false)
	var failure *crhop.Error
	if !errors.As(err, &failure) || failure.Sent || !failure.Unreachable {
		t.Errorf("got %v, want that the endpoint is unreachable and nothing was sent", err)
	}
}

// TestCancelResets: when the caller leaves, the endpoint sees its connection end.
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
		t.Errorf("got %v, want that the caller left", err)
	}
	<-ended
}

func TestPruneClosesWhatIsPastItsTime(t *testing.T) {
	e := serve(t, answers(ok), answers(ok))
	client := &crhop.Client{}
	defer client.CloseIdle()
	opened := 0
	client.Opened = func() { opened++ }
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
