package crprefix_test

import (
	"fmt"
	"strings"
	"testing"

	"crocusrack/core/crprefix"

	"github.com/google/go-cmp/cmp"
)

func ExampleHashes() {
	first := strings.Repeat("larch ", 40)
	next := first + strings.Repeat("cedar ", 40)
	a := crprefix.Hashes(first, nil)
	b := crprefix.Hashes(next, nil)
	fmt.Println(len(a), len(b), a[0] == b[0], a[1] == b[1])
	// Output: 2 5 true true
}

func TestHashesDependOnWholePrefix(t *testing.T) {
	tail := strings.Repeat("oak ", crprefix.BlockTokens)
	a := crprefix.Hashes(strings.Repeat("elm ", crprefix.BlockTokens)+tail, nil)
	b := crprefix.Hashes(strings.Repeat("ash ", crprefix.BlockTokens)+tail, nil)
	if a[1] == b[1] {
		t.Errorf("equal blocks after different prefixes have the same hash %d", a[1])
	}
}

func TestCount(t *testing.T) {
	got := []int{crprefix.Count(""), crprefix.Count("  one\ttwo\n three ")}
	if diff := cmp.Diff([]int{0, 3}, got); diff != "" {
		t.Errorf("counts differ (-want +got):\n%s", diff)
	}
}
