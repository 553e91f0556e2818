// Package crfault is what all stand-ins share: the faults in force and the
// service that sets them from outside.
package crfault

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/schema/crstand"
	"crocusrack/schema/crstand/crstandconnect"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// Set holds the faults in force. The zero value has none. It is safe for
// concurrent use.
type Set struct {
	mu     sync.Mutex
	faults *crstand.Faults
}

// Replace puts the given faults in force in place of the earlier ones. Nil
// means none.
func (s *Set) Replace(faults *crstand.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = proto.CloneOf(faults)
}

// Faults returns the faults in force, which the caller must not change.
func (s *Set) Faults() *crstand.Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Pause waits for the delay in force. It returns a Connect error when ctx ends
// first.
func (s *Set) Pause(ctx context.Context) error {
	return Sleep(ctx, s.Faults().GetDelay().AsDuration())
}

// Sleep waits for d. It returns a Connect error when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if err := crbackoff.Sleep(ctx, d); err != nil {
		return connect.NewError(connect.CodeCanceled, err)
	}
	return nil
}

// LoseAnswer ends the handler that calls it and breaks its stream, so that the
// client gets no answer. It doesn't return.
func LoseAnswer() {
	panic(http.ErrAbortHandler)
}

// Host serves FaultService for a stand-in.
type Host struct {
	// SetFaults puts faults in force.
	SetFaults func(faults *crstand.Faults)
	// Counters returns the counts so far.
	Counters func() *crstand.CountersResponse
}

// Register adds the service's handler to the mux.
func (h *Host) Register(mux *http.ServeMux) {
	mux.Handle(crstandconnect.NewFaultServiceHandler(handler{h}))
}

type handler struct{ host *Host }

func (h handler) SetFaults(_ context.Context, r *connect.Request[crstand.SetFaultsRequest]) (*connect.Response[crstand.SetFaultsResponse], error) {
	h.host.SetFaults(r.Msg.GetFaults())
	return connect.NewResponse(&crstand.SetFaultsResponse{}), nil
}

func (h handler) Counters(context.Context, *connect.Request[crstand.CountersRequest]) (*connect.Response[crstand.CountersResponse], error) {
	return connect.NewResponse(h.host.Counters()), nil
}
