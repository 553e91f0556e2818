package crsoak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in any limitWindow a server
	// gets limitFactor times what its limit allows, plus limitSlack requests, at most.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitLearned is the time after which the bound holds, and excused the time after a fault
	// of a daemon from which on it holds again.
	limitLearned = 3500 * time.Millisecond
	excused      = 3 * time.Second
)

// span is a time from its first to its last moment.
type span struct{ from, to time.Time }

// overlaps reports whether two spans have a moment in common.
func (s span) overlaps(o span) bool { return !s.to.Before(o.from) && !o.to.Before(s.from) }

// limitPeriod is the time in which a server named a limit.
type limitPeriod struct {
	server    string
	perSecond float64
	from, to  time.Time
}

// daemonFaults are the actions that excuse daemons from keeping to limits: those on daemons, and
// those by which answers that name a limit are lost.
var daemonFaults = []Action{
	DaemonKill, DaemonPause, DaemonStop, DaemonKillAll, LinkDelay, LinkSilence, LinkOneWay, LinkReset, ServerTrouble,
}

// notePlayed notes that a step was played since the given time.
func (w *world) notePlayed(s Step, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(daemonFaults, s.Action) {
		w.disturbed = append(w.disturbed, span{from, time.Now().Add(excused)})
	}
}

// judgeLimits checks the limits that servers named while no daemon was disturbed. Servers that
// a daemon of an earlier release may send to aren't judged.
func (w *world) judgeLimits(r *Report) {
	if w.previous {
		return
	}
	for _, p := range w.limits {
		var arrived []time.Time
		for _, run := range w.record.All() {
			if run.Server == p.server && run.At.After(p.from.Add(limitLearned)) && run.At.Before(p.to) {
				arrived = append(arrived, run.At)
			}
		}
		slices.SortFunc(arrived, time.Time.Compare)
		most := int(limitFactor*p.perSecond*limitWindow.Seconds() + limitSlack)
		for i, at := range arrived {
			window := span{at, at.Add(limitWindow)}
			if window.to.After(p.to) || slices.ContainsFunc(w.disturbed, window.overlaps) {
				continue
			}
			r.LimitWindows++
			n := 0
			for _, later := range arrived[i:] {
				if later.Before(window.to) {
					n++
				}
			}
			if n > most {
				r.Broken = append(r.Broken, fmt.Sprintf("%s named a limit of %.1f a second and got %d requests in %s, %d may be", p.server, p.perSecond, n, limitWindow, most))
				break
			}
		}
	}
}
