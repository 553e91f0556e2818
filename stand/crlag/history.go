// Package crlag keeps the recent past of a value, for stand-ins that report
// with a lag.
package crlag

import "time"

// History holds the states of a value over the last Lag. The zero value with
// Lag set is ready for use. It isn't safe for concurrent use.
type History[T any] struct {
	// Lag is the age of the state that At returns.
	Lag time.Duration

	entries []entry[T]
}

type entry[T any] struct {
	since time.Time
	value T
}

// Put records that the value is v from now on. Times must not go back.
func (h *History[T]) Put(now time.Time, v T) {
	h.prune(now)
	h.entries = append(h.entries, entry[T]{now, v})
}

// At returns the value that held Lag ago and that time. Before the first Put it
// is the zero value.
func (h *History[T]) At(now time.Time) (T, time.Time) {
	h.prune(now)
	then := now.Add(-h.Lag)
	var value T
	if len(h.entries) > 0 && !h.entries[0].since.After(then) {
		value = h.entries[0].value
	}
	return value, then
}

// prune drops the entries that a later one has replaced by the time At names.
func (h *History[T]) prune(now time.Time) {
	then := now.Add(-h.Lag)
	old := 0
	for old+1 < len(h.entries) && !h.entries[old+1].since.After(then) {
		old++
	}
	h.entries = h.entries[old:]
}
