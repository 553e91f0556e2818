package crgrant_test

import (
	"fmt"
	"testing"
	"time"
)

// TestStreamsBetweenTwoLossesGoOn guards against streams of two versions that are refused since all
// instances were lost again soon after they had started, or since the keeper was lost or can't reach the
// store.
func TestStreamsBetweenTwoLossesGoOn(t *testing.T) {
	for _, instances := range []int{3, 8, 30, 124, 780} {
		for _, f := range []struct {
			name  string
			begin func(c *newcomer)
		}{
			{"all were lost", func(c *newcomer) {
				c.restart(c.lose(func(int, string) bool { return true }))
			}},
			{"the keepers were lost", func(c *newcomer) {
				c.lose(func(_ int, name string) bool { return c.keeps(name) })
			}},
			{"the keepers don't reach the store", func(c *newcomer) {
				for _, name := range c.names {
					c.unreachable[name] = c.keeps(name)
				}
			}},
		} {
			t.Run(fmt.Sprint(instances, " instances, ", f.name), func(t *testing.T) {
				t.Parallel()
				if instances > 124 && !*largestFleet {
					t.Skip("takes minutes; run with -largest-fleet")
				}
				c := newNewcomer(t, instances)
				c.release.write("", "v2", "v2")
				c.playStreams(8*time.Second, 5)
				f.begin(c)
				first := len(c.ids)
				c.playStreams(1800*time.Millisecond, 5)
				if instances > 124 {
					// Instances of the largest fleets take longer to know each other.
					c.playStreams(1200*time.Millisecond, 5)
				}
				ids := c.ids[first:]
				clear(c.unreachable)
				c.lose(func(int, string) bool { return true })
				c.play(time.Second)
				c.restart(c.names)
				c.play(3 * time.Second)
				if got := c.takeUp(ids); got < 0.9 {
					t.Errorf("%.2f of %d streams go on, want 0.9", got, len(ids))
				}
			})
		}
	}
}

// keeps reports whether an instance is a keeper.
func (c *newcomer) keeps(name string) bool {
	_, group := c.nodes[name].KeptStreams(c.now)
	return group != "" && !c.down[name]
}
