// Package crfleet synchronizes this instance's member table with its peers by gossip.
// Package crmember makes the decisions. This package probes peers, answers their
// messages and adds the version of the catalogue to the messages.
//
// A peer that doesn't answer is probed through other instances before it is suspected.
// A failure in this package never ends the process or a request.
package crfleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crmember"
	"crocusrack/io/crpeer"
	pb "crocusrack/schema/crpeer"
)

const (
	probeTimeout = 800 * time.Millisecond
	// membersTimeout bounds the time to fetch a peer's whole member table.
	membersTimeout = 5 * time.Second
	// leaveNotices is the number of neighbours that this instance notifies when it
	// leaves. They pass the notice on to the others.
	leaveNotices = 6
)

// Fleet is this instance's view of the fleet's instances. Set the exported fields before
// Run. Its methods are safe for concurrent use.
type Fleet struct {
	Table *crmember.Table
	Peers *crpeer.Pool
	Log   *zap.Logger
	// Catalogue returns the version and hash of the catalogue in force here.
	Catalogue func() (version, hash uint64)
	// OnCatalogueVersion is called with the catalogue version and hash in each message of
	// a peer.
	OnCatalogueVersion func(peer crmember.Member, version, hash uint64)
	// OnUsableChanged is called after the set of usable members has changed, one call at a
	// time. It may read the fleet and must not change it.
	OnUsableChanged func(usable []crmember.Member)

	// mu guards Table and notifiedVersion.
	mu sync.Mutex
	// notifiedVersion is the version of the table for which OnUsableChanged was last
	// triggered.
	notifiedVersion uint64
	// notifyMu serializes the calls of OnUsableChanged.
	notifyMu sync.Mutex
}

// Run probes members until the context ends. It returns after all probes have ended.
func (f *Fleet) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		var probes []crmember.Member
		var next time.Time
		f.update(func(t *crmember.Table, now time.Time) { probes, next = t.Tick(now) })
		for _, m := range probes {
			calls.Go(func() { f.probe(ctx, m) })
		}
		timer.Reset(time.Until(next))
	}
}

// update calls g with the table locked, and then calls OnUsableChanged if g changed the
// set of usable members.
func (f *Fleet) update(g func(*crmember.Table, time.Time)) {
	f.mu.Lock()
	g(f.Table, time.Now())
	version := f.Table.Version()
	changed := version != f.notifiedVersion
	f.notifiedVersion = version
	f.mu.Unlock()
	if changed {
		f.notifyChanged()
	}
}

// notifyChanged calls OnUsableChanged with the current set of usable members. notifyMu is
// held while the set is read and OnUsableChanged runs, so that the last call has the
// newest set.
func (f *Fleet) notifyChanged() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	var usable []crmember.Member
	f.View(func(t *crmember.Table) { usable = append(usable, t.Usable()...) })
	f.OnUsableChanged(usable)
}

// View calls g with the table locked. g must not change the table.
func (f *Fleet) View(g func(*crmember.Table)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g(f.Table)
}

// Member returns the member with a name, whatever its state.
func (f *Fleet) Member(name string) (m crmember.Member, ok bool) {
	f.View(func(t *crmember.Table) { m, ok = t.Member(name) })
	return m, ok
}

// All returns every member, whatever its state, including this instance.
func (f *Fleet) All() (all []crmember.Member) {
	f.View(func(t *crmember.Table) { all = t.All() })
	return all
}

// LastHeard returns when this instance last received news of a member. It returns false for
// ok if the table has no such time.
func (f *Fleet) LastHeard(name string) (at time.Time, ok bool) {
	f.View(func(t *crmember.Table) { at, ok = t.LastHeard(name) })
	return at, ok
}

// Isolated reports whether most of the last probes have failed, so that this instance may
// be the one that is cut off.
func (f *Fleet) Isolated() (isolated bool) {
	f.View(func(t *crmember.Table) { isolated = t.Isolated(time.Now()) })
	return isolated
}

// Hint adds an instance from the settings or the platform's list as one to probe. leaving
// tells whether the platform's list marks it as leaving. It is false for an instance from
// the settings.
func (f *Fleet) Hint(name string, peer netip.AddrPort, domain string, leaving bool) {
	f.update(func(t *crmember.Table, now time.Time) { t.Hint(now, name, peer, domain, leaving) })
}

// SetCatalogueVersion sets the catalogue version in force here, which this instance's
// messages carry to peers.
func (f *Fleet) SetCatalogueVersion(version uint64) {
	f.update(func(t *crmember.Table, _ time.Time) { t.SetCatalogueVersion(version) })
}

// Leave marks this instance as leaving and notifies some of its neighbours.
func (f *Fleet) Leave(ctx context.Context) {
	f.update(func(t *crmember.Table, now time.Time) { t.Leave(now) })
	f.Push(ctx, leaveNotices)
}

// Push gossips with up to count neighbours at once, so that news spreads before the next
// probes. It returns when all have answered or failed.
func (f *Fleet) Push(ctx context.Context, count int) {
	var targets []crmember.Member
	f.View(func(t *crmember.Table) {
		for _, name := range t.Neighbours() {
			if m, ok := t.Member(name); ok && len(targets) < count {
				targets = append(targets, m)
			}
		}
	})
	var calls sync.WaitGroup
	for _, m := range targets {
		calls.Go(func() { f.gossipWith(ctx, m) })
	}
	calls.Wait()
}

// probe gossips with a member. If the member doesn't answer, probe records that in the
// table, which returns the helpers: members to ask, one after the other, to reach it.
func (f *Fleet) probe(ctx context.Context, m crmember.Member) {
	if f.gossipWith(ctx, m) {
		return
	}
	var helpers []crmember.Member
	f.update(func(t *crmember.Table, now time.Time) { helpers = t.ProbeFailed(now, m.Name) })
	for _, h := range helpers {
		if f.probeThrough(ctx, h, m) {
			f.update(func(t *crmember.Table, now time.Time) { t.ProbeSucceeded(now, m.Name) })
			return
		}
	}
}

// probeThrough asks helper to gossip with m and reports whether m answered.
func (f *Fleet) probeThrough(ctx context.Context, helper, m crmember.Member) bool {
	client, err := f.Peers.Client(helper.Peer, crpeer.Control)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	answer, err := client.Probe(ctx, &pb.ProbeRequest{Target: m.Name})
	return err == nil && answer.Reached
}

// gossipWith exchanges messages with one member and reports whether it sent a valid
// answer. It fetches the member's whole table if needed.
func (f *Fleet) gossipWith(ctx context.Context, m crmember.Member) bool {
	client, err := f.Peers.Client(m.Peer, crpeer.Control)
	if err != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := client.Gossip(call, f.outgoingMessage(m.Name))
	if err != nil {
		return false
	}
	message, err := crmember.FromProto(reply)
	if err != nil {
		f.Log.Warn("fleet: a peer sent an invalid message", zap.String("instance", m.Name), zap.Error(err))
		return false
	}
	needsFull := false
	f.update(func(t *crmember.Table, now time.Time) {
		t.ReceiveReply(now, m.Name, message)
		needsFull = t.NeedsFullSync(now, message.MemberHash)
	})
	f.reportCatalogue(m, reply)
	if needsFull {
		f.fetchMembers(ctx, client)
	}
	return true
}

// outgoingMessage returns the next message to a member.
func (f *Fleet) outgoingMessage(to string) *pb.GossipMessage {
	var p *pb.GossipMessage
	f.update(func(t *crmember.Table, now time.Time) { p = t.Outgoing(now, to).Proto() })
	return f.addCatalogue(p)
}

// addCatalogue sets the catalogue's version and hash in a message and returns it.
func (f *Fleet) addCatalogue(p *pb.GossipMessage) *pb.GossipMessage {
	p.CatalogueVersion, p.CatalogueHash = f.Catalogue()
	return p
}

// reportCatalogue calls OnCatalogueVersion with the catalogue's version and hash in a
// peer's message.
func (f *Fleet) reportCatalogue(peer crmember.Member, p *pb.GossipMessage) {
	f.OnCatalogueVersion(peer, p.CatalogueVersion, p.CatalogueHash)
}

// fetchMembers fetches a peer's whole member table and merges it.
func (f *Fleet) fetchMembers(ctx context.Context, client pb.PeerServiceClient) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	answer, err := client.Members(ctx, &pb.MembersRequest{})
	if err != nil {
		return
	}
	members, err := crmember.MembersFromProto(answer.Members)
	if err != nil {
		f.Log.Warn("fleet: a peer sent an invalid member table", zap.Error(err))
		return
	}
	f.update(func(t *crmember.Table, now time.Time) { t.Merge(now, members) })
}

// Gossip serves a peer's gossip message. It returns the code InvalidArgument for an
// invalid one.
func (f *Fleet) Gossip(_ context.Context, p *pb.GossipMessage) (*pb.GossipMessage, error) {
	message, err := crmember.FromProto(p)
	if err != nil {
		return nil, invalidArgument(err)
	}
	var reply *pb.GossipMessage
	var from crmember.Member
	known := false
	f.update(func(t *crmember.Table, now time.Time) {
		reply = t.Receive(now, message).Proto()
		from, known = t.Member(message.From)
	})
	// The catalogue version of an instance that the table doesn't know isn't reported.
	if known {
		f.reportCatalogue(from, p)
	}
	return f.addCatalogue(reply), nil
}

// Probe gossips with a third instance on behalf of a peer that can't reach it, and
// reports whether that instance answered.
func (f *Fleet) Probe(ctx context.Context, r *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	m, ok := f.Member(r.Target)
	if !ok {
		return &pb.ProbeResponse{}, nil
	}
	return &pb.ProbeResponse{Reached: f.gossipWith(ctx, m)}, nil
}

// Members serves the whole member table.
func (f *Fleet) Members(context.Context, *pb.MembersRequest) (*pb.MembersResponse, error) {
	return &pb.MembersResponse{Members: crmember.MembersProto(f.All())}, nil
}
