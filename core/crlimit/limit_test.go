package crlimit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crledger"
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

// TestApply checks what instances keep of each other's statements, and that they don't make a
// statement look ever newer by repeating it to each other.
func TestApply(t *testing.T) {
	statement := func(perSecond float64, at time.Duration) crlimit.Statement {
		return crlimit.Statement{Endpoint: 7, PerSecond: perSecond, At: at}
	}
	var table crlimit.Table
	table.Record(statement(2, time.Minute))
	for i := range 1000 {
		table.Apply(time.Minute, statement(2, time.Minute+time.Duration(i%90)*time.Millisecond))
	}
	if diff := cmp.Diff([]crlimit.Statement{statement(2, time.Minute)}, table.All()); diff != "" {
		t.Errorf("after repetitions (-want +got):\n%s", diff)
	}
	table.Apply(2*time.Minute, statement(crlimit.None, 59*time.Second))
	table.Apply(2*time.Minute, statement(-1, 2*time.Minute))
	if got := table.PerSecond(7); got != 2 {
		t.Errorf("an older and a bad statement make it %v per second, want 2", got)
	}
	if diff := cmp.Diff([]crlimit.Statement{statement(2, time.Minute)}, table.News(2*time.Minute, 10)); diff != "" {
		t.Errorf("news for an instance that knows an older limit (-want +got):\n%s", diff)
	}
}

// TestNews checks that changes go before repetitions and that all statements are repeated.
func TestNews(t *testing.T) {
	var table crlimit.Table
	for k := range 100 {
		table.Record(crlimit.Statement{Endpoint: crledger.Key(k), PerSecond: 1})
	}
	table.Record(crlimit.Statement{Endpoint: 3, PerSecond: 5, At: time.Minute})
	seen := make(map[crledger.Key]bool)
	for range 200 {
		news := table.News(time.Minute, 8)
		if len(news) != 3 || news[0].Endpoint != 3 {
			t.Fatalf("news are %v, want the change and two others", news)
		}
		for _, s := range news {
			seen[s.Endpoint] = true
		}
	}
	if len(seen) < 90 {
		t.Errorf("%d of 100 statements were repeated in 200 messages", len(seen))
	}
}

func TestExpire(t *testing.T) {
	var table crlimit.Table
	for k, perSecond := range []float64{1, 2, 3} {
		table.Record(crlimit.Statement{Endpoint: crledger.Key(k), PerSecond: perSecond})
	}
	table.Record(crlimit.Statement{Endpoint: 2, PerSecond: crlimit.None, At: time.Second})
	for _, c := range []struct {
		now  time.Duration
		want []float64
	}{
		{time.Minute, []float64{1, 2, crlimit.None}},
		{3 * time.Minute, []float64{1, 2}},
		{time.Hour, []float64{1}},
	} {
		table.Expire(c.now, func(k crledger.Key) bool { return k == 0 })
		var got []float64
		for _, s := range table.All() {
			got = append(got, s.PerSecond)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", c.now, diff)
		}
	}
}
