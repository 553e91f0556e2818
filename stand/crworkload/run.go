package crworkload

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/io/crclient"
	"crocusrack/schema/crcaller"
	"crocusrack/stand/crengine"
)

// requestTimeout bounds each request of a trace.
const requestTimeout = 30 * time.Second

// Runner sends a trace. Set the fields before Run.
type Runner struct {
	Trace *Trace
	// Client returns the client of an account.
	Client func(account string) *crclient.Client

	mu     sync.Mutex
	result Result
	chats  map[int]chan struct{}
}

// Result counts how the requests of a trace ended.
type Result struct {
	Answered, NotRun, Unknown, Cancelled int
	// Cut counts the chats that broke off after their first token.
	Cut int
	// Wrong counts the answers that differ from the right one.
	Wrong int
	// PromptTokens, Cached and Ideal are of answered turns: the prompt tokens,
	// those found cached, and those that an endless cache would have found.
	PromptTokens, Cached, Ideal int
	// FirstTokens are the times to the first token of answered turns, sorted.
	FirstTokens []time.Duration
	// NotRunIDs and AnsweredIDs hold the ids of requests that ended so.
	NotRunIDs, AnsweredIDs []string
	// Reasons counts the requests that were not answered, by reason.
	Reasons map[string]int
}

// Reuse is the share of what an endless cache would have found.
func (r *Result) Reuse() float64 {
	if r.Ideal == 0 {
		return 1
	}
	return float64(r.Cached) / float64(r.Ideal)
}

// Quantile returns the time to the first token that a share of the turns keep.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.FirstTokens) == 0 {
		return 0
	}
	return r.FirstTokens[min(int(q*float64(len(r.FirstTokens))), len(r.FirstTokens)-1)]
}

// Requests is the count of all requests that ended.
func (r *Result) Requests() int { return r.Answered + r.NotRun + r.Unknown + r.Cancelled }

// Run sends the trace and waits for the end of every request.
func (r *Runner) Run(ctx context.Context) *Result {
	r.result.Reasons = make(map[string]int)
	r.chats = make(map[int]chan struct{})
	start := time.Now()
	var requests sync.WaitGroup
	requests.Go(func() { r.sendCalls(ctx, start, &requests) })
	for i := range r.Trace.Turns {
		t := &r.Trace.Turns[i]
		if crbackoff.Sleep(ctx, time.Until(start.Add(t.At))) != nil {
			break
		}
		previous := r.chats[t.Chat]
		done := make(chan struct{})
		r.chats[t.Chat] = done
		requests.Go(func() {
			defer close(done)
			if previous != nil {
				<-previous
			}
			r.turn(ctx, t)
		})
	}
	requests.Wait()
	slices.Sort(r.result.FirstTokens)
	return &r.result
}

func (r *Runner) sendCalls(ctx context.Context, start time.Time, requests *sync.WaitGroup) {
	for i := range r.Trace.Calls {
		c := &r.Trace.Calls[i]
		if crbackoff.Sleep(ctx, time.Until(start.Add(c.At))) != nil {
			return
		}
		requests.Go(func() { r.call(ctx, c) })
	}
}

func (r *Runner) turn(ctx context.Context, t *Turn) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	var first time.Duration
	answer := r.Client(t.Account).Chat(ctx, crclient.Chat{
		Service:   r.Trace.Spec.Service,
		Key:       t.Key(),
		Prompt:    t.Prompt,
		MaxTokens: t.MaxTokens,
		OnTokens: func([]string) {
			if first == 0 {
				first = time.Since(start)
			}
		},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(answer.Outcome, answer.RequestID)
	if answer.Kind != crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED {
		if first > 0 {
			r.result.Cut++
		}
		return
	}
	r.result.FirstTokens = append(r.result.FirstTokens, first)
	r.result.PromptTokens += int(answer.PromptTokens)
	r.result.Cached += min(int(answer.CachedTokens), t.Cached)
	r.result.Ideal += t.Cached
	if !slices.Equal(answer.Tokens, crengine.Answer(t.Prompt, int(t.MaxTokens))) {
		r.result.Wrong++
	}
}

func (r *Runner) call(ctx context.Context, c *Call) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer := r.Client(c.Account).Call(ctx, crclient.Call{
		Service:       r.Trace.Spec.CallService,
		Method:        "order",
		Body:          []byte(c.Account),
		NotRepeatable: c.NotRepeatable,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(answer.Outcome, answer.RequestID)
}

func (r *Runner) count(o crclient.Outcome, id string) {
	switch o.Kind {
	case crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED:
		r.result.Answered++
		r.result.AnsweredIDs = append(r.result.AnsweredIDs, id)
		return
	case crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		r.result.NotRun++
		r.result.NotRunIDs = append(r.result.NotRunIDs, id)
	case crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED:
		r.result.Cancelled++
	default:
		r.result.Unknown++
	}
	r.result.Reasons[o.Reason.String()]++
}

// Progress returns the counts so far.
func (r *Runner) Progress() (answered, other int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result.Answered, r.result.NotRun + r.result.Unknown + r.result.Cancelled
}
