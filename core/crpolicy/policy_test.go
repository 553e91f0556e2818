package crpolicy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crhash"
)

func endpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprint("engine-", i), Hash: crhash.Of(fmt.Sprint("engine-", i)), Capacity: 4}
	}
	return list
}

func TestPolicies(t *testing.T) {
	keepsChat := map[string]bool{"rendezvous": true}
	for _, p := range Policies() {
		c := Chooser{Policy: p, Rand: rand.New(rand.NewPCG(1, 2))}
		counts := make([]int, 4)
		for range 400 {
			counts[c.Choose(7, endpoints(4))]++
		}
		used := 0
		for _, n := range counts {
			if n > 0 {
				used++
			}
		}
		if got, want := used == 1, keepsChat[p.Name]; got != want {
			t.Errorf("%s: requests of one chat went to %d endpoints", p.Name, used)
		}
	}
}

func TestLeastInFlight(t *testing.T) {
	p, _ := Find("least-in-flight")
	c := Chooser{Policy: p, Rand: rand.New(rand.NewPCG(1, 2))}
	var got []int
	for range 3 {
		got = append(got, c.Choose(0, endpoints(3)))
	}
	c.Done(endpoints(3)[got[1]].Name)
	got = append(got, c.Choose(0, endpoints(3)))
	if diff := cmp.Diff(got[1], got[3]); diff != "" {
		t.Errorf("the endpoint whose request ended is not chosen next (-want +got): %s", diff)
	}
}
