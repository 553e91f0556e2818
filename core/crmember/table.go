package crmember

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// Defaults of the fields of a Table that are zero.
const (
	// DefaultProbeInterval is the time between two probes.
	DefaultProbeInterval = time.Second
	// DefaultIndirectTimeout is the time from a failed probe to a suspicion.
	DefaultIndirectTimeout = 2 * time.Second
	// DefaultSuspicionTimeout is the base of the time that a suspect has to refute the
	// suspicion. One probe interval is added for each doubling of the fleet.
	DefaultSuspicionTimeout = 2 * time.Second
	// DefaultDeadRetention is how long a dead member is remembered.
	DefaultDeadRetention = time.Hour
	// DefaultDeadProbeInterval is the time between two probes of dead members or hints.
	DefaultDeadProbeInterval = 10 * time.Second
	// DefaultAntiEntropyDelay is how long a peer's hash must differ before messages to it
	// also carry records that are not queued updates.
	DefaultAntiEntropyDelay = 15 * time.Second
	// DefaultFullSyncInterval is the minimum time between two full syncs.
	DefaultFullSyncInterval = 5 * time.Minute
	// DefaultDeltaBytes bounds the size of the records of one message, in bytes.
	DefaultDeltaBytes = 400
	// DefaultSuccessors is the number of ring successors that are probed.
	DefaultSuccessors = 3
	// DefaultIndirectProbes is the number of members asked for an indirect probe.
	DefaultIndirectProbes = 2
)

// pauseIntervals is the number of probe intervals without a call of Tick after which the
// process is taken to have been paused.
const pauseIntervals = 4

// Table is one instance's view of the fleet. Set the exported fields before first use.
// Zero in a duration, DeltaBytes, Successors or IndirectProbes means the default.
type Table struct {
	// Self is this instance. Its Incarnation should come from the clock, so that it is
	// higher than that of the previous run; if it isn't, the table raises it as soon as it
	// receives a record of the previous run.
	Self Member
	// Seed seeds the table's random number generator.
	Seed uint64

	ProbeInterval     time.Duration
	IndirectTimeout   time.Duration
	SuspicionTimeout  time.Duration
	DeadRetention     time.Duration
	DeadProbeInterval time.Duration
	AntiEntropyDelay  time.Duration
	FullSyncInterval  time.Duration
	DeltaBytes        int
	Successors        int
	IndirectProbes    int

	initialized bool
	random      *rand.Rand
	entries     map[string]*entry
	hints       map[string]hint
	queue       []update
	hash        uint64
	version     uint64
	// cachedUsable is the result of Usable. usableStale means that it must be rebuilt.
	cachedUsable []Member
	usableStale  bool

	neighbours      []string
	neighboursStale bool
	// probeRound holds the neighbours still to be probed in this round.
	probeRound    []string
	antiEntropy   antiEntropyCursor
	probeOutcomes probeOutcomes
	lastTick      time.Time
	nextProbe     time.Time
	nextDeadProbe time.Time
	// healUntil is when the more frequent probes of dead members end.
	healUntil time.Time
	// lastHashMatch is when the table hash in a received message last equalled ours.
	lastHashMatch time.Time
	lastFullSync  time.Time
	// fullSyncBackoff is the minimum time to the next full sync while it is below
	// FullSyncInterval.
	fullSyncBackoff time.Duration
	suspicions      uint64
	refutations     uint64
}

// entry is the record of another member with the local state of this instance about it.
type entry struct {
	Member
	// ringHash is the hash of the name, which is the position on the ring.
	ringHash uint64
	// failedAt is when a probe failed. It is zero if none has failed since the member was
	// last reached.
	failedAt time.Time
	// suspectedAt is when the suspicion timeout started. Zero means no suspicion.
	suspectedAt time.Time
	// suspectedLocally means that this instance's own probes have led to the suspicion.
	suspectedLocally bool
	diedAt           time.Time
	// hintedLeaving means that the platform lists this run as leaving.
	hintedLeaving bool
	// addressesKnown means that the addresses in the record are those of this run.
	addressesKnown bool
	// changedAt is when the record last changed.
	changedAt time.Time
	// peerHash is the table hash in the member's last message, and hashDiffersSince is
	// when it began to differ from ours.
	peerHash         uint64
	hashDiffersSince time.Time
	// heardAt is when the last message from the member itself arrived.
	heardAt time.Time
}

// usable reports whether the member may get work. A suspect may, because moving its share
// of the work for each lost probe costs more than waiting for the refutation.
func (e *entry) usable() bool {
	return (e.State == Alive || e.State == Suspect) && !e.hintedLeaving
}

// hint is an instance that is known only from the platform's list or the settings.
type hint struct {
	Member
	at time.Time
}

// Stats holds counters since the start of the table and its current sizes.
type Stats struct {
	// Suspicions is the number of suspicions that this instance's own probes have raised.
	Suspicions uint64
	// Refuted is the number of records about this instance that it refuted.
	Refuted uint64
	// Members, Dead and Hints are the current sizes. Members includes this instance and
	// excludes the dead.
	Members, Dead, Hints int
	// Queued is the number of updates that are still being spread.
	Queued int
}

// initialize sets the defaults and the state of the table on first use.
func (t *Table) initialize(now time.Time) {
	if t.initialized {
		return
	}
	t.initialized = true
	t.ProbeInterval = cmp.Or(t.ProbeInterval, DefaultProbeInterval)
	t.IndirectTimeout = cmp.Or(t.IndirectTimeout, DefaultIndirectTimeout)
	t.SuspicionTimeout = cmp.Or(t.SuspicionTimeout, DefaultSuspicionTimeout)
	t.DeadRetention = cmp.Or(t.DeadRetention, DefaultDeadRetention)
	t.DeadProbeInterval = cmp.Or(t.DeadProbeInterval, DefaultDeadProbeInterval)
	t.AntiEntropyDelay = cmp.Or(t.AntiEntropyDelay, DefaultAntiEntropyDelay)
	t.FullSyncInterval = cmp.Or(t.FullSyncInterval, DefaultFullSyncInterval)
	t.DeltaBytes = cmp.Or(t.DeltaBytes, DefaultDeltaBytes)
	t.Successors = cmp.Or(t.Successors, DefaultSuccessors)
	t.IndirectProbes = cmp.Or(t.IndirectProbes, DefaultIndirectProbes)
	t.random = rand.New(rand.NewPCG(t.Seed, crhash.Of(t.Self.Name)))
	t.entries = make(map[string]*entry)
	t.hints = make(map[string]hint)
	t.hash = t.Self.hash()
	t.version = 1
	t.usableStale = true
	t.neighboursStale = true
	t.lastTick = now
	t.lastHashMatch = now
	t.nextProbe = now.Add(time.Duration(t.random.Int64N(int64(t.ProbeInterval))))
	t.nextDeadProbe = t.nextProbe
	t.enqueue(t.Self, true)
}

// Usable returns the members that may get work, sorted by name. It includes this instance
// unless it is leaving. The caller must not modify the slice. The catalogue versions in
// it may be older than those in All.
func (t *Table) Usable() []Member {
	if !t.usableStale && t.cachedUsable != nil {
		return t.cachedUsable
	}
	t.usableStale = false
	usable := make([]Member, 0, len(t.entries)+1)
	if t.Self.State != Leaving {
		usable = append(usable, t.Self)
	}
	for _, e := range t.entries {
		if e.usable() {
			usable = append(usable, e.Member)
		}
	}
	slices.SortFunc(usable, byName)
	t.cachedUsable = usable
	return usable
}

// All returns all known members, including dead ones and this instance, sorted by name.
// It is also the reply to a peer that needs a full sync.
func (t *Table) All() []Member {
	all := make([]Member, 0, len(t.entries)+1)
	all = append(all, t.Self)
	for _, e := range t.entries {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// Member returns the member with the name.
func (t *Table) Member(name string) (Member, bool) {
	if name == t.Self.Name {
		return t.Self, true
	}
	if e, ok := t.entries[name]; ok {
		return e.Member, true
	}
	return Member{}, false
}

// LastHeard returns when this instance last received a message from the member or a newer
// record about it. ok is false if the member is unknown.
func (t *Table) LastHeard(name string) (at time.Time, ok bool) {
	e, ok := t.entries[name]
	if !ok {
		return time.Time{}, false
	}
	if e.heardAt.After(e.changedAt) {
		return e.heardAt, true
	}
	return e.changedAt, true
}

// Version returns a number that changes whenever the usable members do: their set, their
// runs, failure domains, or caller or peer addresses. Refuted suspicions don't change it.
func (t *Table) Version() uint64 { return t.version }

// Hash returns the hash of the table, which peers compare with their own.
func (t *Table) Hash() uint64 { return t.hash }

// Stats returns the counters and sizes.
func (t *Table) Stats() Stats {
	s := Stats{Suspicions: t.suspicions, Refuted: t.refutations, Members: 1, Hints: len(t.hints), Queued: len(t.queue)}
	for _, e := range t.entries {
		if e.State == Dead {
			s.Dead++
			continue
		}
		s.Members++
	}
	return s
}

// SetCatalogueVersion sets the version of the catalogue in force on this instance, which
// messages carry.
func (t *Table) SetCatalogueVersion(version uint64) { t.Self.CatalogueVersion = version }

// Leave marks this instance as leaving and announces it. It can't be undone in this run.
func (t *Table) Leave(now time.Time) {
	t.initialize(now)
	if t.Self.State == Leaving {
		return
	}
	t.setSelf(t.Self.Incarnation+1, Leaving)
	t.version++
}

// setSelf changes this instance's own record, updates the hash and queues the record.
func (t *Table) setSelf(incarnation uint64, state State) {
	t.hash -= t.Self.hash()
	t.Self.Incarnation = incarnation
	t.Self.State = state
	t.hash += t.Self.hash()
	t.usableStale = true
	t.enqueue(t.Self, false)
}

// setMember replaces the record of a member and updates the hash, the version and the
// flags of stale caches.
func (t *Table) setMember(now time.Time, e *entry, m Member) {
	e.changedAt = now
	wasUsable, old := e.usable(), e.Member
	t.hash -= old.hash()
	e.Member = m
	t.hash += m.hash()
	t.usableStale = true
	if wasUsable != e.usable() || wasUsable && identityChanged(old, m) {
		t.version++
	}
	if (old.State == Dead) != (m.State == Dead) {
		t.neighboursStale = true
	}
}

// identityChanged reports whether the run, the failure domain, or the peer or caller
// address differs.
func identityChanged(a, b Member) bool {
	return a.Run != b.Run || a.Peer != b.Peer || a.Caller != b.Caller || a.FailureDomain != b.FailureDomain
}

// addEntry creates an entry for an unknown name. It starts as dead, so that setMember
// accounts for the change.
func (t *Table) addEntry(name string) *entry {
	e := &entry{Member: Member{Name: name, State: Dead}, ringHash: crhash.Of(name)}
	t.entries[name] = e
	delete(t.hints, name)
	return e
}

// suspicionTimeout returns the time from a suspicion to a death. An update and its
// refutation need a number of gossip rounds that grows with the logarithm of the fleet.
func (t *Table) suspicionTimeout() time.Duration {
	return t.SuspicionTimeout + time.Duration(bits.Len(uint(len(t.entries)+1)))*t.ProbeInterval
}

// retransmitLimit returns how often a record is sent before it counts as spread.
func (t *Table) retransmitLimit() int { return bits.Len(uint(len(t.entries)+1)) + 3 }

// Hint adds an instance that is named by the settings or by the platform's list, which
// may be out of date. A hint never proves that an instance is alive or dead: it makes the
// table probe the instance, and it keeps an instance that the platform lists as leaving
// out of Usable. An instance without a name, such as a seed address of the settings, is
// named by its address.
func (t *Table) Hint(now time.Time, name string, peer netip.AddrPort, domain string, leaving bool) {
	t.initialize(now)
	if name == "" {
		name = peer.String()
	}
	if name == t.Self.Name || peer.IsValid() && peer == t.Self.Peer {
		return
	}
	e, known := t.entries[name]
	if !known {
		t.addHint(now, Member{Name: name, FailureDomain: domain, Peer: peer})
		return
	}
	if !e.Peer.IsValid() {
		e.Peer = peer
	}
	wasUsable := e.usable()
	e.hintedLeaving = leaving
	if wasUsable != e.usable() {
		t.usableStale = true
		t.version++
	}
}

// addHint adds a hint unless its peer address is missing or belongs to a known member
// that is not dead.
func (t *Table) addHint(now time.Time, m Member) {
	if !m.Peer.IsValid() || t.knowsPeer(m.Peer) {
		return
	}
	t.hints[m.Name] = hint{Member: m, at: now}
}

// knowsPeer reports whether a member that is not dead has the peer address.
func (t *Table) knowsPeer(peer netip.AddrPort) bool {
	for _, e := range t.entries {
		if e.Peer == peer && e.State != Dead {
			return true
		}
	}
	return false
}
