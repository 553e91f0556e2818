package crentry

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/testing/protocmp"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crexecution"
	"crocusrack/core/crmember"
	"crocusrack/core/crshard"
	"crocusrack/io/crowner"
	"crocusrack/io/crpeer"
	"crocusrack/schema/crcaller"
	pb "crocusrack/schema/crcatalogue"
)

const (
	answered = crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED
	notRun   = crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN
	unknown  = crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN
)

// fakeEntry is an Entry whose dependencies a test can change.
type fakeEntry struct {
	*Entry
	catalogue *crcatalogue.Set
	allowed   bool
	shards    []*crshard.Shard
	members   map[string]crmember.Member
	walkCalls int
}

func newFakeEntry() *fakeEntry {
	f := &fakeEntry{catalogue: catalogue("pressing-line-1"), allowed: true}
	f.members = map[string]crmember.Member{"noord-a-1": {Name: "noord-a-1", Run: 7, Caller: netip.MustParseAddrPort("127.0.0.1:1")}}
	f.Entry = &Entry{
		Instance:        "noord-a-1",
		Run:             7,
		AddressLifetime: time.Minute,
		Owner:           &crowner.Owner{},
		Peers:           &crpeer.Pool{},
		Log:             zap.NewNop(),
		Catalogue:       func() *crcatalogue.Set { return f.catalogue },
		Shards:          func(string, uint64) []*crshard.Shard { f.walkCalls++; return f.shards },
		Holder:          func(string, uint64) (crshard.Key, bool) { return crshard.Key{}, false },
		Instances:       func(string, uint64) []string { return []string{"noord-a-1"} },
		Member:          func(name string) (crmember.Member, bool) { m, ok := f.members[name]; return m, ok },
		OnAddressAnswer: func(time.Time) {},
		OnRequestEnded:  func(string, *crcaller.Outcome) {},
		Quota: Quota{
			Admit: func(string) (bool, time.Duration) { return f.allowed, 0 },
			Done:  func(string) {},
		},
		Retries: Retries{Instances: func() int { return 8 }},
		Executions: Executions{Registry: &crexecution.Registry{
			Instance: "noord-a-1", Run: 7, TokenLifetime: time.Minute, OutcomeLifetime: time.Hour, MaxTokens: 100, MaxTotalBodyBytes: 100,
		}},
	}
	return f
}

func catalogue(accounts ...string) *crcatalogue.Set {
	c := &pb.Catalogue{Services: []*pb.Service{{Name: "persbalie", Kind: pb.ServiceKind_SERVICE_KIND_PLAIN}}}
	for _, a := range accounts {
		c.ClientAccounts = append(c.ClientAccounts, &pb.ClientAccount{Name: a})
	}
	set, _ := crcatalogue.Empty().Next("test", "", c)
	return set
}

func (f *fakeEntry) token(t *testing.T) string {
	t.Helper()
	answer, err := f.Address(t.Context(), connect.NewRequest(&crcaller.AddressRequest{
		Service: "persbalie", ClientAccount: "pressing-line-1", NotRepeatable: true,
	}))
	if err != nil || answer.Msg.ExecutionToken == "" {
		t.Fatalf("address answer %v, error %v", answer, err)
	}
	return answer.Msg.ExecutionToken
}

func callRequest(token string, attempt uint32) *crcaller.CallRequest {
	return &crcaller.CallRequest{
		RequestId: token, Attempt: attempt, Service: "persbalie", ClientAccount: "pressing-line-1",
		Method: "release-batch", NotRepeatable: true,
	}
}

// inBubble returns a test that runs in a synctest bubble, which has a fake clock.
func inBubble(f func(*testing.T)) func(*testing.T) {
	return func(t *testing.T) { synctest.Test(t, f) }
}

// TestNotRunIsFinal refuses a request with "not run" for different reasons, removes the
// reason, and sends a late copy of the request. The copy must not run, because the
// caller was told that the request has not.
func TestNotRunIsFinal(t *testing.T) {
	tests := []struct {
		name            string
		refuse, resolve func(f *fakeEntry)
	}{
		{"over its quota",
			func(f *fakeEntry) { f.allowed = false },
			func(f *fakeEntry) { f.allowed = true }},
		{"account unknown",
			func(f *fakeEntry) { f.catalogue = catalogue("order-desk") },
			func(f *fakeEntry) { f.catalogue = catalogue("pressing-line-1") }},
		{"not ready",
			func(f *fakeEntry) { f.catalogue = nil },
			func(f *fakeEntry) { f.catalogue = catalogue("pressing-line-1") }},
		{"owner unreachable",
			func(f *fakeEntry) { f.shards = []*crshard.Shard{{Owner: "noord-b-1"}} },
			func(f *fakeEntry) { f.shards = nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, inBubble(func(t *testing.T) {
			f := newFakeEntry()
			token := f.token(t)
			tt.refuse(f)
			first := f.ServeCall(t.Context(), callRequest(token, 1))
			if first.Outcome.Kind != notRun {
				t.Fatalf("the first request ended %v, want not run", first.Outcome)
			}
			tt.resolve(f)
			f.walkCalls = 0
			late := f.ServeCall(t.Context(), callRequest(token, 1))
			if late.Outcome.Kind != notRun || f.walkCalls != 0 {
				t.Errorf("a late copy ended %v and looked for endpoints %d times, want not run and none", late.Outcome, f.walkCalls)
			}
			if kept := f.OutcomeOf(t.Context(), token); kept.Outcome.GetKind() != notRun {
				t.Errorf("the outcome kept is %v, want not run", kept)
			}
		}))
	}
}

// TestOnlyTheIssuerSaysNotRun sends a token to an instance that didn't issue it and so
// can't know whether an earlier copy ran. It must answer "unknown", not "not run".
func TestOnlyTheIssuerSaysNotRun(t *testing.T) {
	other := newFakeEntry()
	other.Instance, other.Executions.Registry.Instance = "noord-c-1", "noord-c-1"
	token := newFakeEntry().token(t)
	other.catalogue = nil
	if got := other.ServeCall(t.Context(), callRequest(token, 2)); got.Outcome.Kind != unknown {
		t.Errorf("an instance without a catalogue says %v of a token of another, want unknown", got.Outcome)
	}
}

// TestTokenIsNeverRepeatable sends a request with an execution token twice without
// marking it as not repeatable. It must still run at most once.
func TestTokenIsNeverRepeatable(t *testing.T) {
	inBubble(func(t *testing.T) {
		f := newFakeEntry()
		r := callRequest(f.token(t), 1)
		r.NotRepeatable = false
		f.ServeCall(t.Context(), r)
		f.walkCalls = 0
		f.ServeCall(t.Context(), r)
		if f.walkCalls != 0 {
			t.Error("a token ran outside its registry")
		}
	})(t)
}

func TestOutcomeOf(t *testing.T) {
	f := newFakeEntry()
	begun := f.token(t)
	f.Executions.begin(callRequest(begun, 1))
	big := f.token(t)
	f.Executions.begin(callRequest(big, 1))
	f.Executions.finish(big, crexecution.Outcome{Kind: answered, Body: make([]byte, 101)})
	tests := []struct {
		name, id string
		want     *crcaller.OutcomeResponse
	}{
		{"no token", "r-1", &crcaller.OutcomeResponse{Outcome: &crcaller.Outcome{Kind: unknown, Reason: crcaller.Reason_REASON_TOKEN_REQUIRED}}},
		{"not started", f.token(t), &crcaller.OutcomeResponse{NotStarted: true, Outcome: &crcaller.Outcome{Kind: unknown}}},
		{"running", begun, &crcaller.OutcomeResponse{Running: true}},
		{"body too large to keep", big, &crcaller.OutcomeResponse{BodyNotKept: true, Outcome: &crcaller.Outcome{Kind: answered}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := f.OutcomeOf(context.Background(), tt.id)
			if diff := cmp.Diff(tt.want, got, protocmp.Transform(), protocmp.IgnoreFields(&crcaller.Outcome{}, "detail")); diff != "" {
				t.Errorf("outcome differs (-want +got):\n%s", diff)
			}
		})
	}
	again := f.ServeCall(t.Context(), callRequest(big, 2))
	if again.Outcome.Kind != answered || !again.BodyNotKept {
		t.Errorf("a retry got %v, want answered with the body not kept", again)
	}
}

// TestRequestsWithOneIDAreAllTracked ends the first or the second of two such requests.
func TestRequestsWithOneIDAreAllTracked(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  int
	}{{"first ends", 0}, {"second ends", 1}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeEntry()
			var contexts [2]context.Context
			var untrack [2]func()
			for i := range contexts {
				contexts[i], untrack[i] = f.track(t.Context(), "r-1")
			}
			both := f.InFlight()
			untrack[tt.end]()
			one := f.InFlight()
			f.CancelAll()
			cause := context.Cause(contexts[1-tt.end])
			untrack[1-tt.end]()
			if both != 2 || one != 1 || cause != errStopped || f.InFlight() != 0 {
				t.Errorf("in flight: %d, %d, then %d, want 2, 1 and 0; the other was cancelled for %v", both, one, f.InFlight(), cause)
			}
		})
	}
}

// TestCancelReachesAllRequestsWithOneID cancels a request that is sent again meanwhile.
func TestCancelReachesAllRequestsWithOneID(t *testing.T) {
	f := newFakeEntry()
	first, endFirst := f.track(t.Context(), "r-1")
	defer endFirst()
	second, endSecond := f.track(t.Context(), "r-1")
	defer endSecond()
	if !f.cancelHere("r-1") || context.Cause(first) != errCancelled || context.Cause(second) != errCancelled {
		t.Errorf("the requests were cancelled for %v and %v, want both for %v", context.Cause(first), context.Cause(second), errCancelled)
	}
}

// TestAccountIsCheckedAfterWaits guards against a request of a client account that was removed
// while the request waited: for its quota, which doesn't bind accounts that aren't there, or to
// be tried again.
func TestAccountIsCheckedAfterWaits(t *testing.T) {
	for _, c := range []struct {
		name string
		wait func(f *fakeEntry, remove func())
		// walks is how often the shards are looked up.
		walks int
	}{
		{"for its quota", func(f *fakeEntry, remove func()) {
			f.Quota.Admit = func(string) (bool, time.Duration) { remove(); return true, 0 }
		}, 0},
		{"to be tried again", func(f *fakeEntry, remove func()) {
			f.shards = []*crshard.Shard{{Owner: "noord-b-1"}}
			f.OnRequestEnded = func(string, *crcaller.Outcome) {}
			time.AfterFunc(time.Millisecond, remove)
		}, 1},
	} {
		t.Run(c.name, inBubble(func(t *testing.T) {
			f := newFakeEntry()
			held := 0
			f.Quota.Done = func(string) { held-- }
			c.wait(f, func() { f.catalogue = catalogue("order-desk") })
			admit := f.Quota.Admit
			f.Quota.Admit = func(account string) (bool, time.Duration) { held++; return admit(account) }
			request := callRequest("r1", 1)
			request.NotRepeatable = false
			end := f.ServeCall(t.Context(), request)
			if end.Outcome.Kind != notRun || end.Outcome.Reason != crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT {
				t.Errorf("the request ended %v, want not run for its account", end.Outcome)
			}
			if f.walkCalls != c.walks || held != 0 {
				t.Errorf("%d look-ups of shards, want %d; %d requests are still counted", f.walkCalls, c.walks, held)
			}
		}))
	}
}
