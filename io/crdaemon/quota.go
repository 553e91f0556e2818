package crdaemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crquota"
	"crocusrack/io/crpeer"
	pb "crocusrack/schema/crpeer"
)

const (
	// quotaWait is how long a request waits for its account's quota owner.
	quotaWait = 300 * time.Millisecond
	quotaPoll = 10 * time.Millisecond
)

// quotas keeps the client accounts' limits: what this instance has borrowed,
// and what it lends as the quota owner of some accounts.
type quotas struct {
	mu       sync.Mutex
	borrower crquota.Borrower
	lender   crquota.Lender
}

func (d *Daemon) buildQuotas() {
	d.quotas.borrower.Instance = d.Settings.Instance
	d.quotas.borrower.Limits = d.limits
	d.quotas.lender.Instance = d.Settings.Instance
	d.quotas.lender.Limits = d.limits
}

// limits returns what the catalogue allows an account.
func (d *Daemon) limits(name string) crquota.Limits {
	set := d.follower.Current()
	if set == nil {
		return crquota.Limits{}
	}
	return accountLimits(set, name)
}

func accountLimits(set *crcatalogue.Set, name string) crquota.Limits {
	a, ok := set.ClientAccount(name)
	if !ok {
		return crquota.Limits{}
	}
	return crquota.Limits{Rate: a.Rate, Burst: a.Burst, Concurrency: a.Concurrency}
}

// setInstances follows the usable members.
func (q *quotas) setInstances(names []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.borrower.SetInstances(now, names)
	q.lender.SetInstances(now, names)
}

// admit asks the account's quota. While more has been asked for, the request
// waits a little.
func (q *quotas) admit(account string) (allowed bool, retryAfter time.Duration) {
	ask := q.borrower.Admit
	for deadline := time.Now().Add(quotaWait); ; {
		q.mu.Lock()
		v := ask(time.Now(), account)
		q.mu.Unlock()
		if v.Allowed || !v.Pending || !time.Now().Before(deadline) {
			return v.Allowed, v.RetryAfter
		}
		// The request is counted in the demand once.
		ask = q.borrower.Poll
		time.Sleep(quotaPoll)
	}
}

func (q *quotas) done(account string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrower.Done(time.Now(), account)
}

// borrow asks the quota owners for what is wanted until the context ends.
func (d *Daemon) borrow(ctx context.Context) {
	t := time.NewTicker(crquota.DefaultMessageInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.quotas.mu.Lock()
			asks := d.quotas.borrower.DueMessages(now)
			d.quotas.mu.Unlock()
			for _, k := range asks {
				d.tasks.Go(func() { d.ask(ctx, k) })
			}
		}
	}
}

func (d *Daemon) ask(ctx context.Context, k crquota.BorrowRequest) {
	grants, ok := d.askOwner(ctx, k)
	d.quotas.mu.Lock()
	defer d.quotas.mu.Unlock()
	if !ok {
		d.quotas.borrower.HandleNoAnswer(time.Now(), k)
		return
	}
	d.quotas.borrower.HandleAnswer(time.Now(), k, grants)
}

func (d *Daemon) askOwner(ctx context.Context, k crquota.BorrowRequest) ([]crquota.AccountGrant, bool) {
	if k.Owner == d.Settings.Instance {
		d.quotas.mu.Lock()
		defer d.quotas.mu.Unlock()
		return d.quotas.lender.Lend(time.Now(), d.Settings.Instance, k.Uses), true
	}
	m, ok := d.fleet.Member(k.Owner)
	if !ok || m.Peer == (netip.AddrPort{}) {
		return nil, false
	}
	client, err := d.peers.Client(m.Peer, crpeer.Control)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, crquota.DefaultAskTimeout)
	defer cancel()
	answer, err := client.Borrow(ctx, borrowRequest(d.Settings.Instance, k))
	if err != nil {
		return nil, false
	}
	var grants []crquota.AccountGrant
	for _, g := range answer.Grants {
		grants = append(grants, crquota.AccountGrant{
			Account:     g.ClientAccount,
			Granted:     g.Granted,
			ValidFor:    g.ValidFor.AsDuration(),
			Concurrency: g.Concurrency,
		})
	}
	return grants, true
}

func borrowRequest(from string, k crquota.BorrowRequest) *pb.BorrowRequest {
	r := &pb.BorrowRequest{From: from}
	for _, u := range k.Uses {
		r.Uses = append(r.Uses, &pb.AccountUse{ClientAccount: u.Account, Used: u.Used, Wanted: u.Wanted, InFlight: u.InFlight})
	}
	return r
}

// lend answers another instance as the quota owner of some accounts.
func (d *Daemon) lend(r *pb.BorrowRequest) *pb.BorrowResponse {
	uses := make([]crquota.AccountUse, len(r.Uses))
	for i, u := range r.Uses {
		uses[i] = crquota.AccountUse{Account: u.ClientAccount, Used: u.Used, Wanted: u.Wanted, InFlight: u.InFlight}
	}
	d.quotas.mu.Lock()
	grants := d.quotas.lender.Lend(time.Now(), r.From, uses)
	d.quotas.mu.Unlock()
	answer := &pb.BorrowResponse{}
	for _, g := range grants {
		answer.Grants = append(answer.Grants, &pb.AccountGrant{
			ClientAccount: g.Account,
			Granted:       g.Granted,
			ValidFor:      durationpb.New(g.ValidFor),
			Concurrency:   g.Concurrency,
		})
	}
	return answer
}
