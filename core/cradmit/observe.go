package cradmit

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crshard"
)

// Done gives a grant back with what was seen of the request. It does nothing
// when the grant was given back before.
func (a *Admitter) Done(now time.Time, id uint64, o Observation) {
	p := a.grants.get(id)
	if p == nil {
		return
	}
	g := *p
	a.grants.put(id)
	g.endpoint.inFlight--
	g.account.inFlight--
	if !g.walked {
		g.shard.chats.remove(g.chat)
	}
	g.endpoint.learn(now, &g, &o)
	if s := g.endpoint.shard; s != nil {
		a.dispatch(now, s)
		return
	}
	a.settle(g.endpoint)
}

// learn takes in what was seen of a request.
func (e *endpoint) learn(now time.Time, g *grant, o *Observation) {
	if o.Outcome == RefusedEpoch && o.Epoch != 0 && g.epoch == e.epoch && o.Epoch != e.epoch {
		// The endpoint has refused the epoch known here, so its own is current
		// even if it is lower.
		e.setEpoch(o.Epoch)
	}
	e.learnEpoch(o.Epoch)
	switch o.Outcome {
	case Success:
		e.learnSuccess(now, g, o)
	case Failure:
		if g.epoch == e.epoch {
			e.fail(now, g)
		}
	case RefusedOverload:
		e.refuseOverload()
	case RefusedLeaving:
		e.leave(now)
	}
	if o.Outcome != Success && o.Outcome != Cancelled && g.chatSeen == 0 {
		e.chats.removeTouch(g.chat, g.chatTouch)
	}
}

func (e *endpoint) learnSuccess(now time.Time, g *grant, o *Observation) {
	took := now.Sub(g.start)
	e.service = average(e.service, took)
	g.shard.service = average(g.shard.service, took)
	if g.epoch != e.epoch && o.Epoch != e.epoch {
		return
	}
	e.succeed(now)
	e.correct(g, o)
	e.observeFirstToken(o)
}

// Observe takes in an endpoint's report. Reports that are no newer than the
// last one are ignored. A new epoch or a cold endpoint puts the warm-up limit
// back. While the ownership is contested, work beyond the grants is taken for
// the other owner's; otherwise a report only lowers the count of such work.
func (a *Admitter) Observe(now time.Time, r Report) {
	e := a.endpoints[r.Endpoint]
	if e == nil || !r.At.After(e.reportAt) {
		return
	}
	e.reach(now)
	e.unreached = false
	e.reportAt = r.At
	e.learnEpoch(r.Epoch)
	if r.Epoch != e.epoch && r.Epoch != 0 {
		return
	}
	if r.Leaving {
		e.leave(r.At)
	} else if r.At.After(e.leavingAt) {
		e.leaving = false
	}
	e.reportedCold = r.Cold
	if r.Cold {
		e.trusted = false
		e.cool()
	} else {
		e.reportWarm()
	}
	if e.shard == nil {
		return
	}
	a.observeForeign(now, e, &r)
	a.dispatch(now, e.shard)
}

// Unreached tells that an endpoint couldn't be asked for its report. One that
// may be cold, and has given none since its shard came here, gets nothing until
// it does.
func (a *Admitter) Unreached(endpoint string) {
	if e := a.endpoints[endpoint]; e != nil {
		e.unreached = true
	}
}

// observeForeign compares the report with the grants that are older than it.
func (a *Admitter) observeForeign(now time.Time, e *endpoint, r *Report) {
	contested := e.shard.contested(now)
	if e.foreign == 0 && !contested {
		return
	}
	foreign := max(r.InFlight-a.grantedBefore(e, r.At), 0)
	if contested && foreign > e.foreign {
		e.foreign = foreign
		e.foreignUntil = now.Add(a.foreignTimeout())
	}
	if r.At.Before(e.handedOver.Add(arrivalTime)) {
		// What the earlier owner let in last may not have arrived by then.
		return
	}
	e.foreign = min(e.foreign, foreign)
}

// grantedBefore counts the endpoint's grants in flight that are older than at.
func (a *Admitter) grantedBefore(e *endpoint, at time.Time) int {
	n := 0
	for i := range a.grants.slots {
		if g := &a.grants.slots[i].value; g.endpoint == e && !g.start.After(at) {
			n++
		}
	}
	return n
}

func (a *Admitter) foreignTimeout() time.Duration {
	return cmp.Or(a.ForeignTimeout, DefaultForeignTimeout)
}

// CacheCleared tells that the endpoint has lost all that it held in the epoch.
// An epoch of 0 stands for the current one.
func (a *Admitter) CacheCleared(_ time.Time, endpoint string, epoch uint64) {
	e := a.endpoints[endpoint]
	if e == nil {
		return
	}
	e.learnEpoch(epoch)
	if epoch != 0 && epoch != e.epoch {
		return
	}
	e.forget()
	e.cool()
}

// CacheEvent tells which prefixes the endpoint has stored and evicted.
func (a *Admitter) CacheEvent(endpoint string, stored, evicted []uint64) {
	e := a.endpoints[endpoint]
	if e == nil {
		return
	}
	for _, p := range stored {
		e.prefixes.touch(p)
	}
	for _, p := range evicted {
		e.prefixes.remove(p)
	}
}

// Export returns the state of the shard's endpoints for another owner. The
// caller then removes the shard by SetShards. Of a shard that isn't owned here
// any more it returns the endpoints that still drain: an owner that heard of
// its loss before the new owner asks has work in flight all the same.
func (a *Admitter) Export(now time.Time, k crshard.Key) Handover {
	s := a.shards[k]
	if s == nil {
		return a.exportDraining(now, k)
	}
	h := Handover{Endpoints: make([]EndpointState, len(s.endpoints)), Contested: s.contested(now)}
	for i, e := range s.endpoints {
		h.Endpoints[i] = e.export()
	}
	return h
}

func (a *Admitter) exportDraining(now time.Time, k crshard.Key) Handover {
	var h Handover
	for _, e := range a.endpoints {
		if e.shard == nil && e.key == k {
			h.Endpoints = append(h.Endpoints, e.export())
			h.Contested = h.Contested || now.Before(e.contestedUntil)
		}
	}
	slices.SortFunc(h.Endpoints, func(x, y EndpointState) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return h
}

func (e *endpoint) export() EndpointState {
	return EndpointState{
		Endpoint: e.name, Epoch: e.epoch, InFlight: e.load(), Limit: e.limit,
		Chats: e.chats.recent(), Prefixes: e.prefixes.recent(),
	}
}

// Import takes in what the earlier owner has exported. It ends the contest of
// the shard, unless the earlier owner's ownership was contested itself. The
// earlier owner's work counts as foreign until reports or ForeignTimeout say
// that it has ended. States of endpoints that aren't in the shard are ignored.
func (a *Admitter) Import(now time.Time, k crshard.Key, h Handover) {
	s := a.shards[k]
	if s == nil {
		return
	}
	for i := range h.Endpoints {
		st := &h.Endpoints[i]
		if e := a.endpoints[st.Endpoint]; e != nil && e.shard == s {
			e.adopt(st, now, now.Add(a.foreignTimeout()))
		}
	}
	if !h.Contested {
		s.settle()
	}
	a.dispatch(now, s)
}

// adopt takes over the state from the earlier owner. When a later epoch is
// known here, only the work in flight counts.
func (e *endpoint) adopt(st *EndpointState, now, foreignUntil time.Time) {
	e.foreign = max(st.InFlight, 0)
	e.foreignUntil = foreignUntil
	e.handedOver = now
	if st.Epoch < e.epoch {
		return
	}
	e.learnEpoch(st.Epoch)
	if !e.reportedCold {
		e.limit = min(max(st.Limit, 1), e.capacity)
		e.successes = 0
	}
	for i := len(st.Chats) - 1; i >= 0; i-- {
		e.chats.touch(st.Chats[i])
	}
	for i := len(st.Prefixes) - 1; i >= 0; i-- {
		e.prefixes.touch(st.Prefixes[i])
	}
}
