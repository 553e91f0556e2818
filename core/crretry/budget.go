// Package crretry decides whether a failed attempt is retried, tells refused requests when
// to retry, and checks that an answer assembled from several attempts is complete.
package crretry

import "time"

// Budget is a token bucket that bounds retries to a share of recent requests, so that
// failing endpoints don't cause a multiple of the load. Each request adds Share tokens,
// and time adds MinPerSecond; unused tokens are kept up to a limit. Set the exported
// fields before first use. A Budget is not safe for concurrent use: the caller holds a
// lock. Each instance has one Budget per service.
type Budget struct {
	// Share is the number of retries that each request adds, such as 0.1.
	Share float64
	// MinPerSecond is the number of retries per second that this instance allows a service
	// without requests. A rate for the fleet must be divided by the number of instances.
	MinPerSecond float64
	// Window bounds the unused tokens: to those that MinPerSecond adds in this time, plus
	// those that the requests of this time add.
	Window time.Duration

	tokens  float64
	updated time.Time
	// rate is a moving average of the requests per second.
	rate float64
	// requests is the number of requests since rateUpdated.
	requests    int
	rateUpdated time.Time
}

// minWindow is the minimum window, which keeps a Budget without Window usable.
const minWindow = time.Second

// Request records the first attempt of a request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests++
	b.tokens = min(b.tokens+b.Share, b.limit())
}

// Spend takes one retry from the budget. It returns false if the budget has none left.
func (b *Budget) Spend(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RetryAfter returns the time until the budget has a retry available, at the recent rate of
// requests.
func (b *Budget) RetryAfter(now time.Time) time.Duration {
	b.advance(now)
	if b.tokens >= 1 {
		return 0
	}
	perSecond := b.MinPerSecond + b.rate*b.Share
	if perSecond <= 0 {
		return b.window()
	}
	return min(time.Duration((1-b.tokens)/perSecond*float64(time.Second)), b.window())
}

func (b *Budget) window() time.Duration { return max(b.Window, minWindow) }

// limit returns the maximum number of unused tokens.
func (b *Budget) limit() float64 {
	return max(1, b.window().Seconds()*(b.MinPerSecond+b.rate*b.Share))
}

// advance adds the tokens for the time that has passed. A clock that goes back adds none.
func (b *Budget) advance(now time.Time) {
	if b.updated.IsZero() {
		b.updated, b.rateUpdated = now, now
		b.tokens = b.limit()
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.MinPerSecond, b.limit())
		b.updated = now
	}
	// The rate is an exponential moving average over half windows.
	if span := now.Sub(b.rateUpdated); span >= b.window()/2 {
		b.rate = (b.rate + float64(b.requests)/span.Seconds()) / 2
		b.requests = 0
		b.rateUpdated = now
		b.tokens = min(b.tokens, b.limit())
	}
}
