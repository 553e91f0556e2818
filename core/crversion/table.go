package crversion

import (
	"maps"
	"slices"
	"time"

	"crocusrack/core/crhash"
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

// History is the versions of a service at which streams begin, or began lately.
type History struct {
	Service  string
	Versions []Version
}

// Pair is a version of a service, which is named by the hash that ServiceHash returns.
type Pair struct {
	Service uint32
	Version Version
}

// ServiceHash returns the hash by which a Pair names a service.
func ServiceHash(service string) uint32 { return uint32(crhash.Of(service)) }

// Table holds the versions of services, and those that began streams. A version that is listed beside
// others is unrecorded at first: no stream begins at it until the store has a record of it, so that a
// stream that nobody knows didn't begin there. The zero value is empty. A Table is not safe for
// concurrent use.
type Table struct {
	services map[string]map[Version]*listing
	awaits   bool
	streams  crrecent.Map[uint64, begun]
	// own are the streams that began at this instance, oldest first.
	own []ownStream
	// kept are the streams for the next checkpoint, oldest first, and keptAt when each was
	// recorded.
	kept   []Stream
	keptAt []time.Time
}

// listing is what is known of a version of a service.
type listing struct {
	// first is when the version was listed first, and left when it was listed last. The latter is zero
	// while the version is listed.
	first, left time.Time
	unrecorded  bool
	// assumed is true if the version counts as recorded only since the record isn't known yet.
	assumed bool
	// from is when streams may begin at the version. Other instances have learned by then that it
	// is recorded.
	from time.Time
}

// begun is the version that began a stream, and when that was recorded.
type begun struct {
	version Version
	at      time.Time
}

// ownStream is a stream that began at this instance.
type ownStream struct {
	Stream
	service string
	at      time.Time
}

// AwaitHistory makes all services count as mixed until AddHistory is called. An instance that has
// just started doesn't know which versions there were.
func (t *Table) AwaitHistory() { t.awaits = true }

// SetListed replaces the versions that endpoints of each service have now.
func (t *Table) SetListed(now time.Time, listed map[string][]Version) {
	t.forget(now)
	for _, versions := range t.services {
		for _, l := range versions {
			if l.left.IsZero() {
				l.left = now
			}
		}
	}
	for service, versions := range listed {
		first := len(t.services[service]) == 0
		for _, v := range versions {
			t.see(now, service, v, first)
		}
	}
	t.forget(now)
}

// See records that endpoints of a version of a service are listed.
func (t *Table) See(now time.Time, service string, v Version) {
	t.see(now, service, v, len(t.services[service]) == 0)
}

// see records that a version is listed. If it is one of the first ones of its service, streams begin
// at it at once.
func (t *Table) see(now time.Time, service string, v Version, first bool) {
	l, known := t.add(service, v)
	if !known {
		l.first, l.unrecorded, l.assumed = now, !first, first && t.awaits
	}
	l.left = time.Time{}
}

// add returns what is known of a version of a service, and false if it was added.
func (t *Table) add(service string, v Version) (*listing, bool) {
	if t.services == nil {
		t.services = make(map[string]map[Version]*listing)
	}
	if t.services[service] == nil {
		t.services[service] = make(map[Version]*listing)
	}
	l := t.services[service][v]
	if l != nil {
		return l, true
	}
	l = &listing{}
	t.services[service][v] = l
	return l, false
}

// forget drops the versions that began no stream that may still be taken up. If only unrecorded ones
// are left of a service, no stream may have begun elsewhere.
func (t *Table) forget(now time.Time) {
	for service, versions := range t.services {
		maps.DeleteFunc(versions, func(_ Version, l *listing) bool { return !l.left.IsZero() && now.Sub(l.left) > Lifetime })
		if len(versions) == 0 {
			delete(t.services, service)
		}
		if len(t.recorded(service)) == 0 {
			for _, l := range versions {
				l.unrecorded = false
			}
		}
	}
}

// recorded returns the recorded versions of a service.
func (t *Table) recorded(service string) []Version {
	var list []Version
	for v, l := range t.services[service] {
		if !l.unrecorded {
			list = append(list, v)
		}
	}
	slices.Sort(list)
	return list
}

// Mixed reports whether streams of a service that may still be taken up may have begun at several
// versions.
func (t *Table) Mixed(now time.Time, service string) bool {
	t.forget(now)
	return t.awaits || len(t.recorded(service)) > 1
}

// Only returns the version at which all streams of a service that may still be taken up began. It
// returns zero if the service is mixed or has none.
func (t *Table) Only(now time.Time, service string) Version {
	if t.Mixed(now, service) {
		return 0
	}
	for _, v := range t.recorded(service) {
		return v
	}
	return 0
}

// Several reports whether a service has or had several versions lately, recorded or not. Streams of it
// are told to other instances.
func (t *Table) Several(now time.Time, service string) bool {
	t.forget(now)
	return t.awaits || len(t.services[service]) > 1
}

// ServicesOfSeveral returns the services that have or had several versions lately.
func (t *Table) ServicesOfSeveral(now time.Time) map[string]bool {
	t.forget(now)
	services := make(map[string]bool)
	for service, versions := range t.services {
		if len(versions) > 1 {
			services[service] = true
		}
	}
	return services
}

// MayBegin reports whether streams of a service may begin at a version. It is true for all versions
// while none that is listed is recorded.
func (t *Table) MayBegin(now time.Time, service string, v Version) bool {
	l := t.services[service][v]
	if l == nil || l.mayBegin(now) {
		return true
	}
	for _, o := range t.services[service] {
		if o.left.IsZero() && o.mayBegin(now) {
			return false
		}
	}
	return true
}

func (l *listing) mayBegin(now time.Time) bool { return !l.unrecorded && !now.Before(l.from) }

// Newcomers returns the listed versions of services that aren't recorded, and the time since each was
// listed first.
func (t *Table) Newcomers(now time.Time) map[string]map[Version]time.Duration {
	t.forget(now)
	var list map[string]map[Version]time.Duration
	for service, versions := range t.services {
		for v, l := range versions {
			if !l.unrecorded || !l.left.IsZero() {
				continue
			}
			if list == nil {
				list = make(map[string]map[Version]time.Duration)
			}
			if list[service] == nil {
				list[service] = make(map[Version]time.Duration)
			}
			list[service][v] = now.Sub(l.first)
		}
	}
	return list
}

// RecordAll makes streams begin at all versions at once, as in earlier releases.
func (t *Table) RecordAll(now time.Time) {
	for _, versions := range t.services {
		for _, l := range versions {
			l.record(now)
		}
	}
}

// record records that streams may begin at the version from the given time on.
func (l *listing) record(from time.Time) {
	if l.unrecorded {
		l.unrecorded, l.from = false, from
	}
}

// History returns the recorded versions of all services, sorted by service.
func (t *Table) History(now time.Time) []History {
	t.forget(now)
	var list []History
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		if versions := t.recorded(service); len(versions) > 0 {
			list = append(list, History{Service: service, Versions: versions})
		}
	}
	return list
}

// AddHistory adds the versions that the record in the store names. Those that aren't listed count as if
// they had left now. Streams begin at those that weren't recorded here after the given time, in which
// other instances learn of them. If this is the first history, versions that the record of their service
// doesn't name are unrecorded, unless a stream has begun at them here.
func (t *Table) AddHistory(now time.Time, list []History, delay time.Duration) {
	first := t.awaits
	t.awaits = false
	for _, h := range list {
		for _, v := range h.Versions {
			t.addRecorded(now, h.Service, v, delay)
		}
		for v, l := range t.services[h.Service] {
			if first && l.assumed && !slices.Contains(h.Versions, v) {
				l.unrecorded = true
			}
		}
	}
	for _, versions := range t.services {
		for _, l := range versions {
			l.assumed = false
		}
	}
}

// AddFullHistory is AddHistory for a record that was read beside the list of all versions. Of a service
// that it lacks, any version may have been used.
func (t *Table) AddFullHistory(now time.Time, list []History, delay time.Duration) {
	t.AddHistory(now, list, delay)
	for service, versions := range t.services {
		if slices.ContainsFunc(list, func(h History) bool { return h.Service == service }) {
			continue
		}
		for _, l := range versions {
			l.record(now.Add(delay))
		}
	}
}

func (t *Table) addRecorded(now time.Time, service string, v Version, delay time.Duration) {
	l, known := t.add(service, v)
	if !known {
		l.first, l.left = now, now
	}
	l.assumed = false
	l.record(now.Add(delay))
}

// Recorded returns the listed and recorded versions of the services that have several, sorted.
func (t *Table) Recorded(now time.Time) []Pair {
	if t.awaits {
		return nil
	}
	t.forget(now)
	var list []Pair
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		versions := t.services[service]
		if len(versions) < 2 {
			continue
		}
		for _, v := range t.recorded(service) {
			if versions[v].left.IsZero() {
				list = append(list, Pair{ServiceHash(service), v})
			}
		}
	}
	return list
}

// AddRecorded adds a version that another instance knows to be recorded.
func (t *Table) AddRecorded(now time.Time, p Pair, delay time.Duration) {
	for service, versions := range t.services {
		if ServiceHash(service) != p.Service {
			continue
		}
		if l := versions[p.Version]; l == nil || l.unrecorded {
			t.addRecorded(now, service, p.Version, delay)
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

// BeginOwn records that a stream of a service has begun at this instance. If callers may take it up,
// its version counts as recorded from now on.
func (t *Table) BeginOwn(now time.Time, service string, stream uint64, v Version, resumable bool) {
	t.Begin(now, stream, v)
	if l := t.services[service][v]; l != nil && resumable {
		l.assumed = false
		l.record(now)
	}
	t.own = append(t.own, ownStream{Stream{stream, v}, service, now})
	if len(t.own) > 2*maxKept {
		t.trimOwn(now)
	}
}

func (t *Table) trimOwn(now time.Time) {
	first := max(0, len(t.own)-maxKept)
	for first < len(t.own) && now.Sub(t.own[first].at) > Lifetime {
		first++
	}
	t.own = slices.Delete(t.own, 0, first)
}

// Own returns the streams of a service that began at this instance within the given time, a minute at
// most, newest first.
func (t *Table) Own(now time.Time, service string, within time.Duration) []Stream {
	t.trimOwn(now)
	var list []Stream
	for _, o := range slices.Backward(t.own) {
		if now.Sub(o.at) > within {
			break
		}
		if o.service == service {
			list = append(list, o.Stream)
		}
	}
	return list
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
