package crwatch_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocusrack/core/crgrant"
)

// newStates returns the states of instances that have just started.
func newStates(count int) []*crgrant.State {
	var states []*crgrant.State
	for i := range count {
		state := newState()
		state.Self.Name, state.Run = fmt.Sprint("instance-", i), uint64(i+1)
		a := netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
		state.Self.Front, state.Self.Peer = netip.AddrPortFrom(a, 80), netip.AddrPortFrom(a, 81)
		states = append(states, state)
	}
	return states
}

// exchange has instances report to each other.
func exchange(t *testing.T, states []*crgrant.State) {
	for _, from := range states {
		for _, to := range states {
			if from == to {
				continue
			}
			if _, err := to.Receive(time.Now(), from.Compose(time.Now(), to.Self.Name)); err != nil {
				t.Error(err)
			}
		}
	}
}

// tellStreams delivers the news of streams of an instance.
func tellStreams(states []*crgrant.State, from int) {
	for _, d := range states[from].StreamNews(time.Now()) {
		for _, to := range states {
			if to.Self.Peer == d.To {
				// The error is that of a report without a sender, which news of streams are.
				_, _ = to.Receive(time.Now(), d.Report)
			}
		}
	}
}

// runFleet runs instances that start together and report to each other from 200 ms on.
func runFleet(t *testing.T, s *store, count int, body func(states []*crgrant.State)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		states := newStates(count)
		var tasks sync.WaitGroup
		for _, state := range states {
			tasks.Go(func() { s.watcher(state).Run(ctx) })
		}
		tasks.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(200 * time.Millisecond)
				exchange(t, states)
				for i := range states {
					tellStreams(states, i)
				}
			}
		})
		body(states)
		cancel()
		tasks.Wait()
	})
}
