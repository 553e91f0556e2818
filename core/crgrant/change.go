package crgrant

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crplace"
	pb "crocusrack/schema/crrouter"
)

const (
	// maxChanges is how many changes of the endpoints are kept for instances that
	// lack them: one every half second, for as long as a fetch is tried.
	maxChanges = 16
	// partialShare is the part of the endpoints beyond which all are sent: what
	// has changed is no longer smaller.
	partialShare = 0.5
	// ColdTolerance is how far two notes of when an endpoint is warm may lie
	// apart and be the same: entries say it as of their writing.
	ColdTolerance = 500 * time.Millisecond
)

// ErrIncomplete says that changes don't lead from the endpoints here to those of
// the sender, who may have read the store at other times: all are needed.
var ErrIncomplete = errors.New("the changes of the endpoints don't lead to the sender's")

// change is what one revision of the endpoints changed.
type change struct {
	before, revision uint64
	// ids are the endpoints that are new, different or gone.
	ids []string
}

// changes are the last changes of the endpoints, oldest first.
type changes []change

// note keeps what a new list changes.
func (c *changes) note(before, revision uint64, old, list []*crplace.Endpoint) {
	*c = append(*c, change{before, revision, changedIDs(old, list)})
	if extra := len(*c) - maxChanges; extra > 0 {
		*c = slices.Delete(*c, 0, extra)
	}
}

func changedIDs(old, list []*crplace.Endpoint) []string {
	there := byID(old)
	var ids []string
	for _, e := range list {
		if o := there[e.ID]; o == nil || !same(o, e) {
			ids = append(ids, e.ID)
		}
		delete(there, e.ID)
	}
	return slices.AppendSeq(ids, maps.Keys(there))
}

func byID(list []*crplace.Endpoint) map[string]*crplace.Endpoint {
	m := make(map[string]*crplace.Endpoint, len(list))
	for _, e := range list {
		m[e.ID] = e
	}
	return m
}

// same reports whether two endpoints differ at most in when they are warm, and
// little in that.
func same(a, b *crplace.Endpoint) bool {
	x := *a
	x.ColdUntil = b.ColdUntil
	return x == *b && a.ColdUntil.Sub(b.ColdUntil).Abs() <= ColdTolerance
}

// since returns the endpoints that changed after a revision, and false when that
// isn't known.
func (c changes) since(revision uint64) (map[string]bool, bool) {
	if len(c) == 0 || revision < c[0].before {
		return nil, false
	}
	ids := make(map[string]bool)
	for _, o := range c {
		if o.revision > revision {
			for _, id := range o.ids {
				ids[id] = true
			}
		}
	}
	return ids, true
}

// fingerprint identifies a list of endpoints whatever its order, but for when
// they are warm.
func fingerprint(list []*crplace.Endpoint) uint64 {
	sum := uint64(0)
	for _, e := range list {
		sum ^= crhash.Mix(uint64(e.Key), crhash.Of(fmt.Sprint(e.Service, " ", e.Address, " ", e.FailureDomain, " ", e.Slots, " ", e.Draining)))
	}
	return sum
}

// changed returns the endpoints for an instance that has those of an earlier
// revision: what has changed since, if that is known and less than all.
func (s *State) changed(now time.Time, have uint64) *pb.Endpoints {
	m := &pb.Endpoints{Revision: s.endpointsRevision}
	ids, known := s.changes.since(have)
	if known && have > 0 && float64(len(ids)) <= partialShare*float64(len(s.endpoints)) {
		m.Partial, m.Fingerprint = true, s.endpointsPrint
	}
	for _, e := range s.endpoints {
		if !m.Partial || ids[e.ID] {
			m.Endpoints = append(m.Endpoints, endpointProto(now, e))
		}
		delete(ids, e.ID)
	}
	if m.Partial {
		m.Gone = slices.Sorted(maps.Keys(ids))
	}
	return m
}

// merge returns the endpoints that a peer's message leads to. It returns
// ErrIncomplete when those aren't the peer's.
func (s *State) merge(now time.Time, m *pb.Endpoints) ([]*crplace.Endpoint, error) {
	there := make(map[string]*crplace.Endpoint)
	if m.GetPartial() {
		s.mu.Lock()
		there = byID(s.endpoints)
		s.mu.Unlock()
	}
	for _, e := range m.GetEndpoints() {
		endpoint, err := NewEndpoint(now, e)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		there[endpoint.ID] = endpoint
	}
	for _, id := range m.GetGone() {
		delete(there, id)
	}
	list := make([]*crplace.Endpoint, 0, len(there))
	for _, id := range slices.Sorted(maps.Keys(there)) {
		list = append(list, there[id])
	}
	if m.GetPartial() && fingerprint(list) != m.GetFingerprint() {
		return nil, ErrIncomplete
	}
	return list, nil
}
