// Package crservice is a stand-in for a plain service, some of whose calls must
// not be repeated. It counts how often it executes each request.
package crservice

import (
	"context"
	"net/http"
	"sync"
	"time"

	"crocusrack/schema/crendpoint"
	"crocusrack/schema/crendpoint/crendpointconnect"
	"crocusrack/schema/crstand"
	"crocusrack/stand/crfault"
	"crocusrack/stand/crlag"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// Service is one endpoint. Its exported fields are set before the first use.
type Service struct {
	Name string
	// Capacity is what the endpoint reports that it bears at once.
	Capacity int
	// WorkTime is how long a call takes.
	WorkTime time.Duration
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// OnStart, if set, is called when a request begins to execute.
	OnStart func(requestID string)

	faults crfault.Set
	once   sync.Once
	closed chan struct{}

	mu         sync.Mutex
	epoch      uint64
	inFlight   int
	executions map[string]uint32
	started    uint64
	loads      crlag.History[int]
}

func (s *Service) setup() {
	s.once.Do(func() {
		s.epoch = uint64(time.Now().UnixNano())
		s.closed = make(chan struct{})
		s.executions = make(map[string]uint32)
		s.loads.Lag = s.ReportLag
	})
}

// Handler returns the handler of PlainService and FaultService.
func (s *Service) Handler() http.Handler {
	s.setup()
	mux := http.NewServeMux()
	mux.Handle(crendpointconnect.NewPlainServiceHandler(handler{s}))
	host := crfault.Host{SetFaults: s.SetFaults, Counters: s.Counters}
	host.Register(mux)
	return mux
}

// SetFaults puts faults in force in place of the earlier ones.
func (s *Service) SetFaults(faults *crstand.Faults) { s.faults.Replace(faults) }

// Counters returns the executions so far, by request id.
func (s *Service) Counters() *crstand.CountersResponse {
	s.setup()
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &crstand.CountersResponse{Started: s.started, Executions: s.executions}
	return proto.CloneOf(response)
}

// Load returns the requests that execute now and the capacity.
func (s *Service) Load() (inFlight, capacity int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, s.Capacity
}

// Close ends the calls that execute, which are lost. It is called once, after
// the last use.
func (s *Service) Close() {
	s.setup()
	close(s.closed)
}

// work takes WorkTime. It reports whether the call came to its end.
func (s *Service) work() bool {
	timer := time.NewTimer(s.WorkTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

// admit counts the execution, or tells why the request isn't run.
func (s *Service) admit(r *crendpoint.ExecuteRequest) crendpoint.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.GetRequestId() == "":
		return crendpoint.Refusal_REFUSAL_INVALID
	case r.GetEpoch() != 0 && r.GetEpoch() != s.epoch:
		return crendpoint.Refusal_REFUSAL_EPOCH
	case s.faults.Faults().GetLeaving():
		return crendpoint.Refusal_REFUSAL_LEAVING
	}
	s.started++
	s.executions[r.GetRequestId()]++
	s.addInFlight(1)
	return crendpoint.Refusal_REFUSAL_UNSPECIFIED
}

func (s *Service) addInFlight(delta int) {
	s.inFlight += delta
	s.loads.Put(time.Now(), s.inFlight)
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addInFlight(-1)
}

type handler struct{ service *Service }

// Execute runs the request to its end, also when the client has gone.
func (h handler) Execute(ctx context.Context, r *connect.Request[crendpoint.ExecuteRequest]) (*connect.Response[crendpoint.ExecuteResponse], error) {
	s := h.service
	if err := s.faults.Pause(ctx); err != nil {
		return nil, err
	}
	response := &crendpoint.ExecuteResponse{
		RequestId: r.Msg.GetRequestId(),
		Attempt:   r.Msg.GetAttempt(),
		Epoch:     s.epoch,
	}
	response.Refusal = s.admit(r.Msg)
	if response.Refusal != crendpoint.Refusal_REFUSAL_UNSPECIFIED {
		return connect.NewResponse(response), nil
	}
	defer s.finish()
	if s.OnStart != nil {
		s.OnStart(r.Msg.GetRequestId())
	}
	if !s.work() || s.faults.Faults().GetLoseAnswers() {
		crfault.LoseAnswer()
	}
	response.Body = Answer(r.Msg.GetMethod(), r.Msg.GetBody())
	return connect.NewResponse(response), nil
}

// Answer returns what every endpoint answers to a call.
func Answer(method string, body []byte) []byte {
	return append([]byte(method+" done: "), body...)
}

// Report returns the load of ReportLag ago.
func (h handler) Report(ctx context.Context, _ *connect.Request[crendpoint.ReportRequest]) (*connect.Response[crendpoint.ReportResponse], error) {
	s := h.service
	if err := s.faults.Pause(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight, at := s.loads.At(time.Now())
	return connect.NewResponse(&crendpoint.ReportResponse{
		At:       timestamppb.New(at),
		Epoch:    s.epoch,
		InFlight: uint32(inFlight),
		Capacity: uint32(s.Capacity),
		Leaving:  s.faults.Faults().GetLeaving(),
	}), nil
}
