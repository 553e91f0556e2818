// Package crentry serves callers: it answers address requests, accepts calls and chats,
// and returns exactly one outcome for each. A request is sent to the owner of the chat's
// first-choice shard, which may be this instance, and to the next shard when it is
// refused there.
package crentry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crexecution"
	"crocusrack/core/crhash"
	"crocusrack/core/crmember"
	"crocusrack/core/crretry"
	"crocusrack/core/crshard"
	"crocusrack/io/crowner"
	"crocusrack/io/crpeer"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
	pb "crocusrack/schema/crcatalogue"
	peerpb "crocusrack/schema/crpeer"
)

const (
	// maxAddresses bounds the addresses in one address answer.
	maxAddresses = 4
	// maxShards bounds the shards that one request tries.
	maxShards = 8
	// notReadyRetry is the RetryAfter of refusals for a passing reason, such as an
	// instance without a catalogue or a service without a usable endpoint.
	notReadyRetry = time.Second
)

// Entry serves the requests of callers at one instance. Set the exported fields before
// use.
type Entry struct {
	Instance string
	// Run is the random number that identifies this run of the process.
	Run uint64
	// AddressLifetime is how long an address answer stays valid.
	AddressLifetime time.Duration
	MaxRequestBytes int

	Owner *crowner.Owner
	Peers *crpeer.Pool
	Log   *zap.Logger

	// Catalogue returns the catalogue in force here, or nil before there is one.
	Catalogue func() *crcatalogue.Set
	// Shards returns the shards to try for a chat, given by the hash of its chat key,
	// the first choice first.
	Shards func(service string, chat uint64) []*crshard.Shard
	// Holder returns the shard of this instance that holds a chat's context, and
	// whether there is one.
	Holder func(service string, chat uint64) (crshard.Key, bool)
	// Instances returns the names of the instances that a caller should use for a chat,
	// best first.
	Instances func(service string, chat uint64) []string
	// Member finds an instance by name, whatever its state.
	Member func(name string) (crmember.Member, bool)
	// OnAddressAnswer is called when an address answer names this instance, with the time
	// when that answer expires.
	OnAddressAnswer func(until time.Time)
	// OnRequestEnded is called with the outcome of each request of a caller.
	OnRequestEnded func(service string, o *crcaller.Outcome)
	// OnRetry, if set, is called each time that a request is sent to an owner, except
	// for the first time.
	OnRetry func()
	// Claim takes the durable claim of an execution token. It is called before a
	// not-repeatable request of a service with durable claims is sent.
	Claim func(ctx context.Context, token string) crexecution.ClaimResult

	Quota      Quota
	Executions Executions
	Retries    Retries
	chatShards chatShards

	mu sync.Mutex
	// tracked holds the requests in progress by request ID. A request that is sent again
	// may overlap with its earlier sending.
	tracked map[string][]*trackedRequest
}

// trackedRequest is a request in progress.
type trackedRequest struct{ cancel context.CancelCauseFunc }

// Quota holds the functions that enforce the limits of the client accounts.
type Quota struct {
	// Admit reports whether a request of the account may run now, and if not, after
	// what time the caller may retry.
	Admit func(account string) (allowed bool, retryAfter time.Duration)
	// Done is called when a request that was admitted has ended.
	Done func(account string)
}

// Executions makes the registry of execution tokens safe for concurrent use.
type Executions struct {
	mu       sync.Mutex
	Registry *crexecution.Registry
}

// Retries holds the retry policy of each service.
type Retries struct {
	// Instances returns the number of usable instances. They share the retries per
	// second that a service with few requests may always use.
	Instances func() int

	mu       sync.Mutex
	policies map[string]*crretry.Policy
}

// Address returns the addresses of the instances to use for a chat, and an execution
// token if the request must not be repeated.
func (e *Entry) Address(_ context.Context, r *connect.Request[crcaller.AddressRequest]) (*connect.Response[crcaller.AddressResponse], error) {
	m := r.Msg
	if refused := e.checkAddress(m); refused != nil {
		return connect.NewResponse(&crcaller.AddressResponse{Refusal: refused}), nil
	}
	expires := time.Now().Add(e.AddressLifetime)
	answer := &crcaller.AddressResponse{ExpiresAt: timestamppb.New(expires)}
	if m.NotRepeatable {
		token, err := e.Executions.issue(m.Service, m.ClientAccount)
		if err != nil {
			answer.Refusal = crrequest.NotRun(crcaller.Reason_REASON_SHED, notReadyRetry, "%v", err)
			return connect.NewResponse(answer), nil
		}
		answer.ExecutionToken = token
	}
	for _, n := range e.addresses(m) {
		if n.Name == e.Instance {
			e.OnAddressAnswer(expires)
		}
		answer.Addresses = append(answer.Addresses, &crcaller.InstanceAddress{
			Instance:      n.Name,
			Address:       n.Caller.String(),
			FailureDomain: n.FailureDomain,
		})
	}
	if len(answer.Addresses) == 0 {
		answer.Refusal = crrequest.NotRun(crcaller.Reason_REASON_DRAINING, notReadyRetry, "no instance takes new callers")
	}
	return connect.NewResponse(answer), nil
}

func (e *Entry) checkAddress(m *crcaller.AddressRequest) *crcaller.Outcome {
	if refused := crrequest.CheckAddress(m); refused != nil {
		return refused
	}
	_, refused := e.check(m.Service, m.ClientAccount)
	return refused
}

// addresses returns the usable instances for a chat, best first. For a request that must
// not be repeated, this instance comes first: it issues the execution token, and only
// the issuer can start the execution.
func (e *Entry) addresses(m *crcaller.AddressRequest) []crmember.Member {
	var list []crmember.Member
	add := func(name string) {
		for i := range list {
			if list[i].Name == name {
				return
			}
		}
		if n, ok := e.Member(name); ok && usable(n) && len(list) < maxAddresses {
			list = append(list, n)
		}
	}
	if m.NotRepeatable {
		add(e.Instance)
	}
	for _, name := range e.Instances(m.Service, crhash.Of(m.ChatKey)) {
		add(name)
	}
	return list
}

// usable reports whether callers may be sent to a member.
func usable(m crmember.Member) bool {
	return m.State == crmember.Alive || m.State == crmember.Suspect
}

// check returns the service, or a refusal if there is no catalogue yet, the service or
// the client account is unknown, or the account may not use the service.
func (e *Entry) check(service, account string) (*pb.Service, *crcaller.Outcome) {
	set := e.Catalogue()
	if set == nil {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_NOT_READY, notReadyRetry, "this instance has no catalogue yet")
	}
	s, ok := set.Service(service)
	if !ok {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_UNKNOWN_SERVICE, 0, "the catalogue has no service %q", service)
	}
	if _, ok := set.ClientAccount(account); !ok {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT, 0, "the catalogue has no client account %q", account)
	}
	if !set.MayUse(account, service) {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT, 0, "client account %q may not use service %q", account, service)
	}
	return s, nil
}

// admit asks the client account's quota to admit a request for a service. The request may wait
// meanwhile, so its account is checked again. The caller of admit must call release when the
// request has ended, so that it no longer counts as running.
func (e *Entry) admit(service, account string) (release func(), refused *crcaller.Outcome) {
	allowed, retryAfter := e.Quota.Admit(account)
	if !allowed {
		return nil, crrequest.NotRun(crcaller.Reason_REASON_QUOTA, retryAfter, "client account %q is over its limits", account)
	}
	if _, refused := e.check(service, account); refused != nil {
		e.Quota.Done(account)
		return nil, refused
	}
	return func() { e.Quota.Done(account) }, nil
}

// Cancel cancels a request that runs at this instance or at an owner of one of the
// chat's shards.
func (e *Entry) Cancel(ctx context.Context, r *connect.Request[crcaller.CancelRequest]) (*connect.Response[crcaller.CancelResponse], error) {
	found := e.cancelHere(r.Msg.RequestId)
	if !found {
		found = e.cancelAtOwners(ctx, r.Msg)
	}
	return connect.NewResponse(&crcaller.CancelResponse{Found: found}), nil
}

// CancelAll cancels every request of a caller in progress at this instance.
func (e *Entry) CancelAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, requests := range e.tracked {
		for _, r := range requests {
			r.cancel(errStopped)
		}
	}
}

// cancelHere cancels a request at this instance and reports whether it was found.
func (e *Entry) cancelHere(id string) bool {
	e.mu.Lock()
	requests := slices.Clone(e.tracked[id])
	e.mu.Unlock()
	for _, r := range requests {
		r.cancel(errCancelled)
	}
	return len(requests) > 0 || e.Owner.Cancel(id)
}

// cancelAtOwners asks the owners of the chat's shards to cancel a request and reports
// whether one found it.
func (e *Entry) cancelAtOwners(ctx context.Context, r *crcaller.CancelRequest) bool {
	walk := e.Shards(r.Service, crhash.Of(r.ChatKey))
	for _, s := range walk[:min(len(walk), maxShards)] {
		client, ok := e.peerClient(s.Owner)
		if !ok {
			continue
		}
		answer, err := client.Cancel(ctx, r)
		if err == nil && answer.Found {
			return true
		}
	}
	return false
}

// Outcome returns the outcome of a request that must not be repeated.
func (e *Entry) Outcome(ctx context.Context, r *connect.Request[crcaller.OutcomeRequest]) (*connect.Response[crcaller.OutcomeResponse], error) {
	return connect.NewResponse(e.OutcomeOf(ctx, r.Msg.RequestId)), nil
}

// OutcomeOf returns the outcome recorded for an execution token. It asks the process run
// that issued the token, which may be another instance.
func (e *Entry) OutcomeOf(ctx context.Context, id string) *crcaller.OutcomeResponse {
	token, err := crexecution.Parse(id)
	if err != nil {
		o := crrequest.Unknown(crcaller.Reason_REASON_TOKEN_REQUIRED, "outcomes are kept by execution token only: %v", err)
		return &crcaller.OutcomeResponse{Outcome: o}
	}
	if token.Instance == e.Instance && token.Run == e.Run {
		return e.Executions.lookup(id)
	}
	member, ok := e.Member(token.Instance)
	if !ok || member.Run != token.Run {
		return &crcaller.OutcomeResponse{Outcome: tokenLost()}
	}
	client, ok := e.peerClient(token.Instance)
	if !ok {
		return &crcaller.OutcomeResponse{Outcome: issuerUnreachable()}
	}
	answer, err := client.Outcome(ctx, &crcaller.OutcomeRequest{RequestId: id})
	if err != nil {
		return &crcaller.OutcomeResponse{Outcome: issuerUnreachable()}
	}
	return answer
}

func tokenLost() *crcaller.Outcome {
	return crrequest.Unknown(crcaller.Reason_REASON_TOKEN_VOID, "the instance that issued the execution token is gone; the request won't run any more, but may have run")
}

func issuerUnreachable() *crcaller.Outcome {
	return crrequest.Unknown(crcaller.Reason_REASON_CONNECTION_LOST, "the instance that issued the execution token can't be reached; ask again later")
}

// peerClient returns the client for requests to another instance. It returns false for
// this instance, and for one that is unknown or has no peer address.
func (e *Entry) peerClient(name string) (peerpb.PeerServiceClient, bool) {
	if name == e.Instance {
		return nil, false
	}
	m, ok := e.Member(name)
	if !ok || m.Peer == (netip.AddrPort{}) {
		return nil, false
	}
	client, err := e.Peers.Client(m.Peer, crpeer.Requests)
	if err != nil {
		e.Log.Warn("entry: no connection to a peer", zap.String("instance", name), zap.Error(err))
		return nil, false
	}
	return client, true
}

// reportRetry calls OnRetry if a request is sent to an owner for the n-th time and n,
// which counts from 1, is more than 1.
func (e *Entry) reportRetry(n uint32) {
	if n > 1 && e.OnRetry != nil {
		e.OnRetry()
	}
}

// track makes a request cancellable by its ID until the returned function is called.
func (e *Entry) track(ctx context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tracked == nil {
		e.tracked = make(map[string][]*trackedRequest)
	}
	r := &trackedRequest{cancel}
	e.tracked[id] = append(e.tracked[id], r)
	return ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.tracked[id] = slices.DeleteFunc(e.tracked[id], func(t *trackedRequest) bool { return t == r })
		if len(e.tracked[id]) == 0 {
			delete(e.tracked, id)
		}
		cancel(nil)
	}
}

// InFlight returns the number of callers' requests in progress here.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, requests := range e.tracked {
		n += len(requests)
	}
	return n
}
