package crplacement

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"crocusrack/core/crorder"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crendpoint"
)

const (
	// reportInterval is how often an endpoint is asked for a report, if there
	// are few; reportsPerStep bounds the reports asked for in one step.
	reportInterval = 4 * time.Second
	reportsPerStep = 10
	reportTimeout  = time.Second
	// failedAsks is after how many reports in a row that didn't come an
	// endpoint counts as failed.
	failedAsks = 3
	// clockDifference bounds how far an endpoint's clock is ahead of this
	// instance's.
	clockDifference = time.Second
)

// reports holds the newest report of each endpoint of a service, by name. The
// zero value is ready for use.
type reports struct{ known map[string]*known }

// known is what is known of one endpoint.
type known struct {
	asked time.Time
	// report is nil before the first one.
	report *crendpoint.ReportResponse
	at     time.Time
	failed int // asks in a row
}

// ask asks the endpoints that have waited longest for their reports.
func (r *reports) ask(ctx context.Context, ask func(context.Context, netip.AddrPort) (*crendpoint.ReportResponse, error), list []*pb.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	now := time.Now()
	var tasks sync.WaitGroup
	for _, e := range r.due(now, list) {
		k := r.known[e.Name]
		k.asked = now
		tasks.Go(func() {
			report, err := ask(ctx, address(e))
			k.take(now, report, err)
		})
	}
	tasks.Wait()
}

// due returns the endpoints to ask, and forgets those that aren't listed.
func (r *reports) due(now time.Time, list []*pb.Endpoint) []*pb.Endpoint {
	current := make(map[string]*known, len(list))
	var due []*pb.Endpoint
	for _, e := range list {
		k := r.known[e.Name]
		if k == nil {
			k = &known{}
		}
		current[e.Name] = k
		if now.Sub(k.asked) >= reportInterval {
			due = append(due, e)
		}
	}
	r.known = current
	slices.SortStableFunc(due, func(a, b *pb.Endpoint) int { return current[a.Name].asked.Compare(current[b.Name].asked) })
	return due[:min(len(due), reportsPerStep)]
}

// take notes a report, or that none came. A report holds for the time that the
// endpoint names, but not for one after it was asked for.
func (k *known) take(asked time.Time, report *crendpoint.ReportResponse, err error) {
	if err != nil {
		k.failed++
		return
	}
	k.failed = 0
	k.report = report
	k.at = asked
	if at := report.At.AsTime().Add(-clockDifference); at.Before(asked) {
		k.at = at
	}
}

// complete reports whether each endpoint has reported or failed to.
func (r *reports) complete(list []*pb.Endpoint) bool {
	return !slices.ContainsFunc(list, func(e *pb.Endpoint) bool {
		k := r.known[e.Name]
		return k.report == nil && k.failed < failedAsks
	})
}

// endpoint returns an endpoint as its last report shows it.
func (r *reports) endpoint(e *pb.Endpoint, out bool) crorder.Endpoint {
	k := r.known[e.Name]
	return crorder.Endpoint{
		Name:          e.Name,
		FailureDomain: e.FailureDomain,
		Role:          k.report.GetRole(),
		Loaded:        k.report.GetModels(),
		ReportedAt:    k.at,
		Ready:         !out && k.report != nil && k.failed < failedAsks && !k.report.Leaving,
		Load:          float64(k.report.GetInFlight()+k.report.GetQueued()) / float64(cmp.Or(e.Capacity, 1)),
		ChecksOrders:  e.ChecksOrders,
	}
}

// address returns the endpoint's address. The catalogue's are checked before
// they are accepted; a zero one fails when it is dialled.
func address(e *pb.Endpoint) netip.AddrPort {
	a, _ := netip.ParseAddrPort(e.Address)
	return a
}
