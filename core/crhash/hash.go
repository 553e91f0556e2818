// Package crhash computes the hashes and rendezvous scores that must be equal on
// all instances, such as those of chat keys and prompt prefixes.
package crhash

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Of returns the 64-bit xxHash of a name or key.
func Of(s string) uint64 { return xxhash.Sum64String(s) }

// Mix combines two hashes into one. The result depends on the order of a and b.
func Mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 31)*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Score returns the score of a key at a node for weighted rendezvous hashing,
// where key and node are hashes. A node is whatever the keys are distributed over,
// such as instances. The node with the highest score is the first
// choice for the key, and each node is the first choice for a share of the keys
// that is proportional to its weight. The score is negative infinity for a
// weight of zero or less.
func Score(key, node uint64, weight float64) float64 {
	return ScoreHash(Mix(key, node), weight)
}

// ScoreHash returns the score, as defined by Score, for the combined hash of a key
// and a node. With equal weights, a higher hash has a higher score.
func ScoreHash(hash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	// The top 53 bits plus one half, so that the result is never zero, give a
	// uniformly distributed number in (0, 1).
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
