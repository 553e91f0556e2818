package cradmit

import (
	"cmp"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
)

// maxAccounts is the number of client accounts in one shard at which idle ones are
// removed.
const maxAccounts = 4096

// shard is the state of one owned shard.
type shard struct {
	key    crshard.Key
	layout *crshard.Shard
	// endpoints has the order of layout.Endpoints.
	endpoints []*endpoint
	capacity  int
	// waiters lists the ids of the waiters in order of arrival.
	waiters []uint64
	// waitingByClass is the number of waiters of each class.
	waitingByClass [Batch + 1]int
	accounts       map[uint64]*account
	// demandChats counts the distinct chats of requests in flight, waiting and recently
	// refused whose first choice is this shard. refusals contains the recently refused
	// ones.
	demandChats chatCounter
	refusals    refusals
	// grantCount is the number of grants so far, to tell which account got one last.
	grantCount     uint64
	contestedUntil time.Time
	// serviceTime is the moving average of the time from grant to success.
	serviceTime time.Duration
}

// account is the state of one client account in one shard.
type account struct {
	inFlight int
	waiting  int
	// lastGrant is the sequence number of the account's last grant.
	lastGrant uint64
}

// account returns the state of the named account and creates it if necessary.
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

// admissible returns how many of the given number of requests fit within the warm-up
// limits of the endpoints. Requests that wait until cold endpoints are warm don't count
// as demand that would raise the bounds of other endpoints, since they can't be in
// flight yet.
func (s *shard) admissible(count int) int {
	room := 0
	for _, e := range s.endpoints {
		room += max(min(e.warmUpLimit, e.capacity)-e.load(), 0)
	}
	return min(count, room)
}

// ShardLoad is the load of one owned shard, which is sent to other instances.
type ShardLoad struct {
	Shard crshard.Key
	// InFlight is the number of requests in flight of this owner and of others. Waiting
	// is the number of queued requests that fit within the warm-up limits.
	InFlight, Waiting int
	// Capacity is the number of requests that the endpoints can run at once.
	Capacity int
}

// ShardLoads appends the load of every owned shard to dst and returns the extended slice.
func (a *Admitter) ShardLoads(dst []ShardLoad) []ShardLoad {
	for _, s := range a.shards {
		dst = append(dst, ShardLoad{Shard: s.key, InFlight: s.inFlight(), Waiting: s.admissible(len(s.waiters)), Capacity: s.capacity})
	}
	return dst
}

// demand returns the number of requests in flight plus the admissible ones among the
// waiters and the extra requests. While the ownership is contested, the other owner is
// assumed to have at least as much demand as this one.
func (s *shard) demand(now time.Time, extra int) int {
	own, foreign := s.admissible(len(s.waiters)+extra), 0
	for _, e := range s.endpoints {
		own += e.inFlight
		foreign += e.foreign
	}
	if s.contested(now) {
		foreign = max(foreign, own)
	}
	return own + foreign
}

// endContest ends the contested time, because the earlier owner has told which
// requests it granted.
func (s *shard) endContest() {
	s.contestedUntil = time.Time{}
	for _, e := range s.endpoints {
		e.contestedSince = time.Time{}
	}
}

func (s *shard) contested(now time.Time) bool { return now.Before(s.contestedUntil) }

// maxWaiting returns the maximum length of the queue of the shard.
func (a *Admitter) maxWaiting(s *shard) int {
	return cmp.Or(a.MaxWaiting, min(s.capacity, DefaultMaxWaiting))
}

// SetShards replaces the set of owned shards. The state of endpoints that remain is
// kept, even if they move to another shard. An endpoint that is in no shard gets no new
// requests and drains; if it is added again, its warm-up limit is that of a cold
// endpoint. Requests queued for a shard that is no longer owned are refused; see Decisions.
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
		a.drainOrRemove(e)
	}
	for _, s := range a.owned {
		a.updatePreferred(s)
		a.dispatch(now, s)
	}
}

// setShard creates or updates the state of one shard.
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

// endpoint returns the state of the configured endpoint and creates it if necessary.
func (a *Admitter) endpoint(now time.Time, c *crshard.Endpoint) *endpoint {
	e := a.endpoints[c.Name]
	if e == nil {
		e = &endpoint{name: c.Name, addedAt: now, warmUpLimit: max(c.ColdCapacity, 1)}
		e.chats.maxEntries = min(cmp.Or(a.HeldChats, DefaultHeldChats), maxHeld)
		e.prefixes.maxEntries = min(cmp.Or(a.HeldPrefixes, DefaultHeldPrefixes), maxHeld)
		a.endpoints[c.Name] = e
	}
	e.configure(c)
	return e
}

// drainOrRemove resets the warm-up limit of an endpoint that is in no shard, and
// removes the endpoint if nothing is in flight.
func (a *Admitter) drainOrRemove(e *endpoint) {
	if e.shard != nil {
		return
	}
	e.resetWarmUp()
	if e.inFlight == 0 {
		delete(a.endpoints, e.name)
	}
}

// updatePreferred recomputes the preferred endpoints of the shard's waiters.
func (a *Admitter) updatePreferred(s *shard) {
	for _, id := range s.waiters {
		w := a.waiters.get(id)
		if w.holder != nil && w.holder.shard != s {
			w.holder = nil
		}
		w.preferred = w.holder
		if w.preferred == nil {
			w.preferred = s.firstChoice(w.chat)
		}
		w.preferred.waiting++
	}
}

func (s *shard) firstChoice(chat uint64) *endpoint {
	first, _ := s.layout.TopTwo(chat)
	return s.endpoints[first]
}

// MarkContested marks the ownership of the shard as contested until the given time, because
// another instance may still act as its owner. Both the earlier and the new owner call
// it. Until then, this owner may use half of every bound. Requests in reports beyond
// its own grants are attributed to the other owner, and all requests together stay
// within the bound. An endpoint with a bound of 1 gets no requests from either owner.
// An endpoint that may be cold gets none before a report shows what runs there, because
// requests of an owner that is gone may still be running. A time that isn't after now
// ends the contested time, and so does Import.
func (a *Admitter) MarkContested(now time.Time, k crshard.Key, until time.Time) {
	s := a.shards[k]
	if s == nil {
		return
	}
	switch {
	case !until.After(now):
		s.endContest()
	case !s.contested(now):
		for _, e := range s.endpoints {
			e.contestedSince = now
		}
	}
	s.contestedUntil = until
	a.dispatch(now, s)
}

// Holder returns an owned shard of the service that has an endpoint that holds the
// chat, and whether there is one.
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
