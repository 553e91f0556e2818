package crmember

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

const (
	// partitionHealDuration is how long dead members are probed more often after a dead
	// member has come back in the same run, because a network partition may have ended.
	partitionHealDuration = 30 * time.Second
	// fewNeighbours is the number of neighbours below which every probe interval also
	// probes a dead member or a hint.
	fewNeighbours = 3
	// outcomeWindow is the number of recent probe results that Isolated considers.
	outcomeWindow = 8
	// isolationThreshold is the number of failures in the window from which on this
	// instance counts as isolated.
	isolationThreshold = 5
)

// probeOutcomes is a ring buffer of the results of the last probes.
type probeOutcomes struct {
	failed [outcomeWindow]bool
	next   int
}

func (o *probeOutcomes) add(failed bool) {
	o.failed[o.next%outcomeWindow] = failed
	o.next++
}

func (o *probeOutcomes) failureCount() int {
	count := 0
	for _, f := range o.failed {
		if f {
			count++
		}
	}
	return count
}

// Tick returns the members to gossip with now and the time of the next call. The caller
// sends each of them the message that Outgoing returns, and passes the reply to
// ReceiveReply or calls ProbeFailed.
func (t *Table) Tick(now time.Time) (probes []Member, next time.Time) {
	t.initialize(now)
	t.handlePause(now)
	t.lastTick = now
	t.expireTimeouts(now)
	if now.Before(t.nextProbe) {
		return nil, t.nextProbe
	}
	t.nextProbe = now.Add(t.jitter(t.ProbeInterval))
	if m, ok := t.nextNeighbour(); ok {
		probes = append(probes, m)
	}
	if m, ok := t.nextDeadOrHinted(now); ok {
		probes = append(probes, m)
	}
	return probes, t.nextProbe
}

// jitter returns d shortened by a random part of up to a tenth.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d - time.Duration(t.random.Int64N(int64(d)/10+1))
}

// handlePause restarts the timeouts if this process was paused: members that it considers
// failing may have answered in the meantime. After a pause longer than half of
// DeadRetention, members may have died that all other instances have already forgotten,
// and this instance would keep them as alive. It then turns all members into hints and
// starts like a new instance.
func (t *Table) handlePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap < pauseIntervals*t.ProbeInterval {
		return
	}
	for _, e := range t.entries {
		e.failedAt = time.Time{}
		if !e.suspectedAt.IsZero() {
			e.suspectedAt = now
		}
		if gap > t.DeadRetention/2 {
			t.forget(now, e)
			t.addHint(now, e.Member)
		}
	}
	if gap > t.DeadRetention/2 {
		t.queue = nil
		t.lastFullSync = time.Time{}
		t.enqueue(t.Self, true)
	}
}

// forget removes a member. It first marks the member as dead, so that setMember accounts
// for the change.
func (t *Table) forget(now time.Time, e *entry) {
	m := e.Member
	m.State = Dead
	t.setMember(now, e, m)
	delete(t.entries, m.Name)
}

// expireTimeouts turns failed probes into suspicions and expired suspicions into deaths,
// and removes dead members and hints after DeadRetention.
func (t *Table) expireTimeouts(now time.Time) {
	var expired []*entry
	for _, e := range t.entries {
		if t.timedOut(now, e) {
			expired = append(expired, e)
		}
	}
	// Map iteration order is random; the same seed must give the same messages.
	slices.SortFunc(expired, func(a, b *entry) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range expired {
		switch {
		case e.State == Dead:
			t.forget(now, e)
		case !e.suspectedAt.IsZero():
			t.declareDead(now, e)
		default:
			t.suspect(now, e)
		}
	}
	for name, h := range t.hints {
		if now.Sub(h.at) > t.DeadRetention {
			delete(t.hints, name)
		}
	}
}

// timedOut reports whether the timeout for the member's present condition has passed.
func (t *Table) timedOut(now time.Time, e *entry) bool {
	switch {
	case e.State == Dead:
		return now.Sub(e.diedAt) > t.DeadRetention
	case !e.suspectedAt.IsZero():
		return now.Sub(e.suspectedAt) >= t.suspicionTimeout()
	default:
		return !e.failedAt.IsZero() && now.Sub(e.failedAt) >= t.IndirectTimeout
	}
}

// suspect starts the suspicion timeout of a member that failed this instance's probes.
// A leaving member stays leaving: it gets no work already, so others need to hear only
// of its death.
func (t *Table) suspect(now time.Time, e *entry) {
	t.suspicions++
	e.failedAt = time.Time{}
	e.suspectedAt = now
	e.suspectedLocally = true
	if e.State != Alive {
		return
	}
	m := e.Member
	m.State = Suspect
	t.setMember(now, e, m)
	t.enqueue(m, false)
}

// declareDead marks a member as dead after its suspicion timeout. Only the instance whose
// probes led to the suspicion spreads the death: the others have received the suspicion
// and run the timeout themselves.
func (t *Table) declareDead(now time.Time, e *entry) {
	m := e.Member
	m.State = Dead
	t.setMember(now, e, m)
	e.diedAt = now
	e.suspectedAt = time.Time{}
	if e.suspectedLocally {
		t.enqueue(m, false)
	}
	e.suspectedLocally = false
}

// ProbeFailed records that a direct probe of the named member got no answer in time, and
// returns the members to ask for indirect probes. Unless ProbeSucceeded is called within
// IndirectTimeout, the member becomes suspect.
func (t *Table) ProbeFailed(now time.Time, name string) []Member {
	t.initialize(now)
	e, known := t.entries[name]
	deadOrUnknown := !known || e.State == Dead
	if !deadOrUnknown || len(t.currentNeighbours()) == 0 {
		t.probeOutcomes.add(true)
	}
	if deadOrUnknown || !e.suspectedAt.IsZero() {
		return nil
	}
	if e.failedAt.IsZero() {
		e.failedAt = now
	}
	return t.indirectProbers(name)
}

// indirectProbers returns up to IndirectProbes random neighbours that are alive and
// whose last probe has not failed.
func (t *Table) indirectProbers(name string) []Member {
	var probers []Member
	neighbours := t.currentNeighbours()
	for _, i := range t.random.Perm(len(neighbours)) {
		e := t.entries[neighbours[i]]
		if len(probers) == t.IndirectProbes {
			break
		}
		if e.Name != name && e.State == Alive && e.failedAt.IsZero() {
			probers = append(probers, e.Member)
		}
	}
	return probers
}

// ProbeSucceeded records that a member has answered a direct or an indirect probe. For a
// suspect it restarts the suspicion timeout, so that this instance doesn't declare it
// dead; only a refutation by the member ends the suspicion.
func (t *Table) ProbeSucceeded(now time.Time, name string) {
	t.initialize(now)
	t.probeOutcomes.add(false)
	e, known := t.entries[name]
	if !known {
		return
	}
	e.failedAt = time.Time{}
	switch e.State {
	case Suspect:
		e.suspectedAt = now
	case Leaving:
		e.suspectedAt = time.Time{}
	}
}

// Isolated reports whether most of the last probes have failed. This instance may then
// be cut off from the network itself.
func (t *Table) Isolated(now time.Time) bool {
	t.initialize(now)
	return t.probeOutcomes.failureCount() >= isolationThreshold
}

// Neighbours returns the names of the members that this instance probes in turn. The
// caller keeps connections to them; about as many other instances keep one to this one.
func (t *Table) Neighbours() []string { return slices.Clone(t.currentNeighbours()) }

// currentNeighbours returns the names of the neighbours on the ring of all members that
// are not dead, ordered by the hashes of their names: the next Successors members, and
// those at distances of n/2, n/4 and so on.
func (t *Table) currentNeighbours() []string {
	if !t.neighboursStale {
		return t.neighbours
	}
	t.neighboursStale = false
	ring := make([]*entry, 0, len(t.entries)+1)
	self := &entry{Member: t.Self, ringHash: crhash.Of(t.Self.Name)}
	ring = append(ring, self)
	for _, e := range t.entries {
		if e.State != Dead {
			ring = append(ring, e)
		}
	}
	slices.SortFunc(ring, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.Name, b.Name))
	})
	selfIndex := slices.Index(ring, self)
	t.neighbours = t.neighbours[:0]
	for _, d := range distances(len(ring), t.Successors) {
		t.neighbours = append(t.neighbours, ring[(selfIndex+d)%len(ring)].Name)
	}
	return t.neighbours
}

// distances returns the ring distances of the neighbours among n members.
func distances(n, successors int) []int {
	var distances []int
	for d := 1; d <= successors && d < n; d++ {
		distances = append(distances, d)
	}
	for d := n / 2; d > successors; d /= 2 {
		distances = append(distances, d)
	}
	return distances
}

// nextNeighbour returns the next neighbour to probe. Each round visits every neighbour
// once, in random order.
func (t *Table) nextNeighbour() (Member, bool) {
	for range 2 {
		for len(t.probeRound) > 0 {
			name := t.probeRound[0]
			t.probeRound = t.probeRound[1:]
			if e, known := t.entries[name]; known && e.State != Dead && e.Peer.IsValid() {
				return e.Member, true
			}
		}
		t.probeRound = slices.Clone(t.currentNeighbours())
		t.random.Shuffle(len(t.probeRound), func(i, j int) { t.probeRound[i], t.probeRound[j] = t.probeRound[j], t.probeRound[i] })
	}
	return Member{}, false
}

// nextDeadOrHinted returns a random dead member or hint once per DeadProbeInterval, so
// that new instances and partitioned failure domains find each other. While there are few
// neighbours or a partition may have ended, it returns one on every call.
func (t *Table) nextDeadOrHinted(now time.Time) (Member, bool) {
	frequent := len(t.currentNeighbours()) < fewNeighbours || now.Before(t.healUntil)
	if now.Before(t.nextDeadProbe) && !frequent {
		return Member{}, false
	}
	t.nextDeadProbe = now.Add(t.jitter(t.DeadProbeInterval))
	var candidates []Member
	for _, h := range t.hints {
		candidates = append(candidates, h.Member)
	}
	for _, e := range t.entries {
		if e.State == Dead && e.Peer.IsValid() {
			candidates = append(candidates, e.Member)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	// Map iteration order is random; the same seed must give the same choice.
	slices.SortFunc(candidates, byName)
	return candidates[t.random.IntN(len(candidates))], true
}
