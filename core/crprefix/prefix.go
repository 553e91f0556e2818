// Package crprefix counts the tokens of prompts, and computes the hash of each prefix of a
// prompt that consists of whole blocks of tokens. Engines identify the entries of their
// caches by these hashes, so routers must compute the same ones.
package crprefix

import (
	"strings"

	"crocusrack/core/crhash"
)

// BlockTokens is the number of tokens in a block.
const BlockTokens = 16

// Hashes appends the hash of each prefix of whole blocks to dst, shortest first, and returns
// the extended slice. Tokens after the last whole block aren't hashed. Hashes doesn't
// allocate if dst has capacity for Count(prompt)/BlockTokens more elements.
func Hashes(prompt string, dst []uint64) []uint64 {
	var chain uint64
	count := 0
	for token := range strings.FieldsSeq(prompt) {
		chain = crhash.Mix(chain, crhash.Of(token))
		count++
		if count%BlockTokens == 0 {
			dst = append(dst, chain)
		}
	}
	return dst
}

// Count returns the number of tokens in a prompt. A token is a maximal run of characters
// other than white space.
func Count(prompt string) int {
	count := 0
	for range strings.FieldsSeq(prompt) {
		count++
	}
	return count
}
