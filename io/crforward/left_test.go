package crforward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/io/crforward"
	"crocusrack/io/crhop"

	pb "crocusrack/schema/crrouter"
)

// gatedListener returns accepted connections only while its lock is free.
type gatedListener struct {
	net.Listener
	sync.Mutex
}

// Accept waits for a connection and then for the lock.
func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.Lock()
	defer l.Unlock()
	return c, err
}

// runSockets runs body with an instance that forwards to one endpoint over the sockets of the
// system, because those of crnet can't be closed for writing alone and don't tell their state.
func runSockets(t *testing.T, h http.HandlerFunc, body func(f *crforward.Forwarder, gate *gatedListener)) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		h(w, q)
	}))
	defer endpoint.Close()
	begin := time.Now()
	state := &crgrant.State{
		Self:    crliveness.Instance{Name: "entry", FailureDomain: "noord-a", Front: entryAddr, Peer: entryAddr},
		Retries: crgrant.RetryLimit{Share: 0.2, ExtraPerWindow: 60, Window: 10 * time.Second},
		Elapsed: func() time.Duration { return time.Since(begin) },
	}
	e, err := crgrant.NewEndpoint(begin, &pb.Endpoint{
		Id: "e1", Service: "app", Address: endpoint.Listener.Addr().String(), FailureDomain: "noord-b", Slots: 1000,
	})
	if err != nil {
		t.Fatal(err)
	}
	state.SetEndpoints(begin, 1, []*crplace.Endpoint{e})
	state.SetRouting(testRouting())
	state.Evidence.Read(0)
	hop := &crhop.Client{}
	defer hop.CloseIdle()
	f := &crforward.Forwarder{
		State: state, Client: hop, Codec: codec, Log: zap.NewNop(), Metrics: &crforward.Metrics{},
		MaxKeyAge: time.Hour, Closing: func() bool { return false },
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := &gatedListener{Listener: listener}
	server := &http.Server{Handler: f, ConnContext: crforward.ConnContext}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer server.Close()
	tasks.Go(func() { _ = server.Serve(gate) })
	body(f, gate)
}

// dial opens a connection of a caller to the instance.
func (l *gatedListener) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// TestCallerThatLeftGetsNoSuccess sends requests of callers that close their connections for
// writing alone, which counts as leaving, and reads what they get.
func TestCallerThatLeftGetsNoSuccess(t *testing.T) {
	silent := func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
	}
	runSockets(t, silent, func(_ *crforward.Forwarder, gate *gatedListener) {
		for _, path := range []string{"/read/", "/book/", "/draft/", "/reply/"} {
			c := gate.dial(t)
			defer c.Close()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nId: q\r\nKey: k\r\nContent-Length: 1\r\n\r\nx", path)
			time.Sleep(20 * time.Millisecond)
			if err := c.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(c)
			if err != nil || strings.HasPrefix(string(got), "HTTP/1.1 2") {
				t.Errorf("%s: the caller got %q, error %v", path, got, err)
			}
		}
	})
}

// TestRequestOfCallerThatLeftIsNotSent reads requests whose callers have closed their
// connections before, as an instance does that has fallen behind.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	const callers = 50
	var arrived atomic.Int64
	counted := func(w http.ResponseWriter, q *http.Request) {
		arrived.Add(1)
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(w, "ok")
	}
	for _, c := range []struct{ name, method, body, next string }{
		{"without a body", "GET", "", ""},
		{"with a body", "POST", "x", ""},
		{"with another request after it", "POST", "x", "GET / HTTP/1.1\r\n"},
	} {
		for _, leaves := range []bool{false, true} {
			arrived.Store(0)
			runSockets(t, counted, func(f *crforward.Forwarder, gate *gatedListener) {
				request := fmt.Sprintf("%s /book/ HTTP/1.1\r\nHost: desk.example\r\nId: q\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s%s",
					c.method, len(c.body), c.body, c.next)
				gate.Lock()
				wanted := int64(callers)
				for range callers {
					conn := gate.dial(t)
					defer conn.Close()
					fmt.Fprint(conn, request)
					if leaves {
						conn.Close()
						wanted = 0
					}
				}
				gate.Unlock()
				for begin := time.Now(); time.Since(begin) < 5*time.Second && arrived.Load() < wanted; {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				if got := arrived.Load(); got != wanted {
					t.Errorf("%s, callers leave: %t: %d of %d requests were sent to an endpoint, want %d", c.name, leaves, got, callers, wanted)
				}
			})
		}
	}
}
