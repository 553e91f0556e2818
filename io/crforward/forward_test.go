package crforward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	"crocusrack/io/crforward"
	"crocusrack/io/crhop"
	"crocusrack/stand/crnet"

	pb "crocusrack/schema/crrouter"
)

var entryAddr = netip.MustParseAddrPort("10.0.0.1:80")

// codec is a Codec with simple headers for tests.
var codec = crforward.Codec{
	Decode: func(r *http.Request) (crforward.Request, error) {
		h := crforward.EndToEnd(r.Header)
		h.Del("Key")
		deadline, _ := time.ParseDuration(r.Header.Get("Deadline"))
		q := crforward.Request{Timeout: deadline, ID: r.Header.Get("Id"), Header: h, Key: r.Header.Get("Key"), LastEvent: r.Header.Get("Last"), Resumes: r.Header.Get("Resumes")}
		for _, id := range strings.Fields(r.Header.Get("Parts")) {
			q.Parts = append(q.Parts, crcontext.Part{ID: id, Tokens: 100})
		}
		return q, nil
	},
	Encode: func(h http.Header, a crforward.Attempt) {
		h.Set("Account", a.Account)
		h.Set("Last", a.LastEvent)
	},
	MatchesRequest: func(_ int, h http.Header, id string, _ bool) bool { return h.Get("Id") == id },
	Genuine:        func(h http.Header) bool { return h.Get("Spurious") == "" },
	NotRun:         func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
	Leaving:        func(h http.Header) bool { return h.Get("Leaving") != "" },
	Pause: func(_ int, h http.Header) time.Duration {
		d, _ := time.ParseDuration(h.Get("Pause"))
		return d
	},
	Limit: limitOf,
}

// fixture is an instance that forwards to endpoints over a simulated network, all in one
// synctest bubble.
type fixture struct {
	t     *testing.T
	net   *crnet.Network
	state *crgrant.State
	// forwarder is the handler of the instance. Tests change its fields before the first
	// request.
	forwarder *crforward.Forwarder
	closing   bool
	client    *http.Client
	elapsed   time.Duration
	// dialing, if set, is called before each connection to an endpoint is opened. If it
	// returns an error, the connection fails.
	dialing func() error

	servers []*http.Server
	// canceled receives the times at which endpoints noticed that a caller disconnected.
	canceled chan time.Time

	mu sync.Mutex
	// arrivals lists the requests that reached endpoints, as "endpoint id last-event".
	arrivals []string
}

// runFixture runs body in a synctest bubble with one endpoint per handler. The endpoints
// are named e1, e2 and so on.
func runFixture(t *testing.T, body func(r *fixture), handlers ...http.HandlerFunc) {
	synctest.Test(t, func(t *testing.T) {
		r := &fixture{t: t, net: &crnet.Network{Delay: func(_, _ string) time.Duration { return 4 * time.Millisecond }}}
		r.canceled = make(chan time.Time, 9)
		r.net.AddHost("caller", "callers", netip.MustParseAddr("10.9.0.1"))
		r.net.AddHost("entry", "noord-a", entryAddr.Addr())
		begin := time.Now()
		r.state = &crgrant.State{
			Self:    crliveness.Instance{Name: "entry", FailureDomain: "noord-a", Front: entryAddr, Peer: entryAddr},
			Retries: crgrant.RetryLimit{Share: 0.2, ExtraPerWindow: 60, Window: 10 * time.Second},
			Elapsed: func() time.Duration { return time.Since(begin) + r.elapsed },
		}
		var list []*crplace.Endpoint
		for i, h := range handlers {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 80)
			r.net.AddHost(fmt.Sprint("endpoint-", i+1), "noord-b", address.Addr())
			server, err := r.net.Serve(address, r.endpoint(i+1, h))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			r.servers = append(r.servers, server)
			e, err := crgrant.NewEndpoint(begin, &pb.Endpoint{
				Id: fmt.Sprint("e", i+1), Service: "app", Address: address.String(), FailureDomain: "noord-b", Slots: 8,
			})
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, e)
		}
		r.state.SetEndpoints(begin, 1, list)
		r.state.SetRouting(testRouting())
		r.state.Evidence.Read(0)
		r.state.EndpointsEvidence.Read(0)
		dial := r.net.Dial("entry")
		hop := &crhop.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if r.dialing != nil {
				if err := r.dialing(); err != nil {
					return nil, err
				}
			}
			return dial(ctx, network, address)
		}}
		defer hop.CloseIdle()
		r.forwarder = &crforward.Forwarder{
			State: r.state, Client: hop, Codec: codec, Log: zap.NewNop(), Metrics: &crforward.Metrics{},
			MaxKeyAge: 4 * time.Second, Closing: func() bool { return r.closing },
		}
		server, err := r.net.Serve(entryAddr, r.forwarder)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		r.client = &http.Client{Transport: &http.Transport{DialContext: r.net.Dial("caller"), DisableCompression: true}}
		defer r.client.CloseIdleConnections()
		body(r)
	})
}

func testRouting() *pb.Routing {
	route := func(name string, kind pb.Kind, resumable bool) *pb.Route {
		return &pb.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: 2,
			Timeout: durationpb.New(10 * time.Second), Target: durationpb.New(100 * time.Millisecond),
			Shares: []*pb.Share{{Service: "app", Weight: 1}},
		}
	}
	return &pb.Routing{
		Version: 1,
		Routes: []*pb.Route{
			route("read", pb.Kind_KIND_IDEMPOTENT, false), route("book", pb.Kind_KIND_ONCE, false),
			route("draft", pb.Kind_KIND_STREAM, true), route("reply", pb.Kind_KIND_STREAM, false),
			{
				Name: "single", Host: "desk.example", Prefix: "/single/", Kind: pb.Kind_KIND_STREAM, Resumable: true, MaxAttempts: 1,
				Timeout: durationpb.New(time.Minute), Shares: []*pb.Share{{Service: "app", Weight: 1}},
			},
			{
				Name: "short", Host: "desk.example", Prefix: "/short/", Kind: pb.Kind_KIND_STREAM, MaxAttempts: 1,
				Timeout: durationpb.New(time.Minute), Gap: durationpb.New(200 * time.Millisecond),
				Shares: []*pb.Share{{Service: "app", Weight: 1}},
			},
			{
				Name: "slow", Host: "desk.example", Prefix: "/slow/", Kind: pb.Kind_KIND_STREAM, Resumable: true, MaxAttempts: 2,
				Timeout: durationpb.New(time.Minute), Gap: durationpb.New(1500 * time.Millisecond),
				Shares: []*pb.Share{{Service: "app", Weight: 1}},
			},
		},
		Services: []*pb.Service{{Name: "app"}},
		Accounts: []*pb.Account{{Name: "buyer", Keys: []string{"k"}}},
		Limits:   &pb.Limits{BodyBytes: 1000},
	}
}

// endpoint returns the handler of endpoint i, which records each arrival and then calls h.
func (r *fixture) endpoint(i int, h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, strings.TrimSpace(fmt.Sprintf("e%d %s %s", i, q.Header.Get("Id"), q.Header.Get("Last"))))
		r.mu.Unlock()
		w.Header().Set("Id", q.Header.Get("Id"))
		h(w, q)
	})
}

// arrived returns how many requests have reached endpoints.
func (r *fixture) arrived() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.arrivals)
}

// answer is what a caller received. Cut is true if there was no answer or its body was
// incomplete.
type answer struct {
	Status int
	Body   string
	Cut    bool
}

// send sends a POST request as a caller. The header parameter lists keys and values in
// turn.
func (r *fixture) send(ctx context.Context, path, body string, header ...string) (answer, http.Header) {
	r.t.Helper()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryAddr.String()+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.Host = "desk.example"
	q.Header = http.Header{"Id": {"q"}, "Key": {"k"}}
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	a, err := r.client.Do(q)
	if err != nil {
		return answer{Cut: true}, nil
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, string(data), err != nil}, a.Header
}

func good(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
func cut(http.ResponseWriter, *http.Request)      { panic(http.ErrAbortHandler) }
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
func foreignAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "another")
	_, _ = io.WriteString(w, "another's answer")
}

// spurious is an answer that the endpoint didn't make.
func spurious(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Spurious", "1")
	_, _ = io.WriteString(w, "some bytes")
}

// events returns the handler of an endpoint that sends the events after the caller's last
// one, up to the given event. The stream then ends if complete is true, and breaks off
// inside the next event otherwise.
func events(to int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		from := 0
		_, _ = fmt.Sscan(q.Header.Get("Last"), &from)
		for i := from + 1; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		if !complete {
			fmt.Fprintf(w, "id: %d\nda", to+1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// eventText returns the encoded events of the range.
func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// TestOutcomes checks what a caller receives when all endpoints behave in the same way,
// and how many endpoints the request reaches.
func TestOutcomes(t *testing.T) {
	unavailable := http.StatusServiceUnavailable
	for _, c := range []struct {
		name     string
		path     string
		endpoint http.HandlerFunc
		want     answer
		arrivals int
	}{
		{"read answered", "/read/", good, answer{200, "ok", false}, 1},
		{"read fails everywhere", "/read/", fail, answer{500, "", false}, 2},
		{"read cut off everywhere", "/read/", cut, answer{502, "answer-lost\n", false}, 2},
		{"read answered with another's answer", "/read/", foreignAnswer, answer{502, "answer-lost\n", false}, 2},
		{"read refused everywhere", "/read/", refuse, answer{unavailable, "endpoints-refused\n", false}, 2},
		{"book answered", "/book/", good, answer{200, "ok", false}, 1},
		{"book fails", "/book/", fail, answer{500, "", false}, 1},
		{"book cut off", "/book/", cut, answer{502, "answer-lost\n", false}, 1},
		{"book answered with another's answer", "/book/", foreignAnswer, answer{502, "answer-lost\n", false}, 1},
		{"book refused everywhere", "/book/", refuse, answer{unavailable, "endpoints-refused\n", false}, 2},
		{"draft complete", "/draft/", events(3, true), answer{200, eventText(1, 3), false}, 1},
		{"draft without an event", "/draft/", events(0, true), answer{200, "", false}, 1},
		{"reply breaks off", "/reply/", events(2, false), answer{200, eventText(1, 2), true}, 1},
		{"reply cut off before its first event", "/reply/", cut, answer{502, "answer-lost\n", false}, 1},
		{"read answered spuriously", "/read/", spurious, answer{502, "answer-lost\n", false}, 2},
		{"book answered spuriously", "/book/", spurious, answer{502, "answer-lost\n", false}, 1},
		{"draft answered spuriously", "/draft/", spurious, answer{502, "answer-lost\n", false}, 2},
		{"no route", "/none/", good, answer{404, "no-route\n", false}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, func(r *fixture) {
				got, header := r.send(r.t.Context(), c.path, "")
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				if got.Status == unavailable && header.Get("Retry-After") == "" {
					t.Error("a 503 answer has no Retry-After header")
				}
				if r.arrived() != c.arrivals {
					t.Errorf("the request arrived at %v, want %d arrivals", r.arrivals, c.arrivals)
				}
			}, c.endpoint, c.endpoint, c.endpoint)
		})
	}
}

// TestResume breaks off a stream in the middle of an event. The stream must be resumed at
// another endpoint, and the caller must receive each event once and in order within one
// answer.
func TestResume(t *testing.T) {
	first := true
	broken, complete := events(3, false), events(6, true)
	either := func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			broken(w, q)
			return
		}
		complete(w, q)
	}
	runFixture(t, func(r *fixture) {
		got, _ := r.send(r.t.Context(), "/draft/", "")
		if diff := cmp.Diff(answer{200, eventText(1, 6), false}, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		if len(r.arrivals) != 2 || !strings.HasSuffix(r.arrivals[1], "q 3") {
			t.Errorf("arrivals %q, want a second one after event 3", r.arrivals)
		}
	}, either, either)
}

// TestResumePastAnUnreachableEndpoint breaks off a stream while a second endpoint accepts
// no connections. A failed dial must not count as an attempt, so the stream must resume
// at the third endpoint whichever of the two is tried first. The choice is random, hence
// the repetitions.
func TestResumePastAnUnreachableEndpoint(t *testing.T) {
	broken, complete := events(3, false), events(6, true)
	for range 8 {
		var rigged *fixture
		first := true
		handler := func(i int) http.HandlerFunc {
			return func(w http.ResponseWriter, q *http.Request) {
				if !first {
					complete(w, q)
					return
				}
				first = false
				rigged.servers[(i+1)%3].Close()
				broken(w, q)
			}
		}
		runFixture(t, func(r *fixture) {
			rigged = r
			got, _ := r.send(r.t.Context(), "/draft/", "")
			if diff := cmp.Diff(answer{200, eventText(1, 6), false}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		}, handler(0), handler(1), handler(2))
	}
}

// TestResumeAfterLastEvent checks that a stream starts after the event that the caller
// names as its last.
func TestResumeAfterLastEvent(t *testing.T) {
	runFixture(t, func(r *fixture) {
		got, _ := r.send(r.t.Context(), "/draft/", "", "Last", "4")
		if diff := cmp.Diff(answer{200, eventText(5, 6), false}, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}, events(6, true))
}

// TestStalledStreamResumesElsewhere checks that a stream is resumed at another endpoint
// if its endpoint stops sending events without closing the connection.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	first := true
	complete := events(6, true)
	either := func(w http.ResponseWriter, q *http.Request) {
		if !first {
			complete(w, q)
			return
		}
		first = false
		fmt.Fprint(w, eventText(1, 2))
		_ = http.NewResponseController(w).Flush()
		<-q.Context().Done()
	}
	runFixture(t, func(r *fixture) {
		got, _ := r.send(r.t.Context(), "/draft/", "")
		if diff := cmp.Diff(answer{200, eventText(1, 6), false}, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}, either, either)
}

// TestCallerLeaves checks that an endpoint notices within half a second that the caller
// has disconnected, and that the request isn't repeated.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/read/", "/draft/", "/reply/", "/book/"} {
		t.Run(path, func(t *testing.T) {
			var rigged *fixture
			runFixture(t, func(r *fixture) {
				rigged = r
				ctx, cancel := context.WithCancelCause(r.t.Context())
				go func() {
					time.Sleep(100 * time.Millisecond)
					cancel(errors.New("left"))
				}()
				left := time.Now().Add(100 * time.Millisecond)
				r.send(ctx, path, "")
				if late := (<-r.canceled).Sub(left); late > 500*time.Millisecond {
					t.Errorf("the endpoint noticed only after %s that the caller disconnected", late)
				}
				time.Sleep(2 * time.Second)
				if r.arrived() != 1 {
					t.Errorf("arrivals %q after the caller disconnected, want 1", r.arrivals)
				}
			}, func(_ http.ResponseWriter, q *http.Request) {
				<-q.Context().Done()
				rigged.canceled <- time.Now()
			})
		})
	}
}

// TestSilentEndpoint checks requests to an endpoint that doesn't answer. An idempotent
// request must be answered by another endpoint early. If that one is silent too, or the
// request may not be repeated, the caller must get 504 by the timeout.
func TestSilentEndpoint(t *testing.T) {
	silent := func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }
	for _, c := range []struct {
		path    string
		want    int
		maxTime time.Duration
	}{
		{"/read/", 504, 10 * time.Second},
		{"/book/", 504, 10 * time.Second},
	} {
		runFixture(t, func(r *fixture) {
			begin := time.Now()
			got, _ := r.send(r.t.Context(), c.path, "")
			if got.Status != c.want || time.Since(begin) > c.maxTime {
				t.Errorf("%s: status %d after %s", c.path, got.Status, time.Since(begin))
			}
		}, silent, silent)
	}
	first := true
	runFixture(t, func(r *fixture) {
		begin := time.Now()
		got, _ := r.send(r.t.Context(), "/read/", "")
		if got.Status != 200 || time.Since(begin) > 500*time.Millisecond {
			t.Errorf("status %d after %s, want an answer of the other endpoint", got.Status, time.Since(begin))
		}
	}, func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			<-q.Context().Done()
			return
		}
		good(w, q)
	}, good)
}

// TestBodies checks the size limit of request bodies.
func TestBodies(t *testing.T) {
	runFixture(t, func(r *fixture) {
		if got, _ := r.send(r.t.Context(), "/book/", strings.Repeat("x", 1001)); got.Status != http.StatusRequestEntityTooLarge {
			t.Errorf("a body over the limit got %d", got.Status)
		}
		if got, _ := r.send(r.t.Context(), "/book/", strings.Repeat("x", 1000)); got.Status != 200 || got.Body != "1000" {
			t.Errorf("a body at the limit got %d and %s bytes arrived", got.Status, got.Body)
		}
	}, func(w http.ResponseWriter, q *http.Request) {
		data, err := io.ReadAll(q.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprint(w, len(data))
	})
}
