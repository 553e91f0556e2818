package crlease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crfuzz"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { crfuzz.MainWith(m, 500, 40) }

var start = time.Unix(1e9, 0)

func newLease(store *crfuzz.Store, holder string) *Lease {
	writes := 0
	return &Lease{
		Store: store.Functions(), Name: "lease/desk-llm", Holder: holder, Duration: 10 * time.Second, Margin: time.Second,
		WriteID: func() string { writes++; return fmt.Sprint(holder, writes) },
	}
}

// checkLease runs three instances whose clocks run at different rates and which
// pause at random, while requests and answers are lost and writes are delayed. It
// checks that at most one instance holds the lease at a time and that each new
// holder gets a higher token.
func checkLease(t *rapid.T) {
	store := &crfuzz.Store{}
	elapsed := time.Duration(0)
	clockRates := []int{990, 1000, 1010} // thousandths
	clock := func(i int) time.Time { return start.Add(elapsed / 1000 * time.Duration(clockRates[i])) }
	leases := make([]*Lease, len(clockRates))
	for i := range leases {
		leases[i] = newLease(store, fmt.Sprint("run-", i))
	}
	highest, holder := uint64(0), -1
	drawInstance := func(t *rapid.T) int { return rapid.IntRange(0, len(leases)-1).Draw(t, "instance") }
	paused := make([]bool, len(clockRates))
	check := func(t *rapid.T) {
		held := 0
		for i, l := range leases {
			token, ok := l.Check(clock(i))
			if !ok {
				continue
			}
			held++
			if token < highest || token == highest && holder != i {
				t.Fatalf("instance %d has token %d, but an earlier holder had token %d", i, token, highest)
			}
			highest, holder = token, i
		}
		if held > 1 {
			t.Fatalf("%d instances hold the lease", held)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			callDuration := time.Duration(rapid.SampledFrom([]int{1, 10, 1600}).Draw(t, "call ms")) * time.Millisecond
			faults := rapid.SliceOfN(rapid.SampledFrom([]crfuzz.Fault{0, 0, 0, 0, 1, 2, 3, 4}), 1, 5).Draw(t, "faults")
			running, nested := 0, false
			store.Next = func() crfuzz.Fault {
				elapsed += callDuration
				// Another instance's calls reach the store during this one.
				if other := (running + 1) % len(leases); !nested && !paused[other] {
					nested = true
					leases[other].Tick(context.Background(), clock(other))
					nested = false
				}
				faults = append(faults[1:], faults[0])
				return faults[0]
			}
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				for i, l := range leases {
					if !paused[i] {
						running = i
						l.Tick(context.Background(), clock(i))
						check(t)
					}
				}
				elapsed += 500 * time.Millisecond
				check(t)
			}
		},
		"pause":   func(t *rapid.T) { i := drawInstance(t); paused[i] = !paused[i] },
		"release": func(t *rapid.T) { i := drawInstance(t); leases[i].Release(context.Background(), clock(i)) },
		"settle": func(t *rapid.T) {
			if len(store.Delayed) > 0 {
				store.ApplyDelayed(rapid.IntRange(0, len(store.Delayed)-1).Draw(t, "write"))
			}
		},
		"": check,
	})
}

func TestLease(t *testing.T) { rapid.Check(t, checkLease) }
func FuzzLease(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkLease)) }

// TestTakeOver checks that another instance acquires the lease after its holder
// stopped, and immediately after the holder released it. Without a release, it
// takes the Duration and one more read a second later, since the duration counts
// from the second read of the object.
func TestTakeOver(t *testing.T) {
	for _, released := range []bool{false, true} {
		store := &crfuzz.Store{}
		first, second := newLease(store, "first"), newLease(store, "second")
		first.Tick(context.Background(), start)
		if released {
			first.Release(context.Background(), start)
		}
		waited := time.Duration(0)
		for ; waited < time.Minute; waited += time.Second {
			second.Tick(context.Background(), start.Add(waited))
			if _, held := second.Check(start.Add(waited)); held {
				break
			}
		}
		if released && waited != 0 || !released && waited != 11*time.Second {
			t.Errorf("released %v: taken over after %v", released, waited)
		}
	}
}

func ExampleIsCandidate() {
	instances := []string{"zhubei-1", "hukou-1", "zhudong-1"}
	for _, i := range instances {
		fmt.Println(i, IsCandidate("lease/desk-llm", i, instances, 2))
	}
	// Output:
	// zhubei-1 true
	// hukou-1 false
	// zhudong-1 true
}
