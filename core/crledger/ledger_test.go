package crledger_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusrack/core/crfuzz"
	"crocusrack/core/crledger"
)

func TestMain(m *testing.M) { crfuzz.Main(m) }

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestLedger compares the requests in flight with a naive model under random sequences of
// requests, reports and lapses.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l crledger.Ledger
		own := map[crledger.Key]int{}
		others := map[string]map[crledger.Key]int{}
		heard := map[string]time.Time{}
		now := start
		key := func(t *rapid.T) crledger.Key { return crledger.Key(rapid.IntRange(1, 3).Draw(t, "endpoint")) }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				k := key(t)
				l.Start(k)
				own[k]++
			},
			"end": func(t *rapid.T) {
				if k := key(t); own[k] > 0 {
					l.End(k)
					own[k]--
				}
			},
			"report": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance")
				work := map[crledger.Key]int{key(t): rapid.IntRange(1, 4).Draw(t, "requests")}
				l.Report(now, name, work)
				others[name], heard[name] = work, now
			},
			"lapse": func(t *rapid.T) {
				now = now.Add(time.Second)
				since := now.Add(-2 * time.Second)
				l.Expire(since)
				for name := range others {
					if heard[name].Before(since) {
						delete(others, name)
						delete(heard, name)
					}
				}
			},
			"": func(t *rapid.T) {
				var oldest time.Time
				for _, at := range heard {
					if oldest.IsZero() || at.Before(oldest) {
						oldest = at
					}
				}
				if got := l.Oldest(); !got.Equal(oldest) {
					t.Fatalf("the oldest report is of %s, want %s", got, oldest)
				}
				for k := crledger.Key(1); k <= 3; k++ {
					want := own[k]
					for _, work := range others {
						want += work[k]
					}
					if got := l.InFlight(k); got != want {
						t.Fatalf("%d in flight at %d, want %d", got, k, want)
					}
				}
			},
		})
	})
}

// TestReads checks that the prefill times of an endpoint add up, and that the backlog is never
// negative.
func TestReads(t *testing.T) {
	var r crledger.PrefillBacklog
	r.Add(start, 1, 10*time.Millisecond)
	if got := r.Add(start, 1, 10*time.Millisecond).Sub(start); got != 20*time.Millisecond {
		t.Errorf("two prefills of 10ms end after %s, want 20ms", got)
	}
	if got := r.Backlog(start.Add(time.Second), 1); got != 0 {
		t.Errorf("backlog of %s after a second, want 0", got)
	}
}
