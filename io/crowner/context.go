package crowner

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"crocusrack/core/cradmit"
	"crocusrack/core/crprefix"
	"crocusrack/core/crshard"
)

// contextsLimit is the Limit of Owner.contexts. An Owner remembers the contexts of at
// least as many recently used chats, and of at most twice as many.
const contextsLimit = 16 << 10

// contextKey identifies a chat of a service.
type contextKey struct {
	service string
	chat    uint64 // hash of the chat key
}

// Context records the endpoint that has the context of a chat in its cache.
type Context struct {
	// Service is the name of the service.
	Service string
	// Chat is the hash of the chat key.
	Chat uint64
	// Shard is the shard to which the endpoint belonged when it answered.
	Shard crshard.Key
	// Endpoint and Address are the name and the address of the endpoint.
	Endpoint string
	Address  netip.AddrPort
	// Prefix is the hash of the prompt and the answer without the incomplete
	// block at their end.
	Prefix uint64
	// Used is when the chat was answered.
	Used time.Time
}

// rememberContext records which endpoint has the context of an answered chat in its
// cache, and reports it to OnContext. It ignores a context shorter than one block.
func (o *Owner) rememberContext(r *cradmit.Request, g cradmit.Grant, prompt string, answer []string) {
	hashes := crprefix.Hashes(prompt+" "+strings.Join(answer, " "), nil)
	// There is no hash if the prompt and the answer together have fewer than
	// crprefix.BlockTokens tokens.
	if len(hashes) == 0 {
		return
	}
	c := Context{
		Service:  r.Service,
		Chat:     r.Chat,
		Shard:    r.Shard,
		Endpoint: g.Endpoint,
		Address:  g.Address,
		Prefix:   hashes[len(hashes)-1],
		Used:     time.Now(),
	}
	o.mu.Lock()
	o.contexts.Limit = contextsLimit
	o.contexts.Put(contextKey{r.Service, r.Chat}, c)
	o.mu.Unlock()
	if o.OnContext != nil {
		o.OnContext(c)
	}
}

// Contexts returns the remembered contexts for which keep returns true, the most
// recently used first.
func (o *Owner) Contexts(keep func(Context) bool) []Context {
	o.mu.Lock()
	var list []Context
	for _, c := range o.contexts.All() {
		list = append(list, c)
	}
	o.mu.Unlock()
	list = slices.DeleteFunc(list, func(c Context) bool { return !keep(c) })
	slices.SortFunc(list, func(a, b Context) int { return b.Used.Compare(a.Used) })
	return list
}
