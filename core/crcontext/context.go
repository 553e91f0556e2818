// Package crcontext keeps which endpoints hold which parts of prompts. A prompt
// is a chain of parts; an endpoint that holds a part holds all before it. A
// Table is not safe for concurrent use.
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
	// lifetime is how long an endpoint is trusted to hold a part that nobody
	// used: engines drop what was used least lately.
	lifetime = 5 * time.Minute
	// maxHolders bounds the endpoints that are kept for one chain; those used
	// last stay.
	maxHolders = 16
	// maxChains bounds the table, as one half of a crrecent.Map.
	maxChains = 50_000
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Link is a chain of parts up to and including one of them.
type Link struct {
	// Chain is the hash of the model and the parts so far.
	Chain uint64
	// Tokens is how many the chain has.
	Tokens int
}

// Chain returns the links of a prompt, one a part.
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

// Subject returns the key by which requests with a common context are placed:
// the longest chain that other requests share. The last part of a prompt is
// the request's own. It is zero when the prompt has no parts.
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

type holder struct {
	endpoint crledger.Key
	used     time.Time
	// readingUntil is when the endpoint has read the chain at the latest; the
	// zero time once it has.
	readingUntil time.Time
	// told is when other instances were told of the holder as it is.
	told time.Time
}

// tellAgain is the time after which a holder that is still of use is told of
// again, for those that missed it.
const tellAgain = 10 * time.Second

type chain struct {
	holders []holder
	tokens  int
	// shared is true for chains that further requests may have.
	shared bool
}

// Table maps chains to the endpoints that hold them. Its zero value is empty.
type Table struct {
	chains crrecent.Map[uint64, *chain]
}

// Holding says that an endpoint holds a chain that requests share.
type Holding struct {
	Link
	Endpoint crledger.Key
	// Used is when the holding was last of use.
	Used time.Time
}

// Note notes that an endpoint holds a chain. It reads the chain until the given
// time if that isn't zero.
func (t *Table) Note(now time.Time, l Link, shared bool, endpoint crledger.Key, readingUntil time.Time) {
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
			if !h.readingUntil.IsZero() || now.Sub(h.used) >= lifetime {
				if h.readingUntil != readingUntil {
					h.told = time.Time{}
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

// Tell reports whether other instances are to be told that an endpoint holds a
// chain, or has read it, and takes it for told.
func (t *Table) Tell(now time.Time, hash uint64, endpoint crledger.Key) bool {
	c, ok := t.chains.Get(hash)
	if !ok {
		return false
	}
	for i := range c.holders {
		h := &c.holders[i]
		if h.endpoint == endpoint && (h.told.IsZero() || now.Sub(h.told) >= tellAgain) {
			h.told = now
			return true
		}
	}
	return false
}

// Forget drops an endpoint from the holders of a chain: it broke off before it
// had read it.
func (t *Table) Forget(l Link, endpoint crledger.Key) {
	c, ok := t.chains.Get(l.Chain)
	if !ok {
		return
	}
	c.holders = slices.DeleteFunc(c.holders, func(h holder) bool {
		return h.endpoint == endpoint && !h.readingUntil.IsZero()
	})
}

func (h *holder) reading(now time.Time) bool { return now.Before(h.readingUntil) }

// Held returns how many tokens of a prompt each endpoint holds.
func (t *Table) Held(now time.Time, links []Link) map[crledger.Key]int {
	held := make(map[crledger.Key]int)
	t.each(now, links, func(l Link, h *holder) {
		if !h.reading(now) {
			held[h.endpoint] = max(held[h.endpoint], l.Tokens)
		}
	})
	return held
}

// Reading returns the longest chain of a prompt that a usable endpoint is reading, in
// tokens, and when it has read it at the latest.
func (t *Table) Reading(now time.Time, links []Link, usable func(crledger.Key) bool) (tokens int, until time.Time) {
	t.each(now, links, func(l Link, h *holder) {
		if h.reading(now) && l.Tokens > tokens && usable(h.endpoint) {
			tokens, until = l.Tokens, h.readingUntil
		}
	})
	return tokens, until
}

func (t *Table) each(now time.Time, links []Link, do func(Link, *holder)) {
	for _, l := range links {
		c, ok := t.chains.Get(l.Chain)
		if !ok {
			continue
		}
		for i := range c.holders {
			if now.Sub(c.holders[i].used) < lifetime {
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

// Recent returns the holdings of shared chains that were of use since a time,
// the latest first, at most limit of them.
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
