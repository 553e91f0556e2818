package crengine

import (
	"strconv"

	"crocusrack/core/crhash"
)

const (
	shortestAnswer = 8
	longestAnswer  = 128
	tokenBits      = 20
	tokenBase      = 36
)

// Answer returns the whole answer that every engine gives to a prompt.
func Answer(prompt string, maxTokens int) []string {
	seed := crhash.Of(prompt)
	tokens := make([]string, answerLength(seed, maxTokens))
	for i := range tokens {
		tokens[i] = token(seed, i)
	}
	return tokens
}

func answerLength(seed uint64, maxTokens int) int {
	length := shortestAnswer + int(seed%(longestAnswer-shortestAnswer+1))
	return min(length, maxTokens)
}

func token(seed uint64, i int) string {
	return strconv.FormatUint(crhash.Mix(seed, uint64(i))>>(64-tokenBits), tokenBase)
}
