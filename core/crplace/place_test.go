package crplace_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhealth"
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
	"crocusrack/core/crlimit"
	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// world is one instance's Placer with its endpoints.
type world struct {
	*crplace.Placer
	endpoints []*crplace.Endpoint
	// out are the failure domains out of service.
	out map[string]bool
}

// newWorld returns a fixture with n endpoints of the service llm, three per failure domain.
func newWorld(n int) *world {
	w := &world{out: map[string]bool{}}
	w.Placer = &crplace.Placer{
		FailureDomain:      "noord-a",
		Ledger:             &crledger.Ledger{},
		Contexts:           &crcontext.Table{},
		Health:             &crhealth.Table{},
		Failures:           &crhealth.Failures{},
		PrefillBacklog:     &crledger.PrefillBacklog{},
		Latency:            &crlatency.Table{},
		AdmitCold:          func(*crplace.Endpoint, float64) bool { return false },
		Limit:              func(*crplace.Endpoint) (float64, time.Duration) { return crlimit.None, 0 },
		TakeLimited:        func(*crplace.Endpoint) {},
		DomainOutOfService: func(domain string) bool { return w.out[domain] },
	}
	for i := range n {
		id := fmt.Sprint("llm-", i)
		w.endpoints = append(w.endpoints, &crplace.Endpoint{
			ID: id, Key: crplace.KeyOf(id, 1), Service: "llm", Slots: 64,
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			FailureDomain: []string{"noord-a", "noord-b", "noord-c"}[i/3%3],
		})
	}
	w.SetEndpoints(w.endpoints)
	return w
}

// prompt returns the links of a prompt that consists of a system prompt, a subject of the
// given length, and the request's own part.
func prompt(subject string, tokens int) []crcontext.Link {
	return crcontext.Chain("m", []crcontext.Part{{ID: "system", Tokens: 500}, {ID: subject, Tokens: tokens}, {ID: "own", Tokens: 100}})
}

// hold notes that an endpoint holds all but the last part of a prompt.
func (w *world) hold(k crledger.Key, links []crcontext.Link) {
	for _, l := range links[:len(links)-1] {
		w.Contexts.Record(start, l, true, k, time.Time{})
	}
}

func TestHolderIsPreferred(t *testing.T) {
	w := newWorld(9)
	links := prompt("price-list", 9000)
	holder := w.endpoints[7]
	w.hold(holder.Key, links)
	c := w.Place(start, crplace.Request{Service: "llm", Links: links})
	if c.Endpoint != holder || c.Source != nil || c.HeldTokens != 9500 {
		t.Errorf("chose %v with %d tokens, want the holder %s", c.Endpoint, c.HeldTokens, holder.ID)
	}
}

func TestLoadedHolderIsSource(t *testing.T) {
	w := newWorld(9)
	links := prompt("price-list", 9000)
	holder := w.endpoints[7]
	w.hold(holder.Key, links)
	for range 9 {
		w.Ledger.Start(holder.Key)
	}
	c := w.Place(start, crplace.Request{Service: "llm", Links: links})
	if c.Endpoint == holder || c.Source != holder {
		t.Errorf("chose %s with the source %v, want another endpoint with the source %s", c.Endpoint.ID, c.Source, holder.ID)
	}
}

func TestDrainingHolderIsSource(t *testing.T) {
	w := newWorld(9)
	links := prompt("price-list", 9000)
	w.hold(w.endpoints[7].Key, links)
	w.endpoints[7].Draining = true
	c := w.Place(start, crplace.Request{Service: "llm", Links: links})
	if c.Endpoint == w.endpoints[7] || c.Source != w.endpoints[7] {
		t.Errorf("chose %s with the source %v, want another endpoint with the source %s", c.Endpoint.ID, c.Source, w.endpoints[7].ID)
	}
}

func TestShortContextStaysInTheDomain(t *testing.T) {
	w := newWorld(9)
	links := prompt("reply", 100)
	w.hold(w.endpoints[7].Key, links)
	if c := w.Place(start, crplace.Request{Service: "llm", Links: links}); c.Endpoint.FailureDomain != "noord-a" {
		t.Errorf("a request with 600 tokens of context goes to %s", c.Endpoint.FailureDomain)
	}
}

func TestWaitsForPrefillInProgress(t *testing.T) {
	w := newWorld(9)
	links := prompt("price-list", 9000)
	for _, l := range links {
		w.Contexts.Record(start, l, true, w.endpoints[2].Key, start.Add(200*time.Millisecond))
	}
	ask := crplace.Request{Service: "llm", Links: links}
	if c := w.Place(start, ask); c.Endpoint != nil || c.PrefillWait != 200*time.Millisecond {
		t.Errorf("got %v and a wait of %s, want a wait of 200ms", c.Endpoint, c.PrefillWait)
	}
	ask.SkipPrefillWait = true
	if c := w.Place(start, ask); c.Endpoint == nil {
		t.Errorf("no endpoint for a request that must not wait: %s", c.Reason)
	}
}

func TestUnusableEndpoints(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *world)
		want   crplace.Reason
	}{
		{"all usable", func(*world) {}, crplace.Chosen},
		{"all draining", func(w *world) {
			for _, e := range w.endpoints {
				e.Draining = true
			}
		}, crplace.NoEndpoint},
		{"failure domain out of service", func(w *world) { w.out["noord-a"] = true }, crplace.NoEndpoint},
		{"all cold", func(w *world) {
			for _, e := range w.endpoints {
				e.ColdUntil = start.Add(time.Second)
			}
		}, crplace.Cold},
		{"all full", func(w *world) {
			for _, e := range w.endpoints {
				for range 2 * e.Slots {
					w.Ledger.Start(e.Key)
				}
			}
		}, crplace.Busy},
		{"all leaving", func(w *world) {
			for _, e := range w.endpoints {
				w.Health.MarkLeaving(start, e.Key)
			}
		}, crplace.NoEndpoint},
		{"all paused", func(w *world) {
			for i, e := range w.endpoints {
				w.Health.Pause(start, e.Key, time.Duration(2+i)*time.Second)
			}
		}, crplace.Paused},
		{"one unreachable", func(w *world) { w.Health.Record(start, w.endpoints[0].Key, crhealth.Unreachable, 0) }, crplace.Chosen},
		{"all unreachable", func(w *world) {
			for _, e := range w.endpoints {
				w.Health.Record(start, e.Key, crhealth.Unreachable, 0)
			}
		}, crplace.Chosen},
	} {
		w := newWorld(3)
		c.change(w)
		got := w.Place(start, crplace.Request{Service: "llm", ColdPerSecond: 10})
		if diff := cmp.Diff(c.want.String(), got.Reason.String()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		if c.name == "all paused" && got.RetryAfter != 2*time.Second {
			t.Errorf("retry after %s, want 2s", got.RetryAfter)
		}
		if c.name == "one unreachable" && got.Endpoint == w.endpoints[0] {
			t.Error("the unreachable endpoint was chosen")
		}
	}
}

// TestLastEndpointIsUsed checks that the only usable one of nine endpoints is chosen while
// it has free slots, though its load is far over the bound.
func TestLastEndpointIsUsed(t *testing.T) {
	w := newWorld(9)
	w.out["noord-b"], w.out["noord-c"] = true, true
	w.endpoints[0].Draining, w.endpoints[1].Draining = true, true
	for range 20 {
		w.Ledger.Start(w.endpoints[2].Key)
	}
	if c := w.Place(start, crplace.Request{Service: "llm"}); c.Endpoint != w.endpoints[2] {
		t.Errorf("no endpoint: %s", c.Reason)
	}
}

// TestHoldersShareASubject checks that three endpoints that hold a prefix share its
// requests about equally when each of 58 instances places one request without knowing the
// load caused by the others.
func TestHoldersShareASubject(t *testing.T) {
	links := prompt("broadcast", 9000)
	count := map[string]int{}
	random := rand.New(rand.NewPCG(1, 2))
	for range 58 {
		w := newWorld(9)
		for _, e := range w.endpoints[3:6] {
			w.hold(e.Key, links)
		}
		count[w.Place(start, crplace.Request{Service: "llm", Links: links, Random: random.Uint64()}).Endpoint.ID]++
	}
	for _, e := range []string{"llm-3", "llm-4", "llm-5"} {
		if n := count[e]; n < 10 || n > 30 {
			t.Errorf("%s got %d of 58 requests, want about a third", e, n)
		}
	}
}

// TestBroadcastStaysBelowTheBound simulates seven instances that get 150 requests per
// second, each 1.5 s long, a third of them with the same prefix. Each instance reports its
// load to the others five times a second. At most 3% of the requests may start at an
// endpoint with more requests in flight than twice the mean plus three.
func TestBroadcastStaysBelowTheBound(t *testing.T) {
	const instances, step = 7, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var worlds []*world
	for range instances {
		worlds = append(worlds, newWorld(9))
	}
	type run struct {
		end      time.Time
		instance int
		key      crledger.Key
	}
	var runs []run
	started, overBound := 0, 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		kept := runs[:0]
		for _, r := range runs {
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			worlds[r.instance].Ledger.End(r.key)
		}
		runs = kept
		for i, w := range worlds {
			if now.Sub(start)%(200*time.Millisecond) != time.Duration(i)*20*time.Millisecond {
				continue
			}
			work := map[crledger.Key]int{}
			for k, n := range w.Ledger.Own() {
				work[k] = n
			}
			for j := range worlds {
				if j != i {
					worlds[j].Ledger.Report(now, fmt.Sprint(i), work)
				}
			}
		}
		for range 3 {
			if random.IntN(2) == 0 {
				continue
			}
			i := random.IntN(instances)
			subject := fmt.Sprint("s-", random.IntN(30))
			if random.IntN(3) == 0 {
				subject = "broadcast"
			}
			links := prompt(subject, 5000)
			c := worlds[i].Place(now, crplace.Request{Service: "llm", Links: links, SkipPrefillWait: true})
			if c.Endpoint == nil {
				continue
			}
			total, there := 0, 0
			for _, r := range runs {
				total++
				if r.key == c.Endpoint.Key {
					there++
				}
			}
			started++
			if float64(there) > 2*float64(total)/9+3 {
				overBound++
			}
			worlds[i].Ledger.Start(c.Endpoint.Key)
			for _, w := range worlds {
				w.hold(c.Endpoint.Key, links)
			}
			runs = append(runs, run{now.Add(1500 * time.Millisecond), i, c.Endpoint.Key})
		}
	}
	if started < 2500 {
		t.Errorf("%d requests were started, want at least 2500", started)
	}
	// The requirement allows 3%.
	if overBound*100 > 3*started {
		t.Errorf("%d of %d requests started at an endpoint over the bound", overBound, started)
	}
}

// TestColdEndpointRateLimit checks that the instances of a fleet together keep to the rate
// limit of a cold endpoint when each of them sends as fast as its ColdGate admits.
func TestColdEndpointRateLimit(t *testing.T) {
	for _, size := range []int{1, 7, 58} {
		var gates []*crplace.ColdGate
		for self := range size {
			r := &crliveness.Roster{Self: crliveness.Instance{Name: fmt.Sprint(self)}}
			for i := range size {
				r.Report(start, crliveness.Instance{Name: fmt.Sprint(i), Peer: netip.MustParseAddrPort("10.0.0.1:1")}, crliveness.Status{Run: 1, Sequence: 1})
			}
			gates = append(gates, &crplace.ColdGate{Roster: r})
		}
		e := &crplace.Endpoint{Key: 5}
		const perSecond = 10.0
		var sent []time.Time
		for now := start; now.Before(start.Add(800 * time.Millisecond)); now = now.Add(10 * time.Millisecond) {
			for _, g := range gates {
				if g.Admit(now, e, perSecond) {
					sent = append(sent, now)
				}
			}
		}
		if len(sent) == 0 || len(sent) > 1.5*perSecond+5 {
			t.Errorf("%d instances sent %d requests in a second, want 1 to 20", size, len(sent))
		}
	}
}
