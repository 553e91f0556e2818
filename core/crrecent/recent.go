// Package crrecent implements a bounded map that evicts entries that weren't used
// recently.
package crrecent

import "iter"

// Map is a bounded map. It keeps the Limit most recently used entries, and may keep
// up to as many older ones, so that it never holds more than twice the Limit. It has
// two generations: when the newer one is full, Map drops the older one and starts a
// new one. Set Limit before use. A Map isn't
// safe for concurrent use.
type Map[K comparable, V any] struct {
	// Limit is the maximum number of entries of one generation. A Limit below 1
	// counts as 1.
	Limit int

	newer, older map[K]V
}

// Put sets the value of a key, which counts as a use of the entry.
func (m *Map[K, V]) Put(k K, v V) {
	if m.newer == nil || len(m.newer) >= max(m.Limit, 1) {
		m.older = m.newer
		m.newer = make(map[K]V)
	}
	m.newer[k] = v
}

// Get returns the value of a key and whether the map has one. It counts as a use
// of the entry.
func (m *Map[K, V]) Get(k K) (V, bool) {
	if v, ok := m.newer[k]; ok {
		return v, true
	}
	v, ok := m.older[k]
	if ok {
		m.Put(k, v)
	}
	return v, ok
}

// All returns an iterator over all entries in unspecified order. It doesn't count
// as a use of them.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for k, v := range m.newer {
			if !yield(k, v) {
				return
			}
		}
		for k, v := range m.older {
			if _, seen := m.newer[k]; seen {
				continue
			}
			if !yield(k, v) {
				return
			}
		}
	}
}

// Len returns the number of entries. It counts an entry that is in both
// generations twice.
func (m *Map[K, V]) Len() int { return len(m.newer) + len(m.older) }
