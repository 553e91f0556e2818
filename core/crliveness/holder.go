package crliveness

import (
	"slices"
	"time"

	"crocusrack/core/crhash"
)

// keeperDuty names the duty of a Keeper.
const keeperDuty = "keep"

// Holders returns up to count live instances other than this one that keep what is to outlive an
// instance, in the order given by hashes of the key and their names. The second one is of another
// failure domain than the first, if there is any.
func (r *Roster) Holders(now time.Time, key uint64, count int) []Instance {
	var list []Instance
	first := func(want func(e *entry) bool) {
		var best *entry
		least := uint64(0)
		for _, e := range r.peers {
			if !r.alive(now, e) || slices.Contains(list, e.Instance) || !want(e) {
				continue
			}
			if score := crhash.Mix(key, crhash.Of(e.Name)); best == nil || score < least {
				best, least = e, score
			}
		}
		if best != nil {
			list = append(list, best.Instance)
		}
	}
	everywhere := func(*entry) bool { return true }
	for n := range count {
		if n == 1 && len(list) == 1 {
			first(func(e *entry) bool { return e.FailureDomain != list[0].FailureDomain })
		}
		if len(list) == n {
			first(everywhere)
		}
	}
	return list
}

const (
	// minKeeperSettling and maxKeeperSettling bound the time after a start in which an instance may take
	// itself for a keeper since it doesn't know the others yet. It grows by settlingPerInstance.
	minKeeperSettling   = 400 * time.Millisecond
	maxKeeperSettling   = 2 * time.Second
	settlingPerInstance = 2500 * time.Microsecond
)

// MayKeep reports whether an instance that has run for the given time knows enough others to tell whether
// it is a keeper.
func (r *Roster) MayKeep(now time.Time, running time.Duration) bool {
	settling := maxKeeperSettling
	if heard := r.view(now).heard; heard > 1 {
		settling = min(max(minKeeperSettling, time.Duration(heard)*settlingPerInstance), maxKeeperSettling)
	}
	return running >= settling
}

// KeeperRun returns the run of the Keeper of this instance, or zero if that is the instance itself.
func (r *Roster) KeeperRun(now time.Time) uint64 {
	keeper, _ := r.Keeper(now)
	if e := r.peers[keeper.Name]; e != nil {
		return e.Run
	}
	return 0
}

// Keeper returns the live instance that writes what is to outlive all instances to the store: that
// of this instance's failure domain in a large fleet, else that of the fleet. It also returns the
// name of what it keeps that for.
func (r *Roster) Keeper(now time.Time) (keeper Instance, group string) {
	group = r.keeperGroup(now, r.Self)
	return r.Keepers(now)[group], group
}

// Keepers returns all instances that are a Keeper, by what they keep it for. Those that can't reach the
// store, are leaving or are of an earlier release, which keeps nothing in its first seconds, come last.
func (r *Roster) Keepers(now time.Time) map[string]Instance {
	self := r.keeperCandidate(r.Self, r.Status)
	keepers := map[string]candidate{r.keeperGroup(now, r.Self): self}
	for _, e := range r.peers {
		if !r.alive(now, e) {
			continue
		}
		group, c := r.keeperGroup(now, e.Instance), r.keeperCandidate(e.Instance, e.Status)
		if k, ok := keepers[group]; !ok || c.compare(&k) < 0 {
			keepers[group] = c
		}
	}
	list := make(map[string]Instance, len(keepers))
	for group, c := range keepers {
		list[group] = c.Instance
	}
	return list
}

func (r *Roster) keeperCandidate(i Instance, s Status) candidate {
	return candidate{Instance: i, unfit: s.StoreLost || s.Leaving || s.IgnoresRecord, score: dutyScore(i, keeperDuty)}
}

// keeperGroup returns the name of what the keeper of an instance keeps.
func (r *Roster) keeperGroup(now time.Time, i Instance) string {
	if r.Large(now) {
		return "domain-" + i.FailureDomain
	}
	return "fleet"
}
