package crmember

import (
	"cmp"
	"slices"
	"time"
)

// update is a record that is still being spread by gossip. The record itself is looked
// up by name when a message is built.
type update struct {
	name string
	// sent is the number of messages that have carried the record.
	sent int
	// full means that the record is sent with its addresses.
	full bool
}

// Sizes in bytes of a record in the encoding of the peer protocol, without its name and
// failure domain.
const (
	shortRecordBytes = 28
	fullRecordBytes  = 90
)

func recordBytes(m Member) int {
	if !m.Peer.IsValid() {
		return shortRecordBytes + len(m.Name)
	}
	return fullRecordBytes + len(m.Name) + len(m.FailureDomain)
}

// enqueue makes the next messages carry the record of the member m.
func (t *Table) enqueue(m Member, full bool) {
	for i := range t.queue {
		if t.queue[i].name == m.Name {
			t.queue[i].sent = 0
			t.queue[i].full = t.queue[i].full || full
			return
		}
	}
	t.queue = append(t.queue, update{name: m.Name, full: full})
}

// Outgoing returns the message to probe a member with. It carries queued updates, the
// least often sent first, within DeltaBytes, and the hash of the table.
func (t *Table) Outgoing(now time.Time, to string) Message {
	t.initialize(now)
	return t.message(now, to, nil)
}

// message builds a message for the named member. It carries the records named in priority
// before all queued updates. This instance's own record is left out if the receiver's
// hash was equal to ours, because the receiver then has that record.
func (t *Table) message(now time.Time, to string, priority []string) Message {
	b := builder{table: t, remaining: t.DeltaBytes}
	e, known := t.entries[to]
	hashMatches := known && e.peerHash == t.hash
	if !hashMatches {
		b.add(t.Self)
	}
	if known && e.State != Alive {
		b.add(e.shortRecord())
	}
	for _, name := range priority {
		b.addNamed(name, true)
	}
	t.addUpdates(&b, to)
	if known && !e.hashDiffersSince.IsZero() && now.Sub(e.hashDiffersSince) > t.AntiEntropyDelay {
		t.addAntiEntropy(&b)
	}
	return Message{
		From:             t.Self.Name,
		Incarnation:      t.Self.Incarnation,
		Members:          b.members,
		CatalogueVersion: t.Self.CatalogueVersion,
		MemberHash:       t.hash,
	}
}

// addUpdates adds queued updates, the least often sent first, and removes those that have
// been sent often enough. Updates that do not fit stay in the queue unchanged.
func (t *Table) addUpdates(b *builder, to string) {
	slices.SortStableFunc(t.queue, func(a, b update) int { return cmp.Compare(a.sent, b.sent) })
	limit := t.retransmitLimit()
	kept := t.queue[:0]
	for _, u := range t.queue {
		if u.name == to || b.addNamed(u.name, u.full) {
			u.sent++
		}
		if u.sent < limit {
			kept = append(kept, u)
		}
	}
	t.queue = kept
}

// antiEntropyCursor is the position of the anti-entropy pass over the table.
type antiEntropyCursor struct {
	order []string
	next  int
	// hash is the hash of the table when order was computed.
	hash uint64
}

// addAntiEntropy fills the message with records in turn. The most recently changed ones
// come first, because tables that differ mostly differ in these.
func (t *Table) addAntiEntropy(b *builder) {
	c := &t.antiEntropy
	if c.next >= len(c.order) || c.hash != t.hash {
		*c = antiEntropyCursor{order: t.byLastChange(), hash: t.hash}
	}
	for c.next < len(c.order) && b.addNamed(c.order[c.next], true) {
		c.next++
	}
}

// byLastChange returns the names of all other members, the most recently changed first.
func (t *Table) byLastChange() []string {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.Name
	}
	return names
}

// builder collects the records of one message.
type builder struct {
	table   *Table
	members []Member
	// remaining is the number of bytes left for records.
	remaining int
}

// addNamed adds the record of a member and reports whether nothing remains to be sent:
// the record is in the message or the table has no such member.
func (b *builder) addNamed(name string, full bool) bool {
	m, known := b.table.Member(name)
	if !known || slices.ContainsFunc(b.members, func(o Member) bool { return o.Name == name }) {
		return true
	}
	if !full || m.State == Dead {
		m = m.shortRecord()
	}
	return b.add(m)
}

// add adds the record if it fits, and reports whether it did. The first record always
// fits, so that a message is never empty for lack of space.
func (b *builder) add(m Member) bool {
	size := recordBytes(m)
	if size > b.remaining && len(b.members) > 0 {
		return false
	}
	b.remaining -= size
	b.members = append(b.members, m)
	return true
}

const (
	// firstFullSyncInterval is the minimum time between the first two full syncs after the
	// start. Each full sync multiplies it by fullSyncBackoffFactor until it reaches
	// FullSyncInterval.
	firstFullSyncInterval = 2 * time.Second
	fullSyncBackoffFactor = 1.5
)

// NeedsFullSync reports whether the caller should fetch the peer's whole table and pass
// it to Merge, which is a full sync. peerHash is the hash of the peer's table. An
// instance that has just started needs a full sync at once, and again at growing
// intervals while it meets peers whose hash differs, because instances that start
// together know few members at first. Afterwards it needs one only if no peer's hash has
// been equal to its own for FullSyncInterval, and at most once per FullSyncInterval.
func (t *Table) NeedsFullSync(now time.Time, peerHash uint64) bool {
	t.initialize(now)
	if peerHash == t.hash {
		return false
	}
	if t.lastFullSync.IsZero() {
		return true
	}
	if t.fullSyncBackoff < t.FullSyncInterval {
		return now.Sub(t.lastFullSync) >= t.fullSyncBackoff
	}
	return now.Sub(t.lastHashMatch) > t.FullSyncInterval && now.Sub(t.lastFullSync) > t.FullSyncInterval
}
