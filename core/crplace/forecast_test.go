package crplace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crhealth"
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
	"crocusrack/core/crplace"
	"crocusrack/core/crswitch"
)

// addMeasurements adds measurements for all endpoints: a time to first token of 30 ms plus
// perToken for each prefilled and perFetched for each fetched token.
func (w *world) addMeasurements(perToken, perFetched time.Duration) {
	for i := range 60 {
		e := w.endpoints[i%len(w.endpoints)]
		read := crlatency.Job{PrefillTokens: 150 * i}
		w.Latency.Observe(start, "llm", e.Key, read, 30*time.Millisecond+time.Duration(read.PrefillTokens)*perToken)
		move := crlatency.Job{FetchedTokens: 150 * i, CrossDomain: i%2 == 0}
		w.Latency.Observe(start, "llm", e.Key, move, 30*time.Millisecond+time.Duration(move.FetchedTokens)*perFetched)
	}
}

// TestFetchOrPrefill checks that context which the chosen endpoint lacks is fetched where
// that takes less time than prefill, and otherwise not.
func TestFetchOrPrefill(t *testing.T) {
	for _, c := range []struct {
		name                 string
		perToken, perFetched time.Duration
		disabled             []string
		fetched              bool
	}{
		{"fast links", 60 * time.Microsecond, 2 * time.Microsecond, nil, true},
		{"slow links", 20 * time.Microsecond, 100 * time.Microsecond, nil, false},
		{"slow links and slower prefill", 300 * time.Microsecond, 100 * time.Microsecond, nil, true},
		{"switched off", 60 * time.Microsecond, 2 * time.Microsecond, []string{string(crswitch.ContextMoves)}, false},
	} {
		w := newWorld(9)
		w.Disabled = crswitch.NewSet(c.disabled)
		w.addMeasurements(c.perToken, c.perFetched)
		links := prompt("price-list", 9000)
		holder := w.endpoints[7]
		w.hold(holder.Key, links)
		for range 9 {
			w.Ledger.Start(holder.Key)
		}
		got := w.Place(start, crplace.Request{Service: "llm", Links: links})
		if got.Endpoint == holder || (got.Source != nil) != c.fetched {
			t.Errorf("%s: chose %s with the source %v, want a fetch: %t", c.name, got.Endpoint.ID, got.Source, c.fetched)
		}
		if read := got.Job.PrefillTokens; (read < 9000) != c.fetched {
			t.Errorf("%s: prefill of %d tokens, want less than 9000: %t", c.name, read, c.fetched)
		}
	}
}

// newSubject returns a request with a prompt that no endpoint holds.
func newSubject(i int) crplace.Request {
	return crplace.Request{Service: "llm", Links: prompt(fmt.Sprint("subject-", i), 4000)}
}

// TestSlowEndpointsGetLess checks that three of nine endpoints, with three times the
// response times of the others, get few of the prompts that no endpoint holds while the
// others have capacity, and less than their share of the requests without a prompt.
func TestSlowEndpointsGetLess(t *testing.T) {
	for _, c := range []struct {
		name string
		// running is the number of requests in flight at a time.
		running int
		max     int
		ask     func(i int) crplace.Request
	}{
		{"new prompts at low load", 18, 20, newSubject},
		{"new prompts at high load", 90, 90, newSubject},
		{"requests without a prompt", 18, 70, func(i int) crplace.Request { return crplace.Request{Service: "llm", Random: uint64(i)} }},
	} {
		w := newWorld(9)
		w.FailureDomain = ""
		for i := range 270 {
			e, took := w.endpoints[i%9], 30*time.Millisecond
			if i%9 >= 6 {
				took *= 3
			}
			w.Latency.Observe(start, "llm", e.Key, crlatency.Job{}, took)
		}
		random := rand.New(rand.NewPCG(1, 2))
		var running []crledger.Key
		slow := 0
		for i := range 300 {
			a := c.ask(i)
			a.Random = random.Uint64()
			got := w.Place(start, a)
			w.Ledger.Start(got.Endpoint.Key)
			if running = append(running, got.Endpoint.Key); len(running) > c.running {
				w.Ledger.End(running[0])
				running = running[1:]
			}
			for _, e := range w.endpoints[6:] {
				if got.Endpoint == e {
					slow++
				}
			}
		}
		if slow > c.max {
			t.Errorf("%s: the slow third of the endpoints got %d of 300, want at most %d", c.name, slow, c.max)
		}
	}
}

// TestWaitsOnlyForShortPrefill checks that a request waits for another request's prefill
// of the same prompt if that ends soon, but not if it is behind a long queue.
func TestWaitsOnlyForShortPrefill(t *testing.T) {
	links := prompt("price-list", 9000)
	for _, c := range []struct {
		name     string
		until    time.Duration
		disabled []string
		down     bool
		waits    bool
	}{
		{"ends soon", 200 * time.Millisecond, nil, false, true},
		{"behind a queue", 3 * time.Second, nil, false, false},
		{"at an unreachable endpoint", 200 * time.Millisecond, nil, true, false},
		{"switched off", 200 * time.Millisecond, []string{string(crswitch.ReadingWaits)}, false, false},
	} {
		w := newWorld(9)
		w.Disabled = crswitch.NewSet(c.disabled)
		for _, l := range links {
			w.Contexts.Record(start, l, true, w.endpoints[2].Key, start.Add(c.until))
		}
		if c.down {
			w.Health.Record(start, w.endpoints[2].Key, crhealth.Unreachable, 0)
		}
		if got := w.Place(start, crplace.Request{Service: "llm", Links: links}); (got.PrefillWait > 0) != c.waits {
			t.Errorf("%s: a wait of %s, want a wait: %t", c.name, got.PrefillWait, c.waits)
		}
	}
	// A request that shares only a short prefix has to prefill the rest of its prompt
	// in any case, so it doesn't wait.
	w := newWorld(9)
	w.Contexts.Record(start, crcontext.Link{Chain: links[0].Chain, Tokens: 500}, true, w.endpoints[2].Key, start.Add(200*time.Millisecond))
	if got := w.Place(start, crplace.Request{Service: "llm", Links: links}); got.Endpoint == nil {
		t.Errorf("waits %s for the prefill of 500 tokens", got.PrefillWait)
	}
}

// TestFailingEndpoint checks that endpoints that fail every second request get few
// requests: one of three without prompts, and six of nine with prompts. An endpoint that
// fails at once has the fewest requests in flight, so that by load alone it would get the
// most.
func TestFailingEndpoint(t *testing.T) {
	for _, c := range []struct {
		name          string
		size, failing int
		ask           func(i int) crplace.Request
		disabled      []string
		min, max      int
	}{
		{"without prompts", 3, 1, func(i int) crplace.Request { return crplace.Request{Service: "llm"} }, nil, 0, 60},
		{"with prompts", 9, 6, newSubject, nil, 0, 160},
		{"switched off", 3, 1, func(i int) crplace.Request { return crplace.Request{Service: "llm"} },
			[]string{string(crswitch.FailureRates)}, 100, 400},
	} {
		w := newWorld(c.size)
		w.FailureDomain, w.Disabled = "", crswitch.NewSet(c.disabled)
		random := rand.New(rand.NewPCG(1, 2))
		type run struct {
			end time.Time
			key crledger.Key
		}
		var runs []run
		now, failing := start, 0
		for i := range 400 {
			now = now.Add(20 * time.Millisecond)
			runs = slices.DeleteFunc(runs, func(r run) bool {
				if now.Before(r.end) {
					return false
				}
				w.Ledger.End(r.key)
				return true
			})
			a := c.ask(i)
			a.Random = random.Uint64()
			got := w.Place(now, a)
			outcome, took := crhealth.Good, 60*time.Millisecond
			if slices.Index(w.endpoints, got.Endpoint) < c.failing {
				failing++
				if i%2 == 0 {
					outcome, took = crhealth.Failed, time.Millisecond
				}
			}
			w.Failures.Record(now, got.Endpoint.Key, outcome)
			w.Ledger.Start(got.Endpoint.Key)
			runs = append(runs, run{now.Add(took), got.Endpoint.Key})
		}
		if failing < c.min || failing > c.max {
			t.Errorf("%s: failing endpoints got %d of 400 requests, want %d to %d", c.name, failing, c.min, c.max)
		}
	}
}
