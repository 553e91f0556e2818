// Package crquota enforces the request rate and the concurrency of each client account
// over the whole fleet.
//
// Rendezvous hashing selects one instance as the quota owner of an account. It grants
// request tokens to the other instances in batches, according to their recent use.
// Each instance also has a safe share of the rate, rate / instances, which it may
// always spend, even while it can't reach the quota owner. It reports the use of the
// safe share beyond a small free part, and the quota owner deducts the reported use from
// what it grants. The use of quiet accounts stays within the free part and costs no
// messages.
package crquota

import (
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// Limits holds the limits of one client account over the whole fleet.
type Limits struct {
	// Rate is in requests per second. Zero means no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once beyond the rate.
	Burst uint32
	// Concurrency is the maximum number of requests in flight. Zero means no limit.
	Concurrency uint32
}

// AccountUse is the report of one instance to the quota owner on one account.
type AccountUse struct {
	Account string
	// Used counts the requests admitted on the safe share beyond its free part since the
	// last report.
	Used uint32
	// Wanted is the number of request tokens to grant.
	Wanted uint32
	// InFlight is the number of requests in flight.
	InFlight uint32
}

// AccountGrant is the quota owner's answer to an AccountUse.
type AccountGrant struct {
	Account string
	// Granted is the number of request tokens. Tokens that aren't spent in time are
	// lost.
	Granted uint32
	// ValidFor counts from the time at which the instance sent its message.
	ValidFor time.Duration
	// Concurrency is the number of requests that the instance may have in flight. Zero
	// means that only its own share applies.
	Concurrency uint32
}

// bucket is a token bucket. Times count from the start of the Borrower or Lender that
// holds it.
type bucket struct {
	tokens  float64
	updated time.Duration
}

// fill adds the tokens for the time since the last call, up to the limit. If the clock
// went back, it adds nothing.
func (b *bucket) fill(now time.Duration, rate, limit float64) {
	if now > b.updated {
		b.tokens += (now - b.updated).Seconds() * rate
		b.updated = now
	}
	b.tokens = min(b.tokens, limit)
}

// take removes one token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// instances is the set of usable instances at one time.
type instances struct {
	names  []string
	hashes []uint64
}

// newInstances returns the set of the names, sorted and without duplicates.
func newInstances(names []string) instances {
	s := instances{names: slices.Sorted(slices.Values(names))}
	s.names = slices.Compact(s.names)
	for _, n := range s.names {
		s.hashes = append(s.hashes, crhash.Of(n))
	}
	return s
}

// owner returns the name of the account's quota owner, or "" if there are no
// instances.
func (s instances) owner(account string) string {
	key := crhash.Of(account)
	best, bestScore := "", 0.0
	for i, h := range s.hashes {
		if score := crhash.Score(key, h, 1); best == "" || score > bestScore {
			best, bestScore = s.names[i], score
		}
	}
	return best
}
