// Package crramp paces the load of endpoints that start or recover. An endpoint in a ramp gets
// a fraction of its fair part of the requests, its level, which grows with each outcome in time
// and is halved when outcomes are late or failed. The level is a function of outcomes that all
// instances count together. The package performs no I/O and takes the time from its caller.
package crramp

import (
	"time"

	"crocusrack/core/crledger"
)

const (
	// Unit is the level, in units of a Phase, at which an endpoint gets its full part.
	Unit = 1024
	// probation is how long outcomes are counted at the full part before a ramp ends. The load
	// of an endpoint that answers for some seconds reaches its height in this time.
	probation = 5 * time.Second
	// startLevel is the level at which a ramp begins, and the lowest level.
	startLevel = Unit / 8
	// firstStep is by how much an outcome in time raises the level. Each halving of the
	// level halves the step, down to lastStep, so that the level stays longer below a load
	// that the endpoint couldn't bear.
	firstStep = Unit / 8
	lastStep  = Unit / 64
	// minLate is the number of late or failed outcomes, and maxLateShare their fraction of
	// all outcomes of the phase, above which the level is halved. A single one may be chance.
	minLate      = 2
	maxLateShare = 0.2
	// beginInterval is the shortest time between two beginnings of a ramp. Instances notice
	// the same failure within this time.
	beginInterval = 2 * time.Second
	// MaxDuration bounds a ramp. Endpoints warm up in a minute at most. An endpoint that is
	// slow for longer gets less by its measured latency.
	MaxDuration = 2 * time.Minute
)

// Cause says why a ramp began.
type Cause uint8

// The causes.
const (
	// Told means that another instance told of the ramp.
	Told Cause = iota
	// Listed means that the endpoint was not in the list of endpoints before.
	Listed
	// TurnedCold means that the store said that the endpoint warms up.
	TurnedCold
	// Ejected means that the endpoint failed requests of this instance.
	Ejected
	// Paused means that the endpoint asked for no requests for a while.
	Paused
)

var causeNames = [...]string{Told: "told", Listed: "listed", TurnedCold: "cold", Ejected: "ejected", Paused: "paused"}

// String returns the name of the cause in lower case.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// Event is the beginning or the end of a ramp.
type Event struct {
	Endpoint crledger.Key
	Ended    bool
	Cause    Cause
	// Took is the time from the beginning to the end, and Halvings how often the level was
	// halved. They are zero at the beginning.
	Took     time.Duration
	Halvings int
}

// Phase is a stretch of a ramp in which the level only grows. A later phase of an endpoint has
// a higher number.
type Phase struct {
	Number uint32
	// Level is the level at the beginning of the phase, in units of 1/Unit. At Unit the
	// endpoint gets its full part, and the ramp ends after a while.
	Level uint32
	// Halvings counts how often the level was halved since the ramp began.
	Halvings uint32
}

// supersedes reports whether instances that know o adopt p. Of two phases with the same number,
// which different instances began, the lower level counts.
func (p Phase) supersedes(o Phase) bool {
	switch {
	case p.Number != o.Number:
		return p.Number > o.Number
	case p.Level != o.Level:
		return p.Level < o.Level
	}
	return p.Halvings > o.Halvings
}

// step returns by how much an outcome in time raises the level.
func (p Phase) step() uint32 { return max(lastStep, uint32(firstStep)>>min(p.Halvings, 8)) }

// Counts are the outcomes of requests that began within a phase.
type Counts struct {
	InTime, Late uint32
}

// plus returns the sums.
func (c Counts) plus(o Counts) Counts { return Counts{c.InTime + o.InTime, c.Late + o.Late} }

// ramp is what is known of one endpoint's ramp.
type ramp struct {
	Phase
	// begun is when the ramp began, and phaseBegun when the phase did.
	begun, phaseBegun time.Time
	// newsAt is when the phase last changed, or another instance was heard to know an older
	// one.
	newsAt time.Time
	cause  Cause
	ended  bool
	own    Counts
	// others holds the outcomes that others reported, by the name of the source. An outcome
	// stays evidence when its source is gone.
	others map[string]Counts
	// total is the sum of own and others.
	total Counts
}

// level returns the present level in units of 1/Unit.
func (r *ramp) level() uint32 {
	return uint32(min(uint64(Unit), uint64(r.Level)+uint64(r.step())*uint64(r.total.InTime)))
}

// Table holds the ramps of endpoints. Its zero value has none. It is not safe for concurrent
// use.
type Table struct {
	// OnEvent is called when a ramp begins or ends. It may be nil.
	OnEvent func(Event)

	ramps map[crledger.Key]*ramp
	// active counts the ramps that haven't ended.
	active int
	// filter has a bit for each endpoint in a ramp, by its key, and perhaps for some whose ramp
	// has ended. A placement among thousands of endpoints would spend a tenth of its time on
	// looking up those that have no ramp.
	filter [filterWords]uint64
}

// filterWords is the size of Table.filter in words of 64 bits.
const filterWords = 64

// filterBit returns the word and the bit of an endpoint in Table.filter.
func filterBit(k crledger.Key) (word int, bit uint64) {
	return int((k >> 6) % filterWords), 1 << (k % 64)
}

// Active returns the number of ramps that haven't ended.
func (t *Table) Active() int { return t.active }

// Known reports whether the endpoint has a ramp or had one lately.
func (t *Table) Known(k crledger.Key) bool { return t.ramps[k] != nil }

// Level returns the fraction of its fair part that an endpoint gets, above 0. It is 1 for an
// endpoint that has no ramp.
func (t *Table) Level(k crledger.Key) float64 {
	if word, bit := filterBit(k); t.filter[word]&bit == 0 {
		return 1
	}
	if r := t.ramps[k]; r != nil && !r.ended {
		return float64(r.level()) / Unit
	}
	return 1
}

// Phase returns the number of the present phase of an endpoint's ramp, or zero if it has none.
func (t *Table) Phase(k crledger.Key) uint32 {
	if r := t.ramps[k]; r != nil && !r.ended {
		return r.Number
	}
	return 0
}

// Begin begins a ramp at the lowest level. It does nothing if one began less than beginInterval
// ago. from is the time from which on the endpoint is paced, if that is later than now.
func (t *Table) Begin(now, from time.Time, k crledger.Key, cause Cause) {
	number := uint32(1)
	halvings := uint32(0)
	if r := t.ramps[k]; r != nil {
		if !r.ended && now.Sub(r.phaseBegun) < beginInterval {
			return
		}
		number, halvings = r.Number+1, r.Halvings+1
	}
	if from.Before(now) {
		from = now
	}
	t.enter(now, k, Phase{number, startLevel, halvings}, from, cause)
}

// enter replaces the phase of an endpoint. begun is when its ramp began, unless one is known
// that hasn't ended.
func (t *Table) enter(now time.Time, k crledger.Key, p Phase, begun time.Time, cause Cause) *ramp {
	r := t.ramps[k]
	if r == nil {
		if t.ramps == nil {
			t.ramps = make(map[crledger.Key]*ramp)
		}
		r = &ramp{ended: true}
		t.ramps[k] = r
	}
	r.Phase, r.phaseBegun, r.newsAt = p, now, now
	r.own, r.total, r.others = Counts{}, Counts{}, nil
	if r.ended {
		r.ended, r.begun, r.cause = false, begun, cause
		t.active++
		word, bit := filterBit(k)
		t.filter[word] |= bit
		t.event(Event{Endpoint: k, Cause: cause})
	}
	return r
}

// end ends a ramp. Its last phase is kept, so that late messages don't begin it again.
func (t *Table) end(now time.Time, k crledger.Key, r *ramp) {
	r.ended, r.Level, r.newsAt = true, Unit, now
	t.active--
	t.event(Event{Endpoint: k, Ended: true, Cause: r.cause, Took: max(0, now.Sub(r.begun)), Halvings: int(r.Halvings)})
}

func (t *Table) event(e Event) {
	if t.OnEvent != nil {
		t.OnEvent(e)
	}
}

// Record counts the outcome of a request of this instance that began in the phase with the given
// number. late is true if it failed, was refused or took too long.
func (t *Table) Record(now time.Time, k crledger.Key, number uint32, late bool) {
	r := t.ramps[k]
	if r == nil || r.ended || r.Number != number {
		return
	}
	if late {
		r.own.Late++
	} else {
		r.own.InTime++
	}
	t.evaluate(now, k, r)
}

// evaluate sums the outcomes of a phase, and enters the next phase if they say so.
func (t *Table) evaluate(now time.Time, k crledger.Key, r *ramp) {
	r.total = r.own
	for _, c := range r.others {
		r.total = r.total.plus(c)
	}
	level := r.level()
	late, all := r.total.Late, r.total.Late+r.total.InTime
	switch {
	case late >= minLate && float64(late) > maxLateShare*float64(all):
		p := Phase{r.Number + 1, max(startLevel, level/2), r.Halvings}
		if level > startLevel {
			p.Halvings++
		}
		t.enter(now, k, p, now, r.cause)
	case level >= Unit && r.Level < Unit:
		t.enter(now, k, Phase{r.Number + 1, Unit, r.Halvings}, now, r.cause)
	}
}

// Expire ends the ramps whose probation is over or that have lasted for MaxDuration. It forgets
// those that ended as long ago, and those of endpoints for which keep returns false.
func (t *Table) Expire(now time.Time, keep func(crledger.Key) bool) {
	for k, r := range t.ramps {
		switch inPhase := now.Sub(r.phaseBegun); {
		case !keep(k):
			if !r.ended {
				t.active--
			}
			delete(t.ramps, k)
		case r.ended && inPhase > MaxDuration:
			delete(t.ramps, k)
		case r.ended:
		case now.Sub(r.begun) > MaxDuration:
			r.Number++
			t.end(now, k, r)
		case r.Level >= Unit && inPhase > probation:
			t.end(now, k, r)
		}
	}
	t.filter = [filterWords]uint64{}
	for k, r := range t.ramps {
		if word, bit := filterBit(k); !r.ended {
			t.filter[word] |= bit
		}
	}
}
