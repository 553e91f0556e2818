// Package crquarantine finds parts of prompts that crash endpoints, and keeps requests
// with such a part from endpoints.
//
// The evidence is which prompts were waiting for their answers when an endpoint crashed,
// and whose answers began. A part that crashes endpoints is in a prompt of each crash, and
// no answer to a prompt with it ever begins. Other parts of those prompts, and prompts that
// happened to be at the same endpoint, are told apart by the answers that begin elsewhere.
// Instances exchange the evidence, and each draws its conclusions from all of it.
package crquarantine

import (
	"slices"
	"strconv"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crrecent"
)

const (
	// minCrashes is the number of crashes, and minRequests that of different requests, that
	// a part must be involved in before it is quarantined.
	minCrashes  = 3
	minRequests = 2
	// minSpacing is the time between crashes that count separately. Several endpoints that
	// end at the same moment have a common cause other than a prompt.
	minSpacing = 150 * time.Millisecond
	// answerLead is how long before a crash an answer must have begun to say nothing about
	// it. A part that was harmless may become deadly when endpoints change.
	answerLead = 2 * time.Second
	// outageLead is how long before the last answer of its service a part must have been
	// answered to be involved in crashes only because of an outage.
	outageLead = time.Minute
	// blockTime is how long after its last crash a part stays quarantined. The request that
	// is sent then shows whether the endpoints bear it by now.
	blockTime = 10 * time.Minute
	// trialTime is how long afterwards only one instance may send such requests. Otherwise all
	// instances would send them at the same time.
	trialTime = time.Minute
	// memoryTime is how long crashes count as evidence. It is longer than blockTime, so that
	// one more crash is enough to quarantine a part again.
	memoryTime = 2 * time.Hour
	// restartTime is the shortest time between two crashes of an endpoint. It may have the
	// same id and incarnation after a restart until the new ones are known.
	restartTime = time.Second
	// maxQuarantines bounds the quarantines.
	maxQuarantines = 16
	// newsTime is how long evidence is repeated to other instances after it was learned.
	newsTime = 3 * time.Second
	// maxCrashes bounds the crashes, and maxAnswered the answered parts, that are kept.
	maxCrashes  = 512
	maxAnswered = 8192
	// evictedCrashes is how many crashes are dropped at a time, which costs a computation.
	evictedCrashes = 64
	// maxNewsCrashes and maxNewsAnswers, and maxNewsParts for the parts of all crashes, bound
	// what is told at a time. A datagram has room for them.
	maxNewsCrashes = 48
	maxNewsAnswers = 96
	maxNewsParts   = 1024
	// maxParts bounds the parts of a crash that are kept, and maxPending the answers that wait
	// to be told.
	maxParts   = 256
	maxPending = 1024
	// maxWayTime is how much later than it was an answer may seem to another instance, which
	// doesn't know the time on the way.
	maxWayTime = 500 * time.Millisecond
)

// Part identifies a part of the prompts of a service.
type Part uint64

// PartOf returns the Part of a service's prompts with the given id.
func PartOf(service, id string) Part { return Part(crhash.Mix(crhash.Of(service), crhash.Of(id))) }

// ServicePart returns the Part that stands for all prompts of a service.
func ServicePart(service string) Part { return PartOf(service, "") }

// String returns the part in hexadecimal, as logs and dumps show it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText returns the bytes of String. It returns no error.
func (p Part) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Crash records that a request waited for its answer at an endpoint that crashed.
type Crash struct {
	At time.Time
	// Request is a hash of the request's id, and Endpoint that of the endpoint's id and
	// incarnation.
	Request, Endpoint uint64
	// Service is the ServicePart of the endpoint's service.
	Service Part
	// Parts are the parts of the prompt that other prompts may have, too, and that no answer
	// has cleared.
	Parts []Part
}

// Answer records that an answer to a prompt with a part has begun.
type Answer struct {
	Part Part
	At   time.Time
}

// Evidence is what instances tell each other.
type Evidence struct {
	Crashes []Crash
	Answers []Answer
}

// Quarantine is a set of parts. Requests that have all of them are kept from endpoints. It
// has more than one part as long as nothing shows which of them crashes endpoints.
type Quarantine struct {
	Parts []Part `json:"parts"`
	// Crashes is the number of endpoints whose crash it explains.
	Crashes int `json:"crashes"`
	// Until is when it ends unless there is another crash.
	Until time.Time `json:"until"`
}

// OnTrial reports whether only the instance that makes the trial may send requests.
func (q Quarantine) OnTrial(now time.Time) bool { return !now.Before(q.Until) }

// TrialEnd returns when requests are no longer kept from endpoints unless there is another
// crash.
func (q Quarantine) TrialEnd() time.Time { return q.Until.Add(trialTime) }

// Table holds the evidence and the quarantines that follow from it. The zero value is
// empty and ready to use. A Table is not safe for concurrent use.
type Table struct {
	crashes []*crash
	// ends holds the ends of each endpoint.
	ends map[uint64][]*end
	// suspects counts for each part the crashes that it is involved in.
	suspects map[Part]int
	answered crrecent.Map[Part, time.Time]
	// awaited holds the services on which an answer must begin before a part that was answered
	// before is quarantined.
	awaited map[Part]bool
	// news holds the answers that cleared a suspect, with the time when they were learned.
	news        []learnedAnswer
	quarantines []Quarantine
	// repeatUntil is the time until which all evidence is told.
	repeatUntil time.Time
}

type crash struct {
	Crash
	learned time.Time
	// supports is true if a quarantine follows from the crash.
	supports bool
	// end is the end of the endpoint that the crash belongs to.
	end *end
}

type learnedAnswer struct {
	Answer
	learned time.Time
}

// Blocked returns the quarantine that a prompt with the given parts falls under, and
// whether there is one, also if it is on trial. Among several it is the one that lasts longest.
func (t *Table) Blocked(now time.Time, parts []Part) (Quarantine, bool) {
	var last Quarantine
	for _, q := range t.quarantines {
		if now.Before(q.TrialEnd()) && q.Until.After(last.Until) && containsAll(parts, q.Parts) {
			last = q
		}
	}
	return last, len(last.Parts) > 0
}

// Quarantines returns the quarantines in force.
func (t *Table) Quarantines(now time.Time) []Quarantine {
	var list []Quarantine
	for _, q := range t.quarantines {
		if now.Before(q.Until) {
			list = append(list, q)
		}
	}
	return list
}

// Hash returns a hash of the quarantines in force, by which instances notice that their
// evidence differs.
func (t *Table) Hash(now time.Time) uint64 {
	sum := uint64(0)
	for _, q := range t.Quarantines(now) {
		hash := uint64(1)
		for _, p := range q.Parts {
			hash = crhash.Mix(hash, uint64(p))
		}
		sum ^= hash
	}
	return sum
}

// RecordAnswer records that an answer to a prompt of a service with the given parts has
// begun. It reports whether quarantines may have changed.
func (t *Table) RecordAnswer(now time.Time, service Part, parts []Part) bool {
	cleared := t.addAnswer(now, Answer{service, now})
	for _, p := range parts {
		cleared = t.addAnswer(now, Answer{p, now}) || cleared
	}
	if cleared {
		t.update(now)
	}
	return cleared
}

// RecordCrash records a crash. It reports whether the crash is new and at least one of its
// parts isn't cleared by an answer.
func (t *Table) RecordCrash(now time.Time, c Crash) bool {
	if !t.addCrash(now, c) {
		return false
	}
	if t.matters(c) {
		t.update(now)
	}
	return true
}

// addAnswer adds an answer and reports whether quarantines may change by it.
func (t *Table) addAnswer(now time.Time, a Answer) bool {
	t.answered.Limit = maxAnswered
	if before, known := t.answered.Get(a.Part); known && !before.Before(a.At) {
		return false
	}
	t.answered.Put(a.Part, a.At)
	if t.suspects[a.Part] == 0 {
		return t.awaited[a.Part]
	}
	cleared := false
	for _, c := range t.crashes {
		if clears(a.At, c.At) && slices.Contains(c.Parts, a.Part) {
			t.remove(c, a.Part)
			cleared = true
		}
	}
	if cleared {
		t.addNews(now, a)
	}
	return cleared
}

// remove removes a part from those that may have caused a crash.
func (t *Table) remove(c *crash, p Part) {
	// Others may hold the slice.
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(o Part) bool { return o == p })
	t.suspects[p]--
}

// addCrash adds a crash unless all of its parts are cleared, and reports whether anything is
// new. The answers to its parts are queued for the other instances. Of a
// known crash, the parts that are cleared at one of both instances are removed.
func (t *Table) addCrash(now time.Time, c Crash) bool {
	if now.Sub(c.At) >= memoryTime {
		return false
	}
	for _, o := range t.crashes {
		if o.Request != c.Request || o.Endpoint != c.Endpoint {
			continue
		}
		changed := false
		for _, p := range o.Parts {
			if !slices.Contains(c.Parts, p) {
				t.remove(o, p)
				changed = true
			}
		}
		return changed
	}
	added := &crash{Crash: c, learned: now}
	added.Parts = nil
	for _, p := range c.Parts {
		at, ok := t.answered.Get(p)
		if ok {
			t.addNews(now, Answer{p, at})
		}
		if (!ok || !clears(at, c.At)) && len(added.Parts) < maxParts && !slices.Contains(added.Parts, p) {
			added.Parts = append(added.Parts, p)
		}
	}
	if len(added.Parts) == 0 {
		return false
	}
	t.setEnd(added)
	t.crashes = append(t.crashes, added)
	if t.suspects == nil {
		t.suspects = make(map[Part]int)
	}
	for _, p := range added.Parts {
		t.suspects[p]++
	}
	return true
}

// matters reports whether quarantines may change by a crash that was just added. Those of
// the many requests at endpoints that are lost at the same moment don't.
func (t *Table) matters(c Crash) bool {
	if len(t.crashes) > maxCrashes {
		return true
	}
	if !slices.ContainsFunc(c.Parts, func(p Part) bool { return t.suspects[p] >= minCrashes }) {
		return false
	}
	if len(t.quarantines) > 0 {
		return true
	}
	return slices.ContainsFunc(c.Parts, func(p Part) bool {
		var ends []*end
		for _, o := range t.crashes {
			if slices.Contains(o.Parts, p) && !slices.Contains(ends, o.end) {
				ends = append(ends, o.end)
			}
		}
		return separate(ends)
	})
}

// clears reports whether an answer that began at one time shows that its parts didn't cause
// the crash at another.
func clears(answer, crash time.Time) bool { return answer.After(crash.Add(-answerLead)) }

// update drops old evidence and computes the quarantines. It explains as many crashes as
// possible with each quarantine, and doesn't count a crash twice: prompts that were at an
// endpoint together with a quarantined one are no suspects of its crash. While no answer of
// the service begins, parts that were answered shortly before are no suspects either: in an
// outage those that all prompts have would be.
func (t *Table) update(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		return now.Sub(c.At) >= memoryTime || len(c.Parts) == 0
	})
	t.quarantines, t.awaited = nil, make(map[Part]bool)
	t.suspects = make(map[Part]int)
	for _, c := range t.crashes {
		c.supports = false
		for _, p := range c.Parts {
			t.suspects[p]++
		}
	}
	t.ends = nil
	for _, c := range t.crashes {
		t.setEnd(c)
	}
	explained := make(map[*end]bool)
	for len(t.quarantines) < maxQuarantines {
		best, ok := t.bestCause(explained)
		if !ok {
			break
		}
		q := Quarantine{Parts: common(best.crashes), Crashes: len(best.ends)}
		requests := make(map[uint64]bool)
		for _, c := range best.crashes {
			explained[c.end], requests[c.Request] = true, true
			if until := c.At.Add(blockTime); until.After(q.Until) {
				q.Until = until
			}
		}
		// The crashes of one request may be due to what no other prompt has. They are no
		// evidence against a part that others have until one of those crashes an endpoint.
		if len(requests) < minRequests {
			continue
		}
		for _, c := range best.crashes {
			c.supports = true
		}
		if now.Before(q.TrialEnd()) {
			t.quarantines = append(t.quarantines, q)
		}
	}
	t.evict()
}

// answeredSince returns the service of the last of the crashes, and whether an answer of the
// service has begun that would clear its prompt.
func (t *Table) answeredSince(list []*crash) (Part, bool) {
	last := slices.MaxFunc(list, func(a, b *crash) int { return a.At.Compare(b.At) })
	at, ok := t.answered.Get(last.Service)
	return last.Service, ok && clears(at, last.At)
}

// wereAnswered reports whether there were answers to prompts with each of the parts up to
// outageLead before the last answer of the service.
func (t *Table) wereAnswered(service Part, parts []Part) bool {
	last, _ := t.answered.Get(service)
	return !slices.ContainsFunc(parts, func(p Part) bool {
		at, ok := t.answered.Get(p)
		return !ok || last.Sub(at) > outageLead
	})
}

// involved returns the crashes that aren't explained for each part that may have caused
// them and is in enough of them.
func (t *Table) involved(explained map[*end]bool) map[Part][]*crash {
	m := make(map[Part][]*crash)
	for _, c := range t.crashes {
		if explained[c.end] {
			continue
		}
		for _, p := range c.Parts {
			if t.suspects[p] >= minCrashes {
				m[p] = append(m[p], c)
			}
		}
	}
	return m
}

// common returns the parts that all of the given crashes have, in ascending order.
func common(list []*crash) []Part {
	parts := slices.Clone(list[0].Parts)
	for _, c := range list[1:] {
		parts = slices.DeleteFunc(parts, func(p Part) bool { return !slices.Contains(c.Parts, p) })
	}
	slices.Sort(parts)
	return parts
}

// evict drops the oldest crashes if there are more than maxCrashes, those that support a
// quarantine last.
func (t *Table) evict() {
	if len(t.crashes) <= maxCrashes {
		return
	}
	extra := max(evictedCrashes, len(t.crashes)-maxCrashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		drop := extra > 0 && !c.supports
		if drop {
			extra--
		}
		return drop
	})
	if extra > 0 {
		t.crashes = slices.Delete(t.crashes, 0, extra)
	}
}

func containsAll(set, parts []Part) bool {
	for _, p := range parts {
		if !slices.Contains(set, p) {
			return false
		}
	}
	return true
}
