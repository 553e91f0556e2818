package crgrant

import (
	"time"

	"crocusrack/core/crgauge"
	"crocusrack/core/crledger"
	"crocusrack/core/crlimit"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crrollout"
	"crocusrack/core/crshare"
)

// Dump is a snapshot of a State for operators.
type Dump struct {
	Instance          string         `json:"instance"`
	RoutingVersion    uint64         `json:"routing-version"`
	RoutingAge        string         `json:"routing-age"`
	EndpointsRevision uint64         `json:"endpoints-revision"`
	StoreEra          uint64         `json:"store-era"`
	Out               []string       `json:"failure-domains-out"`
	Alive             []string       `json:"instances-alive"`
	Watches           bool           `json:"watches-the-store"`
	Endpoints         []DumpEndpoint `json:"endpoints"`
	Services          []DumpService  `json:"services"`
	// Rollouts are the operators' orders to move services to new versions, and how far
	// they are.
	Rollouts []crrollout.Status `json:"rollouts"`
	// Quarantines are the parts of prompts that are kept from endpoints.
	Quarantines []crquarantine.Quarantine `json:"quarantines"`
	// Saturated are the services whose slots are taken, with the client accounts that ask for
	// more than their share.
	Saturated []crshare.Status `json:"saturated-services"`
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
	Version       string `json:"version"`
	// FailureRate is the fraction of recent requests to the endpoint that failed, over all
	// instances.
	FailureRate float64 `json:"failure-rate"`
	// Slowness is the ratio of the time that the endpoint takes to the usual time.
	Slowness float64 `json:"slowness"`
	// Limit is the number of requests per second that the endpoint takes from all
	// instances together. It is nil if the endpoint names no limit.
	Limit *float64 `json:"limit-per-second,omitempty"`
	// Pauses is the number of pauses between events of streams that this instance saw at the
	// endpoint, PausesOverGap that of those over the gap of their route, and LongestPause the
	// longest one.
	Pauses        int    `json:"pauses,omitempty"`
	PausesOverGap int    `json:"pauses-over-gap,omitempty"`
	LongestPause  string `json:"longest-pause,omitempty"`
	// Stated is the load that the endpoint stated last. It is nil without a recent statement.
	Stated *crgauge.Statement `json:"stated,omitempty"`
	// Ramp tells how far the endpoint is that starts or recovers. It is nil outside a ramp.
	Ramp *DumpRamp `json:"ramp,omitempty"`
}

// DumpService holds the speed learned for a service's endpoints.
type DumpService struct {
	Name string `json:"service"`
	// Overhead is the part of the time to first token that isn't spent reading the prompt.
	Overhead string `json:"overhead"`
	// ReadThousand and FetchThousand are the times to read and to fetch a thousand tokens.
	ReadThousand  string `json:"read-thousand-tokens"`
	FetchThousand string `json:"fetch-thousand-tokens"`
	// ForecastError is the mean factor by which forecasts missed the measured times. One
	// means that they were exact. Forecasts is the number of forecasts.
	ForecastError float64 `json:"forecast-error"`
	Forecasts     int     `json:"forecasts"`
}

// Dump returns a snapshot of the state at the given time.
func (s *State) Dump(now time.Time) Dump {
	s.lock(now)
	defer s.mu.Unlock()
	d := Dump{
		Instance:          s.Self.Name,
		EndpointsRevision: s.endpointsPosition.Revision(),
		StoreEra:          s.endpointsPosition.Era(),
		Watches:           s.roster.Watches(now),
		RoutingAge:        "unknown",
	}
	if s.routingTable != nil {
		d.RoutingVersion = s.routingTable.Version
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
	ramps := s.dumpRamps(now)
	for _, e := range s.endpoints {
		var limit *float64
		if perSecond := s.limits.PerSecond(e.Key); perSecond != crlimit.None {
			limit = &perSecond
		}
		endpoint := DumpEndpoint{
			ID: e.ID, Service: e.Service, FailureDomain: e.FailureDomain,
			InFlight: s.work.InFlight(e.Key), Draining: e.Draining, Version: e.Version,
			Cold: now.Before(e.ColdUntil), Usable: s.health.Usable(now, e.Key),
			FailureRate: s.failures.FailureRate(now, e.Key), Slowness: s.pace.Slowness(now, e.Key),
			Limit: limit, Ramp: ramps[e.Key],
		}
		if c := s.streams.Counts(e.Key); c.Pauses > 0 {
			endpoint.Pauses, endpoint.PausesOverGap, endpoint.LongestPause = c.Pauses, c.OverGap, c.Longest.String()
		}
		if g, ok := s.gauges.Last(now, e.Key); ok {
			endpoint.Stated = &g.Statement
		}
		d.Endpoints = append(d.Endpoints, endpoint)
	}
	d.Rollouts = s.rollouts.Statuses(now)
	d.Quarantines = s.quarantine.Quarantines(now)
	d.Saturated = s.shares.Statuses(now)
	for _, name := range s.pace.Services() {
		factor, count := s.pace.ForecastError(name)
		speed := s.pace.Speed(now, name)
		d.Services = append(d.Services, DumpService{
			Name:          name,
			Overhead:      speed.Overhead(1).String(),
			ReadThousand:  speed.Prefill(1, 1000).String(),
			FetchThousand: speed.Fetch(false, 1000).String(),
			ForecastError: factor,
			Forecasts:     count,
		})
	}
	return d
}

// HasEndpoint reports whether an endpoint is in the current list.
func (s *State) HasEndpoint(k crledger.Key) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Endpoint(k) != nil
}
