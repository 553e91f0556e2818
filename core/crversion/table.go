package crversion

import (
	"maps"
	"slices"
	"time"

	"crocusrack/core/crrecent"
)

// Lifetime is the time after its last event at which a stream may be taken up at the latest.
const Lifetime = time.Minute

// maxStreams bounds the streams whose version is kept. There may be twice as many for a while.
const maxStreams = 1 << 15

// Checkpoints hold the streams that began within keptTime, maxKept of them at most: about as long as
// callers wait for one.
const (
	keptTime = 20 * time.Second
	maxKept  = 1 << 13
)

// Stream is a stream and the version that began it.
type Stream struct {
	ID      uint64
	Version Version
}

// History is the versions that a service has or had lately.
type History struct {
	Service  string
	Versions []Version
}

// Table holds the versions of services, and those that began streams. Its zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	// services holds when each version of a service was listed last. It is the zero time if the
	// version is listed now.
	services map[string]map[Version]time.Time
	awaits   bool
	streams  crrecent.Map[uint64, begun]
	// kept are the streams for the next checkpoint, oldest first, and keptAt when each was
	// recorded.
	kept   []Stream
	keptAt []time.Time
}

// begun is the version that began a stream, and when that was recorded.
type begun struct {
	version Version
	at      time.Time
}

// AwaitHistory makes all services count as mixed until AddHistory is called. An instance that has
// just started doesn't know which versions there were.
func (t *Table) AwaitHistory() { t.awaits = true }

// SetListed replaces the versions that endpoints of each service have now.
func (t *Table) SetListed(now time.Time, listed map[string][]Version) {
	for _, versions := range t.services {
		for v, left := range versions {
			if left.IsZero() {
				versions[v] = now
			}
		}
	}
	for service, versions := range listed {
		for _, v := range versions {
			t.see(service, v, time.Time{})
		}
	}
	t.forget(now)
}

// see records that a version of a service was listed last at the given time, or is listed now.
func (t *Table) see(service string, v Version, left time.Time) {
	if t.services == nil {
		t.services = make(map[string]map[Version]time.Time)
	}
	if t.services[service] == nil {
		t.services[service] = make(map[Version]time.Time)
	}
	t.services[service][v] = left
}

// forget drops the versions that began no stream that may still be taken up.
func (t *Table) forget(now time.Time) {
	for service, versions := range t.services {
		maps.DeleteFunc(versions, func(_ Version, left time.Time) bool { return !left.IsZero() && now.Sub(left) > Lifetime })
		if len(versions) == 0 {
			delete(t.services, service)
		}
	}
}

// Mixed reports whether streams of a service that may still be taken up may have begun at several
// versions.
func (t *Table) Mixed(now time.Time, service string) bool {
	t.forget(now)
	return t.awaits || len(t.services[service]) > 1
}

// Only returns the version of a service that has or had no other lately. It returns zero if the
// service is mixed or has none.
func (t *Table) Only(now time.Time, service string) Version {
	if t.Mixed(now, service) {
		return 0
	}
	for v := range t.services[service] {
		return v
	}
	return 0
}

// See records that endpoints of a version of a service are listed.
func (t *Table) See(service string, v Version) { t.see(service, v, time.Time{}) }

// History returns the versions of all mixed services, sorted by service.
func (t *Table) History(now time.Time) []History {
	t.forget(now)
	var list []History
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		if versions := t.services[service]; len(versions) > 1 {
			list = append(list, History{Service: service, Versions: slices.Sorted(maps.Keys(versions))})
		}
	}
	return list
}

// AddHistory adds the versions that another instance knew of. Those that aren't listed count as if
// they had left now.
func (t *Table) AddHistory(now time.Time, list []History) {
	t.awaits = false
	for _, h := range list {
		for _, v := range h.Versions {
			if _, known := t.services[h.Service][v]; !known {
				t.see(h.Service, v, now)
			}
		}
	}
}

// Begin records the version that began a stream.
func (t *Table) Begin(now time.Time, stream uint64, v Version) {
	t.streams.Limit = maxStreams
	t.streams.Put(stream, begun{v, now})
	t.kept, t.keptAt = append(t.kept, Stream{stream, v}), append(t.keptAt, now)
	if len(t.kept) > 2*maxKept {
		t.trim(now)
	}
}

// trim drops the streams that checkpoints no longer hold.
func (t *Table) trim(now time.Time) {
	first := max(0, len(t.kept)-maxKept)
	for first < len(t.kept) && now.Sub(t.keptAt[first]) > keptTime {
		first++
	}
	t.kept, t.keptAt = slices.Delete(t.kept, 0, first), slices.Delete(t.keptAt, 0, first)
}

// Kept returns the streams for a checkpoint, oldest first. The caller must not change the slice, and
// it is valid until the next call of a method.
func (t *Table) Kept(now time.Time) []Stream {
	t.trim(now)
	return t.kept
}

// Began returns the version that began a stream, and false if it isn't known.
func (t *Table) Began(now time.Time, stream uint64) (Version, bool) {
	b, ok := t.streams.Get(stream)
	if !ok || now.Sub(b.at) > Lifetime {
		return 0, false
	}
	return b.version, true
}
