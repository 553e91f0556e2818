package crcatalogue

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crpeer"
)

// Delta holds the records that a peer sends to one with an older version.
type Delta struct {
	// Version and Hash are those of the resulting set.
	Version uint64
	Hash    uint64
	// Records are the records changed since the older version, or all records
	// if Whole is set.
	Records []*pb.Record
	Whole   bool
}

// Proto returns the delta in the encoding of the peer protocol.
func (d Delta) Proto() *crpeer.PullCatalogueResponse {
	return &crpeer.PullCatalogueResponse{Version: d.Version, Hash: d.Hash, Records: d.Records, Whole: d.Whole}
}

// DeltaFromProto converts a received delta. It does not validate the delta; Apply
// does.
func DeltaFromProto(p *crpeer.PullCatalogueResponse) Delta {
	return Delta{Version: p.GetVersion(), Hash: p.GetHash(), Records: p.GetRecords(), Whole: p.GetWhole()}
}

// Since returns the records with a version above the given one. For version 0 it
// returns all records and marks the delta as whole.
func (s *Set) Since(version uint64) Delta {
	d := Delta{Version: s.version, Hash: s.hash, Whole: version == 0}
	for _, r := range s.records.all() {
		if r.GetVersion() > version {
			d.Records = append(d.Records, r)
		}
	}
	slices.SortFunc(d.Records, byKey)
	return d
}

// ApplyOutcome is the result of applying a delta.
type ApplyOutcome uint8

// The outcomes of Apply.
const (
	// Applied means that Apply returned the new set.
	Applied ApplyOutcome = iota
	// NotNewer means that the delta was discarded because its version is not newer.
	NotNewer
	// Mismatch means that records are invalid or the hash differs, so that
	// records are missing or corrupt. The caller should pull the whole set, as
	// Since(0) returns it.
	Mismatch
)

// Apply returns the set that results from a delta. If the outcome is not Applied,
// it returns s itself: versions never decrease, and a delta is never applied in
// part.
func (s *Set) Apply(d Delta) (*Set, ApplyOutcome) {
	if d.Version <= s.version {
		return s, NotNewer
	}
	base := s
	if d.Whole {
		base = Empty()
	}
	if d.Version > maxVersion || !validFor(base, d) {
		return s, Mismatch
	}
	next := base.with(d.Records, d.Version)
	if next.hash != d.Hash {
		return s, Mismatch
	}
	return next, Applied
}

// validFor reports whether all records of the delta are valid, occur once, are not
// above the delta's version and are not older than the record in the base.
func validFor(base *Set, d Delta) bool {
	seen := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		if checkRecord(r) != nil || r.GetVersion() > d.Version || seen[r.GetKey()] {
			return false
		}
		seen[r.GetKey()] = true
		k, _ := parseKey(r.GetKey())
		if old := base.records.get(k); old != nil && old.GetVersion() > r.GetVersion() {
			return false
		}
	}
	return true
}

// Difference is a record that differs between two catalogues.
type Difference struct {
	// Key has the form kind/name, such as service/taalpers.
	Key string
	// Base and Wanted are the records in the two catalogues. Nil means that the
	// catalogue has no such record.
	Base, Wanted *pb.Record
}

// Diff returns the differences between two valid catalogues, sorted by key.
func Diff(base, wanted *pb.Catalogue) []Difference {
	return FromCatalogue(base, 1).differences(wanted)
}

// differences returns the differences from the set to a valid catalogue, sorted by
// key.
func (s *Set) differences(wanted *pb.Catalogue) []Difference {
	var list []Difference
	seen := make(map[key]bool)
	for _, r := range records(wanted) {
		k := valueKey(r)
		seen[k] = true
		old := s.records.get(k)
		if liveCount(old) == 0 {
			list = append(list, Difference{Key: r.GetKey(), Wanted: r})
			continue
		}
		if !sameValue(old, r) {
			list = append(list, Difference{Key: r.GetKey(), Base: old, Wanted: r})
		}
	}
	for k, old := range s.records.all() {
		if !seen[k] && liveCount(old) == 1 {
			list = append(list, Difference{Key: old.GetKey(), Base: old})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Next returns the set that holds the wanted catalogue at the next version, and
// the change that leads to it. If nothing differs, it returns s itself and a
// change without records. The catalogue must be valid. The caller sets the time
// of the change.
func (s *Set) Next(author, note string, wanted *pb.Catalogue) (*Set, *pb.Change) {
	change := &pb.Change{Version: s.version + 1, Author: author, Note: note}
	for _, d := range s.differences(wanted) {
		r := &pb.Record{Key: d.Key, Version: change.Version, Deleted: d.Wanted == nil}
		if d.Wanted != nil {
			r.Value = proto.CloneOf(d.Wanted).GetValue()
		}
		change.Records = append(change.Records, r)
	}
	if len(change.Records) == 0 {
		change.Version = s.version
		return s, change
	}
	return s.with(change.Records, change.Version), change
}

// SetOut returns a copy of the catalogue in which the named failure domains,
// instances and endpoints are out of service or, if out is false, in service.
// Unknown failure domains and endpoints are reported as problems. Unknown
// instances are not, because the catalogue lists only instances that are out.
func SetOut(c *pb.Catalogue, domains, instances, endpoints []string, out bool) (*pb.Catalogue, []Problem) {
	c = proto.CloneOf(c)
	v := &validator{}
	for i, name := range domains {
		at := slices.IndexFunc(c.GetFailureDomains(), func(d *pb.FailureDomain) bool { return d.GetName() == name })
		if at < 0 {
			v.addf(fmt.Sprintf("failure-domains[%d]", i), "there is no failure domain %q", name)
			continue
		}
		c.FailureDomains[at].Out = out
	}
	for i, name := range endpoints {
		at := slices.IndexFunc(c.GetEndpoints(), func(e *pb.Endpoint) bool { return e.GetName() == name })
		if at < 0 {
			v.addf(fmt.Sprintf("endpoints[%d]", i), "there is no endpoint %q", name)
			continue
		}
		c.Endpoints[at].Out = out
	}
	for i, name := range instances {
		if problem := nameProblem(name); problem != "" {
			v.addf(fmt.Sprintf("instances[%d]", i), "%s", problem)
			continue
		}
		c.Instances = slices.DeleteFunc(c.Instances, func(s *pb.InstanceState) bool { return s.GetName() == name })
		if out {
			c.Instances = append(c.Instances, &pb.InstanceState{Name: name, Out: true})
		}
	}
	return c, v.problems
}
