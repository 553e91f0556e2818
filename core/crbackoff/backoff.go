// Package crbackoff computes the delays between retries with exponential backoff and full
// jitter, so that clients whose requests failed at the same time don't retry at the same
// time.
package crbackoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes the delays before retries. Set its fields before the first use.
type Backoff struct {
	// Base is the upper bound of the first delay. The bound doubles with each further
	// retry, up to Max.
	Base, Max time.Duration
	// Jitter returns a delay between zero and bound. Nil means uniformly random.
	Jitter func(bound time.Duration) time.Duration
}

// Wait returns the delay before the retry with the given number. The first retry is 0.
func (b *Backoff) Wait(retry int) time.Duration {
	bound := b.Base
	for i := 0; i < retry && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	if bound <= 0 {
		return 0
	}
	if b.Jitter != nil {
		return b.Jitter(bound)
	}
	return rand.N(bound)
}

// Sleep waits for the delay before the retry with the given number. It returns the error
// of ctx if ctx ends first.
func (b *Backoff) Sleep(ctx context.Context, retry int) error {
	return Sleep(ctx, b.Wait(retry))
}

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
