package crclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcaller/crcallerconnect"

	"connectrpc.com/connect"
)

const (
	// avoidFor is how long an instance that failed or leaves is used last.
	avoidFor = 10 * time.Second
	// knownInstances bounds the instances that are remembered beside the seeds.
	knownInstances = 32
	// keptAnswers bounds the address answers that are kept.
	keptAnswers = 1 << 14
)

var errNoAddress = errors.New("the fleet named no instance")

// instances are those that can be asked for addresses, the last that answered
// first.
type instances struct {
	seeds []netip.AddrPort
	known []netip.AddrPort
	avoid map[netip.AddrPort]time.Time // until when
}

func (i *instances) init(seeds []netip.AddrPort) {
	i.seeds = slices.Clone(seeds)
	rand.Shuffle(len(i.seeds), func(a, b int) { i.seeds[a], i.seeds[b] = i.seeds[b], i.seeds[a] })
	i.avoid = make(map[netip.AddrPort]time.Time)
}

// learn puts an instance first.
func (i *instances) learn(address netip.AddrPort) {
	i.known = slices.DeleteFunc(i.known, func(a netip.AddrPort) bool { return a == address })
	i.known = slices.Insert(i.known, 0, address)
	i.known = i.known[:min(len(i.known), knownInstances)]
}

// all returns each instance once, best first.
func (i *instances) all(now time.Time) []netip.AddrPort {
	all := slices.Clone(i.known)
	for _, s := range i.seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return i.avoided(all, now)
}

// avoided moves those to avoid behind the others, in place.
func (i *instances) avoided(addresses []netip.AddrPort, now time.Time) []netip.AddrPort {
	for address, until := range i.avoid {
		if !now.Before(until) {
			delete(i.avoid, address)
		}
	}
	slices.SortStableFunc(addresses, func(a, b netip.AddrPort) int { return i.avoid[a].Compare(i.avoid[b]) })
	return addresses
}

// entries returns the instances to ask, best first.
func (c *Client) entries() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances.all(time.Now())
}

// failed makes an instance the last choice for a while.
func (c *Client) failed(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances.avoid[address] = time.Now().Add(avoidFor)
}

// place names what an address answer is for.
type place struct{ service, chatKey string }

// addressAnswer is where to send requests, best first.
type addressAnswer struct {
	addresses []netip.AddrPort
	expires   time.Time
	token     string
}

// addressCache keeps the answers that haven't expired.
type addressCache struct {
	answers map[place]addressAnswer
}

func (a *addressCache) init() { a.answers = make(map[place]addressAnswer) }

func (a *addressCache) put(p place, answer addressAnswer, now time.Time) {
	if len(a.answers) >= keptAnswers {
		a.shrink(now)
	}
	a.answers[p] = answer
}

// shrink drops the expired answers, or any if that isn't enough.
func (a *addressCache) shrink(now time.Time) {
	for p, answer := range a.answers {
		if !now.Before(answer.expires) || len(a.answers) >= keptAnswers {
			delete(a.answers, p)
		}
	}
}

// kept returns the unexpired answer for a place, if there is one.
func (c *Client) kept(p place) (addressAnswer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, ok := c.answers.answers[p]
	now := time.Now()
	if !ok || !now.Before(answer.expires) {
		delete(c.answers.answers, p)
		return addressAnswer{}, false
	}
	answer.addresses = c.instances.avoided(slices.Clone(answer.addresses), now)
	return answer, true
}

func (c *Client) drop(p place) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answers.answers, p)
}

// address asks the fleet where to send requests for a place. If there is no
// answer the outcome tells why; nothing was run.
func (c *Client) address(ctx context.Context, p place, notRepeatable bool) (addressAnswer, Outcome) {
	request := &crcaller.AddressRequest{
		Service:       p.service,
		ClientAccount: c.Account,
		ChatKey:       p.chatKey,
		FailureDomain: c.FailureDomain,
		NotRepeatable: notRepeatable,
	}
	last := notRun(crcaller.Reason_REASON_CONNECTION_LOST, errNoSeeds)
	for _, entry := range c.entries() {
		response, err := askOne(ctx, c, entry, func(ctx context.Context, s crcallerconnect.CallerServiceClient) (*connect.Response[crcaller.AddressResponse], error) {
			return s.Address(ctx, connect.NewRequest(request))
		})
		if ctx.Err() != nil {
			return addressAnswer{}, contextEnd(ctx, false)
		}
		if err != nil {
			// A question runs nothing, even if its answer is lost.
			last = failure(err, false)
		} else if answer, refusal := c.learn(p, entry, response.Msg); answer.addresses != nil {
			return answer, Outcome{}
		} else {
			last = refusal
		}
		if !last.movesOn() {
			break
		}
		c.failed(entry)
	}
	return addressAnswer{}, last
}

// learn keeps an answer, or returns why there is none.
func (c *Client) learn(p place, entry netip.AddrPort, m *crcaller.AddressResponse) (addressAnswer, Outcome) {
	if m.GetRefusal() != nil {
		refusal := outcomeOf(m.GetRefusal())
		refusal.Kind = crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN
		return addressAnswer{}, refusal
	}
	answer := addressAnswer{expires: m.GetExpiresAt().AsTime(), token: m.GetExecutionToken()}
	for _, in := range m.GetAddresses() {
		if address, err := netip.ParseAddrPort(in.GetAddress()); err == nil {
			answer.addresses = append(answer.addresses, address)
		}
	}
	if len(answer.addresses) == 0 {
		return answer, notRun(crcaller.Reason_REASON_NO_ENDPOINT, errNoAddress)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range slices.Backward(answer.addresses) {
		c.instances.learn(address)
	}
	c.instances.learn(entry)
	kept := answer
	kept.token = ""
	now := time.Now()
	c.answers.put(p, kept, now)
	answer.addresses = c.instances.avoided(slices.Clone(answer.addresses), now)
	return answer, Outcome{}
}
