package cradmit

import "math/bits"

// maxHeld is the maximum number of entries of one set. The indexes of entries are stored in
// 16 bits, of which this limit uses 15.
const maxHeld = 1<<15 - 1

// slotsPerEntry is the minimum number of hash table slots per entry. A low load factor
// lets most lookups of missing hashes end without reading an entry.
const slotsPerEntry = 4

// lruSet is a set of hashes with least recently used eviction. It tracks what an
// endpoint is believed to hold in its cache. An entry takes 16 bytes, and the slots
// take 8 to 16 bytes per entry. Memory is allocated at the first touch.
type lruSet struct {
	maxEntries int
	entries    []lruEntry
	// slots is a hash table with linear probing. A slot contains the index of an entry,
	// or 0 if it is empty.
	slots []uint16
	// head is the most recently used entry and tail the least recently used one. free
	// is the first entry of the list of unused entries.
	head, tail uint16
	free       uint16
	touches    uint32
}

// lruEntry is one hash. Entry 0 is unused, so that a link of 0 means none.
type lruEntry struct {
	hash uint64
	// lastTouch is the value of lruSet.touches when the entry was last touched.
	lastTouch  uint32
	prev, next uint16
}

func (h *lruSet) allocate() {
	h.entries = make([]lruEntry, h.maxEntries+1)
	h.slots = make([]uint16, 1<<bits.Len(uint(slotsPerEntry*h.maxEntries-1)))
	h.clear()
}

// clear removes all entries.
func (h *lruSet) clear() {
	if h.entries == nil {
		return
	}
	clear(h.slots)
	h.head, h.tail, h.free = 0, 0, 1
	for i := range h.entries {
		h.entries[i] = lruEntry{next: uint16(i + 1)}
	}
	h.entries[len(h.entries)-1].next = 0
}

func (h *lruSet) homeSlot(hash uint64) int { return int(hash & uint64(len(h.slots)-1)) }

// find returns the slot of the hash, or the empty slot where it would be inserted.
func (h *lruSet) find(hash uint64) int {
	i := h.homeSlot(hash)
	for h.slots[i] != 0 && h.entries[h.slots[i]].hash != hash {
		i = (i + 1) & (len(h.slots) - 1)
	}
	return i
}

// has reports whether the set contains the hash.
func (h *lruSet) has(hash uint64) bool {
	return h.entries != nil && h.slots[h.find(hash)] != 0
}

// touch makes the hash the most recently used one and inserts it if necessary. It
// returns the value of touches at the previous touch, or 0 if the hash wasn't in the
// set.
func (h *lruSet) touch(hash uint64) uint32 {
	if h.entries == nil {
		h.allocate()
	}
	h.touches++
	n := h.slots[h.find(hash)]
	if n == 0 {
		h.insert(hash)
		return 0
	}
	before := h.entries[n].lastTouch
	h.unlink(n)
	h.link(n)
	return before
}

func (h *lruSet) insert(hash uint64) {
	if h.free == 0 {
		h.remove(h.entries[h.tail].hash)
	}
	n := h.free
	h.free = h.entries[n].next
	h.entries[n].hash = hash
	h.slots[h.find(hash)] = n
	h.link(n)
}

// link inserts entry n at the head of the list.
func (h *lruSet) link(n uint16) {
	e := &h.entries[n]
	e.lastTouch, e.prev, e.next = h.touches, 0, h.head
	if h.head != 0 {
		h.entries[h.head].prev = n
	} else {
		h.tail = n
	}
	h.head = n
}

func (h *lruSet) unlink(n uint16) {
	e := &h.entries[n]
	if e.prev != 0 {
		h.entries[e.prev].next = e.next
	} else {
		h.head = e.next
	}
	if e.next != 0 {
		h.entries[e.next].prev = e.prev
	} else {
		h.tail = e.prev
	}
}

// remove deletes the hash.
func (h *lruSet) remove(hash uint64) {
	if !h.has(hash) {
		return
	}
	i := h.find(hash)
	n := h.slots[i]
	h.unlink(n)
	h.entries[n] = lruEntry{next: h.free}
	h.free = n
	h.emptySlot(i)
}

// emptySlot empties slot i and shifts later entries of the same probe sequence back, so
// that lookups don't stop at an empty slot before them.
func (h *lruSet) emptySlot(i int) {
	mask := len(h.slots) - 1
	for j := (i + 1) & mask; h.slots[j] != 0; j = (j + 1) & mask {
		start := h.homeSlot(h.entries[h.slots[j]].hash)
		if (j-start)&mask >= (j-i)&mask {
			h.slots[i] = h.slots[j]
			i = j
		}
	}
	h.slots[i] = 0
}

// removeIfLastTouched deletes the hash if its last touch was the given one.
func (h *lruSet) removeIfLastTouched(hash uint64, touch uint32) {
	if h.entries == nil {
		return
	}
	if n := h.slots[h.find(hash)]; n != 0 && h.entries[n].lastTouch == touch {
		h.remove(hash)
	}
}

// removeUntil deletes all hashes whose last touch was at or before the given one.
func (h *lruSet) removeUntil(touch uint32) {
	for h.tail != 0 && h.entries[h.tail].lastTouch <= touch {
		h.remove(h.entries[h.tail].hash)
	}
}

// hashes returns all hashes, most recently used first.
func (h *lruSet) hashes() []uint64 {
	var all []uint64
	for n := h.head; n != 0; n = h.entries[n].next {
		all = append(all, h.entries[n].hash)
	}
	return all
}
