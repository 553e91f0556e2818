package crentry

import (
	"math/rand/v2"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crretry"
	"crocusrack/schema/crcaller"
)

const (
	// retryShare bounds the retries of a service, as a share of its requests during
	// retryWindow.
	retryShare = 0.1
	// fleetRetriesPerSecond is the number of retries per second that the whole fleet may
	// always make for a service, however few requests the service has.
	fleetRetriesPerSecond = 40.0
	retryWindow           = 10 * time.Second
	backoffBase           = 50 * time.Millisecond
	backoffCap            = 2 * time.Second
	// maxRounds bounds how often a request tries its shards.
	maxRounds = 8
)

// recordRequest counts a new request in the service's retry budget.
func (p *Retries) recordRequest(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy(service).Request(time.Now())
}

// decide reports whether, and after what time, a failed request may be tried again.
func (p *Retries) decide(service string, a crretry.Attempt) crretry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy(service).Decide(time.Now(), a)
}

// policy returns the retry policy of a service. p.mu must be held.
func (p *Retries) policy(service string) *crretry.Policy {
	if p.policies == nil {
		p.policies = make(map[string]*crretry.Policy)
	}
	policy, ok := p.policies[service]
	if !ok {
		policy = &crretry.Policy{
			Budget:      crretry.Budget{Share: retryShare, Window: retryWindow},
			Base:        backoffBase,
			Cap:         backoffCap,
			MaxAttempts: maxRounds,
			Rand:        rand.New(rand.NewPCG(crhash.Of(service), uint64(time.Now().UnixNano()))),
		}
		p.policies[service] = policy
	}
	policy.MinPerSecond = fleetRetriesPerSecond / float64(max(p.Instances(), 1))
	return policy
}

// failedRound describes a failed round over the shards for the retry policy, to which each
// round is one attempt. Rounds count from 1.
func failedRound(round int, o *crcaller.Outcome, repeatable bool, deadline time.Time) crretry.Attempt {
	return crretry.Attempt{
		Number:     round,
		Kind:       o.Kind,
		Reason:     o.Reason,
		Repeatable: repeatable,
		Deadline:   deadline,
		RetryAfter: o.RetryAfter.AsDuration(),
	}
}
