package crsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	crstandin "crocusrack/platform/standin"
)

const (
	// firstVersion and nextVersion are the versions of a roll-out.
	firstVersion = "v1"
	nextVersion  = "v2"
	// exposureShare and exposureSlack bound what a bad version may get, and wayBack is the
	// time after its last allowed bad answer from which on it may get nothing.
	exposureShare = 0.1
	exposureSlack = 50
	wayBack       = 5 * time.Second
	badAnswers    = 50
	// newServers is the prefix of the names of the servers of the next version.
	newServers = "new-"
	// rolledBackDrain is how long after the end of a roll-out the new servers leave.
	rolledBackDrain = 2 * time.Second
)

// Rollout is a roll-out of a soak.
type Rollout struct {
	// At is when the order is given, from the start of the load, and Duration the time in
	// which it is to end.
	At, Duration time.Duration
	// Servers is how many servers of the next version are started.
	Servers int
	// Trouble is what they do wrong.
	Trouble crstandin.Trouble
}

// bad reports whether the version is bad.
func (r Rollout) bad() bool { return r.Trouble.Failed > 0 || r.Trouble.Slow > 1 }

// String returns the roll-out as a line of a log.
func (r Rollout) String() string {
	return fmt.Sprintf("%s roll-out for %s, %d servers, %.2f failed, %.1f times slower, path %q",
		r.At, r.Duration, r.Servers, r.Trouble.Failed, max(1, r.Trouble.Slow), r.Trouble.Path)
}

// DrawRollout draws a roll-out for a soak; half of them are of bad versions.
func DrawRollout(seed uint64, length time.Duration, servers int) Rollout {
	random := rand.New(rand.NewPCG(seed, 3))
	r := Rollout{At: 2 * time.Second, Duration: min(12*time.Second, length-recovery-2*time.Second), Servers: servers}
	switch random.IntN(4) {
	case 0:
		r.Trouble.Failed = 0.1 + 0.9*random.Float64()
	case 1:
		r.Trouble.Slow = 3 + 5*random.Float64()
	}
	if r.bad() && random.IntN(3) == 0 {
		r.Trouble.Path = crstandin.Kind(random.IntN(crstandin.Kinds)).Prefix()
	}
	return r
}

// played is what became of a roll-out.
type played struct {
	Rollout
	ordered time.Time
	// state is the last state that was recorded, and ended when it was.
	state string
	ended time.Time
}

// rollOut starts the servers of the next version, gives the order, and ends the servers that
// its end makes needless, as the platform does.
func (w *world) rollOut(ctx context.Context, r Rollout) {
	if !sleep(ctx, r.At) {
		return
	}
	var added []*server
	for i := range r.Servers {
		s := &server{
			name: fmt.Sprint(newServers, i), domain: domains[i%len(domains)], version: nextVersion, trouble: r.Trouble,
			random: rand.New(rand.NewPCG(uint64(i), 4)),
		}
		if s.start(w) == nil {
			added = append(added, s)
		}
	}
	p := &played{Rollout: r, ordered: time.Now()}
	w.rollout = p
	for _, s := range added {
		w.closers = append(w.closers, s.close)
	}
	if err := w.store.Put(crstandin.KindRollouts, crstandin.ServiceName, crstandin.Order(nextVersion, r.Duration)); err != nil {
		return
	}
	for p.ended.IsZero() && sleep(ctx, 20*time.Millisecond) {
		var status struct{ State, Target string }
		if json.Unmarshal(w.store.Status(crstandin.KindRollouts, crstandin.ServiceName), &status) == nil && status.Target == nextVersion {
			p.state = status.State
		}
		if p.state == "completed" || p.state == "rolled_back" {
			p.ended = time.Now()
		}
	}
	stopped := added
	switch p.state {
	case "completed":
		stopped = w.servers
	case "rolled_back":
		sleep(ctx, rolledBackDrain)
	}
	for _, s := range stopped {
		s.mu.Lock()
		id := s.served.ID
		s.mu.Unlock()
		w.store.Delete(crstandin.KindServers, id)
		s.close()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// judgeRollout checks what the servers of the next version got. If inTime is set, it also
// checks that the roll-out ended as it should, which depends on the machine's speed.
func (w *world) judgeRollout(r *Report, inTime bool) {
	p := w.rollout
	deadline := p.ordered.Add(p.Duration)
	runs := w.record.All()
	slices.SortFunc(runs, func(a, b crstandin.Run) int { return a.At.Compare(b.At) })
	all, exposed, spoilt, late := 0, 0, 0, 0
	var last time.Time
	for _, run := range runs {
		isNew := strings.HasPrefix(run.Server, newServers)
		if isNew && run.At.Before(p.ordered) {
			r.Broken = append(r.Broken, fmt.Sprintf("rollout: %s ran %s before the order", run.Server, run.Request))
		}
		if run.At.Before(p.ordered) || run.At.After(deadline) {
			continue
		}
		all++
		if !isNew {
			continue
		}
		exposed++
		if !last.IsZero() && run.At.Sub(last) > wayBack {
			late++
		}
		if run.Spoilt {
			if spoilt++; spoilt == badAnswers {
				last = run.At
			}
		}
	}
	end := "has no end"
	if !p.ended.IsZero() {
		end = fmt.Sprintf("%s after %s", p.state, p.ended.Sub(p.ordered).Round(time.Millisecond))
	}
	r.Rollout = fmt.Sprintf("%s: %s, %d of %d runs at the next version, %d spoilt", p.Rollout, end, exposed, all, spoilt)
	broken := func(format string, args ...any) {
		r.Broken = append(r.Broken, "rollout: "+fmt.Sprintf(format, args...))
	}
	if p.bad() && float64(exposed) > exposureShare*float64(all)+exposureSlack {
		broken("a bad version got %d of %d requests, want at most %v of them and %d", exposed, all, exposureShare, exposureSlack)
	}
	if !inTime {
		return
	}
	if late > 0 {
		broken("a bad version got %d requests later than %s after its bad answer %d", late, wayBack, badAnswers)
	}
	if want := map[bool]string{false: "completed", true: "rolled_back"}[p.bad()]; p.state != want {
		broken("the state is %q, want %q", p.state, want)
	}
}
