package cradmit

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crshard"
)

// Done releases a grant and records the observation of its request. It does nothing if
// the grant has already been released.
func (a *Admitter) Done(now time.Time, id uint64, o Observation) {
	p := a.grants.get(id)
	if p == nil {
		return
	}
	g := *p
	a.grants.put(id)
	g.endpoint.inFlight--
	g.account.inFlight--
	if !g.refusedElsewhere {
		g.shard.demandChats.remove(g.chat)
	}
	g.endpoint.observeDone(now, &g, &o)
	if s := g.endpoint.shard; s != nil {
		a.dispatch(now, s)
		return
	}
	a.drainOrRemove(g.endpoint)
}

// observeDone updates the state of the endpoint with the observation of a request.
func (e *endpoint) observeDone(now time.Time, g *grant, o *Observation) {
	if o.Outcome == RefusedEpoch && o.Epoch != 0 && g.epoch == e.epoch && o.Epoch != e.epoch {
		// The endpoint refused the epoch known here, so its own epoch is current even
		// if it is lower.
		e.setEpoch(o.Epoch)
	}
	e.observeEpoch(o.Epoch)
	switch o.Outcome {
	case Success:
		e.observeSuccess(now, g, o)
	case Failure:
		if g.epoch == e.epoch {
			e.halveLimit(now, g)
		}
	case RefusedOverload:
		e.lowerLimit()
	case RefusedLeaving:
		e.setLeaving(now)
	}
	if o.Outcome != Success && o.Outcome != Cancelled && g.prevChatTouch == 0 {
		e.chats.removeIfLastTouched(g.chat, g.chatTouch)
	}
}

func (e *endpoint) observeSuccess(now time.Time, g *grant, o *Observation) {
	took := now.Sub(g.start)
	e.serviceTime = average(e.serviceTime, took)
	g.shard.serviceTime = average(g.shard.serviceTime, took)
	if g.epoch != e.epoch && o.Epoch != e.epoch {
		return
	}
	e.raiseLimit(now)
	e.dropEvicted(g, o)
	e.observeFirstToken(o)
}

// Observe processes a report of an endpoint. A report that isn't newer than the last
// one is ignored. A new epoch or a cold endpoint resets the warm-up limit. While the
// ownership is contested, requests beyond the grants are attributed to the other owner;
// otherwise a report can only lower the number of such requests.
func (a *Admitter) Observe(now time.Time, r Report) {
	e := a.endpoints[r.Endpoint]
	if e == nil || !r.At.After(e.reportAt) {
		return
	}
	e.observeReachable(now)
	e.reportFailed = false
	e.reportAt = r.At
	e.observeEpoch(r.Epoch)
	if r.Epoch != e.epoch && r.Epoch != 0 {
		return
	}
	if r.Leaving {
		e.setLeaving(r.At)
	} else if r.At.After(e.leavingAt) {
		e.leaving = false
	}
	e.reportedCold = r.Cold
	if r.Cold {
		e.warmInEpoch = false
		e.resetWarmUp()
	} else {
		e.observeWarm()
	}
	if e.shard == nil {
		return
	}
	a.observeForeign(now, e, &r)
	a.dispatch(now, e.shard)
}

// ReportFailed records that a request for the endpoint's report failed. If the endpoint
// may be cold and has sent no report since its shard came to this instance, it gets
// no requests until it sends one.
func (a *Admitter) ReportFailed(endpoint string) {
	if e := a.endpoints[endpoint]; e != nil {
		e.reportFailed = true
	}
}

// observeForeign updates the number of requests granted by other owners: the requests
// in the report beyond the grants made before it.
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
	if r.At.Before(e.handedOverAt.Add(maxArrivalDelay)) {
		// The last requests that the earlier owner granted may not have arrived before
		// this report was made.
		return
	}
	e.foreign = min(e.foreign, foreign)
}

// grantedBefore returns the number of the endpoint's grants in flight that started at
// or before the given time.
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

// CacheCleared records that the endpoint has lost its whole cache in the epoch. An
// epoch of 0 means the current one.
func (a *Admitter) CacheCleared(_ time.Time, endpoint string, epoch uint64) {
	e := a.endpoints[endpoint]
	if e == nil {
		return
	}
	e.observeEpoch(epoch)
	if epoch != 0 && epoch != e.epoch {
		return
	}
	e.clearCache()
	e.resetWarmUp()
}

// UpdatePrefixes records which prefixes the endpoint has stored and evicted.
func (a *Admitter) UpdatePrefixes(endpoint string, stored, evicted []uint64) {
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

// Export returns the state of the endpoints of the shard for its new owner. The caller
// then removes the shard with SetShards. If the shard isn't owned here any more, Export
// returns its draining endpoints: an owner that learns of the loss before the new owner
// asks for the state still has requests in flight.
func (a *Admitter) Export(now time.Time, k crshard.Key) Handover {
	s := a.shards[k]
	if s == nil {
		return a.exportDraining(now, k)
	}
	h := Handover{Endpoints: make([]EndpointState, len(s.endpoints)), Contested: s.contested(now)}
	for i, e := range s.endpoints {
		h.Endpoints[i] = e.exportState()
	}
	return h
}

func (a *Admitter) exportDraining(now time.Time, k crshard.Key) Handover {
	var h Handover
	for _, e := range a.endpoints {
		if e.shard == nil && e.key == k {
			h.Endpoints = append(h.Endpoints, e.exportState())
			h.Contested = h.Contested || now.Before(e.contestedUntil)
		}
	}
	slices.SortFunc(h.Endpoints, func(x, y EndpointState) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return h
}

func (e *endpoint) exportState() EndpointState {
	return EndpointState{
		Endpoint: e.name, Epoch: e.epoch, InFlight: e.load(), Limit: e.warmUpLimit,
		Chats: e.chats.hashes(), Prefixes: e.prefixes.hashes(),
	}
}

// Import applies the state that the earlier owner exported. It ends the contested time
// of the shard, unless the earlier owner's ownership was itself contested. The requests
// of the earlier owner count as foreign until reports show that they have ended or
// ForeignTimeout passes. States of endpoints that aren't in the shard are ignored.
func (a *Admitter) Import(now time.Time, k crshard.Key, h Handover) {
	s := a.shards[k]
	if s == nil {
		return
	}
	for i := range h.Endpoints {
		st := &h.Endpoints[i]
		if e := a.endpoints[st.Endpoint]; e != nil && e.shard == s {
			e.importState(st, now, now.Add(a.foreignTimeout()))
		}
	}
	if !h.Contested {
		s.endContest()
	}
	a.dispatch(now, s)
}

// importState applies the state from the earlier owner. If a later epoch is known here,
// only the requests in flight are taken over.
func (e *endpoint) importState(st *EndpointState, now, foreignUntil time.Time) {
	e.foreign = max(st.InFlight, 0)
	e.foreignUntil = foreignUntil
	e.handedOverAt = now
	if st.Epoch < e.epoch {
		return
	}
	e.observeEpoch(st.Epoch)
	if !e.reportedCold {
		e.warmUpLimit = min(max(st.Limit, 1), e.capacity)
		e.successes = 0
	}
	for i := len(st.Chats) - 1; i >= 0; i-- {
		e.chats.touch(st.Chats[i])
	}
	for i := len(st.Prefixes) - 1; i >= 0; i-- {
		e.prefixes.touch(st.Prefixes[i])
	}
}
