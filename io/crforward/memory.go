package crforward

import "sync/atomic"

// memoryStep is the unit, in bytes, in which a request reserves memory.
const memoryStep = 16 << 10

// Memory bounds the bytes of answers that all requests together buffer before passing
// them on. Limit must be set before first use. Memory is safe for concurrent use.
type Memory struct {
	// Limit is the bound in bytes. Zero means that there is no bound.
	Limit int64

	used atomic.Int64
}

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// reserve reserves n bytes. It returns false and reserves nothing if that would exceed
// the limit.
func (m *Memory) reserve(n int64) bool {
	if m.used.Add(n) > m.Limit && m.Limit > 0 {
		m.used.Add(-n)
		return false
	}
	return true
}

// reserveMemory reserves the memory to buffer the given number of bytes of the request's
// answer. The first memoryStep of each request is free and not counted. It returns false
// if the limit is reached.
func (x *exchange) reserveMemory(bytes int) bool {
	for x.reservedBytes+memoryStep < int64(bytes) {
		if !x.Memory.reserve(memoryStep) {
			return false
		}
		x.reservedBytes += memoryStep
	}
	return true
}

// releaseMemory returns all memory that the request has reserved.
func (x *exchange) releaseMemory() {
	x.Memory.used.Add(-x.reservedBytes)
	x.reservedBytes = 0
}
