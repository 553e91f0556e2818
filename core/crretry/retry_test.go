package crretry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"crocusrack/core/crfuzz"
	"crocusrack/schema/crcaller"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { crfuzz.MainWith(m, 500, 100) }

const (
	notRun   = crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN
	unknown  = crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN
	answered = crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED
	shed     = crcaller.Reason_REASON_SHED
	lost     = crcaller.Reason_REASON_CONNECTION_LOST
	epoch    = crcaller.Reason_REASON_EPOCH_CHANGED
	invalid  = crcaller.Reason_REASON_INVALID
	budget   = crcaller.Reason_REASON_RETRY_BUDGET
)

var start = time.Unix(1e9, 0)

func newPolicy() *Policy {
	return &Policy{
		Budget: Budget{Share: 0.1, MinPerSecond: 2, Window: 5 * time.Second},
		Base:   50 * time.Millisecond, Cap: time.Second, MaxAttempts: 4, Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

func TestDecide(t *testing.T) {
	soon := start.Add(time.Minute)
	tests := []struct {
		name           string
		attempt        Attempt
		exhausted      bool
		want           Decision
		wantRetryAfter bool
	}{
		{"not run", Attempt{Number: 1, Kind: notRun, Reason: epoch, Deadline: soon}, false, Decision{Retry: true}, false},
		{"not run, elsewhere", Attempt{Number: 1, Kind: notRun, Reason: lost}, false, Decision{Retry: true, Elsewhere: true}, false},
		{"idempotent", Attempt{Number: 1, Kind: unknown, Reason: lost, Repeatable: true}, false, Decision{Retry: true, Elsewhere: true}, false},
		{"may have run", Attempt{Number: 1, Kind: unknown, Reason: lost}, false, Decision{Kind: unknown, Reason: lost}, false},
		{"answered", Attempt{Number: 1, Kind: answered, Repeatable: true}, false, Decision{Kind: answered}, false},
		{"invalid request", Attempt{Number: 1, Kind: notRun, Reason: invalid}, false, Decision{Kind: notRun, Reason: invalid}, false},
		{"shed", Attempt{Number: 1, Kind: notRun, Reason: shed}, false, Decision{Kind: notRun, Reason: shed}, true},
		{"no budget", Attempt{Number: 1, Kind: notRun, Reason: lost}, true, Decision{Kind: notRun, Reason: budget}, true},
		{"no budget, may have run", Attempt{Number: 1, Kind: unknown, Reason: lost, Repeatable: true}, true, Decision{Kind: unknown, Reason: lost}, true},
		{"past deadline", Attempt{Number: 1, Kind: notRun, Reason: epoch, Deadline: start}, false, Decision{Kind: notRun, Reason: epoch}, true},
		{"long wait", Attempt{Number: 1, Kind: notRun, Reason: epoch, RetryAfter: time.Minute}, false, Decision{Kind: notRun, Reason: epoch}, true},
		{"last attempt", Attempt{Number: 4, Kind: notRun, Reason: lost}, false, Decision{Kind: notRun, Reason: lost}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPolicy()
			for tt.exhausted && p.Spend(start) {
			}
			got := p.Decide(start, tt.attempt)
			if d := cmp.Diff(tt.want, got, cmpopts.IgnoreFields(Decision{}, "After", "RetryAfter")); d != "" {
				t.Errorf("Decide:\n%s", d)
			}
			if hasRetryAfter := got.RetryAfter > 0; hasRetryAfter != tt.wantRetryAfter {
				t.Errorf("retry-after = %v", got.RetryAfter)
			}
		})
	}
}

// checkDecide compares decisions with the bounds that follow from the numbers of requests
// and retries.
func checkDecide(t *rapid.T) {
	p := newPolicy()
	now := start
	requests, retries, earliest, latest := 0, 0, start, start
	t.Repeat(map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(-9, 900).Draw(t, "ms")) * time.Millisecond)
		},
		"request": func(t *rapid.T) { requests++; p.Request(now) },
		"storm": func(t *rapid.T) {
			for range rapid.IntRange(0, 30).Draw(t, "failures") {
				if p.Decide(now, Attempt{Number: 1, Kind: notRun, Reason: lost}).Retry {
					retries++
				}
			}
		},
		"fail": func(t *rapid.T) {
			a := Attempt{
				Number:     rapid.IntRange(1, 5).Draw(t, "number"),
				Kind:       crcaller.OutcomeKind(rapid.IntRange(0, 4).Draw(t, "kind")),
				Reason:     crcaller.Reason(rapid.IntRange(0, 19).Draw(t, "reason")),
				Repeatable: rapid.Bool().Draw(t, "repeatable"),
				Deadline:   now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "left")) * time.Millisecond),
				RetryAfter: time.Duration(rapid.IntRange(0, 2000).Draw(t, "after")) * time.Millisecond,
			}
			v := p.Decide(now, a)
			if !v.Retry {
				if v.Kind != a.Kind || v.RetryAfter < 0 {
					t.Fatalf("gave up on %+v with %+v", a, v)
				}
				return
			}
			retries++
			if a.Kind != notRun && !(a.Kind == unknown && a.Repeatable) {
				t.Fatalf("unsafe retry of %+v", a)
			}
			if v.After < 0 || v.After > p.Cap || !now.Add(v.After).Before(a.Deadline) {
				t.Fatalf("retry of %+v after %v", a, v.After)
			}
		},
		"": func(t *rapid.T) {
			if now.Before(earliest) {
				earliest = now // The budget's clock starts with its first use.
			}
			if now.After(latest) {
				latest = now
			}
			elapsed := latest.Sub(earliest).Seconds()
			if bound := 10 + 2*elapsed + 0.1*float64(requests); float64(retries) > bound {
				t.Fatalf("%d retries after %d requests and %.1f s, bound %.1f", retries, requests, elapsed, bound)
			}
		},
	})
}

func TestDecideProperties(t *testing.T) { rapid.Check(t, checkDecide) }
func FuzzDecide(f *testing.F)           { f.Fuzz(rapid.MakeFuzz(checkDecide)) }

// checkAssembler sends parts of a known answer: late, truncated, overlapping, and for other
// requests or attempts.
func checkAssembler(t *rapid.T) {
	answer := make([]string, rapid.IntRange(0, 20).Draw(t, "length"))
	for i := range answer {
		answer[i] = fmt.Sprint("t", i)
	}
	a := &Assembler{RequestID: "r", Attempt: 1}
	var got []string
	t.Repeat(map[string]func(*rapid.T){
		"message": func(t *rapid.T) {
			id := rapid.SampledFrom([]string{"r", "r", "r", "other"}).Draw(t, "id")
			attempt := a.Attempt - uint32(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "late"))
			from := rapid.IntRange(0, len(answer)).Draw(t, "from")
			to := rapid.IntRange(from, len(answer)).Draw(t, "to")
			tokens := answer[from:to]
			current := id == "r" && attempt == a.Attempt
			if !current {
				tokens = []string{"wrong", "wrong"}
			}
			fresh, err := a.Accept(id, attempt, uint32(from), tokens)
			if gap := current && from > len(got); errors.Is(err, ErrGap) != gap || (err != nil) != gap {
				t.Fatalf("Accept of tokens %d to %d after %d received: %v", from, to, len(got), err)
			}
			got = append(got, fresh...)
		},
		"resume": func(t *rapid.T) { a.Resume(a.Attempt + 1) },
		"end": func(t *rapid.T) {
			count := rapid.IntRange(0, len(answer)).Draw(t, "count")
			if whole := a.Finish(uint32(count)) == nil; whole != (count == len(got)) {
				t.Fatalf("Finish(%d) with %d tokens: whole is %v", count, len(got), whole)
			}
			a.ended = false // The drawn count may be wrong, so the answer goes on.
		},
		"": func(t *rapid.T) {
			if !slices.Equal(got, answer[:len(got)]) || int(a.Offset()) != len(got) {
				t.Fatalf("offset %d, answer %q", a.Offset(), got)
			}
		},
	})
}

func TestAssembler(t *testing.T) { rapid.Check(t, checkAssembler) }
func FuzzAssembler(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkAssembler)) }
func TestAcceptAfterFinish(t *testing.T) {
	a := &Assembler{RequestID: "r", Attempt: 1}
	if err := a.Finish(0); err != nil || !a.Whole() {
		t.Fatalf("Finish(0) = %v, whole %v", err, a.Whole())
	}
	if _, err := a.Accept("r", 1, 0, []string{"t"}); !errors.Is(err, ErrEnded) {
		t.Errorf("Accept after Finish: %v, want ErrEnded", err)
	}
}

func ExampleAssembler() {
	a := &Assembler{RequestID: "order-7", Attempt: 1}
	first, _ := a.Accept("order-7", 1, 0, []string{"sow", "in"})
	a.Resume(2) // The stream broke; the second attempt continues.
	late, _ := a.Accept("order-7", 1, 2, []string{"June"})
	rest, _ := a.Accept("order-7", 2, 1, []string{"in", "May"})
	fmt.Println(first, late, rest, a.Finish(3))
	// Output: [sow in] [] [May] <nil>
}

func BenchmarkDecide(b *testing.B) {
	p := newPolicy()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		p.Request(now)
		p.Decide(now, Attempt{Number: 1, Kind: notRun, Reason: lost})
	}
}

func BenchmarkAssembler(b *testing.B) {
	a := &Assembler{RequestID: "r", Attempt: 1}
	tokens := []string{"one"}
	for i := range b.N {
		a.Accept("r", 1, uint32(i), tokens)
	}
}
