// Package crobjectstore is a stand-in for the platform: its object API and its
// lagging list of instances. It lives in memory.
package crobjectstore

import (
	"net/http"
	"sync"
	"time"

	"crocusrack/schema/crplatform"
	"crocusrack/schema/crplatform/crplatformconnect"
	"crocusrack/schema/crstand"
	"crocusrack/stand/crfault"
	"crocusrack/stand/crlag"

	"golang.org/x/time/rate"
)

const (
	// MaxValueBytes is the size of the largest value.
	MaxValueBytes = 1 << 20
	// DefaultReadsPerSecond and DefaultWritesPerSecond are the rates of a
	// Server that sets none.
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
	// DefaultHistoryChanges is the history of a Server that sets none.
	DefaultHistoryChanges = 4096
	// burstFraction of a second's calls may come at once.
	burstFraction = 4
)

// Server is the platform. Its exported fields are set before the first use.
type Server struct {
	// ReadsPerSecond and WritesPerSecond bound the calls; 0 is the default. A
	// watch counts as one read when it opens.
	ReadsPerSecond, WritesPerSecond int
	// HistoryChanges is the number of changes that watches can go back; 0 is
	// DefaultHistoryChanges.
	HistoryChanges int
	// InstanceLag is the age of the list of instances.
	InstanceLag time.Duration

	faults crfault.Set
	once   sync.Once
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	version  uint64
	objects  map[string]*crplatform.Object
	history  []change
	trimmed  uint64 // version of the last change dropped from history
	changed  chan struct{}
	fresh    map[string]*crplatform.Instance
	listed   crlag.History[[]*crplatform.Instance]
	counters crstand.CountersResponse
}

// change is one entry of the history that watches read.
type change struct {
	object  *crplatform.Object
	deleted bool
}

func (s *Server) setup() {
	s.once.Do(func() {
		if s.HistoryChanges == 0 {
			s.HistoryChanges = DefaultHistoryChanges
		}
		s.reads = limiter(s.ReadsPerSecond, DefaultReadsPerSecond)
		s.writes = limiter(s.WritesPerSecond, DefaultWritesPerSecond)
		s.objects = make(map[string]*crplatform.Object)
		s.changed = make(chan struct{})
		s.fresh = make(map[string]*crplatform.Instance)
		s.listed.Lag = s.InstanceLag
	})
}

func limiter(perSecond, byDefault int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = byDefault
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstFraction))
}

// Handler returns the handler of ObjectService, InstanceService and
// FaultService.
func (s *Server) Handler() http.Handler {
	s.setup()
	mux := http.NewServeMux()
	mux.Handle(crplatformconnect.NewObjectServiceHandler(objectHandler{s}))
	mux.Handle(crplatformconnect.NewInstanceServiceHandler(instanceHandler{s}))
	host := crfault.Host{SetFaults: s.SetFaults, Counters: s.Counters}
	host.Register(mux)
	return mux
}

// SetFaults puts faults in force in place of the earlier ones. An outage breaks
// the waiting watches.
func (s *Server) SetFaults(faults *crstand.Faults) {
	s.setup()
	s.faults.Replace(faults)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// Counters returns the calls served so far and the watches waiting now.
func (s *Server) Counters() *crstand.CountersResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &crstand.CountersResponse{
		Reads:          s.counters.Reads,
		Writes:         s.counters.Writes,
		WaitingWatches: s.counters.WaitingWatches,
	}
}

// wake tells the waiting watches to look again. It needs the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
