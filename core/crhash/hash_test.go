package crhash

import (
	"fmt"
	"math"
	"testing"
)

func TestScoreProportionalToWeight(t *testing.T) {
	weights := []float64{1, 2, 4, 1}
	counts := make([]int, len(weights))
	const keys = 40000
	for i := range keys {
		key := Of(fmt.Sprint("chat-", i))
		best := 0
		for n := range weights {
			if Score(key, Of(fmt.Sprint("node-", n)), weights[n]) > Score(key, Of(fmt.Sprint("node-", best)), weights[best]) {
				best = n
			}
		}
		counts[best]++
	}
	for n, w := range weights {
		want := keys * w / 8
		if math.Abs(float64(counts[n])-want) > want/10 {
			t.Errorf("node %d with weight %v is first for %d keys, want about %.0f", n, w, counts[n], want)
		}
	}
}

func TestScoreOfZeroWeight(t *testing.T) {
	if s := Score(1, 2, 0); !math.IsInf(s, -1) {
		t.Errorf("Score(1, 2, 0) = %v, want -Inf", s)
	}
}

func ExampleScore() {
	chat := Of("chat-7")
	fmt.Println(Score(chat, Of("engine-1"), 1) > Score(chat, Of("engine-2"), 1))
	fmt.Println(Score(chat, Of("engine-1"), 1) == Score(chat, Of("engine-1"), 1))
	// Output:
	// false
	// true
}
