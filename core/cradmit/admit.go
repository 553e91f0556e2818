// Package cradmit decides admission to the endpoints of the shards that an
// instance owns.
//
// The owner serves every request of its endpoints, so it counts their work in
// flight exactly. Each Admit ends in a grant, a wait or a refusal. A grant is
// given back by Done. A wait ends in exactly one decision, which Woken returns,
// unless Abandon ends it first.
//
// An endpoint takes a request only while the work in flight there, the request
// included, is at most its bound: the load multiple times the mean demand per
// unit of capacity times its capacity, and never more than its capacity or its
// warm-up limit.
package cradmit

import (
	"net/netip"
	"time"

	"crocusrack/core/crshard"
)

// Class is the class of work. Lower classes wait longer and are shed first.
type Class uint8

// The classes of work, highest first.
const (
	Interactive Class = iota
	Standard
	Batch
)

// Verdict tells which way a request went.
type Verdict uint8

// The verdicts.
const (
	// Granted requests are sent to the granted endpoint.
	Granted Verdict = iota
	// Waiting requests are decided later; see Admitter.Woken.
	Waiting
	// Refused requests weren't sent to any endpoint.
	Refused
)

// Reason tells why a request was refused.
type Reason uint8

// The reasons of refusals.
const (
	ReasonNone Reason = iota
	// ReasonNotOwner: the shard isn't owned here.
	ReasonNotOwner
	// ReasonNoEndpoint: the shard has no endpoint that may be used.
	ReasonNoEndpoint
	// ReasonOverBound: all endpoints carry as much as the bound allows.
	ReasonOverBound
	// ReasonWarmUp: as ReasonOverBound, and a warm-up limit is below the bound.
	ReasonWarmUp
	// ReasonContested: as ReasonOverBound, and bounds are halved because the
	// ownership of the shard is contested.
	ReasonContested
	// ReasonShed: work of a higher class or of accounts with less waiting has
	// taken the place in the queue.
	ReasonShed
	// ReasonDeadline: the deadline has passed or would pass in the queue.
	ReasonDeadline
)

var reasonNames = [...]string{
	ReasonNone:       "none",
	ReasonNotOwner:   "not-owner",
	ReasonNoEndpoint: "no-endpoint",
	ReasonOverBound:  "over-bound",
	ReasonWarmUp:     "warm-up",
	ReasonContested:  "contested",
	ReasonShed:       "shed",
	ReasonDeadline:   "deadline",
}

// String returns the reason's name in kebab case.
func (r Reason) String() string { return reasonNames[r] }

// Request is a request for an endpoint of a shard.
type Request struct {
	Service string
	Shard   crshard.Key
	// Chat is the hash of the chat key.
	Chat uint64
	// Prefixes are the hashes of growing prefixes of the prompt, shortest
	// first. The longest MaxPrefixes are used.
	Prefixes []uint64
	// PromptTokens is the length of the prompt, 0 when unknown.
	PromptTokens int
	Class        Class
	// Account is the name of the client account.
	Account string
	// Deadline is the time after which the answer is of no use; none when zero.
	Deadline time.Time
	// Avoid is the name of an endpoint that isn't used unless the shard has no
	// other.
	Avoid string
	// MaxWait is the longest wait for a decision. A request with no wait is
	// granted or refused at once.
	MaxWait time.Duration
	// HolderOnly allows a wait for a holder of the chat or prefix only. Without
	// room the request is then refused at once instead of joining the queue, so
	// that the caller can try the next shard.
	HolderOnly bool
	// Walked tells that another shard has refused the request. It is then no
	// evidence of the load of the service as a whole.
	Walked bool
}

// Grant lets one request run at an endpoint.
type Grant struct {
	// ID names the grant for Done. It is never 0 and never used twice.
	ID       uint64
	Endpoint string
	Address  netip.AddrPort
	// Epoch is the endpoint's epoch as known here, 0 when unknown. The request
	// carries it, so that an endpoint that has turned cold refuses it.
	Epoch uint64
	// Holder tells whether the endpoint is known to hold the chat or a prefix
	// of the prompt.
	Holder bool
}

// Decision is the result of Admit or of a wait.
type Decision struct {
	Verdict Verdict
	// Grant is set when granted.
	Grant Grant
	// Waiter names the wait, never 0: set when waiting, and in the decision
	// that ends the wait.
	Waiter uint64
	// Reason and RetryAfter are set when refused.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome tells how a granted request ended.
type Outcome uint8

// The outcomes.
const (
	Success Outcome = iota
	// Failure is an error or timeout of the endpoint.
	Failure
	// RefusedEpoch: the endpoint has another epoch and didn't run the request.
	RefusedEpoch
	// RefusedOverload: the endpoint was full and didn't run the request.
	RefusedOverload
	// Cancelled requests tell nothing about the endpoint.
	Cancelled
	// RefusedLeaving: the endpoint is leaving and didn't run the request.
	RefusedLeaving
)

// Observation is what was seen of a granted request.
type Observation struct {
	Outcome Outcome
	// Epoch is the endpoint's epoch in its answer, 0 when there was none.
	Epoch uint64
	// FirstToken is the time to the first token, 0 when unknown.
	FirstToken time.Duration
	// PromptTokens is the length of the prompt, 0 when unknown, and
	// CachedTokens how many of them the engine found in its cache.
	PromptTokens int
	CachedTokens int
}

// Report is an endpoint's own view of its load, which lags.
type Report struct {
	Endpoint string
	// At is the time of the view, by the endpoint's clock.
	At    time.Time
	Epoch uint64
	// InFlight counts requests, those queued at the endpoint included.
	InFlight int
	Cold     bool
	// Leaving endpoints get no new work until a later report says otherwise.
	Leaving bool
}

// EndpointState is handed over with a shard. Its fields are those of
// EndpointState in peer.proto.
type EndpointState struct {
	Endpoint string
	Epoch    uint64
	InFlight int
	Limit    int
	// Chats and Prefixes are hashes of what the endpoint holds, most recent
	// first.
	Chats    []uint64
	Prefixes []uint64
}

// Handover is the state of a shard on its way to another owner.
type Handover struct {
	Endpoints []EndpointState
	// Contested tells that the sender's own ownership was contested: another
	// instance may still let work in that the sender doesn't know of.
	Contested bool
}

// Load is the state of one endpoint.
type Load struct {
	Shard    crshard.Key
	Endpoint string
	// InFlight counts grants; Foreign is work that an earlier owner granted.
	InFlight int
	Foreign  int
	// Waiting counts the requests that prefer this endpoint. Their sum over a
	// shard is all that wait there.
	Waiting  int
	Capacity int
	// Limit is the warm-up limit and Bound the most that may be in flight now by
	// this owner's grants, both in requests. The bound of a draining endpoint is
	// 0.
	Limit int
	Bound int
	Epoch uint64
	// Leaving endpoints have said so, and get no new work.
	Leaving bool
	// Draining endpoints are in no shard and end their work.
	Draining bool
}

// Admitter holds the state of the owned shards. Set the exported fields before
// its first use. It does no I/O, starts no goroutines and isn't safe for
// concurrent use: the caller holds a lock.
type Admitter struct {
	// LoadMultiple returns the highest load of a service's endpoint as a
	// multiple of the mean. DefaultLoadMultiple when nil or when it returns 0.
	LoadMultiple func(service string) float64
	// Mean returns the fleet-wide mean demand, in requests in flight and
	// waiting per unit of capacity, and whether it is known. When nil or
	// unknown, the shard's own demand stands in for it.
	Mean func(service string, now time.Time) (perCapacity float64, ok bool)
	// ForeignTimeout is how long work that an earlier owner granted counts at
	// most. DefaultForeignTimeout when 0.
	ForeignTimeout time.Duration
	// TokenCost is the time to compute one prompt token, used until it has been
	// observed. DefaultTokenCost when 0.
	TokenCost time.Duration
	// MinHold is how long a request waits for an endpoint that holds its context
	// even if the context could be computed elsewhere sooner. DefaultMinHold
	// when 0, none when negative.
	MinHold time.Duration
	// MaxWaiting bounds the requests that wait in one shard. The lower of
	// DefaultMaxWaiting and the shard's capacity when 0.
	MaxWaiting int
	// HeldChats and HeldPrefixes bound the chats and prefixes that are
	// remembered for each endpoint. DefaultHeldChats and DefaultHeldPrefixes
	// when 0. At most maxHeld.
	HeldChats    int
	HeldPrefixes int

	shards map[crshard.Key]*shard
	// owned are the shards in the order in which they were set.
	owned     []*shard
	endpoints map[string]*endpoint
	grants    pool[grant]
	waiters   pool[waiter]
	woken     []Decision
	returned  []Decision
	arrivals  uint64
}

// The defaults of the Admitter's fields.
const (
	DefaultLoadMultiple   = 1.25
	DefaultForeignTimeout = time.Minute
	DefaultTokenCost      = 100 * time.Microsecond
	DefaultMinHold        = 200 * time.Millisecond
	DefaultMaxWaiting     = 256
	DefaultHeldChats      = 2048
	DefaultHeldPrefixes   = 1024
)

// MaxPrefixes is the count of prefixes that are looked up for a request.
const MaxPrefixes = 8

// grant is one request in flight.
type grant struct {
	endpoint *endpoint
	shard    *shard
	account  *account
	chat     uint64
	walked   bool
	epoch    uint64
	start    time.Time
	// chatTouch is when the grant made the chat held.
	chatTouch uint32
	// chatSeen and prefixSeen are when the endpoint was last granted the chat
	// and the longest held prefix, 0 when it held none.
	chatSeen   uint32
	prefixSeen uint32
}

// Woken returns the decisions on waiting requests since the last call. The
// slice is valid until the next call.
func (a *Admitter) Woken() []Decision {
	a.returned, a.woken = a.woken, a.returned[:0]
	return a.returned
}

// Loads appends the load of every endpoint to dst, draining ones included, and
// returns the extended slice. The order of endpoints is not fixed.
func (a *Admitter) Loads(now time.Time, dst []Load) []Load {
	for _, e := range a.endpoints {
		l := Load{
			Shard: e.key, Endpoint: e.name, InFlight: e.inFlight, Foreign: e.foreign, Waiting: e.waiting,
			Capacity: e.capacity, Limit: e.limit, Epoch: e.epoch, Leaving: e.leaving, Draining: e.shard == nil,
		}
		if e.shard != nil {
			l.Bound = a.view(now, e.shard, 0).ownBound(e)
		}
		dst = append(dst, l)
	}
	return dst
}
