package crswitch_test

import (
	"slices"
	"strings"
	"testing"

	"crocusrack/core/crswitch"
)

func TestTable(t *testing.T) {
	byName := func(a, b crswitch.Info) int { return strings.Compare(string(a.Name), string(b.Name)) }
	if !slices.IsSortedFunc(crswitch.Mechanisms(), byName) {
		t.Error("the mechanisms aren't sorted by name")
	}
	for _, m := range crswitch.Mechanisms() {
		if m.Doc == "" || !strings.Contains(m.Doc, "Without it") {
			t.Errorf("%s doesn't say what is done without it", m.Name)
		}
	}
	s := crswitch.NewSet([]string{"context-moves"})
	if !s.Has(crswitch.ContextMoves) || s.Has(crswitch.LearnedPace) || crswitch.NewSet(nil).Has(crswitch.ContextMoves) {
		t.Error("a set doesn't hold just what it was made of")
	}
}
