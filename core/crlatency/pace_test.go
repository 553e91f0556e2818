package crlatency_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusrack/core/crfuzz"
	"crocusrack/core/crlatency"
	"crocusrack/core/crledger"
)

func TestMain(m *testing.M) { crfuzz.Main(m) }

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// engine simulates an endpoint. Its times are in milliseconds.
type engine struct {
	base, perToken, movePerToken, slow float64
	random                             *rand.Rand
}

// took returns the time to first token of a job, with 10% noise and, for one job in 30, a
// delay of 200 ms as by a lost packet.
func (e *engine) took(j crlatency.Job) time.Duration {
	ms := e.slow * (e.base + e.perToken*float64(j.PrefillTokens)) * (0.9 + 0.2*e.random.Float64())
	if j.FetchedTokens > 0 {
		ms += 6 + e.movePerToken*float64(j.FetchedTokens)
	}
	if e.random.IntN(30) == 0 {
		ms += 200
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// within reports whether got and want differ by at most a factor.
func within(got, want time.Duration, factor float64) bool {
	return math.Abs(math.Log(float64(got)/float64(want))) <= math.Log(factor)
}

func forecast(t *crlatency.Table, now time.Time, k crledger.Key, j crlatency.Job) time.Duration {
	s := t.Speed(now, "llm")
	return s.Forecast(t.Slowness(now, k), j).Total()
}

func fetch(t *crlatency.Table, now time.Time) time.Duration {
	s := t.Speed(now, "llm")
	return s.Fetch(false, 10_000)
}

// TestForecastConverges checks that the forecast for engines of random speeds is accurate
// after 80 requests, and again after the speed has changed.
func TestForecastConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := math.Exp(rapid.Float64Range(math.Log(5), math.Log(500)).Draw(t, "tokens-per-ms"))
		e := &engine{
			base: rapid.Float64Range(5, 90).Draw(t, "base-ms"), perToken: 1 / rate, slow: 1,
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		}
		e.movePerToken = e.perToken * math.Exp(rapid.Float64Range(math.Log(0.05), math.Log(20)).Draw(t, "move"))
		var table crlatency.Table
		now := start
		learn := func() {
			for range 80 {
				now = now.Add(200 * time.Millisecond)
				read := crlatency.Job{PrefillTokens: int(math.Exp(e.random.Float64() * math.Log(20_000)))}
				table.Observe(now, "llm", 1, read, e.took(read))
				move := crlatency.Job{PrefillTokens: 100, FetchedTokens: 1 + e.random.IntN(20_000)}
				table.Observe(now, "llm", 1, move, e.took(move))
			}
		}
		check := func(when string) {
			for _, j := range []crlatency.Job{{PrefillTokens: 10}, {PrefillTokens: 20_000}, {PrefillTokens: 100, FetchedTokens: 15_000}} {
				exact := engine{base: e.base, perToken: e.perToken, movePerToken: e.movePerToken, slow: e.slow, random: rand.New(rand.NewPCG(1, 2))}
				want := exact.took(j)
				if got := forecast(&table, now, 1, j); !within(got, want, 1.7) {
					t.Errorf("%s: forecast %s for %+v, want %s", when, got, j, want)
				}
			}
		}
		learn()
		check("learned")
		e.perToken, e.movePerToken, e.base = e.perToken/3, e.movePerToken*3, e.base/2
		learn()
		learn()
		check("after a change")
	})
}

// TestSlowEndpoint checks that an endpoint with three times the response times of two
// others is detected as slow, and that its slowness returns to 1 after a recovery or
// without new measurements.
func TestSlowEndpoint(t *testing.T) {
	var table crlatency.Table
	now, random := start, rand.New(rand.NewPCG(1, 2))
	simulate := func(slow float64) {
		for range 40 {
			now = now.Add(300 * time.Millisecond)
			for k := crledger.Key(1); k <= 3; k++ {
				e := engine{base: 20, perToken: 0.02, slow: 1, random: random}
				if k == 3 {
					e.slow = slow
				}
				j := crlatency.Job{PrefillTokens: random.IntN(3000)}
				table.Observe(now, "llm", k, j, e.took(j))
			}
		}
	}
	simulate(3)
	j := crlatency.Job{PrefillTokens: 3000}
	if a, b := forecast(&table, now, 1, j), forecast(&table, now, 3, j); b < 2*a || crlatency.SignificantSlowness(table.Slowness(now, 3)) == 1 {
		t.Errorf("forecast %s for 3000 tokens, and %s at the slow endpoint, want three times as much", a, b)
	}
	simulate(1)
	if got := crlatency.SignificantSlowness(table.Slowness(now, 3)); got != 1 {
		t.Errorf("slowness %.2f after the endpoint has recovered, want 1", got)
	}
	// Old measurements lose their weight.
	simulate(3)
	if got := crlatency.SignificantSlowness(table.Slowness(now.Add(10*time.Minute), 3)); got != 1 {
		t.Errorf("slowness %.2f ten minutes after the last measurement, want 1", got)
	}
}

// TestOutliers checks that a single outlier changes the forecast by at most 10%.
func TestOutliers(t *testing.T) {
	for _, c := range []struct {
		name string
		job  crlatency.Job
		took time.Duration
	}{
		{"zero", crlatency.Job{PrefillTokens: 5000}, 0},
		{"an hour", crlatency.Job{PrefillTokens: 5000}, time.Hour},
		{"negative", crlatency.Job{PrefillTokens: 5000}, -time.Hour},
		{"a transfer in 1 ns", crlatency.Job{PrefillTokens: 5000, FetchedTokens: 9000}, time.Nanosecond},
		{"an hour with 50 minutes of backlog", crlatency.Job{PrefillTokens: 5000, Backlog: 50 * time.Minute}, time.Hour},
		{"no prompt", crlatency.Job{}, time.Hour},
	} {
		var table crlatency.Table
		e := engine{base: 20, perToken: 0.02, slow: 1, random: rand.New(rand.NewPCG(1, 2))}
		for i := range 60 {
			j := crlatency.Job{PrefillTokens: 80 * i}
			table.Observe(start, "llm", 1, j, e.took(j))
		}
		before := forecast(&table, start, 1, crlatency.Job{PrefillTokens: 5000})
		table.Observe(start, "llm", 1, c.job, c.took)
		after := forecast(&table, start, 1, crlatency.Job{PrefillTokens: 5000})
		if !within(after, before, 1.1) {
			t.Errorf("%s: forecast %s after the outlier, %s before", c.name, after, before)
		}
	}
}

// TestFetchForecastReturnsToPrior checks that the forecast for transfers returns to the
// prior without new measurements. After slow transfers none are chosen, so no measurement
// would show that they are fast again.
func TestFetchForecastReturnsToPrior(t *testing.T) {
	var table crlatency.Table
	prior := fetch(&table, start)
	now := start
	for range 20 {
		now = now.Add(time.Second)
		table.Observe(now, "llm", 1, crlatency.Job{PrefillTokens: 100, FetchedTokens: 10_000}, 2*time.Second)
	}
	if got := fetch(&table, now); got < time.Second {
		t.Errorf("forecast %s after transfers of 2 s, want at least 1 s", got)
	}
	if got := fetch(&table, now.Add(time.Minute)); got < time.Second {
		t.Errorf("forecast %s a minute later, want at least 1 s", got)
	}
	if got := fetch(&table, now.Add(15*time.Minute)); got > 2*prior {
		t.Errorf("forecast %s a quarter of an hour later, want about %s as at first", got, prior)
	}
}
