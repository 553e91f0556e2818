package crlimit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crlimit"
)

// TestRecord checks which of several statements of an endpoint is kept.
func TestRecord(t *testing.T) {
	type said struct {
		at        time.Duration
		perSecond float64
	}
	for _, c := range []struct {
		name    string
		said    []said
		want    float64
		changed []bool
	}{
		{"never limited", []said{{0, crlimit.None}}, crlimit.None, []bool{false}},
		{"repeated", []said{{0, 2.9}, {time.Second, 2.9}}, 2.9, []bool{true, false}},
		{"changed", []said{{0, 2.9}, {time.Second, 0.4}}, 0.4, []bool{true, true}},
		{"ended", []said{{0, 2.9}, {time.Second, crlimit.None}}, crlimit.None, []bool{true, true}},
		{"older", []said{{time.Second, 2.9}, {0, crlimit.None}}, 2.9, []bool{true, false}},
		{"overtaken by no limit", []said{{0, 2.9}, {10 * time.Millisecond, crlimit.None}}, 2.9, []bool{true, false}},
		{"overtaken by a limit", []said{{0, 2.9}, {time.Second, crlimit.None}, {990 * time.Millisecond, 2}}, 2, []bool{true, true, true}},
		{"renewed before the end", []said{{0, 2.9}, {2 * time.Second, 2.9}, {time.Second, crlimit.None}}, 2.9, []bool{true, false, false}},
	} {
		var table crlimit.Table
		var changed []bool
		for _, s := range c.said {
			changed = append(changed, table.Record(crlimit.Statement{Endpoint: 7, PerSecond: s.perSecond, At: s.at}))
		}
		if got := table.PerSecond(7); got != c.want {
			t.Errorf("%s: %v requests per second, want %v", c.name, got, c.want)
		}
		if diff := cmp.Diff(c.changed, changed); diff != "" {
			t.Errorf("%s: changes (-want +got):\n%s", c.name, diff)
		}
	}
}
