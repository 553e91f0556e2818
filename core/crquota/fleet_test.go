package crquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"crocusrack/core/crfuzz"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { crfuzz.MainWith(m, 150, 40) }

const (
	step    = 50 * time.Millisecond
	viewLag = 3 * time.Second
	surging = "surging"
	quiet   = "quiet"
)

var limits = map[string]Limits{
	surging: {Rate: 40, Burst: 10},
	quiet:   {Rate: 4},
}

// instance is one instance with its borrower and its lender.
type instance struct {
	Borrower
	Lender
	admitted        map[string]int
	nextQuiet       time.Time
	requestsPerStep int // of the surging account
	cutOff          bool
}

// fleet simulates instances whose messages are delayed, reordered and lost. It counts
// the admitted requests, which checkFleet compares with the bound.
type fleet struct {
	crfuzz.Clock
	started           time.Time
	size              int
	limits            func(string) Limits
	report            time.Duration
	messages          float64
	delay             int // maximum time in steps that a message takes
	rand              *rand.Rand
	loss              float64
	running           map[string]*instance
	admitted          map[string]int
	messagesSent      int
	onAsk             func(BorrowRequest, []AccountGrant)
	membershipChanges int
	cutOffTime        time.Duration
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		Clock: crfuzz.NewTimeline(step), size: size, report: 3 * time.Second, messages: 50, delay: 4,
		limits: func(name string) Limits { return limits[name] }, rand: rand.New(rand.NewPCG(seed, 1)),
		running: map[string]*instance{}, admitted: map[string]int{},
	}
	f.started = f.Now
	return f
}

// newFullFleet returns a fleet in which all instances are running.
func newFullFleet(size int, seed uint64) *fleet {
	f := newFleet(size, seed)
	f.startAll()
	return f
}

func (f *fleet) startAll() {
	for i := range f.size {
		f.start(fmt.Sprint("entry-", i))
	}
	f.membershipChanges = 0
}

func (f *fleet) names() []string {
	var names []string
	for i := range f.size {
		if n := fmt.Sprint("entry-", i); f.running[n] != nil {
			names = append(names, n)
		}
	}
	return names
}

// start starts an instance. The others learn of it later.
func (f *fleet) start(name string) {
	e := &instance{admitted: map[string]int{}, nextQuiet: f.Now}
	e.Borrower = Borrower{Instance: name, Limits: f.limits, ReportEvery: f.report, MessagesPerSecond: f.messages}
	e.Lender = Lender{Instance: name, Limits: f.limits}
	f.running[name] = e
	f.announce(name)
}

// announce gives the current names to each instance after a random delay, and to the
// changed one at once.
func (f *fleet) announce(changed string) {
	f.membershipChanges++
	names := f.names()
	for n, e := range f.running {
		if n == changed {
			e.setInstances(f.Now, names)
			continue
		}
		f.After(time.Duration(f.rand.Int64N(int64(viewLag))), func() { e.setInstances(f.Now, f.names()) })
	}
}

func (e *instance) setInstances(now time.Time, names []string) {
	e.Borrower.SetInstances(now, names)
	e.Lender.SetInstances(now, names)
}

func (f *fleet) isLost(from, to *instance) bool {
	return to == nil || from.cutOff || to.cutOff || f.rand.Float64() < f.loss
}

func (f *fleet) send(from *instance, k BorrowRequest) {
	f.messagesSent++
	f.After(time.Duration(f.rand.IntN(f.delay))*step, func() {
		to := f.running[k.Owner]
		if f.isLost(from, to) {
			return
		}
		grants := to.Lend(f.Now, from.Borrower.Instance, k.Uses)
		if f.onAsk != nil {
			f.onAsk(k, grants)
		}
		f.After(time.Duration(f.rand.IntN(f.delay))*step, func() {
			if !f.isLost(to, from) {
				from.HandleAnswer(f.Now, k, grants)
			}
		})
	})
}

func (f *fleet) request(e *instance, account string) bool {
	v := e.Admit(f.Now, account)
	if v.Allowed {
		f.admitted[account]++
		e.admitted[account]++
		e.Done(f.Now, account)
	}
	return v.Allowed
}

// advance runs one step: scheduled events, the traffic and the messages to quota
// owners.
func (f *fleet) advance(traffic func(e *instance)) {
	f.Advance()
	for _, n := range f.names() {
		e := f.running[n]
		traffic(e)
		for _, k := range e.DueMessages(f.Now) {
			f.send(e, k)
		}
		if e.cutOff {
			f.cutOffTime += step
		}
	}
}

// bound returns the documented upper bound on the admitted requests of an account.
func (f *fleet) bound(name string) float64 {
	l := limits[name]
	elapsed := f.Now.Sub(f.started).Seconds()
	n := float64(f.size)
	lag := viewLag.Seconds() + f.report.Seconds() + 2*DefaultAskTimeout.Seconds()
	perChange := capacity(l, DefaultLease) + l.Rate*lag + 2*n*minSafeBurst
	return (1+DefaultFreeShare)*l.Rate*elapsed + perChange*float64(1+f.membershipChanges) + l.Rate/n*f.cutOffTime.Seconds()
}

// checkFleet starts and stops surges, cuts instances off, crashes and restarts them in
// a random order. It checks that the bound holds and that the quiet account is never
// refused.
func checkFleet(t *rapid.T) {
	f := newFleet(4, rapid.Uint64().Draw(t, "seed"))
	f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	f.startAll()
	draw := func(t *rapid.T) *instance { return f.running[rapid.SampledFrom(f.names()).Draw(t, "entry")] }
	oneInFour := func(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "seldom") == 3 }
	quietInterval := time.Duration(float64(f.size) / limits[quiet].Rate * float64(time.Second))
	t.Repeat(map[string]func(*rapid.T){
		"surge": func(t *rapid.T) { draw(t).requestsPerStep = rapid.IntRange(0, 10).Draw(t, "requests") },
		"cut":   func(t *rapid.T) { e := draw(t); e.cutOff = !e.cutOff },
		"crash": func(t *rapid.T) {
			if len(f.running) > 2 && oneInFour(t) {
				n := draw(t).Borrower.Instance
				delete(f.running, n)
				f.announce("")
			}
		},
		"restart": func(t *rapid.T) {
			for i := range f.size {
				if n := fmt.Sprint("entry-", i); f.running[n] == nil && oneInFour(t) {
					f.start(n)
					return
				}
			}
		},
		"run": func(t *rapid.T) {
			for range rapid.IntRange(1, 2000).Draw(t, "steps") {
				f.advance(func(e *instance) {
					for range e.requestsPerStep {
						f.request(e, surging)
					}
					if f.Now.Before(e.nextQuiet) {
						return
					}
					e.nextQuiet = f.Now.Add(quietInterval)
					if !f.request(e, quiet) {
						t.Fatalf("%s refused a quiet account", e.Borrower.Instance)
					}
				})
			}
		},
		"": func(t *rapid.T) {
			for name := range limits {
				if got, bound := f.admitted[name], f.bound(name); float64(got) > bound {
					t.Fatalf("%d of %s admitted in %v, bound %.0f", got, name, f.Now.Sub(f.started), bound)
				}
			}
		},
	})
}

func TestFleet(t *testing.T) { rapid.Check(t, checkFleet) }
func FuzzFleet(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkFleet)) }

// TestSurge checks that an account reaches its rate without faults, whether its
// requests arrive at one instance or at several.
func TestSurge(t *testing.T) {
	for _, receiving := range []int{1, 2, 4} {
		f := newFullFleet(4, 1)
		const seconds = 120
		for range seconds * time.Second / step {
			f.advance(func(e *instance) {
				for range 8 {
					if e.Borrower.Instance < fmt.Sprint("entry-", receiving) {
						f.request(e, surging)
					}
				}
			})
		}
		rate := float64(f.admitted[surging]) / seconds
		t.Logf("%d of 4 instances surge: %.1f requests/s admitted of %.0f", receiving, rate, limits[surging].Rate)
		if low, high := 0.9*limits[surging].Rate, 1.1*limits[surging].Rate; rate < low || rate > high {
			t.Errorf("%d instances surge: %.1f requests/s admitted, want %.0f to %.0f", receiving, rate, low, high)
		}
	}
}

// TestNewOwnerWaits checks that a new quota owner grants nothing while grants of the
// earlier one may still be valid.
func TestNewOwnerWaits(t *testing.T) {
	account := "a"
	uses := []AccountUse{{Account: account, Wanted: 5}}
	limits := func(string) Limits { return Limits{Rate: 10, Burst: 100, Concurrency: 4} }
	start := time.Unix(1e9, 0)
	both := newInstances([]string{"one", "two"})
	owner, other := both.owner(account), "one"
	if owner == other {
		other = "two"
	}
	n := &Lender{Instance: other, Limits: limits, Takeover: 5 * time.Second}
	n.SetInstances(start, both.names)
	tests := []struct {
		after time.Duration
		alone bool
		want  uint32
	}{
		{time.Minute, false, 0},                        // It isn't the quota owner.
		{time.Minute + time.Second, true, 0},           // Grants of the earlier quota owner may still be valid.
		{time.Minute + 5*time.Second, true, 0},         // The bucket starts empty.
		{time.Minute + 6500*time.Millisecond, true, 5}, // The bucket has refilled at the rate.
		{2 * time.Minute, false, 0},
		{3 * time.Minute, true, 0},
	}
	alone := false
	for _, tt := range tests {
		now := start.Add(tt.after)
		if alone != tt.alone {
			alone = tt.alone
			names := both.names
			if alone {
				names = []string{other}
			}
			n.SetInstances(now, names)
		}
		granted, concurrency := uint32(0), uint32(0)
		for _, g := range n.Lend(now, "three", uses) {
			granted += g.Granted
			concurrency += g.Concurrency
		}
		if granted != tt.want || (concurrency > 0) != (tt.want > 0) {
			t.Errorf("after %v: %d granted and %d in flight, want %d", tt.after, granted, concurrency, tt.want)
		}
	}
	longOwner := &Lender{Instance: other, Limits: limits}
	longOwner.SetInstances(start, []string{other})
	if g := longOwner.Lend(start.Add(time.Minute), "three", []AccountUse{{Account: account, Wanted: 200}}); g[0].Granted != 100 {
		t.Errorf("a quota owner of a minute grants %d tokens of an unused account, want its burst of 100", g[0].Granted)
	}
}

func ExampleBorrower() {
	now := time.Unix(1e9, 0)
	limits := func(string) Limits { return Limits{Rate: 100, Burst: 8} }
	b := &Borrower{Instance: "noord-a-1", Limits: limits}
	n := &Lender{Instance: "noord-b-1", Limits: limits}
	b.SetInstances(now, []string{"noord-a-1", "noord-b-1"})
	n.SetInstances(now, []string{"noord-b-1"})
	now = now.Add(time.Minute)
	for b.Admit(now, "garden-centres").Allowed {
	}
	for _, k := range b.DueMessages(now) {
		b.HandleAnswer(now, k, n.Lend(now, b.Instance, k.Uses))
	}
	fmt.Println(b.Poll(now, "garden-centres").Allowed)
	// Output: true
}

// TestAnswers checks the tokens that a BorrowRequest brings when its answer arrives, comes
// after the BorrowRequest was given up, or has expired.
func TestAnswers(t *testing.T) {
	start := time.Unix(1e9, 0)
	b := &Borrower{Instance: "a", Limits: func(string) Limits { return Limits{Rate: 0.01, Burst: 12} }}
	b.SetInstances(start, []string{"a", "b", "c"})
	admitted := 0
	spend := func(now time.Time) int {
		admitted = 0
		for b.Admit(now, "x").Allowed {
			admitted++
		}
		return admitted
	}
	if got := spend(start); got != 4 {
		t.Fatalf("%d admitted on the safe share, want 4", got)
	}
	k := b.DueMessages(start)[0]
	b.HandleNoAnswer(start, k)
	b.HandleAnswer(start, k, []AccountGrant{{Account: "x", Granted: 9, ValidFor: time.Hour}})
	now := start.Add(DefaultAskTimeout)
	if got := spend(now); got != 0 {
		t.Errorf("%d admitted on an answer that came after its ask had ended", got)
	}
	again := b.DueMessages(now)[0]
	if again.Uses[0].Used != k.Uses[0].Used || k.Uses[0].Used == 0 {
		t.Errorf("used reported again: %d, want %d", again.Uses[0].Used, k.Uses[0].Used)
	}
	b.HandleAnswer(now, again, []AccountGrant{{Account: "x", Granted: 5, ValidFor: time.Second}})
	b.Admit(now, "x")
	if got := spend(now.Add(time.Second)); got != 0 {
		t.Errorf("%d admitted on expired tokens", got)
	}
	if v := b.Admit(now.Add(time.Second), "x"); !v.Pending || v.RetryAfter <= 0 {
		t.Errorf("refused with %+v, want a retry-after and pending", v)
	}
}

// TestConcurrency checks that the requests in flight of an account stay near its
// limit.
func TestConcurrency(t *testing.T) {
	f := newFleet(4, 1)
	l := Limits{Concurrency: 20}
	f.limits = func(string) Limits { return l }
	f.startAll()
	inFlight, highest := 0, 0
	for i := range 4000 {
		f.advance(func(e *instance) {
			for e.Admit(f.Now, "a").Allowed {
				inFlight++
				f.After(time.Duration(1+f.rand.IntN(40))*step, func() { inFlight--; e.Done(f.Now, "a") })
			}
		})
		if i > 400 {
			highest = max(highest, inFlight)
		}
	}
	bound := float64(l.Concurrency) + float64(f.size)*math.Max(minSafeConcurrency, DefaultFreeShare*float64(l.Concurrency)/float64(f.size))
	t.Logf("at most %d requests in flight, limit %d", highest, l.Concurrency)
	if float64(highest) > bound || highest < int(l.Concurrency)*3/4 {
		t.Errorf("at most %d requests in flight, want %d to %.0f", highest, l.Concurrency*3/4, bound)
	}
}
