package crrecent

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"crocusrack/core/crfuzz"
)

func TestMain(m *testing.M) { crfuzz.Main(m) }

// TestMap compares a map with a list of its keys in the order of their last use.
func TestMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Map[int, int]{Limit: rapid.IntRange(1, 5).Draw(t, "limit")}
		values := make(map[int]int)
		var lastUsed []int
		markUsed := func(k int) { lastUsed = append(slices.DeleteFunc(lastUsed, func(x int) bool { return x == k }), k) }
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := rapid.IntRange(0, 9).Draw(t, "key")
			if rapid.Bool().Draw(t, "put") {
				m.Put(k, i)
				values[k] = i
				markUsed(k)
			}
			v, ok := m.Get(k)
			recent := slices.Contains(lastUsed[max(len(lastUsed)-m.Limit, 0):], k)
			if recent && !ok || ok && v != values[k] {
				t.Fatalf("Get(%d) = %d, %v, want %d; used %v, limit %d", k, v, ok, values[k], lastUsed, m.Limit)
			}
			if ok {
				markUsed(k)
			}
			listed := 0
			for k, v := range m.All() {
				if listed++; v != values[k] {
					t.Fatalf("All has value %d for key %d, want %d", v, k, values[k])
				}
			}
			if listed < min(len(lastUsed), m.Limit) {
				t.Fatalf("All has %d of %d entries, limit %d", listed, len(lastUsed), m.Limit)
			}
			if m.Len() > 2*m.Limit {
				t.Fatalf("Len = %d, want at most twice the limit %d", m.Len(), m.Limit)
			}
		}
	})
}
