package crsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	crstandin "crocusrack/platform/standin"
)

// Report is what a soak found.
type Report struct {
	Seed uint64
	// Calls is how many requests callers sent, Served how many got their whole
	// answer, Refused how many were told that they have not run.
	Calls, Served, Refused int
	// LimitWindows is how many spans of a server's limit were judged.
	LimitWindows int
	// Broken names each broken promise with the request that shows it.
	Broken []string
	// Rollout says what became of the roll-out; empty without one.
	Rollout string

	// late and lateServed count the calls after the faults.
	late, lateServed []time.Duration
}

// String returns the report in a line, and a line for each broken promise.
func (r Report) String() string {
	line := fmt.Sprintf("seed %d: %d calls, %d served, %d refused, %d spans of limits judged, %d promises broken", r.Seed, r.Calls, r.Served, r.Refused, r.LimitWindows, len(r.Broken))
	lines := []string{line}
	if r.Rollout != "" {
		lines = append(lines, r.Rollout)
	}
	return strings.Join(append(lines, r.Broken...), "\n  ")
}

func (r *Report) broken(c call, format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf("%s %s at %s: ", c.kind.Prefix(), c.id, c.offset.Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// judge checks one call against what servers did.
func (w *world) judge(r *Report, c call) {
	runs := w.record.Runs(c.id)
	r.Calls++
	r.late = append(r.late, c.offset)
	if c.answer.Status == http.StatusOK && c.answer.Whole {
		r.Served++
		r.lateServed = append(r.lateServed, c.offset)
	}
	w.judgeAnswer(r, c, runs)
	if c.kind.Once() && len(runs) > 1 {
		r.broken(c, "ran %d times, at %s and %s", len(runs), runs[0].Server, runs[1].Server)
	}
	switch c.answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		r.Refused++
		if c.kind.Once() && len(runs) > 0 {
			r.broken(c, "refused with %d, and ran at %s", c.answer.Status, runs[0].Server)
		}
	}
	for _, run := range runs {
		if want := fmt.Sprint("account-", c.account); run.Account != want {
			r.broken(c, "ran for account %q, sent by %s", run.Account, want)
		}
		if run.Key {
			r.broken(c, "%s was given the caller's key", run.Server)
		}
		if at, gone := w.takenAt(c.key); gone && c.sent.Sub(at) > revocation {
			r.broken(c, "ran though sent %s after its key was taken away", c.sent.Sub(at))
		}
		if at, gone := w.allTakenAt(run.At); gone && c.sent.Sub(at) > revocation {
			r.broken(c, "ran though sent %s after all keys were taken away", c.sent.Sub(at))
		}
	}
}

// judgeAnswer checks that an answer is whole and the request's own.
func (w *world) judgeAnswer(r *Report, c call, runs []crstandin.Run) {
	a := c.answer
	if a.Status != http.StatusOK {
		failed := func(run crstandin.Run) bool { return run.Spoilt }
		if a.Sealed && !(a.Status == http.StatusInternalServerError && slices.ContainsFunc(runs, failed)) {
			r.broken(c, "status %d bears a server's seal", a.Status)
		}
		return
	}
	want := crstandin.Body(c.id)
	if c.kind == crstandin.Draft || c.kind == crstandin.Reply {
		want = w.judgeVersions(r, c)
	}
	switch {
	case !a.Sealed:
		r.broken(c, "status 200 without the server's seal")
	case a.Whole && a.Body != want:
		r.broken(c, "an answer of %d bytes that looks whole, want %d: %.80q", len(a.Body), len(want), a.Body)
	case !strings.HasPrefix(want, a.Body):
		r.broken(c, "an answer that isn't the start of its own: %.80q", a.Body)
	}
}

// judgeVersions checks that all events that a caller has of a stream are of one version. It returns
// the answer to the call if it is whole.
func (w *world) judgeVersions(r *Report, c call) string {
	versions := crstandin.EventVersions(c.answer.Body)
	all := versions
	if c.version != "" {
		all = append([]string{c.version}, versions...)
	}
	// Earlier releases don't know of versions.
	if mixed := slices.Compact(slices.Clone(all)); len(mixed) > 1 && !w.previous {
		r.broken(c, "a stream holds events of several versions: %s", strings.Join(mixed, ", "))
	}
	want, version := "", c.version
	for n := c.from.After; n < crstandin.Events; n++ {
		if i := n - c.from.After; i < len(versions) {
			version = versions[i]
		}
		want += crstandin.Event(c.id, n+1, version)
	}
	return want
}

// servedAfter is the least share of calls that are served once the faults are
// over; those with keys that were taken away aren't.
const servedAfter = 0.25

// judgeRecovery checks that calls after a time are served.
func (r *Report) judgeRecovery(from time.Duration) {
	count := func(list []time.Duration) int {
		n := 0
		for _, at := range list {
			if at >= from {
				n++
			}
		}
		return n
	}
	if all, served := count(r.late), count(r.lateServed); all == 0 || float64(served) < servedAfter*float64(all) {
		r.Broken = append(r.Broken, fmt.Sprintf("recovery: %d of %d calls were served from %s on", served, all, from))
	}
}
