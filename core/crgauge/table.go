package crgauge

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"crocusrack/core/crledger"
)

const (
	// MaxAge is the age from which on a statement is ignored. Two reports of another
	// instance, which tell of its requests, arrive in that time.
	MaxAge = time.Second
	// minMemory is the lower bound of the time in which the requests at an endpoint change.
	minMemory = 20 * time.Millisecond
	// paceWindow is the time constant of the moving average of an endpoint's pace, and
	// paceFade that of its return to 1 without statements. Variations that are shorter than
	// a request takes to arrive and run are over before they matter; TestUsesOfPace weighs
	// other windows.
	paceWindow = 500 * time.Millisecond
	paceFade   = 2 * time.Second
	// firstPaceWeight is the weight of an endpoint's first statement against the usual pace.
	firstPaceWeight = 0.5
	// maxCorrection bounds the factor by which a stated pace changes the time that an
	// endpoint is expected to take, in both directions.
	maxCorrection = 4.0
	// reorderWindow is the difference of the times of two statements below which their order
	// is uncertain. Without it instances would repeat a statement to each other as ever newer
	// ones, since messages take time.
	reorderWindow = 50 * time.Millisecond
	// A statement is told to other instances if at least newsShare of the slots are taken,
	// or if the pace differs from the usual one by a factor of newsPace.
	newsShare = 0.5
	newsPace  = 1.25
)

// Gauge is a statement of an endpoint and its time.
type Gauge struct {
	Endpoint crledger.Key
	Statement
	At time.Time
}

// entry is the newest statement of an endpoint.
type entry struct {
	Gauge
	// others is the number of stated requests that weren't this instance's.
	others int
	// logPace is the moving average of the logarithm of the pace, and paced true if the
	// endpoint states one.
	logPace float64
	paced   bool
	pacedAt time.Time
}

// Table holds the newest statement of each endpoint. Its zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	entries map[crledger.Key]*entry
}

// Record records a statement, which this instance read or another one told of. The parameter
// own is the number of this instance's requests in flight there. Record reports whether the
// statement was used: those that are implausible, too old or not newer than the known one
// aren't.
func (t *Table) Record(now time.Time, g Gauge, own int) bool {
	if !g.Plausible() || now.Sub(g.At) > MaxAge || g.At.After(now) {
		return false
	}
	e := t.entries[g.Endpoint]
	switch {
	case e == nil:
		if t.entries == nil {
			t.entries = make(map[crledger.Key]*entry)
		}
		e = &entry{}
		t.entries[g.Endpoint] = e
	case !g.At.After(e.At), g.Statement == e.Statement && g.At.Sub(e.At) < reorderWindow:
		return false
	}
	e.Gauge = g
	e.others = max(0, g.Running+g.Waiting-own)
	e.addPace(g)
	return true
}

// addPace adds a statement to the moving average of the pace.
func (e *entry) addPace(g Gauge) {
	if g.Pace == 0 {
		return
	}
	weight := firstPaceWeight
	if e.paced {
		e.logPace = e.fadedLogPace(g.At)
		weight = 1 - math.Exp(-float64(g.At.Sub(e.pacedAt))/float64(paceWindow))
	}
	e.logPace += weight * (math.Log(g.Pace) - e.logPace)
	e.paced, e.pacedAt = true, g.At
}

// fadedLogPace returns the average of the logarithm of the pace at a time.
func (e *entry) fadedLogPace(now time.Time) float64 {
	return e.logPace * math.Exp(-float64(max(0, now.Sub(e.pacedAt)))/float64(paceFade))
}

// Has reports whether an endpoint has stated its load.
func (t *Table) Has(k crledger.Key) bool { return t.entries[k] != nil }

// OthersPerSlot returns the mean number of requests of other instances at each slot of some
// endpoints by their statements, and false if none has a recent statement.
func (t *Table) OthersPerSlot(now time.Time, keys iter.Seq[crledger.Key]) (float64, bool) {
	others, slots := 0, 0
	for k := range keys {
		if e := t.recent(now, k); e != nil {
			others, slots = others+e.others, slots+e.Slots
		}
	}
	return float64(others) / float64(max(slots, 1)), slots > 0
}

// recent returns the entry of an endpoint with a recent statement, or nil.
func (t *Table) recent(now time.Time, k crledger.Key) *entry {
	if e := t.entries[k]; e != nil && now.Sub(e.At) <= MaxAge {
		return e
	}
	return nil
}

// Others returns the estimated number of requests of other instances at an endpoint, running
// and waiting, and false without a recent statement. A statement that is older than a request
// takes says little of the present: the estimate then nears the mean of the service's
// endpoints, perSlot. Without that all instances that read the same statement would choose the
// same endpoint. The parameter takes is how long requests take there.
func (t *Table) Others(now time.Time, k crledger.Key, perSlot float64, takes time.Duration) (float64, bool) {
	e := t.recent(now, k)
	if e == nil {
		return 0, false
	}
	mean := perSlot * float64(e.Slots)
	kept := math.Exp(-float64(max(0, now.Sub(e.At))) / float64(max(minMemory, takes)))
	return mean + kept*(float64(e.others)-mean), true
}

// Pace returns how long work takes at an endpoint now, in multiples of the usual time, and
// false if the endpoint doesn't state it.
func (t *Table) Pace(now time.Time, k crledger.Key) (float64, bool) {
	e := t.entries[k]
	if e == nil || !e.paced {
		return 1, false
	}
	return max(1/maxCorrection, min(maxCorrection, math.Exp(e.fadedLogPace(now)))), true
}

// Last returns the newest statement of an endpoint, or false if there is none that is recent.
func (t *Table) Last(now time.Time, k crledger.Key) (Gauge, bool) {
	e := t.recent(now, k)
	if e == nil {
		return Gauge{}, false
	}
	return e.Gauge, true
}

// News returns up to max statements for a message to other instances, newest first: those of
// endpoints that are busy or whose pace isn't the usual one.
func (t *Table) News(now time.Time, max int) []Gauge {
	var list []Gauge
	for _, e := range t.entries {
		if now.Sub(e.At) <= MaxAge/2 && e.isNews() {
			list = append(list, e.Gauge)
		}
	}
	slices.SortFunc(list, func(a, b Gauge) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), max)]
}

// isNews reports whether other instances gain by the statement.
func (e *entry) isNews() bool {
	return float64(e.Running+e.Waiting) >= newsShare*float64(e.Slots) || math.Abs(e.logPace) >= math.Log(newsPace)
}

// Forget removes the endpoints for which keep returns false.
func (t *Table) Forget(keep func(crledger.Key) bool) {
	maps.DeleteFunc(t.entries, func(k crledger.Key, _ *entry) bool { return !keep(k) })
}
