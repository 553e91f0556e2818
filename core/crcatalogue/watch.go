package crcatalogue

import (
	"math/rand/v2"
	"time"

	"crocusrack/core/crhash"
)

const (
	// DefaultWatchers is the number of instances that hold a watch on the head.
	// With about one per failure domain, a network partition rarely cuts off all
	// of them.
	DefaultWatchers = 3
	// minReadInterval is the minimum mean interval between two reads of the head
	// by one instance, for any size of the fleet.
	minReadInterval = 5 * time.Second
	// fleetReadsPerSecond is the rate at which the whole fleet reads the head.
	fleetReadsPerSecond = 4
)

// IsWatcher reports whether the instance self is one of the count instances that
// hold a watch on the store. They are chosen by rendezvous hashing over the names
// of the usable members. While instances disagree about the members for some
// seconds, a few more or fewer instances watch. The periodic reads of all
// instances, see ReadDelay, bound the effect.
func IsWatcher(self string, members []string, count int) bool {
	watched := crhash.Of(HeadName)
	own := crhash.Score(watched, crhash.Of(self), 1)
	above := 0
	for _, m := range members {
		if m != self && crhash.Score(watched, crhash.Of(m), 1) > own {
			above++
		}
	}
	return above < count
}

// ReadDelay returns the time until this instance reads the head again. These reads
// find new versions when the instance is cut off from its peers. The mean delay
// grows with the number of usable members, so that the read rate of the fleet
// stays constant. The delay varies by a quarter around the mean.
func ReadDelay(members int, random *rand.Rand) time.Duration {
	mean := max(minReadInterval, time.Duration(members)*time.Second/fleetReadsPerSecond)
	return mean*3/4 + time.Duration(random.Int64N(int64(mean)/2))
}
