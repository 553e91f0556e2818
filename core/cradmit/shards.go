package cradmit

import (
	"cmp"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
)

// maxAccounts is the count of client accounts in one shard above which idle
// ones are forgotten.
const maxAccounts = 4096

// shard is the state of one owned shard.
type shard struct {
	key    crshard.Key
	layout *crshard.Shard
	// endpoints are in the order of the layout's.
	endpoints []*endpoint
	capacity  int
	// waiters are in order of arrival.
	waiters []uint64
	// classes counts the waiters of each class.
	classes  [Batch + 1]int
	accounts map[uint64]*account
	// chats are those in flight, waiting and lately refused whose first choice
	// is this shard; refusals are the last of these.
	chats    distinct
	refusals refusals
	// grants counts the grants, to tell which account had one last.
	grants         uint64
	contestedUntil time.Time
	// service is the moving average of the time from grant to success.
	service time.Duration
}

// account is the state of a client account in one shard.
type account struct {
	inFlight int
	waiting  int
	// turn is the number of the account's last grant.
	turn uint64
}

// account returns the state of the named account.
func (s *shard) account(name string) *account {
	h := crhash.Of(name)
	if c := s.accounts[h]; c != nil {
		return c
	}
	if len(s.accounts) >= maxAccounts {
		for k, c := range s.accounts {
			if c.inFlight == 0 && c.waiting == 0 {
				delete(s.accounts, k)
			}
		}
	}
	c := &account{}
	s.accounts[h] = c
	return c
}

func (s *shard) inFlight() int {
	n := 0
	for _, e := range s.endpoints {
		n += e.load()
	}
	return n
}

// admissible returns how many of some more requests the shard could take within
// its endpoints' warm-up limits. What waits for cold endpoints to become warm
// is no demand that the others may grow by: it can't come into flight.
func (s *shard) admissible(more int) int {
	room := 0
	for _, e := range s.endpoints {
		room += max(min(e.limit, e.capacity)-e.load(), 0)
	}
	return min(more, room)
}

// Sum is the load of one owned shard, as other owners hear of it.
type Sum struct {
	Shard crshard.Key
	// InFlight counts the work of this owner and of earlier ones. Waiting counts
	// the waiting requests that the warm-up limits have room for.
	InFlight, Waiting int
	// Capacity is the count of requests that the endpoints bear at once.
	Capacity int
}

// Sums appends the load of every owned shard to dst and returns the extended
// slice.
func (a *Admitter) Sums(dst []Sum) []Sum {
	for _, s := range a.shards {
		dst = append(dst, Sum{Shard: s.key, InFlight: s.inFlight(), Waiting: s.admissible(len(s.waiters)), Capacity: s.capacity})
	}
	return dst
}

// demand returns what is in flight, and what of the waiting and some more
// requests is admissible. While
// the ownership is contested the other owner is taken to have as much as this
// one, if it isn't known to have more.
func (s *shard) demand(now time.Time, more int) int {
	own, foreign := s.admissible(len(s.waiters)+more), 0
	for _, e := range s.endpoints {
		own += e.inFlight
		foreign += e.foreign
	}
	if s.contested(now) {
		foreign = max(foreign, own)
	}
	return own + foreign
}

// settle ends the contested time: the earlier owner has told what it let in.
func (s *shard) settle() {
	s.contestedUntil = time.Time{}
	for _, e := range s.endpoints {
		e.gained = time.Time{}
	}
}

func (s *shard) contested(now time.Time) bool { return now.Before(s.contestedUntil) }

// maxWaiting is the most that may wait in the shard.
func (a *Admitter) maxWaiting(s *shard) int {
	return cmp.Or(a.MaxWaiting, min(s.capacity, DefaultMaxWaiting))
}

// SetShards makes the shards those that are owned. State of endpoints that
// stay is kept, also when they change their shard. An endpoint that is in no
// shard gets no new work and drains; should it return, it starts with the
// limit of a cold endpoint. Requests that wait for a shard that is no longer
// owned are refused; see Woken.
func (a *Admitter) SetShards(now time.Time, shards []*crshard.Shard) {
	if a.shards == nil {
		a.shards = make(map[crshard.Key]*shard)
		a.endpoints = make(map[string]*endpoint)
	}
	kept := make(map[crshard.Key]bool, len(shards))
	for _, l := range shards {
		kept[l.Key] = true
	}
	for _, s := range a.owned {
		if !kept[s.key] {
			a.refuseAll(now, s, ReasonNotOwner)
			delete(a.shards, s.key)
		}
	}
	clear(a.owned)
	a.owned = a.owned[:0]
	for _, e := range a.endpoints {
		if e.shard != nil {
			e.contestedUntil = e.shard.contestedUntil
		}
		e.shard = nil
		e.waiting = 0
	}
	for _, l := range shards {
		a.setShard(now, l)
	}
	for _, e := range a.endpoints {
		a.settle(e)
	}
	for _, s := range a.owned {
		a.prefer(s)
		a.dispatch(now, s)
	}
}

// setShard creates or updates one shard.
func (a *Admitter) setShard(now time.Time, l *crshard.Shard) {
	s := a.shards[l.Key]
	if s == nil {
		s = &shard{key: l.Key, accounts: make(map[uint64]*account)}
		a.shards[l.Key] = s
	}
	a.owned = append(a.owned, s)
	s.layout = l
	s.capacity = 0
	s.endpoints = make([]*endpoint, len(l.Endpoints))
	for i := range l.Endpoints {
		e := a.endpoint(now, &l.Endpoints[i])
		e.shard, e.key = s, l.Key
		s.endpoints[i] = e
		s.capacity += e.capacity
	}
}

// endpoint returns the state of the configured endpoint.
func (a *Admitter) endpoint(now time.Time, c *crshard.Endpoint) *endpoint {
	e := a.endpoints[c.Name]
	if e == nil {
		e = &endpoint{name: c.Name, since: now, limit: max(c.ColdCapacity, 1)}
		e.chats.size = min(cmp.Or(a.HeldChats, DefaultHeldChats), maxHeld)
		e.prefixes.size = min(cmp.Or(a.HeldPrefixes, DefaultHeldPrefixes), maxHeld)
		a.endpoints[c.Name] = e
	}
	e.configure(c)
	return e
}

// settle starts the drain of an endpoint that is in no shard, or forgets it
// when nothing is in flight.
func (a *Admitter) settle(e *endpoint) {
	if e.shard != nil {
		return
	}
	e.cool()
	if e.inFlight == 0 {
		delete(a.endpoints, e.name)
	}
}

// prefer renews the preferred endpoints of the shard's waiters.
func (a *Admitter) prefer(s *shard) {
	for _, id := range s.waiters {
		w := a.waiters.get(id)
		if w.holder != nil && w.holder.shard != s {
			w.holder = nil
		}
		w.preferred = w.holder
		if w.preferred == nil {
			w.preferred = s.first(w.chat)
		}
		w.preferred.waiting++
	}
}

func (s *shard) first(chat uint64) *endpoint {
	first, _ := s.layout.Choices(chat)
	return s.endpoints[first]
}

// Contest allows this owner half of every bound of the shard until the given
// time, because another instance may still act as its owner. What reports show
// beyond the grants is taken for that one's, and both together stay within the
// bound. The earlier and the new owner both call it. An endpoint with a bound of
// 1 gets nothing from either, and one that may be cold gets nothing before a
// report tells what runs there: requests of an owner that is gone may go on. A
// time that isn't after now ends the contest, and so does Import.
func (a *Admitter) Contest(now time.Time, k crshard.Key, until time.Time) {
	s := a.shards[k]
	if s == nil {
		return
	}
	switch {
	case !until.After(now):
		s.settle()
	case !s.contested(now):
		for _, e := range s.endpoints {
			e.gained = now
		}
	}
	s.contestedUntil = until
	a.dispatch(now, s)
}

// Holder returns the owned shard of the service with an endpoint that holds the
// chat.
func (a *Admitter) Holder(service string, chat uint64) (crshard.Key, bool) {
	for _, s := range a.shards {
		if s.key.Service != service {
			continue
		}
		for _, e := range s.endpoints {
			if e.chats.has(chat) {
				return s.key, true
			}
		}
	}
	return crshard.Key{}, false
}
