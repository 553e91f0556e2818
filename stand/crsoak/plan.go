package crsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is what a step does.
type Action string

// The actions. Those that last are undone after Step.For.
const (
	DaemonKill    Action = "daemon-kill"
	DaemonPause   Action = "daemon-pause"
	DaemonStop    Action = "daemon-stop"
	DaemonReload  Action = "daemon-reload"
	DaemonKillAll Action = "daemon-kill-all"
	ServerCrash   Action = "server-crash"
	ServerDrain   Action = "server-drain"
	ServerTrouble Action = "server-trouble"
	ServerLimit   Action = "server-limit"
	LinkDelay     Action = "link-delay"
	LinkSilence   Action = "link-silence"
	LinkOneWay    Action = "link-one-way"
	LinkReset     Action = "link-reset"
	StoreDown     Action = "store-down"
	StoreReset    Action = "store-reset"
	StoreLost     Action = "store-lost"
	StoreForget   Action = "store-forget"
	StoreSilence  Action = "store-silence"
	StoreCutOne   Action = "store-cut-one"
	StoreRestore  Action = "store-restore"
	RoutingChange Action = "routing-change"
	KeyTaken      Action = "key-taken"
	AllKeysTaken  Action = "all-keys-taken"
	RoutingStorm  Action = "routing-storm"
)

var actions = []Action{
	DaemonKill, DaemonPause, DaemonStop, DaemonReload, DaemonKillAll,
	ServerCrash, ServerDrain, ServerTrouble, ServerLimit,
	LinkDelay, LinkSilence, LinkOneWay, LinkReset,
	StoreDown, StoreReset, StoreLost, StoreForget, StoreSilence, StoreCutOne, StoreRestore,
	RoutingChange, KeyTaken, RoutingStorm, AllKeysTaken,
}

// Step is one fault of a plan.
type Step struct {
	// At is when it begins, from the start of the load, and For how long it
	// lasts.
	At, For time.Duration
	Action  Action
	// Target picks the daemon, server or link; it is taken modulo their count.
	Target int
}

// String returns the step as a line of a log.
func (s Step) String() string {
	return fmt.Sprintf("%s %s %d for %s", s.At.Round(time.Millisecond), s.Action, s.Target, s.For.Round(time.Millisecond))
}

const (
	// faultsFrom and faultsTo bound the faults within the load: traffic runs
	// before them, and recovers after them.
	faultsFrom = time.Second
	// recovery is the time after the last fault.
	recovery = 8 * time.Second
	// meanPause is the mean pause between two faults of a plan; faults last
	// longer than that, so that they overlap.
	meanPause = 700 * time.Millisecond
	// longest is the longest fault but for a cut from the store, which lasts
	// twice as long at most.
	longest = 4 * time.Second
	// seriesOf is the chance, in per cent, that a fault comes again at once.
	seriesOf = 25
	// allKeysOf is how many seeds there are to one in which all keys may be taken away, since
	// little else is served meanwhile.
	allKeysOf = 3
)

// Plan returns the faults of a seed for a load of a length.
func Plan(seed uint64, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []Step
	for at := faultsFrom; at < length-recovery; {
		s := Step{
			At: at, For: time.Duration(random.Int64N(int64(longest))),
			Action: actions[random.IntN(len(actions))], Target: random.IntN(1 << 16),
		}
		if s.Action == StoreCutOne || s.Action == StoreSilence {
			// Longer than a key may work that was taken away meanwhile.
			s.For *= 2
		}
		if s.Action == AllKeysTaken {
			s.For += revocation
			if seed%allKeysOf != 0 {
				s.Action = KeyTaken
			}
		}
		steps = append(steps, s)
		if random.IntN(100) < seriesOf {
			s.At += time.Duration(random.Int64N(int64(time.Second)))
			s.Target++
			steps = append(steps, s)
		}
		at += time.Duration(random.Int64N(int64(2 * meanPause)))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for i := range steps {
		steps[i].For = min(steps[i].For, max(0, length-recovery-steps[i].At))
	}
	return steps
}
