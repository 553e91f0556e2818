package crforward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	pb "crocusrack/schema/crrouter"
)

// TestKeys checks that a key is accepted or rejected only while the routing is fresh,
// including on an instance that was suspended.
func TestKeys(t *testing.T) {
	runFixture(t, func(r *fixture) {
		for _, c := range []struct {
			name   string
			change func()
			key    string
			want   int
		}{
			{"known", func() {}, "k", 200},
			{"unknown", func() {}, "x", 401},
			{"known, suspended for 10 s", func() { r.elapsed = 10 * time.Second }, "k", 503},
			{"unknown, suspended for 10 s", func() {}, "x", 503},
			{"fresh again", func() { r.state.Evidence.Read(r.state.Elapsed()) }, "k", 200},
			{"revoked", func() {
				r.state.SetRouting(&pb.Routing{
					Version: 2, Routes: testRouting().Routes, Accounts: []*pb.Account{{Name: "other", Keys: []string{"y"}}},
				})
			}, "k", 401},
		} {
			c.change()
			if got, _ := r.send(r.t.Context(), "/read/", "", "Key", c.key); got.Status != c.want {
				t.Errorf("%s: status %d, want %d", c.name, got.Status, c.want)
			}
		}
	}, good)
}

// TestRequestsNeedKeyWhenNoAccountHasOne guards against requests that run without a key after
// the last key was taken away.
func TestRequestsNeedKeyWhenNoAccountHasOne(t *testing.T) {
	runFixture(t, func(r *fixture) {
		version := uint64(1)
		for _, c := range []struct {
			name    string
			routing *pb.Routing
			want    map[string]int
		}{
			{"a key", &pb.Routing{Accounts: testRouting().Accounts}, map[string]int{"k": 200, "x": 401, "": 401}},
			{"no key", &pb.Routing{Accounts: []*pb.Account{{Name: "buyer"}}}, map[string]int{"k": 401, "x": 401, "": 401}},
			{"no account", &pb.Routing{RequiresKeys: true}, map[string]int{"k": 401, "x": 401, "": 401}},
			{"keys aren't needed", &pb.Routing{}, map[string]int{"k": 401, "x": 401, "": 200}},
			{"the key again", &pb.Routing{Accounts: testRouting().Accounts}, map[string]int{"k": 200, "x": 401, "": 401}},
		} {
			version++
			c.routing.Version, c.routing.Routes = version, testRouting().Routes
			r.state.SetRouting(c.routing)
			got := map[string]int{}
			for key := range c.want {
				a, _ := r.send(r.t.Context(), "/read/", "", "Key", key)
				got[key] = a.Status
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("%s: status by key (-want +got):\n%s", c.name, diff)
			}
		}
	}, good)
}

// TestSuspendedInDial suspends the instance while it opens a connection to an endpoint.
// If the key may have been revoked meanwhile, or the grant is too old, the request must
// not be sent.
func TestSuspendedInDial(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		want      int
		arrivals  int
	}{
		{0, 200, 1},
		{2 * time.Second, 200, 1},
		{5 * time.Second, 503, 0},
		{60 * time.Second, 503, 0},
	} {
		runFixture(t, func(r *fixture) {
			r.dialing = func() error {
				r.elapsed += c.suspended
				r.dialing = nil
				return nil
			}
			got, _ := r.send(r.t.Context(), "/book/", "")
			if got.Status != c.want || r.arrived() != c.arrivals {
				t.Errorf("after %s: status %d and arrivals %q, want %d and %d", c.suspended, got.Status, r.arrivals, c.want, c.arrivals)
			}
		}, good)
	}
}

// TestKeyIsCheckedAgainBeforeSend guards against a waiting request that is sent although the
// newest routing doesn't allow it, or for a client account that no longer holds its key.
func TestKeyIsCheckedAgainBeforeSend(t *testing.T) {
	anonymous := func(version uint64, yes bool, accounts ...*pb.Account) *pb.Routing {
		m := testRouting()
		m.Version, m.Accounts, m.RequiresKeys = version, accounts, len(accounts) > 0
		for _, r := range m.Routes {
			r.Anonymous = yes
		}
		return m
	}
	account := func(name string, keys ...string) *pb.Account { return &pb.Account{Name: name, Keys: keys} }
	for _, c := range []struct {
		name string
		// before is in force when the request arrives, and then while it waits.
		before *pb.Routing
		then   []*pb.Routing
		key    string
		want   int
	}{
		{"nothing changes", anonymous(2, false, account("buyer", "k")), nil, "k", 200},
		{"the last key is taken away", anonymous(2, false, account("buyer", "k")), []*pb.Routing{anonymous(3, false, account("buyer"))}, "k", 503},
		{"it comes back", anonymous(2, false, account("buyer", "k")),
			[]*pb.Routing{anonymous(3, false, account("buyer")), anonymous(4, false, account("buyer", "k"))}, "k", 200},
		{"another account gets it", anonymous(2, false, account("buyer", "k")), []*pb.Routing{anonymous(3, false, account("desk", "k"))}, "k", 503},
		{"the first accounts come", anonymous(2, false), []*pb.Routing{anonymous(3, false, account("buyer", "k"))}, "", 503},
		{"the first accounts come without keys", anonymous(2, false), []*pb.Routing{anonymous(3, false, account("buyer"))}, "", 503},
		{"the route needs a key now", anonymous(2, true, account("buyer", "k")), []*pb.Routing{anonymous(3, false, account("buyer", "k"))}, "", 503},
		{"the route stays anonymous", anonymous(2, true, account("buyer", "k")), []*pb.Routing{anonymous(3, true, account("buyer"))}, "", 200},
	} {
		runFixture(t, func(r *fixture) {
			r.state.SetRouting(c.before)
			r.dialing = func() error {
				for _, m := range c.then {
					r.state.SetRouting(m)
				}
				r.dialing = nil
				return nil
			}
			got, _ := r.send(r.t.Context(), "/book/", "", "Key", c.key)
			if arrived := r.arrived() > 0; got.Status != c.want || arrived != (c.want == 200) {
				t.Errorf("%s: status %d, arrived %t, want status %d", c.name, got.Status, arrived, c.want)
			}
		}, good)
	}
}

// TestKeyRevokedAfterRun revokes the key while the first endpoint works on the request and
// loses its answer. The request must not be repeated, and the caller must not be told
// that it hasn't run.
func TestKeyRevokedAfterRun(t *testing.T) {
	var rigged *fixture
	lose := func(http.ResponseWriter, *http.Request) {
		rigged.state.SetRouting(&pb.Routing{
			Version: 2, Routes: testRouting().Routes, Accounts: []*pb.Account{{Name: "other", Keys: []string{"y"}}},
		})
		panic(http.ErrAbortHandler)
	}
	runFixture(t, func(r *fixture) {
		rigged = r
		got, _ := r.send(r.t.Context(), "/read/", "")
		if diff := cmp.Diff(answer{502, "answer-lost\n", false}, got); diff != "" || r.arrived() != 1 {
			t.Errorf("arrivals %q (-want +got):\n%s", r.arrivals, diff)
		}
	}, lose, lose)
}

// TestKeyIsNotPassedOn checks that an endpoint gets the account name and not the key, and
// that a caller can't set the account name.
func TestKeyIsNotPassedOn(t *testing.T) {
	runFixture(t, func(r *fixture) {
		r.send(r.t.Context(), "/read/", "", "Account", "forged")
	}, func(w http.ResponseWriter, q *http.Request) {
		if got := q.Header.Get("Account"); got != "buyer" {
			t.Errorf("account %q, want buyer", got)
		}
		if got := q.Header.Get("Key"); got != "" {
			t.Errorf("the endpoint got the key %q", got)
		}
		good(w, q)
	})
}
