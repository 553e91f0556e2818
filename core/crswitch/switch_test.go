package crswitch_test

import (
	"slices"
	"strings"
	"testing"

	"crocusrack/core/crswitch"
)

func TestMechanisms(t *testing.T) {
	byName := func(a, b crswitch.Info) int { return strings.Compare(string(a.Name), string(b.Name)) }
	if !slices.IsSortedFunc(crswitch.Mechanisms(), byName) {
		t.Error("mechanisms aren't sorted by name")
	}
	for _, m := range crswitch.Mechanisms() {
		if m.Doc == "" || !strings.Contains(m.Doc, "Without it") {
			t.Errorf("the documentation of %s doesn't say what happens without it", m.Name)
		}
	}
	s := crswitch.NewSet([]string{"context-moves"})
	if !s.Has(crswitch.ContextMoves) || s.Has(crswitch.LearnedPace) || crswitch.NewSet(nil).Has(crswitch.ContextMoves) {
		t.Error("NewSet returned a set with other members than the given names")
	}
}
