package crexecution

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"crocusrack/core/crfuzz"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1e9, 0)

func newRegistry(limit int) *Registry {
	return &Registry{
		Instance: "noord-a-1", Run: 0xabc, TokenLifetime: time.Minute, OutcomeLifetime: 5 * time.Minute,
		MaxTokens: limit, MaxTotalBodyBytes: 100,
	}
}

func ExampleRegistry() {
	g := &Registry{Instance: "noord-a-1", Run: 7, TokenLifetime: time.Minute, OutcomeLifetime: time.Hour, MaxTokens: 1000, MaxTotalBodyBytes: 1 << 20}
	now := time.Unix(1e9, 0)
	token, _ := g.Issue(now, "persbalie", "kiemblad")
	fmt.Println(g.Begin(now, token, "persbalie", "kiemblad").Decision)
	fmt.Println(g.Begin(now, token, "persbalie", "kiemblad").Decision)
	g.Finish(now, token, Outcome{Body: []byte("released")})
	again := g.Begin(now, token, "persbalie", "kiemblad")
	fmt.Println(again.Decision, string(again.Outcome.Body))
	// Output:
	// start
	// join
	// recorded released
}

func TestFinishAndReleaseNotifyJoined(t *testing.T) {
	g := newRegistry(1)
	token, _ := g.Issue(start, "s", "a")
	for _, end := range []func(){
		func() { g.Release(start, token) },
		func() { g.Finish(start, token, Outcome{Body: make([]byte, 101)}) },
	} {
		if b := g.Begin(start, token, "s", "a"); b.Decision != Start {
			t.Fatalf("Begin = %v, want start", b.Decision)
		}
		joined := g.Begin(start, token, "s", "a")
		end()
		select {
		case <-joined.Done:
		default:
			t.Fatal("Done of the joined attempt was not closed")
		}
		if _, err := g.Issue(start, "s", "a"); !errors.Is(err, ErrLimit) {
			t.Errorf("Issue over the limit: %v, want ErrLimit", err)
		}
	}
	if d := cmp.Diff(Outcome{BodyDropped: true}, g.Begin(start, token, "s", "a").Outcome); d != "" {
		t.Errorf("outcome of a body over the limit:\n%s", d)
	}
}

func TestBodyLimits(t *testing.T) {
	g := newRegistry(10)
	g.MaxBodyBytes = 40
	var dropped []bool
	for _, n := range []int{41, 40, 40, 21, 20} {
		token, _ := g.Issue(start, "s", "a")
		g.Begin(start, token, "s", "a")
		g.Finish(start, token, Outcome{Body: make([]byte, n)})
		dropped = append(dropped, g.Begin(start, token, "s", "a").Outcome.BodyDropped)
	}
	if d := cmp.Diff([]bool{true, false, false, true, false}, dropped); d != "" {
		t.Errorf("dropped bodies differ (-want +got):\n%s", d)
	}
}

func TestClaimWithoutRegistry(t *testing.T) {
	store := &crfuzz.Store{}
	writes := 0
	c := ClaimStore{Store: store.Functions(), WriteID: func() string { writes++; return fmt.Sprint(writes) }}
	tests := []struct {
		token string
		fault crfuzz.Fault
		want  ClaimResult
	}{
		{"one", crfuzz.NoFault, Claimed},
		{"one", crfuzz.NoFault, AlreadyClaimed},
		{"two", crfuzz.ResponseLost, Claimed},
		{"three", crfuzz.Refused, Unavailable},
		{"three", crfuzz.Delayed, Uncertain},
	}
	for _, tt := range tests {
		faults := []crfuzz.Fault{tt.fault, crfuzz.NoFault}
		store.Next = func() crfuzz.Fault { f := faults[0]; faults = faults[1:]; return f }
		if got := c.Claim(context.Background(), tt.token); got != tt.want {
			t.Errorf("Claim(%s) with fault %d = %v, want %v", tt.token, tt.fault, got, tt.want)
		}
	}
}

// FuzzParse checks that every parsed token formats to the same text, and that a
// run starts no token that it hasn't issued.
func FuzzParse(f *testing.F) {
	g := newRegistry(1)
	token, _ := g.Issue(start, "s", "a")
	for _, s := range []string{token, "x1-a-b-0000000000000007-1-2-0011223344556677-00112233445566778899aabbccddeeff", "x1--", ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := Parse(text); err == nil && k.String() != text {
			t.Errorf("Parse(%q).String() = %q", text, k)
		}
		g := newRegistry(1)
		token, _ := g.Issue(start, "s", "a")
		if b := g.Begin(start, text, "s", "a"); b.Decision == Start && text != token {
			t.Errorf("a text that was not issued starts: %q", text)
		}
	})
}

func BenchmarkExecution(b *testing.B) {
	g := newRegistry(1 << 30)
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		token, _ := g.Issue(now, "persbalie", "kiemblad")
		g.Begin(now, token, "persbalie", "kiemblad")
		g.Finish(now, token, Outcome{})
	}
}

func BenchmarkTokenMemory(b *testing.B) {
	const tokens = 100000
	for b.Loop() {
		var before, after runtime.MemStats
		g := newRegistry(tokens)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range tokens {
			token, _ := g.Issue(start, "persbalie", "kiemblad")
			g.Begin(start, token, "persbalie", "kiemblad")
			g.Finish(start, token, Outcome{})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tokens, "B/token")
		runtime.KeepAlive(g)
	}
}
