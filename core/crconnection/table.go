// Package crconnection decides which connections of callers are kept when descriptors are
// short, and what the header sections that they send cost in memory.
package crconnection

import (
	"net/netip"
	"time"
)

const (
	// kept is the number of descriptors for the store, peers, the other listeners, and further
	// attempts at endpoints.
	kept = 64
	// perRequest is how many descriptors a connection of a caller needs while it carries a
	// request: its own, and one at an endpoint.
	perRequest = 2
	// minBound is the least number of callers' connections.
	minBound = 16
)

// Bound returns how many connections of callers may be open, of all descriptors of the process.
func Bound(descriptors int) int { return max(minBound, (descriptors-kept)/perRequest) }

// Phase is what a connection waits for.
type Phase int

// The phases of a connection.
const (
	// Silent connections have sent nothing.
	Silent Phase = iota
	// Partial connections have sent an incomplete header section.
	Partial
	// Busy connections carry a request, or may do so.
	Busy
	// Idle connections have got the response to their last request.
	Idle
	// Closing connections take no more requests and wait until their caller has noticed.
	Closing
	phases
)

const (
	// spareShare is the part of the bound that is left for connections that are Closing, and
	// for addresses that hold less than half of the bound.
	spareShare = 8
	// searchLength is how many of the oldest connections are searched for one of an address
	// that holds more than its share.
	searchLength = 64
	// youngTime is how long a connection isn't given up after its opening or the beginning of a
	// header section, and isn't closed after it was given up: what the caller has sent, or the
	// response to it, is on its way.
	youngTime = 100 * time.Millisecond
)

// Conn is the entry of one connection. Its fields are guarded by the lock of the Table's owner.
type Conn struct {
	// Value is the owner's.
	Value any

	group *group
	phase Phase
	// since is when the phase began.
	since time.Time
	// links are the neighbors in the list of all addresses and in that of this address.
	links [2]struct{ previous, next *Conn }
}

// Phase returns the current phase.
func (c *Conn) Phase() Phase { return c.phase }

// Address returns the caller's address.
func (c *Conn) Address() netip.Addr { return c.group.address }

// The indices of Conn.links.
const (
	ofAll = iota
	ofAddress
)

// queue is a doubly linked list of the connections in one phase, the oldest first.
type queue struct {
	first, last *Conn
	length      int
}

func (q *queue) push(c *Conn, link int) {
	l := &c.links[link]
	l.previous, l.next = q.last, nil
	if q.last == nil {
		q.first = c
	} else {
		q.last.links[link].next = c
	}
	q.last = c
	q.length++
}

func (q *queue) remove(c *Conn, link int) {
	l := &c.links[link]
	if l.previous == nil {
		q.first = l.next
	} else {
		l.previous.links[link].next = l.next
	}
	if l.next == nil {
		q.last = l.previous
	} else {
		l.next.links[link].previous = l.previous
	}
	l.previous, l.next = nil, nil
	q.length--
}

// group is the connections of one address.
type group struct {
	address netip.Addr
	count   int
	queues  [phases]queue
}

// Table is the connections of callers. Its zero value is empty. A Table isn't safe for
// concurrent use.
type Table struct {
	count  int
	queues [phases]queue
	groups map[netip.Addr]*group
}

// Count returns the number of connections.
func (t *Table) Count() int { return t.count }

// CountOf returns the number of connections in a phase.
func (t *Table) CountOf(p Phase) int { return t.queues[p].length }

// First returns the connection that has been in a phase for longest, or nil.
func (t *Table) First(p Phase) *Conn { return t.queues[p].first }

// Open adds a connection that has sent nothing.
func (t *Table) Open(now time.Time, address netip.Addr, value any) *Conn {
	if t.groups == nil {
		t.groups = make(map[netip.Addr]*group)
	}
	g := t.groups[address]
	if g == nil {
		g = &group{address: address}
		t.groups[address] = g
	}
	c := &Conn{Value: value, group: g, since: now}
	t.count++
	g.count++
	t.push(c)
	return c
}

// Move notes that a phase begins. The order of connections in a phase is that of these calls.
func (t *Table) Move(now time.Time, c *Conn, p Phase) {
	t.remove(c)
	c.phase, c.since = p, now
	t.push(c)
}

// Close removes a connection.
func (t *Table) Close(c *Conn) {
	t.remove(c)
	t.count--
	if c.group.count--; c.group.count == 0 {
		delete(t.groups, c.group.address)
	}
}

func (t *Table) push(c *Conn) {
	t.queues[c.phase].push(c, ofAll)
	c.group.queues[c.phase].push(c, ofAddress)
}

func (t *Table) remove(c *Conn) {
	t.queues[c.phase].remove(c, ofAll)
	c.group.queues[c.phase].remove(c, ofAddress)
}

// Decision is what happens to a new connection.
type Decision struct {
	// Admit is false if the connection is to be refused, or if Wait is true: there may be room
	// within 100 ms.
	Admit, Wait bool
	// Victim, if set, is to be moved to Closing first, and Drop to be closed at once.
	Victim, Drop *Conn
}

// Decide decides on a new connection from an address, where limit connections may be open.
//
// Near the limit, a connection is given up for each new one: of those that are Idle the one
// that has been so for longest, else of those that are Silent or Partial. It is one of the same
// address if that holds more than its equal share. Connections that are Busy are never given up.
// Without any to give up, the rest is for addresses that hold less than half of the limit.
func (t *Table) Decide(now time.Time, address netip.Addr, limit int) Decision {
	d := Decision{Admit: true}
	if t.count-t.CountOf(Closing) >= limit-limit/spareShare {
		g := t.groups[address]
		if g != nil && t.overShare(g, limit) {
			d.Victim = oldest(now, &g.queues)
		} else {
			d.Victim = t.Spare(now, limit)
		}
		d.Admit = d.Victim != nil || g == nil || g.count < limit/2
	}
	if t.count >= limit && d.Admit {
		if d.Drop = aged(now, t.First(Closing)); d.Drop == nil && t.CountOf(Closing) == 0 {
			d.Drop, d.Victim = d.Victim, nil
		}
		d.Admit = d.Drop != nil
	}
	if !d.Admit {
		d = Decision{Wait: t.CountOf(Silent)+t.CountOf(Partial)+t.CountOf(Closing) > 0}
	}
	return d
}

// overShare reports whether an address holds more than an equal share of the limit.
func (t *Table) overShare(g *group, limit int) bool { return g.count*len(t.groups) > limit }

// Spare returns the connection to give up of those of all addresses, or nil.
func (t *Table) Spare(now time.Time, limit int) *Conn {
	for _, p := range []Phase{Idle, Silent, Partial} {
		c := t.First(p)
		if p != Idle {
			c = aged(now, c)
		}
		for n := 0; c != nil && n < searchLength; n++ {
			if t.overShare(c.group, limit) {
				return c
			}
			c = c.links[ofAll].next
			if p != Idle {
				c = aged(now, c)
			}
		}
	}
	return oldest(now, &t.queues)
}

// aged returns c, or nil if c has been in its phase for less than youngTime.
func aged(now time.Time, c *Conn) *Conn {
	if c == nil || now.Sub(c.since) < youngTime {
		return nil
	}
	return c
}

// oldest returns the connection that has been Idle for longest, else the one that has been
// Silent or Partial for longest, or nil.
func oldest(now time.Time, queues *[phases]queue) *Conn {
	if c := queues[Idle].first; c != nil {
		return c
	}
	s, p := aged(now, queues[Silent].first), aged(now, queues[Partial].first)
	if s == nil || p != nil && p.since.Before(s.since) {
		return p
	}
	return s
}

// Limits are the times that a connection may take. Zero means no limit.
type Limits struct {
	// Header is the time for a header section, from the opening of the connection or from the
	// section's first byte on.
	Header time.Duration
	// Idle is the time without a request.
	Idle time.Duration
	// Closing is the time until a connection that takes no more requests is closed.
	Closing time.Duration
}

// Overdue returns a connection that is past its time, or nil.
func (t *Table) Overdue(now time.Time, l Limits) *Conn {
	for p, limit := range [phases]time.Duration{Silent: l.Header, Partial: l.Header, Idle: l.Idle, Closing: l.Closing} {
		if c := t.queues[p].first; c != nil && limit > 0 && now.Sub(c.since) >= limit {
			return c
		}
	}
	return nil
}

// Each calls f for the connections in a phase.
func (t *Table) Each(p Phase, f func(c *Conn)) {
	for c := t.queues[p].first; c != nil; c = c.links[ofAll].next {
		f(c)
	}
}

// Oldest calls f for some of the connections that have been in a phase for longest.
func (t *Table) Oldest(p Phase, f func(c *Conn)) {
	c := t.queues[p].first
	for n := 0; c != nil && n < searchLength; n++ {
		f(c)
		c = c.links[ofAll].next
	}
}
