// Package crexplain tells from the log lines of ended requests why callers were
// served late or not at all: which part of the path took the time of a late first
// token, or how a request ended. It does no I/O.
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

// message is the text of the lines that are looked at.
const message = "entry: request ended"

// The causes of a late first token, beside the outcomes of requests without an
// answer.
const (
	// CauseReading: the request waited for another one's prompt to be read.
	CauseReading = "waited-for-a-reading"
	// CauseAttempts: earlier attempts took the time.
	CauseAttempts = "earlier-attempts"
	// CauseBacklog: the endpoint was known to read other prompts first.
	CauseBacklog = "behind-other-prompts"
	// CausePrompt: the endpoint read the prompt.
	CausePrompt = "read-its-prompt"
	// CauseMove: the endpoint fetched context.
	CauseMove = "fetched-context"
	// CauseOverhead: any answer takes so long there.
	CauseOverhead = "usual-overhead"
	// CauseUnforeseen: nothing that was known when the request was placed took the
	// time.
	CauseUnforeseen = "unforeseen"
)

// line is what is read of a line. Times are in milliseconds.
type line struct {
	Message  string  `json:"msg"`
	Route    string  `json:"route"`
	Outcome  string  `json:"outcome"`
	Target   float64 `json:"target-ms"`
	First    float64 `json:"first-ms"`
	Granted  float64 `json:"granted-ms"`
	Waited   float64 `json:"waited-ms"`
	Backlog  float64 `json:"backlog-ms"`
	Fetching float64 `json:"fetching-ms"`
	Reading  float64 `json:"reading-ms"`
	Overhead float64 `json:"overhead-ms"`
}

// Row counts the requests of a route that one cause kept from an answer in time.
type Row struct {
	Route, Cause string
	Requests     int
	// Share is their part of the route's requests.
	Share float64
}

// Report collects lines. Its zero value is empty.
type Report struct {
	requests map[string]int
	causes   map[[2]string]int
}

// errNoLine says that a line is no log line of a daemon.
var errNoLine = errors.New("the line is no log line: it has no JSON object")

// Add takes a line in; what stands before its JSON object, such as the name of an
// instance, is passed over. Lines that tell of something else count for nothing.
func (r *Report) Add(text []byte) error {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return errNoLine
	}
	var l line
	if err := json.Unmarshal(text[begin:], &l); err != nil {
		return fmt.Errorf("the line is no log line: %w", err)
	}
	if l.Message != message || l.Route == "" {
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

// part is what one cause took of the time to the first token, in milliseconds.
type part struct {
	cause string
	took  float64
}

// cause returns why a request was late or had no answer; empty when it was in time.
func (l *line) cause() string {
	if l.Outcome != "answered" {
		return l.Outcome
	}
	if l.Target <= 0 || l.First <= l.Target {
		return ""
	}
	parts := []part{
		{CauseReading, l.Waited},
		{CauseAttempts, l.Granted - l.Waited},
		{CauseBacklog, l.Backlog},
		{CausePrompt, l.Reading},
		{CauseMove, l.Fetching},
		{CauseOverhead, l.Overhead},
	}
	known := 0.0
	for _, p := range parts {
		known += p.took
	}
	most := slices.MaxFunc(parts, func(a, b part) int { return cmp.Compare(a.took, b.took) })
	if l.First-known > most.took {
		return CauseUnforeseen
	}
	return most.cause
}

// Rows returns the causes of all routes, those of most requests first.
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

// Requests returns how many requests of each route were seen.
func (r *Report) Requests() map[string]int { return maps.Clone(r.requests) }
