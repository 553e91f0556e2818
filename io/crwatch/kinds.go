package crwatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crfreshness"
	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	pb "crocusrack/schema/crrouter"
)

// routingKind reads the routing and puts new versions in force.
type routingKind struct {
	w *Watcher
	// current is true if the newest version in the store was read. Nothing else is evidence: a
	// version that can't be read may take keys away.
	current bool
	// listed is true from a reset until the list that follows it.
	listed bool
}

func (k *routingKind) feed() Feed[pb.Routing] { return k.w.Routing }
func (k *routingKind) wait() time.Duration    { return routingWait }
func (k *routingKind) pause() time.Duration   { return 0 }
func (k *routingKind) reset()                 { k.current, k.listed = false, true }
func (k *routingKind) probes() bool           { return true }
func (k *routingKind) read() bool             { return k.current && k.w.State.Table() != nil }

func (k *routingKind) take(changes []Change[pb.Routing], at crgrant.Position) {
	if k.listed && len(changes) == 0 {
		k.w.Log.Warn("watch: the store holds no routing; the version in force, if any, isn't known to be current", zap.Uint64("revision", at.Revision()))
	}
	k.listed = false
	for _, c := range changes {
		if k.current = c.Value != nil && !c.Removed; !k.current {
			k.w.Log.Warn("watch: the routing can't be read; the version in force, if any, isn't known to be current",
				zap.String("name", c.Name), zap.Bool("removed", c.Removed), zap.Uint64("revision", at.Revision()))
			continue
		}
		if k.w.State.SetRouting(c.Value) {
			k.w.Log.Info("watch: a version of the routing is in force", zap.Uint64("routing-version", c.Value.GetVersion()),
				zap.Uint64("revision", at.Revision()), zap.Int("routes", len(c.Value.GetRoutes())))
			k.w.Changed()
		}
	}
}

func (k *routingKind) evidence() *crfreshness.Evidence { return &k.w.State.Evidence }
func (k *routingKind) oldest() time.Duration           { return ownAge }

// endpointsKind reads the endpoints. Its maps have the endpoint's ID as key.
type endpointsKind struct {
	w     *Watcher
	known map[string]*pb.Endpoint
	// missing holds the endpoints whose entries are no longer in the store.
	missing map[string]bool
	// coldUntil is when each endpoint will have warmed up. An entry only contains the
	// remaining time as of its writing.
	coldUntil map[string]time.Time
	// applied holds the endpoints that were last put in force, or nil since reset.
	applied map[string]*pb.Endpoint
}

func (k *endpointsKind) feed() Feed[pb.Endpoint]         { return k.w.Endpoints }
func (k *endpointsKind) wait() time.Duration             { return endpointsWait }
func (k *endpointsKind) pause() time.Duration            { return endpointsPause }
func (k *endpointsKind) evidence() *crfreshness.Evidence { return &k.w.State.EndpointsEvidence }
func (k *endpointsKind) oldest() time.Duration           { return ownAge }
func (k *endpointsKind) read() bool                      { return true }
func (k *endpointsKind) probes() bool                    { return false }

// reset starts from the endpoints in force, which other instances may have sent while this
// one didn't watch. Those that aren't in the list that follows are missing.
func (k *endpointsKind) reset() {
	now := time.Now()
	k.applied = nil
	k.known = make(map[string]*pb.Endpoint)
	k.missing = make(map[string]bool)
	k.coldUntil = make(map[string]time.Time)
	m := k.w.State.Snapshot(now, crgrant.Versions{Routing: math.MaxUint64, Outs: math.MaxUint64, Rollouts: math.MaxUint64})
	for _, e := range m.GetEndpoints().GetEndpoints() {
		k.known[e.GetId()] = e
		k.missing[e.GetId()] = true
		k.coldUntil[e.GetId()] = now.Add(e.GetColdLeft().AsDuration())
	}
}

func (k *endpointsKind) take(changes []Change[pb.Endpoint], at crgrant.Position) {
	now := time.Now()
	for _, c := range changes {
		switch {
		case c.Removed:
			k.missing[c.Name] = true
		case c.Value == nil:
			k.w.Log.Warn("watch: an endpoint's entry can't be read", zap.String("endpoint", c.Name), zap.Uint64("revision", at.Revision()))
			delete(k.known, c.Name)
			delete(k.missing, c.Name)
		default:
			k.known[c.Name] = c.Value
			delete(k.missing, c.Name)
			k.coldUntil[c.Name] = now.Add(c.Value.GetColdLeft().AsDuration())
		}
	}
	// Entries may expire during an outage of the store. Missing endpoints are removed only
	// after live ones have had the time to write their entries again.
	if !k.w.settling(now) {
		for name := range k.missing {
			delete(k.known, name)
			delete(k.coldUntil, name)
		}
		clear(k.missing)
	}
	if len(k.missing) > 0 {
		at = at.Provisional()
	}
	k.apply(now, at)
}

// apply puts the endpoints in force if any of them changed.
func (k *endpointsKind) apply(now time.Time, at crgrant.Position) {
	if k.applied != nil && maps.EqualFunc(k.applied, k.known, sameEndpoint) {
		return
	}
	k.applied = maps.Clone(k.known)
	var list []*crplace.Endpoint
	for _, name := range slices.Sorted(maps.Keys(k.known)) {
		e, err := crgrant.NewEndpoint(now, k.known[name])
		if err != nil {
			k.w.Log.Warn("watch: an endpoint can't be used", zap.String("endpoint", name), zap.Error(err))
			continue
		}
		e.ColdUntil = k.coldUntil[name]
		list = append(list, e)
	}
	k.w.apply(at, list)
}

// sameEndpoint reports whether two entries differ only by the time that has passed between
// their writing.
func sameEndpoint(a, b *pb.Endpoint) bool {
	if (a.GetColdLeft().AsDuration() > 0) != (b.GetColdLeft().AsDuration() > 0) ||
		b.GetColdLeft().AsDuration() > a.GetColdLeft().AsDuration()+crgrant.ColdTolerance {
		return false
	}
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.ColdLeft, y.ColdLeft = nil, nil
	return proto.Equal(x, y)
}

// outsKind reads the failure domains that are out of service.
type outsKind struct {
	w     *Watcher
	known map[string]bool
	// kept holds the failure domains that were out of service at the reset and aren't in the
	// list that followed. They count while the store may lack entries.
	kept map[string]bool
	// applied holds the failure domains that were last put in force. It is nil since reset,
	// because the ones in force may have come from another instance.
	applied map[string]bool
}

func (k *outsKind) feed() Feed[struct{}]            { return k.w.Outs }
func (k *outsKind) wait() time.Duration             { return outsWait }
func (k *outsKind) pause() time.Duration            { return 0 }
func (k *outsKind) evidence() *crfreshness.Evidence { return &k.w.State.OutOfServiceEvidence }
func (k *outsKind) oldest() time.Duration           { return outsOwnAge }
func (k *outsKind) read() bool                      { return true }
func (k *outsKind) probes() bool                    { return false }

func (k *outsKind) reset() {
	clear(k.known)
	k.applied, k.kept = nil, make(map[string]bool)
	m := k.w.State.Snapshot(time.Now(), crgrant.Versions{Routing: math.MaxUint64, Endpoints: math.MaxUint64, Rollouts: math.MaxUint64})
	for _, name := range m.GetOuts().GetFailureDomains() {
		k.kept[name] = true
	}
}

func (k *outsKind) take(changes []Change[struct{}], at crgrant.Position) {
	for _, c := range changes {
		delete(k.kept, c.Name)
		if c.Removed {
			delete(k.known, c.Name)
		} else {
			k.known[c.Name] = true
		}
	}
	if !k.w.settling(time.Now()) {
		clear(k.kept)
	}
	out := maps.Clone(k.known)
	maps.Copy(out, k.kept)
	if k.applied != nil && maps.Equal(k.applied, out) {
		return
	}
	k.applied = out
	if len(k.kept) > 0 {
		at = at.Provisional()
	}
	domains := slices.Sorted(maps.Keys(out))
	if k.w.State.SetOutOfService(time.Now(), at, domains) {
		k.w.Log.Info("watch: the failure domains out of service changed", zap.Strings("failure-domains", domains), zap.Uint64("revision", at.Revision()))
		k.w.Changed()
	}
}
