package cradmit

import (
	"testing"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crload"
	"crocusrack/core/crshard"
)

// BenchmarkAdmitDone admits and completes requests of a service with 500 endpoints. The
// instance owns all of its shards or two of them.
func BenchmarkAdmitDone(b *testing.B) {
	owned := layout(key.Service, 500, 13, 8, 8).Owned("i")
	loads := &crload.Table{FailureDomain: "fd-0"}
	loads.Set(start, key.Service, 0, 30, 0, 100)
	for _, c := range []struct {
		name     string
		shards   []*crshard.Shard
		chats    uint64
		prefixes int
	}{{"returning", owned, 1000, 0}, {"new", owned, 1 << 40, 0}, {"8-prefixes", owned, 1 << 40, 8}, {"8-prefixes-two-shards", owned[:2], 1 << 40, 8}} {
		b.Run(c.name, func(b *testing.B) {
			a := &Admitter{Mean: loads.Mean}
			a.SetShards(start, c.shards)
			r := &Request{Service: key.Service, Account: "tuinland", Prefixes: make([]uint64, c.prefixes)}
			o := Observation{Outcome: Success, PromptTokens: 1000, CachedTokens: 900, FirstToken: 100 * time.Millisecond}
			admit := func(i uint64) {
				r.Chat = crhash.Mix(i%c.chats, 9)
				r.Shard = c.shards[r.Chat%uint64(len(c.shards))].Key
				for k := range r.Prefixes {
					r.Prefixes[k] = r.Chat + uint64(k)
				}
				a.Done(start, a.Admit(start, r).Grant.ID, o)
			}
			for i := range uint64(5000) {
				admit(i)
			}
			b.ReportAllocs()
			for i := uint64(5000); b.Loop(); i++ {
				admit(i)
			}
		})
	}
}
