package crevidence_test

import (
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crevidence"
)

func ExampleEvidence() {
	var e crevidence.Evidence
	_, ok := e.Age(10 * time.Second)
	fmt.Println(ok)
	e.Read(9 * time.Second)
	// A peer got our reading of 9.5 s and had evidence of 0.3 s then.
	e.Heard(9500*time.Millisecond, 300*time.Millisecond)
	age, _ := e.Age(10 * time.Second)
	fmt.Println(age)
	// Output:
	// false
	// 800ms
}

func TestEvidenceNeverGetsOlder(t *testing.T) {
	var e crevidence.Evidence
	e.Read(5 * time.Second)
	e.Heard(6*time.Second, 3*time.Second)
	if age, _ := e.Age(6 * time.Second); age != time.Second {
		t.Errorf("age %s after older evidence, want 1s", age)
	}
}
