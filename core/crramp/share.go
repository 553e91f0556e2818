package crramp

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

const (
	// newsDuration is how long the end of a ramp is told, which covers several reports and
	// digests.
	newsDuration = 3 * time.Second
	// maxCount bounds the outcomes that another instance may report of a phase.
	maxCount = math.MaxUint16
	// maxSources bounds the sources whose outcomes are kept for a ramp.
	maxSources = 1024
)

// Statement is a ramp as instances tell each other of it.
type Statement struct {
	Endpoint crledger.Key
	Phase
	// Age is the time since the ramp began, or zero if the endpoint is still cold.
	Age time.Duration
	// Counts are the outcomes that the sender, or all instances that it speaks for, saw.
	Counts
}

// Statements returns up to limit ramps for a message to others: those that haven't ended, and the
// ends that are news. The counts are the own ones and those of the sources for which want returns
// true. A nil want stands for no source.
func (t *Table) Statements(now time.Time, limit int, want func(source string) bool) []Statement {
	if len(t.ramps) == 0 {
		return nil
	}
	var list []Statement
	for k, r := range t.ramps {
		if r.ended && now.Sub(r.newsAt) > newsDuration {
			continue
		}
		s := Statement{Endpoint: k, Phase: r.Phase, Age: max(0, now.Sub(r.begun)), Counts: r.own}
		for source, c := range r.others {
			if want != nil && want(source) {
				s.Counts = s.plus(c)
			}
		}
		list = append(list, s)
	}
	if len(list) <= limit {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:limit]
}

// Apply records what a source, which is another instance or several of them, said of a ramp.
// subtractOwn is true if its counts include those of this instance.
func (t *Table) Apply(now time.Time, source string, s Statement, subtractOwn bool) {
	r := t.ramps[s.Endpoint]
	switch {
	case s.Age < 0 || s.Age > MaxDuration || s.Level < startLevel || s.Level > Unit || s.Number == 0:
		return
	case r == nil && s.Level >= Unit:
		// A ramp that isn't known here is about to end or has ended.
		return
	case r == nil || s.supersedes(r.Phase):
		r = t.enter(now, s.Endpoint, s.Phase, now.Add(-s.Age), Told)
	case r.Phase != s.Phase:
		r.newsAt = now
		return
	}
	if r.ended {
		return
	}
	c := Counts{min(s.InTime, maxCount), min(s.Late, maxCount)}
	if subtractOwn {
		c = Counts{c.InTime - min(c.InTime, r.own.InTime), c.Late - min(c.Late, r.own.Late)}
	}
	if r.others == nil {
		r.others = make(map[string]Counts)
	}
	known, ok := r.others[source]
	if !ok && len(r.others) >= maxSources {
		return
	}
	// A source that was restarted has forgotten outcomes that still count.
	r.others[source] = Counts{max(c.InTime, known.InTime), max(c.Late, known.Late)}
	t.evaluate(now, s.Endpoint, r)
}

// ForgetSource drops the outcomes of a source, because others will report them.
func (t *Table) ForgetSource(source string) {
	for _, r := range t.ramps {
		delete(r.others, source)
	}
}

// All returns the ramps that haven't ended, with the outcomes over all instances, ordered by
// endpoint.
func (t *Table) All(now time.Time) []Statement {
	var list []Statement
	for k, r := range t.ramps {
		if !r.ended {
			list = append(list, Statement{Endpoint: k, Phase: r.Phase, Age: max(0, now.Sub(r.begun)), Counts: r.total})
		}
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}
