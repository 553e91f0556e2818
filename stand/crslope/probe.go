package crslope

import (
	"runtime"
	"time"
)

const (
	// timings is how often a time is taken; the least counts, since other
	// work on the machine only ever adds.
	timings = 3
	// timingSpan is the least span of one timing.
	timingSpan      = 60 * time.Millisecond
	shortTimingSpan = 5 * time.Millisecond
)

// heap returns the bytes of live objects.
func heap() float64 {
	var m runtime.MemStats
	// The second collection frees what finalizers have kept.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns the bytes that the value made keeps alive.
func heapOf[V any](make func() V) float64 {
	before := heap()
	v := make()
	after := heap()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// timeOf returns the nanoseconds that one call takes.
func timeOf(span time.Duration, call func(i int)) float64 {
	best := 0.0
	for n, round := 1, 0; round < timings; {
		start := time.Now()
		for i := range n {
			call(i)
		}
		took := time.Since(start)
		if took < span {
			n *= 2
			continue
		}
		each := float64(took) / float64(n)
		if best == 0 || each < best {
			best = each
		}
		round++
	}
	return best
}
