package crentry

import (
	"sync"

	"crocusrack/core/crrecent"
	"crocusrack/core/crshard"
)

// chatShardsLimit is the Limit of chatShards.recent. An entry remembers the shards of at
// least as many chats, and of at most twice as many.
const chatShardsLimit = 32 << 10

// chatShards remembers which shard answered a chat whose first-choice shard had no room.
// That shard holds the chat's context until the chat moves again.
type chatShards struct {
	mu     sync.Mutex
	recent crrecent.Map[uint64, crshard.Key]
}

// record remembers the shard that has answered a chat. It ignores an answer of the shard
// that was tried first, and keeps an earlier record of the chat then.
func (p *chatShards) record(chat uint64, s crshard.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.RefusedElsewhere {
		return
	}
	p.recent.Limit = chatShardsLimit
	p.recent.Put(chat, s.Key)
}

// lookup returns the shard remembered for a chat, or the zero Key if there is none.
func (p *chatShards) lookup(chat uint64) crshard.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, _ := p.recent.Get(chat)
	return k
}

// plan returns the shards to try for a request, in order. The shard that holds the
// chat's context comes first, if this instance knows it.
func (e *Entry) plan(service string, chat uint64) []crshard.Step {
	preferred, ok := e.Holder(service, chat)
	if !ok {
		preferred = e.chatShards.lookup(chat)
	}
	return crshard.Plan(e.Shards(service, chat), preferred, maxShards)
}
