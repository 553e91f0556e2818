package crgrant

import (
	"slices"
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

// AwaitVersions makes the versions of streams count as unknown until AddVersions is called.
func (s *State) AwaitVersions() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.AwaitHistory()
}

// HasNewcomers reports whether versions are listed that aren't in the record.
func (s *State) HasNewcomers(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return len(s.versions.Newcomers(now)) > 0
}

// KeepsRecord reports whether this instance is the one that writes the record of versions to the store.
// Instances that have just started don't know who is.
func (s *State) KeepsRecord(now time.Time) bool {
	s.lock(now)
	defer s.mu.Unlock()
	return s.roster.Leads(now) && s.roster.MayKeep(now, now.Sub(s.startedAt))
}

// VersionRecord returns the record for the store: the versions at which streams of services begin or
// began lately, and those at which they are to begin once this is written.
func (s *State) VersionRecord(now time.Time) *pb.VersionHistory {
	s.lock(now)
	defer s.mu.Unlock()
	newcomers := s.versions.Newcomers(now)
	m := &pb.VersionHistory{}
	for _, h := range s.versions.History(now) {
		o := &pb.ServiceVersions{Service: h.Service}
		for _, v := range h.Versions {
			o.Versions = append(o.Versions, uint32(v))
		}
		for v, listed := range newcomers[h.Service] {
			if s.isDue(now, h, listed) {
				o.Versions = append(o.Versions, uint32(v))
			}
		}
		slices.Sort(o.Versions)
		m.Services = append(m.Services, o)
	}
	return m
}

// isDue reports whether streams should begin at a version that was listed some time ago beside the
// recorded ones of its service.
func (s *State) isDue(now time.Time, recorded crversion.History, listed time.Duration) bool {
	n := crversion.Newcomer{
		Listed:      listed,
		Undisturbed: min(s.roster.Undisturbed(now), now.Sub(s.startedAt)),
		LossTime:    s.roster.LossTime(now),
	}
	for _, e := range s.endpoints {
		if e.Service != recorded.Service || e.Draining {
			continue
		}
		n.Slots += e.Slots
		if slices.Contains(recorded.Versions, crversion.Of(e.Version)) {
			n.RecordedSlots += e.Slots
		}
	}
	return n.Due()
}

// AddVersions adds the versions that the record in the store names.
func (s *State) AddVersions(now time.Time, m *pb.VersionHistory) {
	s.lock(now)
	defer s.mu.Unlock()
	s.versions.AddHistory(now, historiesOf(m), s.spreadTime(now))
	s.tellOwnStreams(now)
}

func historiesOf(m *pb.VersionHistory) []crversion.History {
	var list []crversion.History
	for _, o := range m.GetServices() {
		h := crversion.History{Service: o.GetService()}
		for _, v := range o.GetVersions() {
			h.Versions = append(h.Versions, crversion.Version(v))
		}
		list = append(list, h)
	}
	return list
}

func (s *State) spreadTime(now time.Time) time.Duration {
	return crversion.SpreadTime(s.roster.NewsTime(now))
}

// addRecordedVersions adds to a message at which versions of services with several streams begin.
func (s *State) addRecordedVersions(now time.Time, m *pb.Report) {
	for _, p := range s.versions.Recorded(now) {
		m.RecordedServices = append(m.RecordedServices, p.Service)
		m.RecordedVersions = append(m.RecordedVersions, uint32(p.Version))
	}
}

func (s *State) applyRecordedVersions(now time.Time, m *pb.Report) {
	for i, service := range m.GetRecordedServices() {
		if i < len(m.GetRecordedVersions()) && m.RecordedVersions[i] != 0 {
			s.versions.AddRecorded(now, crversion.Pair{Service: service, Version: crversion.Version(m.RecordedVersions[i])}, s.spreadTime(now))
		}
	}
	if len(m.GetRecordedServices()) > 0 {
		s.tellOwnStreams(now)
	}
}

// SeeVersions records the versions of endpoints that the store listed beside those in force, in a read
// that began at the reading start of Elapsed, and the record that it had after that.
func (s *State) SeeVersions(now time.Time, start time.Duration, list []*pb.Endpoint, record *pb.VersionHistory) {
	s.lock(now)
	defer s.mu.Unlock()
	for _, e := range list {
		s.versions.See(now, e.GetService(), crversion.Of(e.GetVersion()))
	}
	s.versions.AddFullHistory(now, historiesOf(record), s.spreadTime(now))
	s.versionsEvidence.Read(start)
	s.heedEarlierReleases(now)
	s.tellOwnStreams(now)
}

// beginsAt returns which endpoints a request may go to whose stream callers may take up, or nil if it
// may go to all. Streams don't begin at versions that the store has no record of.
func (s *State) beginsAt(now time.Time, a Request) func(crledger.Key) bool {
	if !a.Resumable || !s.versions.Several(now, a.Service.Name) {
		return nil
	}
	s.heedEarlierReleases(now)
	return func(k crledger.Key) bool {
		e := s.placer.Endpoint(k)
		return e != nil && s.versions.MayBegin(now, a.Service.Name, crversion.Of(e.Version))
	}
}

// heedEarlierReleases makes streams begin at all versions while instances of earlier releases begin
// them there.
func (s *State) heedEarlierReleases(now time.Time) {
	if len(s.versions.Newcomers(now)) > 0 && !s.roster.AllKeepRecord(now) {
		s.versions.RecordAll(now)
	}
}
