package crcatalogue

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	pb "crocusrack/schema/crcatalogue"
)

// TestLastServiceIsNotTakenAwayByEmptyList guards against a client account that may use all
// services once the last one that it may use was taken away from it.
func TestLastServiceIsNotTakenAwayByEmptyList(t *testing.T) {
	const problem = "client-accounts[0].services: is empty, which allows all services; it listed 2 before. Set all-services, or remove the account"
	for _, c := range []struct {
		name   string
		change func(a *pb.ClientAccount)
		want   []string
	}{
		{"one service", func(a *pb.ClientAccount) { a.Services = a.Services[:1] }, nil},
		{"none", func(a *pb.ClientAccount) { a.Services = nil }, []string{problem}},
		{"all", func(a *pb.ClientAccount) { a.Services, a.AllServices = nil, true }, nil},
		{"all and some", func(a *pb.ClientAccount) { a.AllServices = true },
			[]string{"client-accounts[0].all-services: is true beside a list of 2 services"}},
		{"another account", func(a *pb.ClientAccount) { a.Name, a.Services = "account-99999", nil }, nil},
	} {
		f := newFakeStore(1)
		s := plainStore(f)
		commit := func(base uint64, c *pb.Catalogue) CommitResult {
			return s.Commit(context.Background(), Proposal{Base: base, Wanted: c, Author: "els", At: f.now})
		}
		if r := commit(0, sample(2, 1)); r.Outcome != Accepted {
			t.Fatalf("%s: the first version is %v", c.name, r.Outcome)
		}
		wanted := sample(2, 1)
		c.change(wanted.ClientAccounts[0])
		r := commit(1, wanted)
		var got []string
		for _, p := range r.Problems {
			got = append(got, p.String())
		}
		if diff := cmp.Diff(c.want, got); diff != "" || (r.Outcome == Accepted) != (c.want == nil) {
			t.Errorf("%s: %v (-want +got):\n%s", c.name, r.Outcome, diff)
		}
	}
}
