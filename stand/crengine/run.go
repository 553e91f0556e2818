package crengine

import (
	"container/heap"
	"errors"
	"strings"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crprefix"
	"crocusrack/schema/crendpoint"

	"connectrpc.com/connect"
)

var (
	errOverloaded = connect.NewError(connect.CodeUnavailable, errors.New("the engine fell over: more work than it bears while cold"))
	errRestart    = connect.NewError(connect.CodeUnavailable, errors.New("the engine restarted"))
	errAbandoned  = connect.NewError(connect.CodeCanceled, errors.New("the client has gone"))
	errCancelled  = connect.NewError(connect.CodeCanceled, errors.New("the request was cancelled"))
	errDeadline   = connect.NewError(connect.CodeDeadlineExceeded, errors.New("the deadline has passed"))
	errTakenOver  = connect.NewError(connect.CodeAborted, errors.New("a later attempt took the request over"))
	errOldAttempt = connect.NewError(connect.CodeAborted, errors.New("the request is known with this attempt or a later one"))
)

// run is one request from its start until its answer is forgotten. Its fields
// belong to the engine's lock.
type run struct {
	id       string
	attempt  uint32
	prompt   string
	seed     uint64
	priority uint32
	arrival  uint64
	epoch    uint64

	length       int // tokens of the whole answer
	offset       int // tokens that the client had at the start
	produced     int // tokens so far, those included
	promptTokens int
	cachedTokens int

	admitted chan struct{} // closed when the run leaves the queue
	ended    chan struct{} // closed at the end
	err      error         // why it ended early
	changed  chan struct{} // closed and replaced at every change
	abandon  *time.Timer
	expire   *time.Timer
	waiting  bool
}

func (r *run) done() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// queue orders the waiting runs by priority, then arrival.
type queue []*run

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*run)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}

// start takes up a request. It needs the lock.
func (e *Engine) start(m *crendpoint.GenerateRequest) *run {
	e.arrivals++
	e.counters.started++
	r := &run{
		id:           m.GetRequestId(),
		attempt:      m.GetAttempt(),
		prompt:       m.GetPrompt(),
		seed:         crhash.Of(m.GetPrompt()),
		priority:     m.GetPriority(),
		arrival:      e.arrivals,
		epoch:        e.epoch,
		offset:       len(m.GetReceived()),
		produced:     len(m.GetReceived()),
		promptTokens: crprefix.Count(m.GetPrompt()),
		admitted:     make(chan struct{}),
		ended:        make(chan struct{}),
		changed:      make(chan struct{}),
		waiting:      true,
	}
	r.length = answerLength(r.seed, int(m.GetMaxTokens()))
	e.runs[r.id] = r
	e.inFlight++
	heap.Push(&e.queue, r)
	if m.GetDeadline() != nil {
		r.expire = time.AfterFunc(time.Until(m.GetDeadline().AsTime()), func() { e.stop(r, errDeadline) })
	}
	if e.cold() && e.inFlight > e.ColdCapacity {
		e.fallOver()
		return r
	}
	e.dispatch()
	e.putReport()
	go e.generate(r)
	return r
}

// fallOver fails everything in flight. The engine comes back cold and empty.
func (e *Engine) fallOver() {
	e.counters.overloadedCold++
	e.failAll(errOverloaded)
	e.loseCache()
	e.putReport()
}

func (e *Engine) failAll(err error) {
	for _, r := range e.runs {
		e.end(r, err)
	}
}

// dispatch moves runs from the queue into the batch while there is room.
func (e *Engine) dispatch() {
	for e.running < e.Capacity && len(e.queue) > 0 {
		r := heap.Pop(&e.queue).(*run)
		r.waiting = false
		e.running++
		close(r.admitted)
	}
}

// generate runs the request to its end.
func (e *Engine) generate(r *run) {
	select {
	case <-r.admitted:
	case <-r.ended:
		return
	}
	if !r.sleep(e.lookUp(r)) {
		return
	}
	e.keep(r, r.prompt)
	for {
		pause, more := e.nextToken(r)
		if !more || !r.sleep(pause) {
			return
		}
		e.addToken(r)
	}
}

// sleep waits for d and reports whether the run is still going.
func (r *run) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ended:
		return false
	}
}

// lookUp finds the prompt in the cache and returns the time of the prefill.
func (e *Engine) lookUp(r *run) time.Duration {
	hashes := crprefix.Hashes(r.prompt, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cachedTokens = e.cache.match(hashes) * crprefix.BlockTokens
	e.counters.promptTokens += uint64(r.promptTokens)
	e.counters.cachedTokens += uint64(r.cachedTokens)
	return time.Duration(r.promptTokens+r.offset-r.cachedTokens) * e.PrefillTime
}

// keep puts a context into the cache, unless the cache was lost meanwhile.
func (e *Engine) keep(r *run, context string) {
	hashes := crprefix.Hashes(context, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.epoch == e.epoch {
		e.store(hashes)
	}
}

// nextToken returns the time until the next token, or ends a whole answer.
func (e *Engine) nextToken(r *run) (pause time.Duration, more bool) {
	e.mu.Lock()
	whole := r.produced >= r.length
	pause = e.tokenTime()
	e.mu.Unlock()
	if !whole {
		return pause, true
	}
	e.keep(r, r.prompt+" "+strings.Join(Answer(r.prompt, r.length), " "))
	e.stop(r, nil)
	return 0, false
}

func (e *Engine) tokenTime() time.Duration {
	fill := float64(e.running-1) / float64(max(1, e.Capacity))
	return time.Duration(float64(e.TokenTime) * (1 + batchSlowdown*fill))
}

func (e *Engine) addToken(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.done() {
		return
	}
	r.produced++
	r.notify()
}

// stop ends a run, with an error when it isn't whole.
func (e *Engine) stop(r *run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.done() {
		return
	}
	e.end(r, err)
	if err == nil && r.epoch == e.epoch {
		e.served++
	}
	e.dispatch()
	e.putReport()
}

// end is the part of stop that failAll shares. It needs the lock.
func (e *Engine) end(r *run, err error) {
	if r.done() {
		return
	}
	r.err = err
	close(r.ended)
	r.notify()
	r.stopTimers()
	e.inFlight--
	if r.waiting {
		e.leaveQueue(r)
	} else {
		e.running--
	}
	if err != nil {
		delete(e.runs, r.id)
		return
	}
	time.AfterFunc(e.KeepAnswers, func() { e.forget(r) })
}

func (r *run) stopTimers() {
	if r.abandon != nil {
		r.abandon.Stop()
	}
	if r.expire != nil {
		r.expire.Stop()
	}
}

func (e *Engine) leaveQueue(r *run) {
	for i, q := range e.queue {
		if q == r {
			heap.Remove(&e.queue, i)
			return
		}
	}
}

func (e *Engine) forget(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}
