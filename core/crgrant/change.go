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
	// maxChanges bounds the stored changes of the endpoints. It covers one change every
	// half second for as long as a fetch is tried.
	maxChanges = 16
	// maxPartialShare is the largest fraction of the endpoints that is sent as a list of
	// changes. Beyond it the whole list is sent, because the changes would no longer be
	// smaller.
	maxPartialShare = 0.5
	// ColdTolerance is the largest difference between two ColdUntil times of an endpoint
	// that are considered equal. Stored entries give the remaining time as of their
	// writing.
	ColdTolerance = 500 * time.Millisecond
)

// ErrIncomplete is returned if applying the received changes doesn't result in the
// sender's endpoints, which happens if the sender read the store at other times. The
// complete list must be fetched.
var ErrIncomplete = errors.New("applying the endpoint changes doesn't result in the sender's endpoints")

// change describes what changed between two positions of the endpoints.
type change struct {
	previous, at Position
	// ids are the endpoints that were added, modified or removed.
	ids []string
}

// changes holds the most recent changes of the endpoints, oldest first.
type changes []change

// add appends the differences between two lists of endpoints and drops the oldest changes
// beyond maxChanges.
func (c *changes) add(previous, at Position, old, list []*crplace.Endpoint) {
	*c = append(*c, change{previous, at, changedIDs(old, list)})
	if extra := len(*c) - maxChanges; extra > 0 {
		*c = slices.Delete(*c, 0, extra)
	}
}

// changedIDs returns the IDs of the endpoints that were added, modified or removed.
func changedIDs(old, list []*crplace.Endpoint) []string {
	remaining := byID(old)
	var ids []string
	for _, e := range list {
		if o := remaining[e.ID]; o == nil || !equalEndpoints(o, e) {
			ids = append(ids, e.ID)
		}
		delete(remaining, e.ID)
	}
	return slices.AppendSeq(ids, maps.Keys(remaining))
}

func byID(list []*crplace.Endpoint) map[string]*crplace.Endpoint {
	m := make(map[string]*crplace.Endpoint, len(list))
	for _, e := range list {
		m[e.ID] = e
	}
	return m
}

// equalEndpoints reports whether two endpoints are equal, apart from a difference in
// ColdUntil of at most ColdTolerance.
func equalEndpoints(a, b *crplace.Endpoint) bool {
	x := *a
	x.ColdUntil = b.ColdUntil
	return x == *b && a.ColdUntil.Sub(b.ColdUntil).Abs() <= ColdTolerance
}

// since returns the endpoints that changed after a position. It returns false if the
// stored changes don't reach back that far.
func (c changes) since(at Position) (map[string]bool, bool) {
	if len(c) == 0 || at < c[0].previous {
		return nil, false
	}
	ids := make(map[string]bool)
	for _, o := range c {
		if o.at > at {
			for _, id := range o.ids {
				ids[id] = true
			}
		}
	}
	return ids, true
}

// fingerprint returns a hash of a list of endpoints that depends neither on its order nor
// on ColdUntil.
func fingerprint(list []*crplace.Endpoint) uint64 {
	sum := uint64(0)
	for _, e := range list {
		sum ^= crhash.Mix(uint64(e.Key), crhash.Of(fmt.Sprint(e.Service, " ", e.Address, " ", e.FailureDomain, " ", e.Slots, " ", e.Draining)))
	}
	return sum
}

// endpointsSince returns the message for an instance that has an earlier position of the
// endpoints. It contains only the changes since then if they are known and few enough, and
// the complete list otherwise.
func (s *State) endpointsSince(now time.Time, have Position) *pb.Endpoints {
	m := &pb.Endpoints{Revision: s.endpointsPosition.Revision(), Era: s.endpointsPosition.Era(), Provisional: s.endpointsPosition.IsProvisional()}
	ids, known := s.changes.since(have)
	if known && have > 0 && float64(len(ids)) <= maxPartialShare*float64(len(s.endpoints)) {
		m.Partial, m.Fingerprint = true, s.endpointsFingerprint
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

// mergeEndpoints returns the list of endpoints that results from another instance's
// message. It returns ErrIncomplete if the result differs from the sender's list.
func (s *State) mergeEndpoints(now time.Time, m *pb.Endpoints) ([]*crplace.Endpoint, error) {
	merged := make(map[string]*crplace.Endpoint)
	if m.GetPartial() {
		s.mu.Lock()
		merged = byID(s.endpoints)
		s.mu.Unlock()
	}
	for _, e := range m.GetEndpoints() {
		endpoint, err := NewEndpoint(now, e)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		merged[endpoint.ID] = endpoint
	}
	for _, id := range m.GetGone() {
		delete(merged, id)
	}
	list := make([]*crplace.Endpoint, 0, len(merged))
	for _, id := range slices.Sorted(maps.Keys(merged)) {
		list = append(list, merged[id])
	}
	if m.GetPartial() && fingerprint(list) != m.GetFingerprint() {
		return nil, ErrIncomplete
	}
	return list, nil
}
