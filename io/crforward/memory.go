package crforward

import "sync/atomic"

// holdStep is the least memory that a request takes at a time, in bytes.
const holdStep = 16 << 10

// Memory bounds what all requests together keep of answers that aren't passed on
// yet. Set the limit before first use; it is safe for concurrent use.
type Memory struct {
	// Limit is the bound in bytes; none when zero.
	Limit int64

	used atomic.Int64
}

// Used returns the bytes that are taken.
func (m *Memory) Used() int64 { return m.used.Load() }

func (m *Memory) take(n int64) bool {
	if m.used.Add(n) > m.Limit && m.Limit > 0 {
		m.used.Add(-n)
		return false
	}
	return true
}

// hold takes the memory for so many bytes of the request's answer, beside a first
// step that every request has. It returns false when there is none.
func (x *exchange) hold(bytes int) bool {
	for x.held+holdStep < int64(bytes) {
		if !x.Memory.take(holdStep) {
			return false
		}
		x.held += holdStep
	}
	return true
}

func (x *exchange) release() {
	x.Memory.used.Add(-x.held)
	x.held = 0
}
