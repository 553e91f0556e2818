package crshard

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlan(t *testing.T) {
	var shards []*Shard
	for i := range 3 {
		shards = append(shards, &Shard{Key: Key{Service: "desk-llm", Index: i}})
	}
	for _, c := range []struct {
		name      string
		shards    []*Shard
		preferred Key
		limit     int
		want      string
	}{
		{"none", nil, Key{}, 8, ""},
		{"single shard queues at once", shards[:1], Key{}, 8, "0q "},
		{"free capacity before a queue", shards, Key{}, 8, "0 1w 2w 0wq "},
		{"preferred shard first", shards, shards[2].Key, 8, "2 0w 1w 2wq "},
		{"preferred shard does not exist", shards, Key{Service: "desk-llm", Index: 9}, 8, "0 1w 2w 0wq "},
		{"limited", shards, Key{}, 2, "0 1w 0wq "},
	} {
		got := ""
		for _, s := range Plan(c.shards, c.preferred, c.limit) {
			got += fmt.Sprint(s.Index)
			if s.RefusedElsewhere {
				got += "w"
			}
			if s.MayQueue {
				got += "q"
			}
			got += " "
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
