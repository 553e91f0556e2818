package crgrant

import (
	"time"

	"crocusrack/core/crledger"
)

// Dump is a State as operators see it.
type Dump struct {
	Instance          string         `json:"instance"`
	RoutingVersion    uint64         `json:"routing-version"`
	RoutingAge        string         `json:"routing-age"`
	EndpointsRevision uint64         `json:"endpoints-revision"`
	Out               []string       `json:"failure-domains-out"`
	Alive             []string       `json:"instances-alive"`
	Watches           bool           `json:"watches-the-store"`
	Endpoints         []DumpEndpoint `json:"endpoints"`
}

// DumpEndpoint is one endpoint in a Dump.
type DumpEndpoint struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	InFlight      int    `json:"in-flight"`
	Draining      bool   `json:"draining"`
	Cold          bool   `json:"cold"`
	Usable        bool   `json:"usable"`
}

// Dump returns the state as of now.
func (s *State) Dump(now time.Time) Dump {
	s.lock(now)
	defer s.mu.Unlock()
	d := Dump{
		Instance:          s.Self.Name,
		EndpointsRevision: s.endpointsRevision,
		Watches:           s.roster.Watches(now),
		RoutingAge:        "unknown",
	}
	if s.table != nil {
		d.RoutingVersion = s.table.Version
	}
	if age, ok := s.Evidence.Age(s.Elapsed()); ok {
		d.RoutingAge = age.String()
	}
	for domain := range s.outs {
		d.Out = append(d.Out, domain)
	}
	for _, i := range s.roster.Alive(now) {
		d.Alive = append(d.Alive, i.Name)
	}
	for _, e := range s.endpoints {
		d.Endpoints = append(d.Endpoints, DumpEndpoint{
			ID: e.ID, Service: e.Service, FailureDomain: e.FailureDomain,
			InFlight: s.work.InFlight(e.Key), Draining: e.Draining,
			Cold: now.Before(e.ColdUntil), Usable: s.health.Usable(now, e.Key),
		})
	}
	return d
}

// HasEndpoint reports whether an endpoint is still there.
func (s *State) HasEndpoint(k crledger.Key) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Endpoint(k) != nil
}
