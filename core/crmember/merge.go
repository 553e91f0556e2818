package crmember

import (
	"net/netip"
	"slices"
	"time"
)

// Receive merges a request and returns the reply to it.
func (t *Table) Receive(now time.Time, m Message) Message {
	t.initialize(now)
	outdated := t.mergeMessage(now, m)
	return t.message(now, m.From, outdated)
}

// ReceiveReply merges the reply to a probe of the member probed. The sender of the reply
// counts as reached. It may be another instance that has taken over the address of the
// probed one; then the probe has failed.
func (t *Table) ReceiveReply(now time.Time, probed string, m Message) {
	t.initialize(now)
	t.mergeMessage(now, m)
	t.ProbeSucceeded(now, m.From)
	if _, known := t.entries[m.From]; known || m.From == t.Self.Name {
		// probed may be the name of a hint, a member known only from the platform's list or
		// the settings. The reply tells its real name, which may be that of this instance.
		delete(t.hints, probed)
	}
	if _, known := t.entries[probed]; known && probed != m.From {
		t.ProbeFailed(now, probed)
	}
}

// Merge merges a whole table, as returned by All of a peer. It is safe to repeat. The
// records that it brings are not queued as updates for others.
func (t *Table) Merge(now time.Time, members []Member) {
	t.initialize(now)
	if t.lastFullSync.IsZero() {
		t.fullSyncBackoff = firstFullSyncInterval
	} else if t.fullSyncBackoff < t.FullSyncInterval {
		t.fullSyncBackoff = time.Duration(fullSyncBackoffFactor * float64(t.fullSyncBackoff))
	}
	t.lastFullSync = now
	before := slices.Clone(t.queue)
	for _, m := range members {
		t.mergeRecord(now, m)
	}
	t.queue = before
}

// mergeMessage merges all records of a message and returns the names of those that are
// older than ours.
func (t *Table) mergeMessage(now time.Time, m Message) []string {
	var outdated []string
	for _, r := range m.Members {
		if older := t.mergeRecord(now, r); older {
			outdated = append(outdated, r.Name)
		}
	}
	if m.MemberHash == t.hash {
		t.lastHashMatch = now
	}
	e, known := t.entries[m.From]
	if !known {
		return outdated
	}
	e.heardAt = now
	e.peerHash = m.MemberHash
	if m.MemberHash == t.hash {
		e.hashDiffersSince = time.Time{}
	} else if e.hashDiffersSince.IsZero() {
		e.hashDiffersSince = now
	}
	e.CatalogueVersion = max(e.CatalogueVersion, m.CatalogueVersion)
	if e.Incarnation == m.Incarnation {
		e.failedAt = time.Time{}
	}
	return outdated
}

// mergeRecord merges one record. It reports whether the record is older than ours, so
// that the sender should receive ours.
func (t *Table) mergeRecord(now time.Time, r Member) (older bool) {
	if r.Name == "" || r.State > Dead {
		return false
	}
	if r.Name == t.Self.Name {
		t.refute(r)
		return false
	}
	e, known := t.entries[r.Name]
	if !known {
		t.mergeUnknown(now, r)
		return false
	}
	if e.replaces(r) {
		return true
	}
	if !r.replaces(e.Member) {
		return false
	}
	if !r.Peer.IsValid() && r.State != Dead && (r.Run != e.Run || !e.addressesKnown) {
		// r is a short record, and the addresses of its run are unknown here, for instance
		// because only the record of the run's death was received. The full record follows.
		return false
	}
	t.accept(now, e, r)
	return false
}

func (t *Table) mergeUnknown(now time.Time, r Member) {
	if !r.Peer.IsValid() && r.State != Dead {
		return
	}
	t.accept(now, t.addEntry(r.Name), r)
}

// accept replaces our record by the newer one and queues it as an update.
func (t *Table) accept(now time.Time, e *entry, r Member) {
	newRun := r.Run != e.Run
	revived := e.State == Dead && r.State != Dead && !newRun
	// A dead record may carry only a peer address that comes from a hint.
	e.addressesKnown = r.Peer.IsValid() && r.State != Dead || e.addressesKnown && !newRun
	if !r.Peer.IsValid() {
		r.FailureDomain, r.Caller, r.Peer, r.Operator = e.FailureDomain, e.Caller, e.Peer, e.Operator
		r.CatalogueVersion = e.CatalogueVersion
	}
	if newRun {
		e.hintedLeaving = false
		e.peerHash, e.hashDiffersSince = 0, time.Time{}
		t.removeHintsWithPeer(r.Peer)
	}
	e.failedAt, e.suspectedAt, e.suspectedLocally = time.Time{}, time.Time{}, false
	t.setMember(now, e, r)
	switch r.State {
	case Suspect:
		e.suspectedAt = now
	case Dead:
		e.diedAt = now
	}
	if revived {
		t.healUntil = now.Add(partitionHealDuration)
	}
	t.enqueue(r, newRun && r.State != Dead)
}

// refute raises this instance's incarnation above that of a record about it, if the record
// has a higher incarnation than its own, or the same incarnation and either another run or
// a state that is neither Alive nor its own state, such as a suspicion. Records with a lower
// incarnation are ignored.
func (t *Table) refute(r Member) {
	own := r.Run == t.Self.Run && r.Incarnation == t.Self.Incarnation
	if r.Incarnation < t.Self.Incarnation || own && r.State == t.Self.State {
		return
	}
	if own && r.State == Alive {
		return
	}
	t.refutations++
	t.setSelf(r.Incarnation+1, t.Self.State)
}

// removeHintsWithPeer removes the hints with the peer address, because the member at that
// address has become known.
func (t *Table) removeHintsWithPeer(peer netip.AddrPort) {
	for name, h := range t.hints {
		if h.Peer == peer {
			delete(t.hints, name)
		}
	}
}
