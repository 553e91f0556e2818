// Package crexplain analyses the log lines of ended requests and counts, by route,
// why requests were answered late or not at all: which delay dominated the time to
// the first token, or the outcome of a request without an answer. It does no I/O.
package crexplain

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// requestEndedMessage is the message of the log lines that are analysed.
const requestEndedMessage = "entry: request ended"

// The causes of a late first token. For a request without an answer the cause is its
// outcome instead.
const (
	// CausePrefillWait means that the request waited for the prefill of another one.
	CausePrefillWait = "waited-for-a-reading"
	// CauseAttempts means that earlier attempts took the time.
	CauseAttempts = "earlier-attempts"
	// CauseBacklog means that the endpoint was known to prefill other prompts first.
	CauseBacklog = "behind-other-prompts"
	// CausePrefill means that the endpoint's prefill of the prompt took the time.
	CausePrefill = "read-its-prompt"
	// CauseContextFetch means that the endpoint fetched context.
	CauseContextFetch = "fetched-context"
	// CauseOverhead means that the usual overhead of answers at the endpoint took the
	// time.
	CauseOverhead = "usual-overhead"
	// CauseUnforeseen means that the known delays don't explain the time: what remains
	// of the time to the first token without them is longer than each of them.
	CauseUnforeseen = "unforeseen"
)

// logLine holds the fields of a log line that are analysed. Times are in milliseconds.
type logLine struct {
	Message string  `json:"msg"`
	Route   string  `json:"route"`
	Outcome string  `json:"outcome"`
	Target  float64 `json:"target-ms"`
	// FirstToken is the time until the header of the answer was written.
	FirstToken float64 `json:"first-ms"`
	// Granted is the time until the last grant of an endpoint. It includes earlier
	// attempts.
	Granted float64 `json:"granted-ms"`
	// PrefillWait is the time spent asking for grants, mainly waiting for the prefill
	// of a shared prompt.
	PrefillWait  float64 `json:"waited-ms"`
	Backlog      float64 `json:"backlog-ms"`
	ContextFetch float64 `json:"fetching-ms"`
	Prefill      float64 `json:"reading-ms"`
	Overhead     float64 `json:"overhead-ms"`
}

// Row counts the requests of a route that were answered late, or not at all, for one
// cause.
type Row struct {
	Route, Cause string
	Requests     int
	// Share is their share of all requests of the route, from 0 to 1.
	Share float64
}

// Report counts the requests and causes of the added log lines. The zero value is
// empty and ready for use.
type Report struct {
	requests map[string]int
	causes   map[[2]string]int
}

// errNoJSONObject is returned by Add for a line that isn't a log line of a daemon.
var errNoJSONObject = errors.New("not a log line: it has no JSON object")

// Add adds a log line. It skips the text before the JSON object, such as the name of
// an instance, and ignores log lines with another message or without a route. It
// returns an error if the line has no JSON object or the object can't be parsed.
func (r *Report) Add(text []byte) error {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return errNoJSONObject
	}
	var l logLine
	if err := json.Unmarshal(text[begin:], &l); err != nil {
		return fmt.Errorf("not a log line: %w", err)
	}
	if l.Message != requestEndedMessage || l.Route == "" {
		return nil
	}
	if r.requests == nil {
		r.requests, r.causes = make(map[string]int), make(map[[2]string]int)
	}
	r.requests[l.Route]++
	if cause := l.cause(); cause != "" {
		r.causes[[2]string{l.Route, cause}]++
	}
	return nil
}

// delay is the part of the time to the first token that is due to one cause, in
// milliseconds.
type delay struct {
	cause    string
	duration float64
}

// cause returns why a request was late or had no answer. It is empty if the answer
// was in time.
func (l *logLine) cause() string {
	if l.Outcome != "answered" {
		return l.Outcome
	}
	if l.Target <= 0 || l.FirstToken <= l.Target {
		return ""
	}
	delays := []delay{
		{CausePrefillWait, l.PrefillWait},
		{CauseAttempts, l.Granted - l.PrefillWait},
		{CauseBacklog, l.Backlog},
		{CausePrefill, l.Prefill},
		{CauseContextFetch, l.ContextFetch},
		{CauseOverhead, l.Overhead},
	}
	known := 0.0
	for _, d := range delays {
		known += d.duration
	}
	largest := slices.MaxFunc(delays, func(a, b delay) int { return cmp.Compare(a.duration, b.duration) })
	if l.FirstToken-known > largest.duration {
		return CauseUnforeseen
	}
	return largest.cause
}

// Rows returns one row for each route and cause, sorted by the number of requests in
// descending order.
func (r *Report) Rows() []Row {
	var rows []Row
	for key, n := range r.causes {
		rows = append(rows, Row{key[0], key[1], n, float64(n) / float64(r.requests[key[0]])})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return rows
}

// Requests returns the number of added requests by route.
func (r *Report) Requests() map[string]int { return maps.Clone(r.requests) }
