package crquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocusrack/core/crfuzz"
	"crocusrack/core/crquarantine"
)

func TestMain(m *testing.M) { crfuzz.MainWith(m, 300, 30) }

// sound simulates endpoints that end for other reasons than prompts, and counts how many
// requests of each caller are kept from them.
type sound struct {
	table     crquarantine.Table
	random    *rand.Rand
	now       time.Time
	queue     []event
	waiting   map[uint64][]*prompt
	endpoints []uint64
	longest   time.Duration
	last      uint64
	// crashes counts the records of crashes that left a suspect.
	crashes int
	// asked and kept count the first attempts by caller.
	asked, kept map[string]int
}

type event struct {
	at time.Time
	do func()
}

type prompt struct {
	id       uint64
	parts    []crquarantine.Part
	repeated bool
}

// newSound draws at least the given number of endpoints, and the longest time until an
// answer begins.
func newSound(seed uint64, endpoints int, longest time.Duration) *sound {
	s := &sound{
		random: rand.New(rand.NewPCG(seed, 3)), now: start,
		waiting: map[uint64][]*prompt{}, asked: map[string]int{}, kept: map[string]int{},
	}
	s.longest = 50*time.Millisecond + time.Duration(s.random.Int64N(int64(longest)))
	for range endpoints + s.random.IntN(35) {
		s.last++
		s.endpoints = append(s.endpoints, s.last)
	}
	return s
}

func (s *sound) after(d time.Duration, do func()) {
	e := event{s.now.Add(d), do}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b event) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	s.queue = slices.Insert(s.queue, i, e)
}

func (s *sound) run(d time.Duration) {
	for end := s.now.Add(d); len(s.queue) > 0 && s.queue[0].at.Before(end); {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.do()
	}
}

// arrive lets requests of a caller come, at most the given number.
func (s *sound) arrive(caller string, rate float64, most int) {
	if most == 0 {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.last++
		p := &prompt{id: s.last, parts: parts(caller, fmt.Sprint(caller, "-tools-", s.random.IntN(3)), fmt.Sprint("own-", s.last))}
		s.asked[caller]++
		if !s.send(p) {
			s.kept[caller]++
		}
		s.arrive(caller, rate, most-1)
	})
}

func (s *sound) send(p *prompt) bool {
	if _, blocked := s.table.Blocked(s.now, p.parts); blocked {
		return false
	}
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	s.waiting[e] = append(s.waiting[e], p)
	s.after(50*time.Millisecond+time.Duration(s.random.Int64N(int64(s.longest))), func() {
		if slices.Contains(s.waiting[e], p) {
			s.waiting[e] = slices.DeleteFunc(s.waiting[e], func(o *prompt) bool { return o == p })
			s.table.RecordAnswer(s.now, service, p.parts)
		}
	})
	return true
}

// end ends an endpoint, which another one replaces at once.
func (s *sound) end(i int) {
	e := s.endpoints[i]
	for _, p := range s.waiting[e] {
		s.after(time.Duration(s.random.Int64N(int64(30*time.Millisecond))), func() {
			if s.table.RecordCrash(s.now, crquarantine.Crash{At: s.now, Request: p.id, Endpoint: e, Service: service, Parts: p.parts}) {
				s.crashes++
			}
			if !p.repeated {
				s.send(&prompt{p.id, p.parts, true})
			}
		})
	}
	delete(s.waiting, e)
	s.last++
	s.endpoints[i] = s.last
}

// ways are the ways in which endpoints end without a prompt's fault.
var ways = []struct {
	name string
	// ends lets endpoints end from now on.
	ends func(s *sound)
}{
	{"killed at the same moment", func(s *sound) {
		for i := range max(1, len(s.endpoints)*17/100) {
			s.after(time.Duration(s.random.Int64N(int64(30*time.Millisecond))), func() { s.end(i) })
		}
	}},
	{"replaced one per second", func(s *sound) {
		for i := range s.endpoints {
			s.after(time.Duration(i)*time.Second, func() { s.end(i) })
		}
	}},
	{"flapping", func(s *sound) {
		every := time.Duration(300+s.random.IntN(2700)) * time.Millisecond
		for i := range 1 + s.random.IntN(3) {
			for k := range 15 {
				s.after(time.Duration(k)*every+time.Duration(s.random.Int64N(int64(every))), func() { s.end(i) })
			}
		}
	}},
}

// play lets endpoints end while a popular caller, one with few requests and two with two
// requests each are served. It returns the callers of which more than half of the requests
// were kept back.
func (s *sound) play(ends func(*sound)) []string {
	s.arrive("popular", 5+30*s.random.Float64(), -1)
	s.arrive("some", 0.1+2*s.random.Float64(), -1)
	s.arrive("two", 2, 2)
	s.run(5 * time.Second)
	s.arrive("two more", 2, 2)
	clear(s.asked)
	ends(s)
	s.run(60 * time.Second)
	var list []string
	for caller, asked := range s.asked {
		if 2*s.kept[caller] > asked {
			list = append(list, fmt.Sprintf("%s (%d of %d)", caller, s.kept[caller], asked))
		}
	}
	return list
}

// TestSoundPartsAreServed draws endpoints that end without a prompt's fault. Requests of
// each caller must begin at least half as often as they would otherwise.
func TestSoundPartsAreServed(t *testing.T) {
	for _, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			cases, crashes, quarantined := 0, 0, 0
			rapid.Check(t, func(t *rapid.T) {
				// Numbers that rapid draws are mostly small, so it draws the seed alone.
				s := newSound(rapid.Uint64().Draw(t, "seed"), 6, 2*time.Second)
				if list := s.play(w.ends); len(list) > 0 {
					t.Errorf("more than half of the requests were kept back of %q; in force: %v", list, s.table.Quarantines(s.now))
				}
				cases++
				crashes += s.crashes
				if len(s.kept) > 0 {
					quarantined++
				}
			})
			t.Logf("%d cases, %d requests at endpoints that ended: requests were kept back in %d", cases, crashes, quarantined)
		})
	}
}

// TestSoundPartsOfSlowEndpointsAreServed is the same with few endpoints whose answers take
// up to 8 s to begin. Seeds 0 to 299.
func TestSoundPartsOfSlowEndpointsAreServed(t *testing.T) {
	for _, w := range ways {
		t.Run(w.name, func(t *testing.T) {
			var seeds []uint64
			quarantined := 0
			for seed := range uint64(300) {
				s := newSound(seed, 3, 8*time.Second)
				if list := s.play(w.ends); len(list) > 0 {
					seeds = append(seeds, seed)
				}
				if len(s.kept) > 0 {
					quarantined++
				}
			}
			if len(seeds) > 0 {
				t.Errorf("more than half of a caller's requests were kept back in %d of 300 cases, some in %d; seeds %v", len(seeds), quarantined, seeds[:min(5, len(seeds))])
			}
		})
	}
}

// TestPartChanges covers a part that was harmless and becomes deadly, and the reverse, as
// when endpoints are replaced by others.
func TestPartChanges(t *testing.T) {
	var table crquarantine.Table
	blocked := func(ms int) bool {
		_, b := table.Blocked(at(ms), parts("p", "own"))
		return b
	}
	for i := range 100 {
		table.RecordAnswer(at(100*i), service, parts("p"))
	}
	table.RecordAnswer(at(13_900), service, nil)
	for i := range 3 {
		c := crash(13_000+500*i, uint64(i), uint64(i), "p")
		table.RecordCrash(c.At, c)
	}
	if !blocked(14_001) {
		t.Error("a part that was answered until 3 s before isn't blocked after three crashes")
	}
	const again = 14_000 + 11*60_000 + 1
	if blocked(again) {
		t.Error("blocked 11 min after the last crash")
	}
	table.RecordAnswer(at(again), service, parts("p"))
	table.RecordAnswer(at(again+60_400), service, nil)
	for i := range 2 {
		c := crash(again+60_000+500*i, uint64(10+i), uint64(10+i), "p")
		table.RecordCrash(c.At, c)
	}
	if blocked(again + 62_000) {
		t.Error("a part that an answer cleared is blocked after two crashes")
	}
}
