package crowner

import (
	"math/rand/v2"
	"sync"

	"crocusrack/core/cradmit"
	"crocusrack/core/crhash"
	"crocusrack/core/crpolicy"
	"crocusrack/core/crshard"
	"crocusrack/io/crrequest"
	"crocusrack/schema/crcaller"
)

// Baseline chooses endpoints by a load balancing policy without admission
// control. It serves to compare the policy with admission. Set the fields before
// use. A Baseline is safe for concurrent use.
type Baseline struct {
	// Policy is the policy by which endpoints are chosen.
	Policy crpolicy.Policy
	// Endpoints returns the usable endpoints of a service.
	Endpoints func(service string) []crshard.Endpoint

	mu       sync.Mutex
	choosers map[string]*crpolicy.Chooser
}

// grant chooses an endpoint for r, or returns the outcome of a request for which
// no endpoint is usable. Each grant must be followed by a call to done.
func (b *Baseline) grant(r *cradmit.Request) (cradmit.Grant, *crcaller.Outcome) {
	list := b.Endpoints(r.Service)
	if len(list) == 0 {
		return cradmit.Grant{}, crrequest.NotRun(crcaller.Reason_REASON_NO_ENDPOINT, retryAfterFailure, "no endpoint is usable")
	}
	candidates := make([]crpolicy.Endpoint, len(list))
	for i, e := range list {
		candidates[i] = crpolicy.Endpoint{Name: e.Name, Hash: crhash.Of(e.Name), Capacity: e.Capacity}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := list[b.chooser(r.Service).Choose(r.Chat, candidates)]
	return cradmit.Grant{Endpoint: e.Name, Address: e.Address}, nil
}

// done reports the end of a request at an endpoint to the policy.
func (b *Baseline) done(service, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chooser(service).Done(endpoint)
}

// chooser returns the chooser of a service and creates it on first use. b.mu must
// be held.
func (b *Baseline) chooser(service string) *crpolicy.Chooser {
	if b.choosers == nil {
		b.choosers = make(map[string]*crpolicy.Chooser)
	}
	c, ok := b.choosers[service]
	if !ok {
		c = &crpolicy.Chooser{Policy: b.Policy, Rand: rand.New(rand.NewPCG(rand.Uint64(), crhash.Of(service)))}
		b.choosers[service] = c
	}
	return c
}
