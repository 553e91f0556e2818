package crpolicy_test

import (
	"fmt"
	"math/rand/v2"

	"crocusrack/core/crhash"
	"crocusrack/core/crpolicy"
)

// Example of a router that distributes three requests over two endpoints.
func ExampleChooser() {
	policy, ok := crpolicy.Find("least-in-flight")
	if !ok {
		return
	}
	c := crpolicy.Chooser{Policy: policy, Rand: rand.New(rand.NewPCG(1, 2))}
	endpoints := []crpolicy.Endpoint{
		{Name: "taalpers-1", Hash: crhash.Of("taalpers-1"), Capacity: 4},
		{Name: "taalpers-2", Hash: crhash.Of("taalpers-2"), Capacity: 4},
	}
	first := c.Choose(7, endpoints)
	second := c.Choose(7, endpoints)
	fmt.Println(first != second)

	c.Done(endpoints[first].Name)
	fmt.Println(c.Choose(7, endpoints) == first)
	// Output:
	// true
	// true
}
