// Package crmemory provides the memory that bodies are read into, outside the collected heap,
// and finds out how much memory the process may use.
package crmemory

import (
	"fmt"
	"runtime/debug"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// SegmentBytes is the size of a segment.
	SegmentBytes = 64 << 10
	// maxFree bounds the segments that are kept for reuse. They hold one body of 4 MB.
	maxFree = 64
	// heapShare is the share of the process's memory that its heap, the segments and the program
	// itself may use together. The rest is for what the collector allows beyond its limit.
	heapShare = 0.9
	// minHeapShare is the share of the process's memory that the heap may always use, since the
	// collector would take all of the processor otherwise.
	minHeapShare = 0.125
	// programBytes is what is resident of the program's file.
	programBytes = 24 << 20
	// adjustShare is the share of the process's memory by which the segments must grow or
	// shrink before the limit of the heap is adjusted, which stops all goroutines briefly.
	adjustShare = 1.0 / 32
)

// Pool provides segments of memory. The garbage collector neither sees them nor lets
// the heap grow in proportion to them, and they return to the system as soon as they aren't
// needed. The zero value is ready to use. A Pool is safe for concurrent use.
type Pool struct {
	// ProcessBytes is the memory of the process. The runtime's memory limit is set such that
	// the heap and the segments stay within it. Zero leaves the runtime's limit alone.
	ProcessBytes int64

	mu   sync.Mutex
	free [][]byte
	// mapped are the bytes of all segments, including the free ones, and adjusted those when
	// the limit of the heap was last set.
	mapped, adjusted int64
}

// Get returns a segment of SegmentBytes, whose content is arbitrary.
func (p *Pool) Get() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		s := p.free[n-1]
		p.free = p.free[:n-1]
		return s, nil
	}
	s, err := unix.Mmap(-1, 0, SegmentBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_PRIVATE|unix.MAP_ANONYMOUS)
	if err != nil {
		return nil, fmt.Errorf("memory for a body: %w", err)
	}
	p.mapped += SegmentBytes
	p.adjust()
	return s, nil
}

// Put takes back a segment, which must not be used any more.
func (p *Pool) Put(s []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) < maxFree {
		p.free = append(p.free, s)
		return
	}
	if err := unix.Munmap(s); err != nil {
		panic(fmt.Sprintf("crmemory: a segment can't be returned: %v", err))
	}
	p.mapped -= SegmentBytes
	p.adjust()
}

// Mapped returns the bytes of all segments.
func (p *Pool) Mapped() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mapped
}

// LimitHeap sets the runtime's memory limit for the first time.
func (p *Pool) LimitHeap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adjusted = -p.ProcessBytes
	p.adjust()
}

// adjust sets the runtime's memory limit if the segments have grown or shrunk enough.
func (p *Pool) adjust() {
	if p.ProcessBytes <= 0 {
		return
	}
	if change := p.mapped - p.adjusted; float64(max(change, -change)) < adjustShare*float64(p.ProcessBytes) {
		return
	}
	p.adjusted = p.mapped
	limit := int64(heapShare*float64(p.ProcessBytes)) - programBytes - p.mapped
	debug.SetMemoryLimit(max(limit, int64(minHeapShare*float64(p.ProcessBytes))))
}
