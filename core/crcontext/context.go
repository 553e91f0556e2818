// Package crcontext keeps which endpoints hold which parts of prompts. A prompt
// is a chain of parts; an endpoint that holds a part holds all before it. A
// Table is not safe for concurrent use.
package crcontext

import (
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
}

// Table maps chains to the endpoints that hold them. Its zero value is empty.
type Table struct {
	chains crrecent.Map[uint64, []holder]
}

// Note notes that an endpoint holds a chain, or is about to.
func (t *Table) Note(now time.Time, chain uint64, endpoint crledger.Key) {
	t.chains.Limit = maxChains
	holders, _ := t.chains.Get(chain)
	for i := range holders {
		if holders[i].endpoint == endpoint {
			holders[i].used = now
			return
		}
	}
	if len(holders) >= maxHolders {
		oldest := 0
		for i := range holders {
			if holders[i].used.Before(holders[oldest].used) {
				oldest = i
			}
		}
		holders[oldest] = holder{endpoint, now}
		return
	}
	t.chains.Put(chain, append(holders, holder{endpoint, now}))
}

// Held returns how many tokens of a prompt each endpoint holds.
func (t *Table) Held(now time.Time, links []Link) map[crledger.Key]int {
	held := make(map[crledger.Key]int)
	for _, l := range links {
		holders, _ := t.chains.Get(l.Chain)
		for _, h := range holders {
			if now.Sub(h.used) < lifetime {
				held[h.endpoint] = max(held[h.endpoint], l.Tokens)
			}
		}
	}
	return held
}
