// Package crcontext tracks which endpoints hold which prompt prefixes in their caches. A
// prompt is a sequence of parts, and an endpoint that holds a part holds all parts before
// it. A chain is a prefix of a prompt that ends with one of its parts; it is identified by
// a hash. A Table is not safe for concurrent use.
package crcontext

import (
	"cmp"
	"slices"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crledger"
	"crocusrack/core/crrecent"
)

const (
	// holderLifetime is how long an endpoint is assumed to hold a chain after its last
	// use. Engines evict the least recently used entries of their caches.
	holderLifetime = 5 * time.Minute
	// maxHolders bounds the number of endpoints that are kept for one chain. The
	// least recently used one is replaced.
	maxHolders = 16
	// maxChains is the Limit of the crrecent.Map of chains, which keeps at most twice as
	// many entries.
	maxChains = 50_000
)

// Part is one part of a prompt, such as the system prompt.
type Part struct {
	ID     string
	Tokens int
}

// Link is a prefix of a prompt that ends with one of its parts.
type Link struct {
	// Chain identifies the prefix. It is the hash of the model and of the IDs of the
	// parts in the prefix.
	Chain uint64
	// Tokens is the length of the prefix in tokens.
	Tokens int
}

// Chain returns the links of a prompt, one per part, shortest first.
func Chain(model string, parts []Part) []Link {
	links := make([]Link, len(parts))
	hash, tokens := crhash.Of(model), 0
	for i, p := range parts {
		hash = crhash.Mix(hash, crhash.Of(p.ID))
		tokens += p.Tokens
		links[i] = Link{Chain: hash, Tokens: tokens}
	}
	return links
}

// Subject returns the hash of the longest prefix that other requests may share. It breaks
// ties between endpoints that don't hold this prefix, so that all instances choose the same
// one. The last part of a prompt belongs to the request alone, unless it is the only one.
// The subject is zero when the prompt has no parts.
func Subject(links []Link) uint64 {
	switch len(links) {
	case 0:
		return 0
	case 1:
		return links[0].Chain
	default:
		return links[len(links)-2].Chain
	}
}

// holder is an endpoint that holds a chain, or is busy with its prefill.
type holder struct {
	endpoint crledger.Key
	// used is the time of the last use.
	used time.Time
	// readingUntil is the latest time at which the prefill of the chain ends, after which
	// Held counts the chain as held. It is zero once the end of the prefill was recorded.
	readingUntil time.Time
	// announced is the time at which the current state of the holder was last announced
	// to the other instances. It is zero if it has not been announced.
	announced time.Time
}

// announceInterval is the time after which a holder that is still in use is announced
// again, for instances that missed the previous announcement.
const announceInterval = 10 * time.Second

// chain is a prompt prefix with the endpoints that hold it.
type chain struct {
	holders []holder
	// tokens is the length of the prefix.
	tokens int
	// shared is true if the prompts of other requests may begin with the chain.
	shared bool
}

// Table maps chains to the endpoints that hold them. Its zero value is empty.
type Table struct {
	chains crrecent.Map[uint64, *chain]
}

// Holding records that an endpoint holds a shared chain.
type Holding struct {
	Link
	Endpoint crledger.Key
	// Used is the time of the last use.
	Used time.Time
}

// Record records a use of a chain at an endpoint. A zero readingUntil means that the
// endpoint holds the chain, another value the latest time at which its prefill ends. A
// chain that the endpoint holds, and has used within holderLifetime, stays held whatever
// readingUntil is.
func (t *Table) Record(now time.Time, l Link, shared bool, endpoint crledger.Key, readingUntil time.Time) {
	t.chains.Limit = maxChains
	c, ok := t.chains.Get(l.Chain)
	if !ok {
		c = &chain{tokens: l.Tokens}
		t.chains.Put(l.Chain, c)
	}
	c.shared = c.shared || shared
	oldest := 0
	for i := range c.holders {
		if h := &c.holders[i]; h.endpoint == endpoint {
			if !h.readingUntil.IsZero() || now.Sub(h.used) >= holderLifetime {
				if h.readingUntil != readingUntil {
					h.announced = time.Time{}
				}
				h.readingUntil = readingUntil
			}
			h.used = now
			return
		}
		if c.holders[i].used.Before(c.holders[oldest].used) {
			oldest = i
		}
	}
	n := holder{endpoint: endpoint, used: now, readingUntil: readingUntil}
	if len(c.holders) >= maxHolders {
		c.holders[oldest] = n
		return
	}
	c.holders = append(c.holders, n)
}

// MarkAnnounced reports whether the other instances should be told that an endpoint holds
// a chain or is busy with its prefill. If so, it counts the holder as announced:
// MarkAnnounced is true again after the end of the prefill, and after announceInterval.
func (t *Table) MarkAnnounced(now time.Time, hash uint64, endpoint crledger.Key) bool {
	c, ok := t.chains.Get(hash)
	if !ok {
		return false
	}
	for i := range c.holders {
		h := &c.holders[i]
		if h.endpoint == endpoint && (h.announced.IsZero() || now.Sub(h.announced) >= announceInterval) {
			h.announced = now
			return true
		}
	}
	return false
}

// RemoveUnfinished removes an endpoint from the holders of a chain after its prefill was
// broken off. A holder that has finished the prefill stays.
func (t *Table) RemoveUnfinished(l Link, endpoint crledger.Key) {
	c, ok := t.chains.Get(l.Chain)
	if !ok {
		return
	}
	c.holders = slices.DeleteFunc(c.holders, func(h holder) bool {
		return h.endpoint == endpoint && !h.readingUntil.IsZero()
	})
}

// reading reports whether the prefill of the chain is in progress.
func (h *holder) reading(now time.Time) bool { return now.Before(h.readingUntil) }

// Held returns the number of tokens of a prompt that each endpoint holds.
func (t *Table) Held(now time.Time, links []Link) map[crledger.Key]int {
	held := make(map[crledger.Key]int)
	t.eachHolder(now, links, func(l Link, h *holder) {
		if !h.reading(now) {
			held[h.endpoint] = max(held[h.endpoint], l.Tokens)
		}
	})
	return held
}

// PrefillInProgress returns the length in tokens of the longest prefix of a prompt whose
// prefill is in progress at an endpoint for which usable returns true, and the latest
// time at which it ends. It returns zero values when there is none.
func (t *Table) PrefillInProgress(now time.Time, links []Link, usable func(crledger.Key) bool) (tokens int, until time.Time) {
	t.eachHolder(now, links, func(l Link, h *holder) {
		if h.reading(now) && l.Tokens > tokens && usable(h.endpoint) {
			tokens, until = l.Tokens, h.readingUntil
		}
	})
	return tokens, until
}

// eachHolder calls do for every link and each of its holders whose last use is less than
// holderLifetime ago.
func (t *Table) eachHolder(now time.Time, links []Link, do func(Link, *holder)) {
	for _, l := range links {
		c, ok := t.chains.Get(l.Chain)
		if !ok {
			continue
		}
		for i := range c.holders {
			if now.Sub(c.holders[i].used) < holderLifetime {
				do(l, &c.holders[i])
			}
		}
	}
}

// Empty reports whether no chain is known.
func (t *Table) Empty() bool {
	for range t.chains.All() {
		return false
	}
	return true
}

// Recent returns the holdings of shared chains that were used after the given time, the most
// recently used first. It returns no more than limit of them.
func (t *Table) Recent(since time.Time, limit int) []Holding {
	var list []Holding
	for hash, c := range t.chains.All() {
		if !c.shared {
			continue
		}
		for _, h := range c.holders {
			if h.used.After(since) && h.readingUntil.IsZero() {
				list = append(list, Holding{Link: Link{Chain: hash, Tokens: c.tokens}, Endpoint: h.endpoint, Used: h.used})
			}
		}
	}
	slices.SortFunc(list, func(a, b Holding) int {
		return cmp.Or(b.Used.Compare(a.Used), cmp.Compare(a.Chain, b.Chain), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), limit)]
}
