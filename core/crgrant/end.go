package crgrant

import (
	"math/rand/v2"
	"time"

	"crocusrack/core/crhealth"
	"crocusrack/core/crramp"
)

// MarkLeaving records that the endpoint announced that it is leaving, and has other
// instances informed. It reports whether that is new.
func (g *Grant) MarkLeaving(now time.Time) bool {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if !s.health.MarkLeaving(now, g.Endpoint.Key) {
		return false
	}
	s.signalUrgent()
	return true
}

// pauseJitter is the largest fraction by which a pause is extended at random, so that the
// instances that an endpoint paused don't all resume at once.
const pauseJitter = 0.2

// Pause records that the endpoint asked this instance to send no requests for d. The pause
// is limited to crhealth.MaxPause and extended by random jitter. Pause returns the
// resulting duration.
func (g *Grant) Pause(now time.Time, d time.Duration) time.Duration {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	d = min(d, crhealth.MaxPause)
	d += time.Duration(rand.Float64() * pauseJitter * float64(d))
	s.health.Pause(now, g.Endpoint.Key, d)
	s.beginRamp(now, now, g.Endpoint.Key, crramp.Paused)
	return d
}

// Drop removes the request from the requests in flight without recording an outcome,
// because the outcome says nothing about the endpoint, for example when the caller left.
func (g *Grant) Drop(now time.Time) {
	s := g.state
	s.lock(now)
	defer s.mu.Unlock()
	if !g.ended {
		g.ended = true
		s.work.End(g.Endpoint.Key)
		g.recordForRollout(now, crhealth.Good, true)
		g.forgetUnreadPrompt()
	}
}

// forgetUnreadPrompt removes the record of the prompt from the endpoint if the endpoint
// hasn't read it.
func (g *Grant) forgetUnreadPrompt() {
	if g.read {
		return
	}
	for _, l := range g.links {
		g.state.contexts.RemoveUnfinished(l, g.Endpoint.Key)
	}
}
