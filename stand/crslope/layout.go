package crslope

import (
	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
)

// daemonsFor returns the daemons in the target's proportion, at least one for
// each failure domain.
func daemonsFor(endpointCount int) int {
	return max(endpointCount*targetDaemons/targetEndpoints, targetDomains)
}

// layoutOf returns the layout of so many endpoints.
func layoutOf(endpointCount int) *crshard.Layout {
	return crshard.New(endpoints(endpointCount), instances(daemonsFor(endpointCount)))
}

func layoutTime(r *runner, size int) (float64, error) {
	e, n := endpoints(size), instances(daemonsFor(size))
	return r.timeOf(func(int) { crshard.New(e, n) }), nil
}

func layoutMemory(_ *runner, size int) (float64, error) {
	e, n := endpoints(size), instances(daemonsFor(size))
	return heapOf(func() *crshard.Layout { return crshard.New(e, n) }), nil
}

func walkTime(r *runner, size int) (float64, error) {
	l := layoutOf(size)
	var dst []*crshard.Shard
	return r.timeOf(func(i int) { dst = l.AppendRanked(serviceName(0), crhash.Mix(uint64(i), 5), dst[:0]) }), nil
}

// fleetLayout returns the layout of a fleet with the target's endpoints per
// daemon.
func fleetLayout(daemons int) *crshard.Layout {
	return crshard.New(endpoints(daemons*targetEndpoints/targetDaemons), instances(daemons))
}

// ownedBy returns the endpoints and services of a daemon.
func ownedBy(l *crshard.Layout, name string) (endpointCount, services int) {
	seen := make(map[string]bool)
	for _, s := range l.Owned(name) {
		endpointCount += len(s.Endpoints)
		seen[s.Service] = true
	}
	return endpointCount, len(seen)
}

func mostEndpoints(_ *runner, size int) (float64, error) {
	l, most := fleetLayout(size), 0
	for i := range size {
		n, _ := ownedBy(l, daemonName(i))
		most = max(most, n)
	}
	return float64(most), nil
}

func mostServices(_ *runner, size int) (float64, error) {
	l, most := fleetLayout(size), 0
	for i := range size {
		_, n := ownedBy(l, daemonName(i))
		most = max(most, n)
	}
	return float64(most), nil
}

func ownersShare(_ *runner, size int) (float64, error) {
	l, owners := fleetLayout(size), 0
	for i := range size {
		if len(l.Owned(daemonName(i))) > 0 {
			owners++
		}
	}
	return float64(owners) / float64(size), nil
}
