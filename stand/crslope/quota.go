package crslope

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crquota"
	"crocusrack/schema/crpeer"
)

const (
	// framingBytes is what a call costs in each direction beside its message:
	// HTTP/2 frames, header indexes, TLS records, TCP and IP headers.
	framingBytes = 150
	quotaStep    = 100 * time.Millisecond
	quotaWarmUp  = time.Minute
	quotaSpan    = time.Minute
	// requestTime is how long a request is in flight.
	requestTime = 2 * time.Second
	// surgeEvery is the distance of the accounts that ask for four times their
	// rate; the others ask for half of it.
	surgeEvery = 100
	surge      = 8
)

func fixedLimits(string) crquota.Limits { return crquota.Limits{Rate: accountRate, Burst: accountRate} }

func daemonNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = daemonName(i)
	}
	return names
}

func borrower(accounts int, names []string) *crquota.Borrower {
	b := &crquota.Borrower{Instance: names[0], Limits: fixedLimits}
	b.SetInstances(now, names)
	for i := range accounts {
		b.Admit(now, accountName(i))
	}
	return b
}

func lender(accounts int, names []string) *crquota.Lender {
	n := &crquota.Lender{Instance: names[0], Limits: fixedLimits}
	n.SetInstances(now, names)
	for i := range accounts {
		n.Lend(now, daemonName(1), []crquota.AccountUse{{Account: accountName(i), Wanted: 1}})
	}
	return n
}

func borrowerMemory(_ *runner, size int) (float64, error) {
	return heapOf(func() *crquota.Borrower { return borrower(size, daemonNames(targetDaemons)) }), nil
}

// lenderMemory has a single instance, which owns every account.
func lenderMemory(_ *runner, size int) (float64, error) {
	return heapOf(func() *crquota.Lender { return lender(size, daemonNames(1)) }), nil
}

func quotaInstancesTime(r *runner, size int) (float64, error) {
	names := daemonNames(targetDaemons)
	b := borrower(size, names)
	n := lender(size, names)
	return r.timeOf(func(i int) {
		list := names[:len(names)-i%2]
		b.SetInstances(now, list)
		n.SetInstances(now, list)
	}), nil
}

func quotaMessages(_ *runner, size int) (float64, error) {
	t := newQuotaTraffic(size)
	t.run()
	return float64(t.asks) / quotaSpan.Seconds(), nil
}

// quotaControl counts what this daemon asks for and, by symmetry, as much that
// it is asked for.
func quotaControl(_ *runner, size int) (float64, error) {
	t := newQuotaTraffic(size)
	t.run()
	return 2 * float64(t.bytes) / quotaSpan.Seconds(), nil
}

// quotaTraffic is that of one daemon of the target's fleet. Accounts' shares
// follow Zipf's law.
type quotaTraffic struct {
	names    []string
	limits   map[string]crquota.Limits
	upTo     []float64
	borrower *crquota.Borrower
	lenders  map[string]*crquota.Lender
	random   *rand.Rand
	now      time.Time
	ends     map[time.Time][]string

	asks, bytes int
}

func newQuotaTraffic(accounts int) *quotaTraffic {
	t := &quotaTraffic{
		names:   daemonNames(targetDaemons),
		limits:  make(map[string]crquota.Limits),
		lenders: make(map[string]*crquota.Lender),
		random:  rand.New(rand.NewPCG(1, 2)),
		now:     now,
		ends:    make(map[time.Time][]string),
	}
	harmonic := 0.0
	for i := range accounts {
		harmonic += 1 / float64(i+1)
	}
	sum := 0.0
	for i := range accounts {
		demand := requestsPerDaemon / harmonic / float64(i+1)
		rate := 2 * demand * targetDaemons
		t.limits[accountName(i)] = crquota.Limits{Rate: rate, Burst: uint32(rate) + 1, Concurrency: uint32(8*rate) + 8}
		if i%surgeEvery == surgeEvery/2 {
			demand *= surge
		}
		sum += demand
		t.upTo = append(t.upTo, sum)
	}
	t.borrower = &crquota.Borrower{Instance: t.names[0], Limits: t.limit}
	t.borrower.SetInstances(t.now, t.names)
	return t
}

func (t *quotaTraffic) limit(name string) crquota.Limits { return t.limits[name] }

func (t *quotaTraffic) run() {
	for range int(quotaWarmUp / quotaStep) {
		t.step()
	}
	t.asks, t.bytes = 0, 0
	for range int(quotaSpan / quotaStep) {
		t.step()
	}
}

func (t *quotaTraffic) step() {
	for _, name := range t.ends[t.now] {
		t.borrower.Done(t.now, name)
	}
	delete(t.ends, t.now)
	total := t.upTo[len(t.upTo)-1]
	for range t.count(total * quotaStep.Seconds()) {
		name := accountName(sort.SearchFloat64s(t.upTo, t.random.Float64()*total))
		if t.borrower.Admit(t.now, name).Allowed {
			end := t.now.Add(requestTime)
			t.ends[end] = append(t.ends[end], name)
		}
	}
	for _, k := range t.borrower.DueMessages(t.now) {
		t.ask(k)
	}
	t.now = t.now.Add(quotaStep)
}

// count rounds a mean up or down by chance.
func (t *quotaTraffic) count(mean float64) int {
	n := int(mean)
	if t.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (t *quotaTraffic) ask(k crquota.BorrowRequest) {
	n := t.lenders[k.Owner]
	if n == nil {
		n = &crquota.Lender{Instance: k.Owner, Limits: t.limit}
		n.SetInstances(now.Add(-time.Hour), t.names)
		t.lenders[k.Owner] = n
	}
	grants := n.Lend(t.now, t.names[0], k.Uses)
	t.borrower.HandleAnswer(t.now, k, grants)
	t.asks++
	t.bytes += askBytes(t.names[0], k) + grantBytes(grants)
}

func askBytes(from string, k crquota.BorrowRequest) int {
	m := &crpeer.BorrowRequest{From: from}
	for _, u := range k.Uses {
		m.Uses = append(m.Uses, &crpeer.AccountUse{ClientAccount: u.Account, Used: u.Used, Wanted: u.Wanted, InFlight: u.InFlight})
	}
	return proto.Size(m) + framingBytes
}

func grantBytes(grants []crquota.AccountGrant) int {
	m := &crpeer.BorrowResponse{}
	for _, g := range grants {
		m.Grants = append(m.Grants, &crpeer.AccountGrant{
			ClientAccount: g.Account, Granted: g.Granted, ValidFor: durationpb.New(g.ValidFor), Concurrency: g.Concurrency,
		})
	}
	return proto.Size(m) + framingBytes
}
