// Package cradmit implements admission control for the endpoints of the shards that an
// instance owns.
//
// All requests to the endpoints of a shard are admitted by its owner, so the owner knows
// the exact number of its grants in flight. Admit grants, queues or refuses a request. Done
// releases a grant. A queued request receives exactly one decision, which Decisions
// returns, unless Abandon removes it from the queue first.
//
// An endpoint accepts a request only if its requests in flight, including the new one,
// don't exceed its bound. The bound is the product of three values: the load multiple
// (Admitter.LoadMultiple, less a margin of 5 %), the mean demand per unit of capacity, and
// the capacity of the endpoint. It is never above the capacity or the warm-up limit of the
// endpoint.
package cradmit

import (
	"net/netip"
	"time"

	"crocusrack/core/crshard"
)

// Class is the priority class of a request. Under contention, lower classes wait longer
// and are shed first.
type Class uint8

// The priority classes, highest first.
const (
	Interactive Class = iota
	Standard
	Batch
)

// Verdict is the result of an admission decision.
type Verdict uint8

// The results of admission decisions.
const (
	// Granted means that the request may be sent to the granted endpoint.
	Granted Verdict = iota
	// Waiting means that the request is queued. Admitter.Decisions returns the final
	// decision.
	Waiting
	// Refused means that the request isn't sent to any endpoint.
	Refused
)

// Reason is the cause of a refusal.
type Reason uint8

// The causes of refusals. ReasonNone is the reason of decisions that aren't refusals.
const (
	ReasonNone Reason = iota
	// ReasonNotOwner means that this instance doesn't own the shard.
	ReasonNotOwner
	// ReasonNoEndpoint means that the shard has no usable endpoint.
	ReasonNoEndpoint
	// ReasonOverBound means that every endpoint of the shard has reached its bound.
	ReasonOverBound
	// ReasonWarmUp means that no endpoint has room, and that at least one would have
	// room without its warm-up limit.
	ReasonWarmUp
	// ReasonContested means that no endpoint has room while bounds are halved because
	// the ownership of the shard is contested.
	ReasonContested
	// ReasonShed means that the queue was full and the request was removed in favor of
	// a higher class or of an account with fewer waiting requests.
	ReasonShed
	// ReasonDeadline means that the deadline has passed or would pass in the queue.
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

// String returns the name of the reason in kebab case.
func (r Reason) String() string { return reasonNames[r] }

// Request describes a request that needs an endpoint of a shard.
type Request struct {
	Service string
	Shard   crshard.Key
	// Chat is the hash of the chat key.
	Chat uint64
	// Prefixes are the hashes of successively longer prefixes of the prompt, shortest
	// first. Only the longest MaxPrefixes are used.
	Prefixes []uint64
	// PromptTokens is the length of the prompt. Zero means unknown.
	PromptTokens int
	Class        Class
	// Account is the name of the client account.
	Account string
	// Deadline is the time after which the answer is of no use. Zero means no deadline.
	Deadline time.Time
	// Avoid is the name of an endpoint that isn't used unless it is the only one of the
	// shard.
	Avoid string
	// MaxWait is the longest time that the request may be queued. With zero, the
	// request is granted or refused at once.
	MaxWait time.Duration
	// HolderOnly restricts the wait to an endpoint that holds the chat or a prefix. If
	// there is no such endpoint to wait for, a request without room is refused at once
	// instead of being queued, so that the caller can try the next shard.
	HolderOnly bool
	// RefusedElsewhere reports that another shard has already refused the request. Such a
	// request isn't counted as evidence of the load of the whole service.
	RefusedElsewhere bool
}

// Grant permits one request to run at an endpoint.
type Grant struct {
	// ID identifies the grant for Done. It is never 0 and never reused.
	ID       uint64
	Endpoint string
	Address  netip.AddrPort
	// Epoch is the last known epoch of the endpoint, or 0 if unknown. The request
	// carries it so that an endpoint that has restarted cold refuses the request.
	Epoch uint64
	// Holder reports whether the endpoint is known to hold the chat or a prefix of the
	// prompt in its cache.
	Holder bool
}

// Decision is the result of Admit, or the final decision on a queued request.
type Decision struct {
	Verdict Verdict
	// Grant is set if Verdict is Granted.
	Grant Grant
	// Waiter identifies the queued request and is never 0. It is set if Verdict is
	// Waiting, and in the final decision on a queued request.
	Waiter uint64
	// Reason and RetryAfter are set if Verdict is Refused.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome is the way in which a granted request ended.
type Outcome uint8

// The outcomes of granted requests.
const (
	// Success means that the endpoint completed the request.
	Success Outcome = iota
	// Failure is an error or a timeout of the endpoint.
	Failure
	// RefusedEpoch means that the endpoint has another epoch and didn't run the
	// request.
	RefusedEpoch
	// RefusedOverload means that the endpoint was full and didn't run the request.
	RefusedOverload
	// Cancelled means that the request was cancelled, which says nothing about the
	// endpoint.
	Cancelled
	// RefusedLeaving means that the endpoint is shutting down and didn't run the
	// request.
	RefusedLeaving
)

// Observation holds the measurements of a granted request.
type Observation struct {
	Outcome Outcome
	// Epoch is the epoch in the endpoint's answer, or 0 if there was none.
	Epoch uint64
	// FirstToken is the time to first token, or 0 if unknown.
	FirstToken time.Duration
	// PromptTokens is the length of the prompt, or 0 if unknown. CachedTokens is how
	// many of these tokens the engine found in its cache.
	PromptTokens int
	CachedTokens int
}

// Report is the load that an endpoint reports about itself. It lags behind the actual
// load.
type Report struct {
	Endpoint string
	// At is the time of the report by the endpoint's clock.
	At    time.Time
	Epoch uint64
	// InFlight is the number of requests at the endpoint, including those queued there.
	InFlight int
	Cold     bool
	// Leaving reports that the endpoint is shutting down. It gets no new requests until
	// a later report clears the field.
	Leaving bool
}

// EndpointState is the state of one endpoint in a Handover. Its fields mirror those of
// EndpointState in peer.proto.
type EndpointState struct {
	Endpoint string
	Epoch    uint64
	InFlight int
	Limit    int
	// Chats and Prefixes are the hashes of the chats and prefixes that the endpoint
	// holds, most recent first.
	Chats    []uint64
	Prefixes []uint64
}

// Handover is the state of a shard that is transferred to a new owner.
type Handover struct {
	Endpoints []EndpointState
	// Contested reports that the sender's own ownership was contested: another instance
	// may still admit requests that the sender doesn't know about.
	Contested bool
}

// EndpointLoad is the load of one endpoint and the limits that apply to it.
type EndpointLoad struct {
	Shard    crshard.Key
	Endpoint string
	// InFlight is the number of grants in flight. OtherOwners is the number of requests in
	// flight that another owner of the shard granted.
	InFlight    int
	OtherOwners int
	// Waiting is the number of queued requests that prefer this endpoint. The sum over
	// the endpoints of a shard is the length of its queue.
	Waiting  int
	Capacity int
	// WarmUpLimit is the warm-up limit. Bound is the maximum number of grants that this
	// owner may now have in flight. Both are in requests. The bound of a draining
	// endpoint is 0.
	WarmUpLimit int
	Bound       int
	Epoch       uint64
	// Leaving reports that the endpoint has announced its shutdown and gets no new
	// requests.
	Leaving bool
	// Draining reports that the endpoint is in no shard and only finishes its requests
	// in flight.
	Draining bool
}

// Admitter holds the admission state of the owned shards. Set the exported fields
// before the first use. It does no I/O, starts no goroutines and isn't safe for
// concurrent use; the caller must hold a lock.
type Admitter struct {
	// LoadMultiple returns the highest load of an endpoint of the service as a multiple
	// of the mean. DefaultLoadMultiple applies if it is nil or doesn't return a
	// positive value.
	LoadMultiple func(service string) float64
	// Mean returns the fleet-wide mean load, in requests in flight per unit of capacity,
	// and whether it is known. If it is nil or the mean is unknown,
	// the demand of the shard itself is used.
	Mean func(service string, now time.Time) (perCapacity float64, ok bool)
	// ForeignTimeout is the longest time for which requests granted by another owner
	// are counted. Zero means DefaultForeignTimeout.
	ForeignTimeout time.Duration
	// TokenCost is the prefill time per prompt token, used until it has been measured.
	// Zero means DefaultTokenCost.
	TokenCost time.Duration
	// MinHold is how long a request waits for an endpoint that holds its context even
	// if another endpoint could compute the context sooner. Zero means DefaultMinHold,
	// a negative value no such minimum.
	MinHold time.Duration
	// MaxWaiting is the maximum length of the queue of one shard. Zero means the lower
	// of DefaultMaxWaiting and the capacity of the shard.
	MaxWaiting int
	// HeldChats and HeldPrefixes are the maximum numbers of chats and prefixes that are
	// tracked per endpoint. Zero means DefaultHeldChats and DefaultHeldPrefixes. Values
	// above maxHeld are reduced to it.
	HeldChats    int
	HeldPrefixes int

	shards map[crshard.Key]*shard
	// owned lists the shards in the order of the last SetShards.
	owned             []*shard
	endpoints         map[string]*endpoint
	grants            pool[grant]
	waiters           pool[waiter]
	decisions         []Decision
	returnedDecisions []Decision
	arrivals          uint64
}

// Default values of the fields of Admitter.
const (
	DefaultLoadMultiple   = 1.25
	DefaultForeignTimeout = time.Minute
	DefaultTokenCost      = 100 * time.Microsecond
	DefaultMinHold        = 200 * time.Millisecond
	DefaultMaxWaiting     = 256
	DefaultHeldChats      = 2048
	DefaultHeldPrefixes   = 1024
)

// MaxPrefixes is the maximum number of prefixes that are looked up for a request.
const MaxPrefixes = 8

// grant is one request in flight.
type grant struct {
	endpoint         *endpoint
	shard            *shard
	account          *account
	chat             uint64
	refusedElsewhere bool
	epoch            uint64
	start            time.Time
	// chatTouch is the value of the touch counter at which the grant marked the chat as
	// held.
	chatTouch uint32
	// prevChatTouch and prevPrefixTouch are the touch counters of the previous grants
	// of the chat and of its longest held prefix at the endpoint. Zero means that the
	// endpoint didn't hold it.
	prevChatTouch   uint32
	prevPrefixTouch uint32
}

// Decisions returns the final decisions on queued requests since the last call. The slice
// is valid until the next call.
func (a *Admitter) Decisions() []Decision {
	a.returnedDecisions, a.decisions = a.decisions, a.returnedDecisions[:0]
	return a.returnedDecisions
}

// EndpointLoads appends the load of every endpoint, including draining ones, to dst and
// returns the extended slice. The order of the endpoints is not specified.
func (a *Admitter) EndpointLoads(now time.Time, dst []EndpointLoad) []EndpointLoad {
	for _, e := range a.endpoints {
		l := EndpointLoad{
			Shard: e.key, Endpoint: e.name, InFlight: e.inFlight, OtherOwners: e.foreign, Waiting: e.waiting,
			Capacity: e.capacity, WarmUpLimit: e.warmUpLimit, Epoch: e.epoch, Leaving: e.leaving, Draining: e.shard == nil,
		}
		if e.shard != nil {
			l.Bound = a.view(now, e.shard, 0).ownBound(e)
		}
		dst = append(dst, l)
	}
	return dst
}
