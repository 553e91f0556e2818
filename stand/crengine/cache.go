package crengine

import (
	"container/list"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"crocusrack/core/crprefix"
	"crocusrack/schema/crendpoint"
	"crocusrack/stand/crfault"

	"connectrpc.com/connect"
)

const (
	hashBytes = 8
	// transferShare is the time to import a token as a part of its prefill.
	transferShare = 10
)

// cache holds blocks of prompts by the hash of the prefix that each completes,
// the least recently used last.
type cache struct {
	blocks int // most that it holds
	held   map[uint64]*list.Element
	recent *list.List
}

type block struct {
	prefix uint64
	parent uint64 // the prefix one block shorter, 0 at the first block
}

func (c *cache) init(tokens int) {
	c.blocks = tokens / crprefix.BlockTokens
	c.held = make(map[uint64]*list.Element)
	c.recent = list.New()
}

// match returns the number of leading blocks that are held, and marks them as
// used, so that the shortest prefix is evicted last.
func (c *cache) match(hashes []uint64) int {
	count := 0
	for count < len(hashes) && c.held[hashes[count]] != nil {
		count++
	}
	for i := count - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.held[hashes[i]])
	}
	return count
}

// store holds the blocks of a prompt and returns what came in and what went.
func (c *cache) store(hashes []uint64) (stored, evicted []uint64) {
	if len(hashes) > c.blocks {
		hashes = hashes[:c.blocks]
	}
	known := c.match(hashes)
	for i := len(hashes) - 1; i >= known; i-- {
		b := block{prefix: hashes[i]}
		if i > 0 {
			b.parent = hashes[i-1]
		}
		c.held[b.prefix] = c.recent.PushFront(b)
		stored = append(stored, b.prefix)
	}
	for i := known - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.held[hashes[i]])
	}
	slices.Reverse(stored)
	for c.recent.Len() > c.blocks {
		last := c.recent.Remove(c.recent.Back()).(block)
		delete(c.held, last.prefix)
		evicted = append(evicted, last.prefix)
	}
	return stored, evicted
}

// chain returns the held prefixes up to the given one, shortest first.
func (c *cache) chain(prefix uint64) []uint64 {
	var hashes []uint64
	for at := c.held[prefix]; at != nil; {
		b := at.Value.(block)
		hashes = append(hashes, b.prefix)
		at = c.held[b.parent]
	}
	slices.Reverse(hashes)
	return hashes
}

// store puts the blocks into the cache and tells of it. It needs the lock.
func (e *Engine) store(hashes []uint64) {
	stored, evicted := e.cache.store(hashes)
	if len(stored)+len(evicted) > 0 {
		e.events.add(&crendpoint.CacheEvent{Epoch: e.epoch, Stored: stored, Evicted: evicted})
	}
}

// ExportCache returns what is held of a prefix.
func (h handler) ExportCache(ctx context.Context, r *connect.Request[crendpoint.ExportCacheRequest]) (*connect.Response[crendpoint.ExportCacheResponse], error) {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	hashes := e.cache.chain(r.Msg.GetPrefix())
	e.mu.Unlock()
	var encoded []byte
	for _, p := range hashes {
		encoded = binary.LittleEndian.AppendUint64(encoded, p)
	}
	return connect.NewResponse(&crendpoint.ExportCacheResponse{
		Found:  len(hashes) > 0,
		Cache:  encoded,
		Tokens: uint32(len(hashes) * crprefix.BlockTokens),
	}), nil
}

// ImportCache takes in what another engine exported.
func (h handler) ImportCache(ctx context.Context, r *connect.Request[crendpoint.ImportCacheRequest]) (*connect.Response[crendpoint.ImportCacheResponse], error) {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return nil, err
	}
	var hashes []uint64
	for rest := r.Msg.GetCache(); len(rest) >= hashBytes; rest = rest[hashBytes:] {
		hashes = append(hashes, binary.LittleEndian.Uint64(rest))
	}
	epoch := e.Epoch()
	transfer := time.Duration(len(hashes)*crprefix.BlockTokens) * e.PrefillTime / transferShare
	if err := crfault.Sleep(ctx, transfer); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	whole := len(hashes) > 0 && hashes[len(hashes)-1] == r.Msg.GetPrefix()
	stored := whole && len(hashes) <= e.cache.blocks && epoch == e.epoch
	if stored {
		e.store(hashes)
	}
	return connect.NewResponse(&crendpoint.ImportCacheResponse{Stored: stored}), nil
}
