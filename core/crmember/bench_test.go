package crmember

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// convergedFleet returns a fleet of n instances that all know each other.
func convergedFleet(n int) *simulation {
	s := newSimulation(uint64(n))
	for i := range n {
		s.startInstance(i)
	}
	var all []Member
	for _, p := range s.processes {
		all = append(all, p.Self)
	}
	for _, p := range s.processes {
		p.Merge(s.now, all)
	}
	s.run(2 * time.Minute)
	s.bytes = 0
	return s
}

// bytesPerMember returns the bytes sent and received per second and member over the last
// d, and resets the counter.
func (s *simulation) bytesPerMember(d time.Duration) float64 {
	rate := 2 * float64(s.bytes) / d.Seconds() / float64(len(s.processes))
	s.bytes = 0
	return rate
}

// shareUnusable returns the share of live tables in which instance i is not usable.
func (s *simulation) shareUnusable(i int) float64 {
	name, count := s.processes[i].Self.Name, 0
	for _, p := range s.live() {
		if !slices.ContainsFunc(p.Usable(), func(m Member) bool { return m.Name == name }) {
			count++
		}
	}
	return float64(count) / float64(len(s.live()))
}

// secondsUntil runs until instance i is unusable in the share of live tables, for at most
// 5 min, and returns the elapsed seconds.
func (s *simulation) secondsUntil(i int, share float64) float64 {
	start := s.now
	for s.shareUnusable(i) < share && s.now.Sub(start) < 5*time.Minute {
		s.run(200 * time.Millisecond)
	}
	return s.now.Sub(start).Seconds()
}

// suspicionsAndVersions returns the sums over all live tables of the suspicions raised by
// their own probes and of their versions, which count the changes of usable members.
func (s *simulation) suspicionsAndVersions() (suspicions, versions uint64) {
	for _, p := range s.live() {
		suspicions += p.Stats().Suspicions
		versions += p.Version()
	}
	return suspicions, versions
}

// BenchmarkFleet measures traffic, detection times and false suspicions by fleet size.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 32, 128, 780} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measure(b, n)
			}
		})
	}
}

func measure(b *testing.B, n int) {
	s := convergedFleet(n)
	s.run(time.Minute)
	b.ReportMetric(s.bytesPerMember(time.Minute), "calm-B/s")

	s.processes[n/2].Leave(s.now)
	b.ReportMetric(s.secondsUntil(n/2, 1), "leave-all-s")

	s.processes[n/3].up = false
	first := s.secondsUntil(n/3, 1e-9)
	b.ReportMetric(first, "detect-first-s")
	b.ReportMetric(first+s.secondsUntil(n/3, 1), "detect-all-s")
	s.run(time.Minute)
	s.bytesPerMember(time.Minute)

	// A failure domain fails: a thirteenth of the fleet, at least one.
	for i := range max(1, n/13) {
		s.processes[i].up = false
	}
	start := s.now
	for i := range max(1, n/13) {
		s.secondsUntil(i, 1)
	}
	b.ReportMetric(s.now.Sub(start).Seconds(), "domain-all-s")
	b.ReportMetric(s.bytesPerMember(s.now.Sub(start)), "domain-B/s")

	// Every instance restarts within ten minutes.
	s = convergedFleet(n)
	for i := range n {
		s.after(time.Duration(i)*10*time.Minute/time.Duration(n), func() { s.startInstance(i) })
	}
	s.run(11 * time.Minute)
	b.ReportMetric(s.bytesPerMember(11*time.Minute), "restarts-B/s")

	s = convergedFleet(n)
	s.loss = 0.02
	suspicions, versions := s.suspicionsAndVersions()
	s.run(10 * time.Minute)
	afterSuspicions, afterVersions := s.suspicionsAndVersions()
	b.ReportMetric(float64(afterSuspicions-suspicions)/10/float64(n), "false-suspicions/min")
	b.ReportMetric(float64(afterVersions-versions), "false-changes")
}

func BenchmarkReceive(b *testing.B) {
	s := convergedFleet(780)
	p, from := s.processes[0], s.processes[1]
	calm := from.Outgoing(s.now, p.Self.Name)
	full := calm
	full.Members = nil
	for i := range 4 {
		full.Members = append(full.Members, s.processes[10+i].Self)
	}
	b.Run("calm", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			p.Receive(s.now, calm)
		}
	})
	b.Run("four-new-records", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for i := range full.Members {
				full.Members[i].Incarnation++
			}
			p.Receive(s.now, full)
		}
	})
}

func BenchmarkTick(b *testing.B) {
	s := convergedFleet(780)
	p := s.processes[0]
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(time.Second)
		p.Tick(s.now)
	}
}

func BenchmarkUsable(b *testing.B) {
	p := convergedFleet(780).processes[0]
	b.ReportAllocs()
	for b.Loop() {
		p.Usable()
	}
}
