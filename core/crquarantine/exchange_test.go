package crquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crquarantine"
)

// TestQuarantineIsToldBesideManyOtherCrashes checks that another instance learns of a
// quarantine though many later crashes are known, as after the loss of a failure domain.
func TestQuarantineIsToldBesideManyOtherCrashes(t *testing.T) {
	var table, started, other crquarantine.Table
	table.RecordAnswer(at(2000), service, nil)
	for i := range 3 {
		c := crash(1000*i, uint64(i), uint64(i), "p")
		table.RecordCrash(c.At, c)
	}
	for i := range 200 {
		c := crash(10_000, uint64(1000+i), uint64(100+i%4), "s"+string(rune('A'+i)))
		table.RecordCrash(c.At, c)
	}
	now := at(12_000)
	started.Apply(now, table.All())
	table.Differs(now)
	other.Apply(now, table.News(now))
	for name, o := range map[string]*crquarantine.Table{"own": &table, "starting": &started, "differing": &other} {
		if _, blocked := o.Blocked(now, parts("p")); !blocked {
			t.Errorf("the %s instance doesn't block the part", name)
		}
	}
}

// TestEvidenceDoesNotAgeBackwards checks that answers don't become later from one telling to
// the next, since the time on the way isn't part of their age.
func TestEvidenceDoesNotAgeBackwards(t *testing.T) {
	var tables [2]crquarantine.Table
	tables[0].RecordAnswer(at(-3000), service, parts("p"))
	tables[0].RecordAnswer(at(2500), service, nil)
	for i := range 3 {
		c := crash(1000*i, uint64(i), uint64(i), "p")
		tables[0].RecordCrash(c.At, c)
	}
	const way = 20 * time.Millisecond
	for i := range 300 {
		now := at(3000 + 100*i)
		from, to := &tables[i%2], &tables[1-i%2]
		from.Differs(now)
		e := from.News(now)
		for n := range e.Crashes {
			e.Crashes[n].At = e.Crashes[n].At.Add(way)
		}
		for n := range e.Answers {
			e.Answers[n].At = e.Answers[n].At.Add(way)
		}
		to.Apply(now, e)
	}
	for i := range tables {
		if _, blocked := tables[i].Blocked(at(40_000), parts("p")); !blocked {
			t.Errorf("table %d: the part was released without an answer", i)
		}
	}
}

// TestEvidenceComesToRest checks that instances stop telling each other evidence when more
// crashes are known than are kept.
func TestEvidenceComesToRest(t *testing.T) {
	tables := make([]crquarantine.Table, 6)
	n := uint64(0)
	for step := range 1200 {
		now := at(100 * step)
		for i := range tables {
			if step < 40 {
				for range 4 {
					n++
					tables[i].RecordCrash(now, crquarantine.Crash{At: now, Request: n, Endpoint: n % 8, Parts: []crquarantine.Part{crquarantine.Part(n)}})
				}
			}
		}
		for i := range tables {
			e := tables[i].News(now)
			if step == 1199 && len(e.Crashes) > 0 {
				t.Errorf("table %d still tells %d crashes", i, len(e.Crashes))
			}
			for j := range tables {
				if j != i {
					tables[j].Apply(now, e)
				}
			}
		}
	}
}

// TestNewsFitIntoADatagram checks that prompts of very many parts don't make messages too
// long to be sent.
func TestNewsFitIntoADatagram(t *testing.T) {
	var table crquarantine.Table
	for i := range 40 {
		c := crquarantine.Crash{At: at(i), Request: uint64(i), Endpoint: uint64(i)}
		for k := range 300 {
			c.Parts = append(c.Parts, crquarantine.Part(1000*i+k))
		}
		table.RecordCrash(c.At, c)
	}
	e, n := table.News(at(100)), 0
	for _, c := range e.Crashes {
		n += len(c.Parts)
	}
	if n == 0 || n > 2000 {
		t.Errorf("%d crashes with %d parts are told, want some but not over 2000 parts", len(e.Crashes), n)
	}
}

// TestCrashesOfManyRequestsCostLittle records the requests that waited at endpoints which are
// lost at the same moment. They are recorded under a lock that all requests need.
func TestCrashesOfManyRequestsCostLittle(t *testing.T) {
	const maxAllocations = 50_000
	n := testing.AllocsPerRun(1, func() {
		var table crquarantine.Table
		for i := range 500 {
			c := crquarantine.Crash{At: at(i / 10), Request: uint64(i), Endpoint: uint64(i % 20), Parts: parts("system", fmt.Sprint("tenant-", i%20))}
			for k := range 8 {
				c.Parts = append(c.Parts, crquarantine.Part(100*i+k))
			}
			table.RecordCrash(c.At, c)
		}
	})
	if n > maxAllocations {
		t.Errorf("%.0f allocations for 500 crashes, want %d at most", n, maxAllocations)
	}
}

func BenchmarkRecordCrash(b *testing.B) {
	for range b.N {
		var table crquarantine.Table
		for i := range 500 {
			c := crquarantine.Crash{At: at(i / 10), Request: uint64(i), Endpoint: uint64(i % 20), Parts: parts("system", fmt.Sprint("tenant-", i%20))}
			for k := range 8 {
				c.Parts = append(c.Parts, crquarantine.Part(100*i+k))
			}
			table.RecordCrash(c.At, c)
		}
	}
}
