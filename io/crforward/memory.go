package crforward

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crmemory"
)

const (
	// memoryStep is the unit, in bytes, in which a request reserves memory for its answer.
	memoryStep = 16 << 10
	// requestBytes is what a request is expected to use beside its body and its answer: the
	// stacks of its goroutines, the buffers of the connection to an endpoint, and the first
	// memoryStep of its answer. With 500 requests in flight, the resident memory of the process is
	// higher by 39 KB for each.
	requestBytes = 40 << 10
	// writeStep is the most bytes of an answer that are written at once, so that a slow reader
	// makes progress.
	writeStep = 32 << 10
	// memoryLogInterval is the time between two log lines about a lack of memory.
	memoryLogInterval = time.Second
)

// errNoMemory ends a request, or a stream whose unfinished event is too long, for lack of memory.
var errNoMemory = errors.New("no memory is left")

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
// answer, within both Forwarder.Memory and the budget. The first memoryStep of each request is
// part of requestBytes. It returns false if a limit is reached.
func (x *exchange) reserveMemory(bytes int) bool {
	for x.reservedBytes+memoryStep < int64(bytes) {
		if !x.Memory.reserve(memoryStep) {
			return false
		}
		if !x.holder.GrowKind(time.Now(), crmemory.Response, memoryStep) {
			x.Memory.used.Add(-memoryStep)
			return false
		}
		x.reservedBytes += memoryStep
	}
	return true
}

// stage is what a request does, which decides how it can be ended for its memory.
type stage int

const (
	// forwarding: a request waits for an endpoint, or its answer is written.
	forwarding stage = iota
	// reading: its body is read.
	reading
	// finished: its connection may serve another request.
	finished
)

// memoryAccount is the account of the memory that a request holds.
type memoryAccount struct {
	// holder accounts for what the request holds. A body in segments has its own.
	holder *crmemory.Holder
	// reservedBytes is the memory taken from Forwarder.Memory. The first memoryStep of
	// each request isn't counted.
	reservedBytes int64

	mu    sync.Mutex
	stage stage
	// ended is true if the request was ended for its memory, and cut if that was while it was
	// forwarded.
	ended, cut bool
}

// openAccount reserves what each request needs. It returns false if there is no room.
func (x *exchange) openAccount() bool {
	x.holder = x.Budget.Open(x.start, x.endRequest)
	if !x.holder.GrowKind(x.start, crmemory.Request, requestBytes) {
		return false
	}
	x.holder.Moved(x.limit)
	return true
}

// closeAccount returns all memory that the request has reserved.
func (x *exchange) closeAccount() {
	x.mu.Lock()
	x.stage = finished
	x.mu.Unlock()
	x.body.drop()
	x.holder.Close()
	x.Memory.used.Add(-x.reservedBytes)
	x.reservedBytes = 0
}

// beginReading begins the time in which the body is read.
func (x *exchange) beginReading() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stage = reading
	// Connections in tests may not support deadlines, so the error is ignored.
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(bodyTimeout))
}

// endReading ends that time. It reports whether the request was ended for its memory.
func (x *exchange) endReading() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stage = forwarding
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Time{})
	if !x.body.own {
		// Until an answer is written, progress doesn't depend on the caller.
		x.holder.Moved(x.limit)
	}
	return x.ended
}

// beginWriting begins a write to the caller.
func (x *exchange) beginWriting(timeout time.Duration) {
	now := time.Now()
	x.holder.Moved(now)
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.cut {
		_ = http.NewResponseController(x.writer).SetWriteDeadline(now.Add(timeout))
	}
}

// answerTimeout returns how long an answer that isn't a stream may be written. By then the
// caller's deadline is over.
func (x *exchange) answerTimeout() time.Duration {
	return max(0, time.Until(x.limit)) + writeTimeout
}

// Write writes p to the caller and notes the progress.
func (x *exchange) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := x.writer.Write(p[written:min(len(p), written+writeStep)])
		written += n
		x.trace.recordWriteError(err)
		if err != nil || written >= len(p) {
			return written, err
		}
		x.holder.Moved(time.Now())
	}
}

// memoryEnded reports whether the request was ended for its memory.
func (x *exchange) memoryEnded() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended
}

// endBody ends the reading of a body for its memory. A body that was read is given up, so that
// the request can't be repeated.
func (x *exchange) endBody() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stage != reading {
		x.body.drop()
		return
	}
	x.interrupt()
}

// endRequest ends a request whose caller doesn't send its body or doesn't read its answer.
func (x *exchange) endRequest() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.interrupt()
}

// interrupt lets the reads and writes of the caller's connection fail.
func (x *exchange) interrupt() {
	control, past := http.NewResponseController(x.writer), time.Unix(1, 0)
	switch x.stage {
	case reading:
		x.ended = true
		_ = control.SetReadDeadline(past)
	case forwarding:
		x.ended, x.cut = true, true
		_ = control.SetWriteDeadline(past)
	}
	if x.stage != finished && x.memoryLog.allow(time.Now()) {
		x.Log.Warn("entry: a request is ended for the memory that it holds",
			zap.String("request", x.request.ID), zap.String("caller", x.incoming.RemoteAddr),
			zap.Int64("ended-before", x.Budget.Ended()-1))
	}
}

// refuseForMemory refuses a request for lack of memory. The connection is closed, since the rest
// of the body isn't read.
func (x *exchange) refuseForMemory() {
	x.writer.Header().Set("Connection", "close")
	// The times differ, so that callers don't return together.
	x.refuse(outcomeNoMemory, defaultRetryAfter+rand.N(defaultRetryAfter))
}

// outcomeNoMemory is the outcome of a request that was refused for lack of memory.
const outcomeNoMemory = "no-memory"

// sampler bounds the rate of log lines. It is safe for concurrent use.
type sampler struct{ last atomic.Int64 }

// allow reports whether a line may be logged now, once in each memoryLogInterval.
func (s *sampler) allow(now time.Time) bool {
	last := s.last.Load()
	return now.UnixNano()-last >= int64(memoryLogInterval) && s.last.CompareAndSwap(last, now.UnixNano())
}
