// Package crmemory bounds the memory that callers and endpoints make a process hold. Each
// connection or request is a holder, which reserves bytes before it allocates them. When
// bytes are short, the holder that has held the most for the longest without progress is
// ended first.
package crmemory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a holder must be without progress before it may be ended. It is
	// above the pauses that a lost packet causes.
	stallTime = 500 * time.Millisecond
	// endTime is how long an ended holder may take to return its bytes. After that another
	// one is ended in its place.
	endTime = time.Second
	// scanInterval is the shortest time between two searches for holders to end, so that a
	// flood of failing reservations doesn't use up the processor.
	scanInterval = 20 * time.Millisecond
	// smallBytes is the size up to which a holder may use the whole limit. Larger ones leave
	// one part in smallShare of it, so that ordinary requests find room beside them.
	smallBytes = 128 << 10
	smallShare = 8
	// roomShare is the part of the limit for which holders are ended at least, so that the
	// requests that come until the next search find room.
	roomShare = 64
)

// Kind is what reserved bytes are used for.
type Kind int

// The kinds of reserved bytes.
const (
	// Connection is a connection itself, with its stack and buffers.
	Connection Kind = iota
	// HeaderSection is a header section while it is read.
	HeaderSection
	// Request is a request that is served or queued, with its stacks and buffers.
	Request
	// Body is the body of a request, which is kept for retries.
	Body
	// Response is data of a response that the caller hasn't read.
	Response
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"connections", "header-sections", "requests", "bodies", "responses"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, HeaderSection, Request, Body, Response} }

// Budget bounds the bytes that callers and endpoints make the process hold. Limit must be
// set before first use. A Budget is safe for concurrent use.
type Budget struct {
	// Limit is the bound in bytes. Zero means that there is no bound.
	Limit int64

	// used are the reserved bytes of each kind.
	used           [kinds]atomic.Int64
	refused, ended atomic.Int64

	mu sync.Mutex
	// total is the sum of used.
	total int64
	// first is the first holder of a doubly linked list.
	first *Holder
	// start is the origin of the times in holders, and scanned the time of the last search.
	start   time.Time
	scanned time.Time
}

// Holder is the account of one connection or request. Its methods are safe for concurrent
// use. All of them do nothing on a nil Holder, which is always granted what it asks for.
type Holder struct {
	budget *Budget
	end    func()
	// moved is the time of the last progress, in nanoseconds since Budget.start.
	moved atomic.Int64

	// The fields below are guarded by Budget.mu.
	previous, next *Holder
	held           [kinds]int64
	total          int64
	// endedAt is when end was called. It is zero before.
	endedAt time.Time
	closed  bool
}

// Used returns the number of reserved bytes of a kind.
func (b *Budget) Used(k Kind) int64 { return b.used[k].Load() }

// Refused returns how many reservations found no room.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Ended returns how many holders were ended.
func (b *Budget) Ended() int64 { return b.ended.Load() }

// Open starts the account of one holder. The function end is called, at most once and on a
// goroutine of its own, when the holder is to be ended for its memory. A call that has begun may
// outlast Close. Open returns nil if b is nil.
func (b *Budget) Open(now time.Time, end func()) *Holder {
	if b == nil {
		return nil
	}
	h := &Holder{budget: b, end: end}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.start.IsZero() {
		b.start = now
	}
	h.moved.Store(int64(now.Sub(b.start)))
	h.next = b.first
	if b.first != nil {
		b.first.previous = h
	}
	b.first = h
	return h
}

// Grow reserves n more bytes of the kind Connection. See GrowKind.
func (h *Holder) Grow(now time.Time, n int64) bool { return h.GrowKind(now, Connection, n) }

// GrowKind reserves n more bytes of a kind. It returns false and reserves nothing if there is
// no room, or if the holder was ended or closed. If there is no room, holders without progress
// are ended, so that a later call may succeed.
func (h *Holder) GrowKind(now time.Time, k Kind, n int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || !h.endedAt.IsZero() {
		return false
	}
	limit := b.Limit
	if h.total+n > smallBytes {
		limit -= b.Limit / smallShare
	}
	if b.Limit > 0 && b.total+n > limit {
		b.refused.Add(1)
		b.makeRoom(now, b.total+n-limit)
		return false
	}
	h.add(k, n)
	return true
}

// ShrinkKind returns n bytes of a kind that were reserved with GrowKind.
func (h *Holder) ShrinkKind(k Kind, n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed {
		h.add(k, -n)
	}
}

// Shrink returns n bytes that were reserved with Grow.
func (h *Holder) Shrink(n int64) { h.ShrinkKind(Connection, n) }

func (h *Holder) add(k Kind, n int64) {
	h.held[k] += n
	h.total += n
	h.budget.total += n
	h.budget.used[k].Add(n)
}

// Moved notes progress: bytes were received from the caller or sent to it. A time in the future
// keeps the holder from being ended until then, while its progress doesn't depend on the caller.
func (h *Holder) Moved(now time.Time) {
	if h != nil {
		h.moved.Store(int64(now.Sub(h.budget.start)))
	}
}

// Close returns all bytes of the holder and ends its account. Further calls do nothing.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	for k, n := range h.held {
		if n != 0 {
			h.add(Kind(k), -n)
		}
	}
	h.closed = true
	if h.previous == nil {
		b.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next != nil {
		h.next.previous = h.previous
	}
	h.previous, h.next = nil, nil
}

// makeRoom ends holders without progress until those that were ended return at least the
// missing bytes, or none is left to end.
func (b *Budget) makeRoom(now time.Time, missing int64) {
	if now.Sub(b.scanned) < scanInterval && !b.scanned.IsZero() {
		return
	}
	b.scanned = now
	missing = max(missing, b.Limit/roomShare)
	type candidate struct {
		holder *Holder
		// cost is the product of bytes and seconds without progress.
		cost float64
	}
	var candidates []candidate
	elapsed := now.Sub(b.start)
	for h := b.first; h != nil; h = h.next {
		idle := elapsed - time.Duration(h.moved.Load())
		switch {
		case h.endedAt.IsZero() && idle >= stallTime && h.total > 0:
			candidates = append(candidates, candidate{h, float64(h.total) * idle.Seconds()})
		case !h.endedAt.IsZero() && now.Sub(h.endedAt) < endTime:
			missing -= h.total
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.cost, a.cost) })
	for _, c := range candidates {
		if missing <= 0 {
			return
		}
		missing -= c.holder.total
		c.holder.endedAt = now
		b.ended.Add(1)
		go c.holder.end()
	}
}
