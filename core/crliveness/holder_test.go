package crliveness_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"crocusrack/core/crliveness"
)

// TestHolders checks that the holders of a key are different live instances of two failure domains, and
// that all instances agree on the keepers.
func TestHolders(t *testing.T) {
	now := time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	for _, size := range []int{1, 2, 3, 8, 30, 124} {
		var all []crliveness.Instance
		for i := range size {
			all = append(all, crliveness.Instance{
				Name: fmt.Sprint("instance-", i), FailureDomain: fmt.Sprint("domain-", i%3), Millicores: uint32(100 * (1 + i%4)),
				Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 81),
			})
		}
		keepers := map[string]string{}
		for _, self := range all {
			r := &crliveness.Roster{Self: self}
			for i, o := range all {
				if o != self {
					r.Report(now, o, crliveness.Status{Run: uint64(i + 1), Sequence: 1, Ready: true})
				}
			}
			list := r.Holders(now, 7, 3)
			if want := min(3, size-1); len(list) != want {
				t.Fatalf("%d instances: %d holders, want %d", size, len(list), want)
			}
			seen := map[string]bool{self.Name: true}
			for _, i := range list {
				if seen[i.Name] {
					t.Errorf("%d instances: %s is this instance or holds the key twice", size, i.Name)
				}
				seen[i.Name] = true
			}
			if size > 3 && list[0].FailureDomain == list[1].FailureDomain {
				t.Errorf("%d instances: the first two holders are of %s", size, list[0].FailureDomain)
			}
			keeper, group := r.Keeper(now)
			if keepers[group] == "" {
				keepers[group] = keeper.Name
			}
			if keepers[group] != keeper.Name {
				t.Errorf("%d instances: %s and %s are taken for the keeper of %s", size, keepers[group], keeper.Name, group)
			}
		}
		if want := map[bool]int{true: 3, false: 1}[size > 16]; len(keepers) != want {
			t.Errorf("%d instances: keepers %v, want %d", size, keepers, want)
		}
	}
}

// TestUnfitInstancesAreNoKeepers guards against streams that are refused after a loss of all instances
// since an instance should have written their versions that doesn't do so.
func TestUnfitInstancesAreNoKeepers(t *testing.T) {
	now := time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	for name, status := range map[string]crliveness.Status{
		"it doesn't reach the store":   {StoreLost: true},
		"it is leaving":                {Leaving: true},
		"it is of an earlier release":  {IgnoresRecord: true},
		"it is fit, and the most able": {},
	} {
		r := &crliveness.Roster{Self: crliveness.Instance{Name: "own", Millicores: 100}}
		other := crliveness.Instance{Name: "other", Millicores: 4000, Peer: netip.MustParseAddrPort("10.0.0.1:81")}
		fit := status == crliveness.Status{}
		status.Run, status.Sequence, status.Ready = 1, 1, true
		r.Report(now, other, status)
		if keeper, _ := r.Keeper(now); (keeper.Name == "other") != fit {
			t.Errorf("%s: the keeper is %s", name, keeper.Name)
		}
	}
}
