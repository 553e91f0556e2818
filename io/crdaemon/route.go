package crdaemon

import (
	"cmp"
	"slices"

	"crocusrack/core/crhash"
	"crocusrack/core/crpolicy"
	"crocusrack/core/crshard"
	"crocusrack/io/crowner"
)

// walk returns the shards to try for a chat, first choice first. Under a plain
// policy this instance tries any endpoint by itself.
func (d *Daemon) walk(service string, chat uint64) []*crshard.Shard {
	if d.owner.Baseline != nil {
		return []*crshard.Shard{{Key: crshard.Key{Service: service}, Owner: d.Settings.Instance}}
	}
	return d.view.layout.Load().AppendRanked(service, chat, nil)
}

// holder returns the shard of this instance that holds a chat's context.
func (d *Daemon) holder(service string, chat uint64) (crshard.Key, bool) {
	if d.owner.Baseline != nil {
		return crshard.Key{}, false
	}
	return d.owner.Holder(service, chat)
}

// entries returns the instances to tell a caller of a chat: the owners of its
// shards, then the others in an order of the chat's own.
func (d *Daemon) entries(service string, chat uint64) []string {
	var names []string
	if d.owner.Baseline == nil {
		for _, s := range d.walk(service, chat) {
			names = append(names, s.Owner)
		}
	}
	return append(names, d.view.ranked(chat)...)
}

// maxRanked is the count of instances that ranked returns at most, far more
// than an answer names: few of them can have left since the view was made.
const maxRanked = 32

// ranked returns instances that are in service, those with the highest
// rendezvous score first.
func (v *view) ranked(chat uint64) []string {
	in := v.inService.Load()
	if in == nil {
		return nil
	}
	list := make([]hashed, 0, maxRanked+1)
	for _, n := range *in {
		score := crhash.Mix(chat, n.hash)
		if len(list) == maxRanked && score <= list[maxRanked-1].hash {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, score, func(h hashed, s uint64) int { return cmp.Compare(s, h.hash) })
		list = slices.Insert(list, at, hashed{n.name, score})
		list = list[:min(len(list), maxRanked)]
	}
	names := make([]string, len(list))
	for i, n := range list {
		names[i] = n.name
	}
	return names
}

// baseline returns the plain policy that the settings name, or nil.
func (d *Daemon) baseline() *crowner.Baseline {
	p, ok := crpolicy.Find(d.Settings.Policy)
	if !ok {
		return nil
	}
	return &crowner.Baseline{Policy: p, Endpoints: d.view.endpointsOf}
}

// endpointsOf returns the usable endpoints of a service.
func (v *view) endpointsOf(service string) []crshard.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(v.usableEndpoints()), func(e crshard.Endpoint) bool { return e.Service != service })
}
