package crfreshness_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crfreshness"
)

func ExampleEvidence() {
	var e crfreshness.Evidence
	_, ok := e.Age(10 * time.Second)
	fmt.Println(ok)
	e.Read(9 * time.Second)
	// The peer received the local clock reading of 9.5 s, and its evidence was 0.3 s old
	// then.
	e.Heard(9500*time.Millisecond, 300*time.Millisecond)
	age, _ := e.Age(10 * time.Second)
	fmt.Println(age)
	// Output:
	// false
	// 800ms
}

// TestEvidenceNeverGetsOlder checks that older evidence doesn't replace newer
// evidence.
func TestEvidenceNeverGetsOlder(t *testing.T) {
	var e crfreshness.Evidence
	e.Read(5 * time.Second)
	e.Heard(6*time.Second, 3*time.Second)
	if age, _ := e.Age(6 * time.Second); age != time.Second {
		t.Errorf("age %s after older evidence, want 1s", age)
	}
}
