package crquota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"strconv"
	"testing"
	"time"

	"crocusrack/schema/crpeer"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

const (
	// targetInstances is the number of instances of the target fleet, targetAccounts
	// that of its client accounts, and requestsPerStep the requests of one instance per
	// step.
	targetInstances = 780
	targetAccounts  = 14000
	requestsPerStep = 62000.0 / targetInstances * float64(step) / float64(time.Second)
	// messageBytes is the overhead of a call in each direction: HTTP/2 frames, header
	// indexes, TLS records, TCP and IP headers.
	messageBytes = 150
)

func askBytes(k BorrowRequest) int {
	m := &crpeer.BorrowRequest{From: "rack-07-entry-3"}
	for _, u := range k.Uses {
		m.Uses = append(m.Uses, &crpeer.AccountUse{ClientAccount: u.Account, Used: u.Used, Wanted: u.Wanted, InFlight: u.InFlight})
	}
	return proto.Size(m) + messageBytes
}

func grantBytes(grants []AccountGrant) int {
	m := &crpeer.BorrowResponse{}
	for _, g := range grants {
		m.Grants = append(m.Grants, &crpeer.AccountGrant{ClientAccount: g.Account, Granted: g.Granted, ValidFor: durationpb.New(g.ValidFor), Concurrency: g.Concurrency})
	}
	return proto.Size(m) + messageBytes
}

// demand is the traffic of the target fleet, scaled down to a number of instances. The
// accounts' shares follow Zipf's law. Every hundredth account sends four times its
// rate limit, all others half of it.
type demand struct {
	limits     map[string]Limits
	surges     map[string]bool
	names      []string
	cumulative []float64 // cumulative requests per step
}

func newDemand(instances int) *demand {
	d := &demand{limits: map[string]Limits{}, surges: map[string]bool{}}
	harmonic, sum := 0.0, 0.0
	accounts := instances * targetAccounts / targetInstances
	for i := range accounts {
		harmonic += 1 / float64(i+1)
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		perStep := requestsPerStep * float64(instances) / harmonic / float64(i+1)
		rate := 2 * perStep / step.Seconds()
		if d.surges[name] = i%100 == 50; d.surges[name] {
			perStep *= 8
		}
		sum += perStep
		d.names, d.cumulative = append(d.names, name), append(d.cumulative, sum)
		d.limits[name] = Limits{Rate: rate, Burst: uint32(rate) + 1, Concurrency: uint32(8*rate) + 8}
	}
	return d
}

func (d *demand) perStep() float64 { return d.cumulative[len(d.cumulative)-1] }

func (d *demand) randomAccount(r *rand.Rand) string {
	return d.names[sort.SearchFloat64s(d.cumulative, r.Float64()*d.perStep())]
}

// BenchmarkCost measures the control traffic of one instance in a fleet without
// faults, over two minutes after a warm-up of one minute.
func BenchmarkCost(b *testing.B) {
	for _, size := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("instances=", size), func(b *testing.B) {
			for b.Loop() {
				simulateCost(b, size)
			}
		})
	}
}

func simulateCost(b *testing.B, size int) {
	d := newDemand(size)
	f := newFleet(size, 1)
	f.limits = func(name string) Limits { return d.limits[name] }
	f.report, f.messages, f.delay = DefaultReportEvery, DefaultMessagesPerSecond, 1
	f.startAll()
	bytes, offered, refused, surgeAdmitted := 0, 0, 0, 0
	f.onAsk = func(k BorrowRequest, grants []AccountGrant) { bytes += askBytes(k) + grantBytes(grants) }
	var handle func(e *instance, name string, v Verdict, retried bool)
	handle = func(e *instance, name string, v Verdict, retried bool) {
		switch {
		case v.Allowed:
			if d.surges[name] {
				surgeAdmitted++
			}
			f.After(2*time.Second, func() { e.Done(f.Now, name) })
		case v.Pending && !retried:
			f.After(2*v.RetryAfter, func() { handle(e, name, e.Poll(f.Now, name), true) })
		case !d.surges[name]:
			refused++
		}
	}
	warmUpSteps := int(time.Minute / step)
	perEntry := d.perStep() / float64(size)
	for i := range 3 * warmUpSteps {
		if i == warmUpSteps {
			bytes, offered, refused, surgeAdmitted, f.messagesSent = 0, 0, 0, 0, 0
		}
		f.advance(func(e *instance) {
			for range int(perEntry + f.rand.Float64()) {
				name := d.randomAccount(f.rand)
				if !d.surges[name] {
					offered++
				}
				handle(e, name, e.Admit(f.Now, name), false)
			}
		})
	}
	seconds := float64(2*warmUpSteps) * step.Seconds()
	surgeRate := 0.0
	for name, surges := range d.surges {
		if surges {
			surgeRate += d.limits[name].Rate
		}
	}
	b.ReportMetric(float64(f.messagesSent)/seconds/float64(size), "asks/s/instance")
	b.ReportMetric(float64(bytes)/seconds/float64(size), "B/s/instance")
	b.ReportMetric(100*float64(refused)/float64(offered), "%-quiet-refused")
	b.ReportMetric(float64(surgeAdmitted)/seconds/surgeRate, "surge-admitted/limit")
}

// BenchmarkMemory measures the memory that one instance needs for all accounts.
func BenchmarkMemory(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	names := make([]string, targetAccounts)
	for i := range names {
		names[i] = "account-" + strconv.Itoa(i)
	}
	limits := func(string) Limits { return Limits{Rate: 9, Burst: 9} }
	now := time.Unix(1e9, 0)
	for b.Loop() {
		before := heap()
		e := &Borrower{Instance: "a", Limits: limits}
		e.SetInstances(now, []string{"a"})
		for _, n := range names {
			e.Admit(now, n)
		}
		afterBorrower := heap()
		n := &Lender{Instance: "a", Limits: limits}
		n.SetInstances(now, []string{"a"})
		for _, name := range names {
			n.Lend(now, "b", []AccountUse{{Account: name, Wanted: 1}})
		}
		after := heap()
		b.ReportMetric(float64(afterBorrower-before)/targetAccounts, "B/account-borrower")
		b.ReportMetric(float64(after-afterBorrower)/targetAccounts, "B/account-lender")
		runtime.KeepAlive(e)
		runtime.KeepAlive(n)
	}
}

func BenchmarkAdmit(b *testing.B) {
	var names []string
	for i := range targetInstances {
		names = append(names, "entry-"+strconv.Itoa(i))
	}
	now := time.Unix(1e9, 0)
	e := &Borrower{Instance: names[0], Limits: func(string) Limits { return Limits{Rate: 1e6, Burst: 1e6} }}
	e.SetInstances(now, names)
	for i := range b.N {
		e.Admit(now.Add(time.Duration(i)*time.Millisecond), "a")
		e.Done(now, "a")
	}
}
