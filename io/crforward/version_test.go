package crforward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

// setVersions sets the versions of the endpoints e1, e2 and so on.
func (r *fixture) setVersions(versions ...string) {
	var list []*crplace.Endpoint
	for i, v := range versions {
		e, err := crgrant.NewEndpoint(time.Now(), &pb.Endpoint{
			Id: fmt.Sprint("e", i+1), Service: "app", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 80).String(),
			FailureDomain: "noord-b", Slots: 8, Version: v,
		})
		if err != nil {
			r.t.Fatal(err)
		}
		list = append(list, e)
	}
	r.state.SetEndpoints(time.Now(), r.state.Versions().Endpoints+1, list)
}

// breakFirst returns a handler that breaks off the first stream after three events, and completes the
// others.
func breakFirst() http.HandlerFunc {
	first := true
	broken, complete := events(3, false), events(6, true)
	return func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			broken(w, q)
			return
		}
		complete(w, q)
	}
}

// versionRepeats is the number of runs of a test in which an endpoint is chosen at random.
const versionRepeats = 12

// TestResumedStreamStaysAtItsVersion guards against streams that go on at an endpoint of another
// version within one answer.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	versions := map[string]string{"e1": "v1", "e2": "v1", "e3": "v2", "e4": "v2"}
	for range versionRepeats {
		h := breakFirst()
		runFixture(t, func(r *fixture) {
			r.setVersions("v1", "v1", "v2", "v2")
			got, _ := r.send(r.t.Context(), "/draft/", "")
			if got.Cut || got.Body != eventText(1, 6) || len(r.arrivals) != 2 {
				t.Fatalf("got %v by %q, want six events", got, r.arrivals)
			}
			if a, b := versions[r.arrivals[0][:2]], versions[r.arrivals[1][:2]]; a != b {
				t.Errorf("the stream began at version %s and went on at %s", a, b)
			}
		}, h, h, h, h)
	}
}

// TestStreamWithoutEndpointOfItsVersionIsCut guards against streams that go on at another version
// because theirs has no endpoint left.
func TestStreamWithoutEndpointOfItsVersionIsCut(t *testing.T) {
	h := breakFirst()
	runFixture(t, func(r *fixture) {
		r.setVersions("v1", "v2")
		got, _ := r.send(r.t.Context(), "/draft/", "")
		if !got.Cut || got.Body != eventText(1, 3) {
			t.Errorf("got %v by %q, want three events and a cut", got, r.arrivals)
		}
	}, h, h)
}

// TestTakenUpStreamStaysAtItsVersion guards against streams that callers take up again at another
// version.
func TestTakenUpStreamStaysAtItsVersion(t *testing.T) {
	versions := map[string]string{"e1": "v1", "e2": "v1", "e3": "v2", "e4": "v2"}
	for range versionRepeats {
		h := breakFirst()
		runFixture(t, func(r *fixture) {
			r.setVersions("v1", "v1", "v2", "v2")
			if got, _ := r.send(r.t.Context(), "/single/", ""); !got.Cut {
				t.Fatalf("got %v, want a cut", got)
			}
			got, _ := r.send(r.t.Context(), "/single/", "", "Id", "q2", "Last", "3", "Resumes", "q")
			if got.Cut || got.Body != eventText(4, 6) || len(r.arrivals) != 2 {
				t.Fatalf("got %v by %q, want the last three events", got, r.arrivals)
			}
			if a, b := versions[r.arrivals[0][:2]], versions[r.arrivals[1][:2]]; a != b {
				t.Errorf("the stream began at version %s and went on at %s", a, b)
			}
		}, h, h, h, h)
	}
}

// TestTakenUpStreamOfUnknownVersionIsRefused guards against streams that go on at any version since
// nobody knows theirs.
func TestTakenUpStreamOfUnknownVersionIsRefused(t *testing.T) {
	runFixture(t, func(r *fixture) {
		r.setVersions("v1", "v2")
		got, h := r.send(r.t.Context(), "/draft/", "", "Id", "q2", "Last", "3", "Resumes", "q")
		if got.Status != http.StatusServiceUnavailable || !strings.Contains(got.Body, "version") || h.Get("Retry-After") == "" || r.arrived() != 0 {
			t.Errorf("got %v by %q, want a refusal that names the version", got, r.arrivals)
		}
		r.setVersions("v1", "v1")
		if got, _ := r.send(r.t.Context(), "/draft/", "", "Id", "q3", "Last", "3", "Resumes", "q"); got.Status != http.StatusServiceUnavailable {
			t.Errorf("got %v right after another version has left, want a refusal", got)
		}
		time.Sleep(2 * time.Minute)
		r.state.Evidence.Read(r.state.Elapsed())
		r.state.EndpointsEvidence.Read(r.state.Elapsed())
		if got, _ := r.send(r.t.Context(), "/draft/", "", "Id", "q4", "Last", "3", "Resumes", "q"); got.Body != eventText(4, 6) {
			t.Errorf("got %v with one version, want the last three events", got)
		}
	}, events(6, true), events(6, true))
}

// TestTakenUpStreamIsRefusedWhileVersionsAreOutdated guards against streams that go on at the only
// version that an instance knows, which was out of step while endpoints of another one joined.
func TestTakenUpStreamIsRefusedWhileVersionsAreOutdated(t *testing.T) {
	takeUp := []string{"Id", "q2", "Last", "3", "Resumes", "q"}
	for _, c := range []struct {
		name string
		age  time.Duration
		read func(r *fixture) error
		want string
	}{
		{"recent list", 2 * time.Second, nil, eventText(4, 6)},
		{"old list", 3 * time.Second, nil, "stream-version-unknown\n"},
		{"old list, the store fails", 3 * time.Second, func(*fixture) error { return errors.New("the store is down") }, "stream-version-unknown\n"},
		{"old list, and no other version", 3 * time.Second, func(r *fixture) error {
			r.state.SeeVersions(time.Now(), r.state.Elapsed(), []*pb.Endpoint{{Service: "app", Version: "v1"}}, nil)
			return nil
		}, eventText(4, 6)},
		{"old list, and another version at which no stream begins yet", 3 * time.Second, func(r *fixture) error {
			r.state.SeeVersions(time.Now(), r.state.Elapsed(), []*pb.Endpoint{{Service: "app", Version: "v2"}}, &pb.VersionHistory{
				Services: []*pb.ServiceVersions{{Service: "app", Versions: []uint32{uint32(crversion.Of("v1"))}}},
			})
			return nil
		}, eventText(4, 6)},
		{"old list, and another version", 3 * time.Second, func(r *fixture) error {
			r.state.SeeVersions(time.Now(), r.state.Elapsed(), []*pb.Endpoint{{Service: "app", Version: "v2"}}, nil)
			return nil
		}, "stream-version-unknown\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, func(r *fixture) {
				time.Sleep(2 * time.Minute)
				r.setVersions("v1", "v1")
				time.Sleep(2 * time.Minute)
				r.state.Evidence.Read(r.state.Elapsed())
				r.state.EndpointsEvidence.Read(r.state.Elapsed() - c.age)
				if c.read != nil {
					r.forwarder.ReadVersions = func(context.Context) error { return c.read(r) }
				}
				got, h := r.send(r.t.Context(), "/draft/", "", takeUp...)
				if got.Body != c.want {
					t.Errorf("got %v by %q, want %q", got, r.arrivals, c.want)
				}
				// Another instance is likely to know the version.
				if after := h.Get("Retry-After"); got.Status == http.StatusServiceUnavailable && after != "0.050" {
					t.Errorf("the caller is told to come back after %q s, want 0.050", after)
				}
			}, events(6, true), events(6, true))
		})
	}
}

// TestTakenUpStreamStaysAtTheOnlyVersion guards against streams whose service had one version when they
// were taken up, and that go on at another one that is listed before an endpoint answers.
func TestTakenUpStreamStaysAtTheOnlyVersion(t *testing.T) {
	runFixture(t, func(r *fixture) {
		time.Sleep(2 * time.Minute)
		r.setVersions("v1")
		time.Sleep(2 * time.Minute)
		r.state.Evidence.Read(r.state.Elapsed())
		r.state.EndpointsEvidence.Read(r.state.Elapsed())
		r.dialing = func() error {
			r.setVersions("v2", "v2")
			r.dialing = nil
			return errors.New("no answer")
		}
		if got, _ := r.send(r.t.Context(), "/draft/", "", "Id", "q2", "Last", "3", "Resumes", "q"); got.Status != http.StatusServiceUnavailable || r.arrived() != 0 {
			t.Errorf("got %v by %q, want a refusal", got, r.arrivals)
		}
	}, events(6, true), events(6, true))
}

// TestTakenUpStreamIsKnownAfterwards guards against streams that an instance takes up and doesn't know
// when their callers take them up there once more.
func TestTakenUpStreamIsKnownAfterwards(t *testing.T) {
	h := events(6, true)
	runFixture(t, func(r *fixture) {
		time.Sleep(2 * time.Minute)
		r.setVersions("v1")
		time.Sleep(2 * time.Minute)
		r.state.Evidence.Read(r.state.Elapsed())
		r.state.EndpointsEvidence.Read(r.state.Elapsed())
		for i, id := range []string{"q2", "q3"} {
			if got, _ := r.send(r.t.Context(), "/draft/", "", "Id", id, "Last", "3", "Resumes", "q"); got.Body != eventText(4, 6) {
				t.Errorf("take-up %d: got %v by %q, want the last three events", i+1, got, r.arrivals)
			}
			r.setVersions("v1", "v2")
		}
	}, h, h)
}
