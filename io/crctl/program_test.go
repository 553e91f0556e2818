package crctl

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crexecution"
	"crocusrack/io/crmetric"
	"crocusrack/io/croperator"
	"crocusrack/io/crtransport"
	caller "crocusrack/schema/crcaller"
	"crocusrack/schema/crcaller/crcallerconnect"
	cat "crocusrack/schema/crcatalogue"
	pb "crocusrack/schema/croperator"
)

const deadAddress = "127.0.0.1:1"

// serve serves the handler until the test ends and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := crtransport.Server(handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// fleet is the state behind an operator listener.
type fleet struct {
	croperator.Versioned
	end *croperator.Commit
	// polls counts the looks at the status; instance b follows at the third.
	polls, followsAt int
	// lags is how often the catalogue before the current one is shown.
	lags int
}

func (f *fleet) serve(t *testing.T) string {
	mux := http.NewServeMux()
	mux.HandleFunc(crmetric.Path, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"members":{"alive":2},"retries":3,"later":null}`)
	})
	mux.Handle((&croperator.Server{
		Current: f.current,
		Latest:  func(context.Context) (croperator.Versioned, error) { return f.Versioned, nil },
		Commit:  f.commit,
		History: func(context.Context, int) ([]*cat.Change, error) {
			return []*cat.Change{{Version: 7, Author: "bo", Note: "mine", Records: []*cat.Record{{Key: "endpoint/e1"}}}, {Version: 6}}, nil
		},
		Status: f.status,
		Dump:   func() any { return struct{}{} },
	}).Handler())
	return serve(t, mux)
}

func (f *fleet) current() (croperator.Versioned, bool) {
	if f.lags--; f.lags >= 0 {
		return croperator.Versioned{Version: f.Version - 1}, true
	}
	return f.Versioned, true
}

func (f *fleet) commit(_ context.Context, p croperator.Proposal) croperator.Commit {
	if f.end != nil {
		return *f.end
	}
	if p.BaseVersion != f.Version {
		return croperator.Commit{Result: croperator.Conflict, Detail: "not current"}
	}
	if !p.DryRun {
		f.Versioned = croperator.Versioned{Version: f.Version + 1, Catalogue: p.Catalogue}
	}
	return croperator.Commit{Version: f.Version, Changed: []string{"endpoint/e2"}}
}

func (f *fleet) status() *pb.StatusResponse {
	f.polls++
	b := f.Version - 1
	if f.followsAt > 0 && f.polls >= f.followsAt {
		b = f.Version
	}
	return &pb.StatusResponse{Version: f.Version, Instances: []*pb.InstanceStatus{
		{Name: "a", State: "alive", CatalogueVersion: f.Version, HeardAgo: durationpb.New(1490 * time.Millisecond)}, {Name: "b", State: "alive", CatalogueVersion: b}, {Name: "c", State: "dead"},
	}}
}

// run returns the exit status and the two outputs of a command line.
func run(args ...string) (status Status, stdout, stderr string) {
	var out, errs bytes.Buffer
	p := &Program{Stdin: strings.NewReader("from stdin"), Stdout: &out, Stderr: &errs, Author: "anna",
		Jitter: func(time.Duration) time.Duration { return 0 }}
	status = p.Run(context.Background(), append([]string{"-plain-text"}, args...))
	return status, out.String(), errs.String()
}

func TestOperatorCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "catalogue.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const e1, e2 = "[[endpoints]]\nname = \"e1\"\n", "[[endpoints]]\nname = \"e2\"\n"
	tests := []struct {
		name, file, args, stdout, stderr string
		end                              *croperator.Commit
		want                             Status
		lags                             int
	}{
		{name: "get", args: "get", stdout: "# catalogue version 7\n\n" + e1},
		{name: "same", file: e1, args: "diff FILE"},
		{name: "diff", file: e2, args: "diff FILE", want: Refused, stdout: "endpoint/e1\n  - name = \"e1\"\nendpoint/e2\n  + name = \"e2\"\n"},
		{name: "apply", file: "# catalogue version 7\n" + e1 + e2, args: "apply FILE", stdout: "version 8\n  endpoint/e2\n"},
		{name: "dry run", file: "# catalogue version 7\n" + e1 + e2, args: "apply -dry-run FILE", stdout: "would change version 7\n  endpoint/e2\n"},
		{name: "no base", file: e1, args: "apply FILE", want: Usage, stderr: "use -base"},
		{name: "faulty file", file: "x = 1", args: "apply -base 7 FILE", want: Usage, stderr: "x: unknown key"},
		{name: "conflict", lags: 1, file: e2, args: "apply -base 6 FILE", want: Refused, stderr: "not current",
			stdout: "made from version 6, current is version 7\nversion 7  1970-01-01T00:00:00Z  bo  mine\n  endpoint/e1\n" +
				"the file would change (- current, + file):\nendpoint/e1\n  - name = \"e1\"\nendpoint/e2\n  + name = \"e2\"\n"},
		{name: "contradiction", file: e2, end: &croperator.Commit{Result: croperator.Invalid, Detail: "d"}, args: "apply -base 7 FILE", want: Refused},
		{name: "store down", file: e2, end: &croperator.Commit{Result: croperator.Unavailable, Detail: "d"}, args: "apply -base 7 FILE", want: Unreachable},
		{name: "lost answer", file: e2, end: &croperator.Commit{Result: croperator.Unknown, Detail: "d"}, args: "apply -base 7 FILE", want: Unknown},
		{name: "out", args: "out -endpoint e1 -json", stdout: "{\n  \"version\": \"8\"\n}\n"},
		{name: "out of nothing", args: "out", want: Usage, stderr: "name a failure domain"},
		{name: "in of a slip", args: "in -endpoint e9", want: Refused, stderr: "e9"},
		{name: "wait", args: "out -wait -endpoint e1", stdout: "version 8\n", stderr: "version 8 is in force at 1 of 2 alive instances, not yet at: b\nversion 8 is in force at all 2 alive instances\n"},
		{name: "wait in vain", args: "out -wait -wait-timeout 1ms -endpoint e1", want: NotEverywhere, stdout: "version 8\n", stderr: "gave up waiting"},
		{name: "history", args: "history", stdout: "version 7  1970-01-01T00:00:00Z  bo  mine\n  endpoint/e1\nversion 6  1970-01-01T00:00:00Z    \n"},
		{name: "status", args: "status", stdout: "version 7\n\nINSTANCE  FAILURE DOMAIN  STATE  VERSION  HEARD     OPERATOR\n" +
			"a                         alive  7        1.5s ago  \nb                         alive  6        -         \nc                         dead   0        -         \n" +
			"\nSERVICE  USABLE  ENDPOINTS  IN FLIGHT  CAPACITY\n"},
		{name: "dump", args: "dump", stdout: "{}\n"},
		{name: "check", file: e1, args: "check FILE", want: Usage, stderr: "endpoints[0].service"},
		{name: "explain", file: `{"msg":"entry: request ended","route":"plan","outcome":"timeout"}` + "\nx\n", args: "explain FILE",
			stdout: "ROUTE  LATE OR UNANSWERED FOR  REQUESTS  OF ALL\nplan   timeout                 1         100.0 %\n\nROUTE  REQUESTS\nplan   1\n", stderr: "1 lines passed over"},
		{name: "explain nothing", args: "explain /nowhere", want: Usage, stderr: "no such file"},
		{name: "metrics", args: "metrics", stdout: "METRIC   LABEL  VALUE  UNIT\nlater           null   \nmembers  alive  2      instances\nretries         3      attempts\n"},
		{name: "metrics as JSON", args: "metrics -json", stdout: "{\n  \"members\": {\n    \"alive\": 2\n  },\n  \"retries\": 3,\n  \"later\": null\n}\n"},
		{name: "no metrics", args: "-operator " + deadAddress + " metrics", want: Unreachable},
		{name: "unreachable", args: "-operator " + deadAddress + " out -endpoint e1", want: Unreachable, stderr: "refused"},
		{name: "bad address", args: "-operator x status", want: Usage, stderr: `-operator: not an IP address and port: "x"`},
		{name: "unknown command", args: "frobnicate", want: Usage, stderr: "Usage:"},
		{name: "missing argument", args: "apply", want: Usage, stderr: "wrong number of arguments: 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			write(tt.file)
			f := &fleet{end: tt.end, followsAt: 3, lags: tt.lags}
			f.Versioned = croperator.Versioned{Version: 7, Catalogue: &cat.Catalogue{Endpoints: []*cat.Endpoint{{Name: "e1"}}}}
			args := append([]string{"-operator", f.serve(t)}, strings.Fields(strings.ReplaceAll(tt.args, "FILE", file))...)
			status, stdout, stderr := run(args...)
			if status != tt.want || !strings.Contains(stderr, tt.stderr) {
				t.Errorf("exit status %d, want %d; standard error:\n%s", status, tt.want, stderr)
			}
			if diff := cmp.Diff(tt.stdout, stdout); diff != "" && tt.want != Usage {
				t.Errorf("standard output differs (-want +got):\n%s", diff)
			}
		})
	}
}

// instance is a caller listener that answers by script.
type instance struct {
	crcallerconnect.UnimplementedCallerServiceHandler
	addresses []string
	// breaks is the number of attempts whose connection breaks.
	breaks   int
	outcome  caller.OutcomeKind
	reason   caller.Reason
	requests []string
}

func (s *instance) Address(context.Context, *connect.Request[caller.AddressRequest]) (*connect.Response[caller.AddressResponse], error) {
	response := &caller.AddressResponse{ExecutionToken: "token-1"}
	for _, a := range s.addresses {
		response.Addresses = append(response.Addresses, &caller.InstanceAddress{Address: a})
	}
	return connect.NewResponse(response), nil
}

func (s *instance) Call(_ context.Context, r *connect.Request[caller.CallRequest]) (*connect.Response[caller.CallResponse], error) {
	s.requests = append(s.requests, r.Msg.GetRequestId()+"/"+string(rune('0'+r.Msg.GetAttempt())))
	if len(s.requests) <= s.breaks {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(&caller.CallResponse{RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(), Body: r.Msg.GetBody(), Outcome: &caller.Outcome{Kind: s.outcome, Reason: s.reason, Detail: "d"}}), nil
}

func (s *instance) Chat(_ context.Context, r *connect.Request[caller.ChatRequest], stream *connect.ServerStream[caller.ChatResponse]) error {
	tokens := []string{"a", "b", "c"}
	s.requests = append(s.requests, strings.Join(r.Msg.GetReceived(), ""))
	broken := len(s.requests) <= s.breaks
	for i := len(r.Msg.GetReceived()); i < len(tokens); i++ {
		m := &caller.ChatResponse{RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(), Offset: uint32(i), Tokens: tokens[i : i+1]}
		if err := stream.Send(m); err != nil {
			return err
		}
		if broken {
			return nil
		}
	}
	if broken {
		return nil
	}
	late := &caller.ChatResponse{RequestId: r.Msg.GetRequestId(), Attempt: 9, Offset: 3, Tokens: []string{"late"}}
	if err := stream.Send(late); err != nil {
		return err
	}
	return stream.Send(&caller.ChatResponse{RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(),
		End: &caller.ChatEnd{Outcome: &caller.Outcome{Kind: s.outcome}, TokenCount: uint32(len(tokens))}})
}

func TestCallerCommands(t *testing.T) {
	const answered, notRun = caller.OutcomeKind_OUTCOME_KIND_ANSWERED, caller.OutcomeKind_OUTCOME_KIND_NOT_RUN
	const invalid = caller.Reason_REASON_INVALID
	tests := []struct {
		name     string
		instance instance
		args     string
		want     Status
		stdout   string
		requests []string
	}{
		{"chat", instance{outcome: answered}, "chat taalpers -", Done, "abc\n", []string{""}},
		{"chat resumes", instance{outcome: answered, breaks: 2}, "chat taalpers x", Done, "abc\n", []string{"", "a", "ab"}},
		{"chat is lost", instance{outcome: answered, breaks: 5}, "chat taalpers x", Unknown, "abc\n", []string{"", "a", "ab", "abc", "abc"}},
		{"call", instance{outcome: answered}, "call -not-repeatable persbalie release -", Done, "from stdin", []string{"token-1/1"}},
		{"call again", instance{outcome: answered, breaks: 1}, "call -not-repeatable persbalie release x", Done, "x", []string{"token-1/1", "token-1/2"}},
		{"not run", instance{outcome: notRun, reason: invalid}, "call -not-repeatable persbalie release x", Refused, "", []string{"token-1/1"}},
		{"not run after a lost attempt", instance{outcome: notRun, reason: invalid, breaks: 1}, "call -not-repeatable persbalie release x", Unknown, "", []string{"token-1/1", "token-1/2"}},
		{"call is lost", instance{outcome: answered, breaks: 5}, "call -not-repeatable persbalie release x", Unknown, "", []string{"token-1/1", "token-1/2", "token-1/3", "token-1/4", "token-1/5"}},
		{"outcome", instance{outcome: answered}, "outcome ended", Done, "kept", nil},
		{"outcome of a running call", instance{}, "outcome running", Unknown, "", nil},
		{"cancel", instance{}, "cancel taalpers running", Done, "", nil},
		{"cancel what is gone", instance{}, "cancel taalpers ended", Refused, "", nil},
		{"all dead", instance{addresses: []string{deadAddress}}, "call persbalie read", Unreachable, "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, handler := crcallerconnect.NewCallerServiceHandler(&tt.instance)
			address := serve(t, handler)
			if tt.instance.addresses == nil {
				tt.instance.addresses = []string{address}
			}
			status, stdout, stderr := run(append([]string{"-caller", address}, strings.Fields(tt.args)...)...)
			if status != tt.want || stdout != tt.stdout || !slices.Equal(tt.instance.requests, tt.requests) {
				t.Errorf("exit status %d, output %q, requests %q, want %d, %q, %q; standard error:\n%s",
					status, stdout, tt.instance.requests, tt.want, tt.stdout, tt.requests, stderr)
			}
		})
	}
}

func (s *instance) Outcome(_ context.Context, r *connect.Request[caller.OutcomeRequest]) (*connect.Response[caller.OutcomeResponse], error) {
	running := r.Msg.GetRequestId() == "running"
	return connect.NewResponse(&caller.OutcomeResponse{Running: running, Outcome: &caller.Outcome{Kind: s.outcome}, Body: []byte("kept")}), nil
}

func (s *instance) Cancel(_ context.Context, r *connect.Request[caller.CancelRequest]) (*connect.Response[caller.CancelResponse], error) {
	return connect.NewResponse(&caller.CancelResponse{Found: r.Msg.GetRequestId() == "running"}), nil
}

func TestUser(t *testing.T) {
	t.Setenv("USER", "mia")
	if got := User(); got != "mia" {
		t.Errorf("User() = %q with USER=mia", got)
	}
	t.Setenv("USER", "")
	want := ""
	if current, err := user.Current(); err == nil {
		want = current.Username
	}
	if got := User(); got != want {
		t.Errorf("User() = %q without USER, want %q", got, want)
	}
}

func TestTable(t *testing.T) {
	if !slices.IsSortedFunc(Table(), func(a, b Command) int { return strings.Compare(a.Name, b.Name) }) {
		t.Error("table is not sorted by name")
	}
	for _, c := range Table() {
		if c.Doc == "" || c.Synopsis == "" || !strings.Contains(c.Example, " "+c.Name) {
			t.Errorf("%s lacks a synopsis, doc or example", c.Name)
		}
		for _, word := range strings.Fields(c.Example) {
			if !crexecution.IsToken(word) {
				continue
			}
			if _, err := crexecution.Parse(word); err != nil {
				t.Errorf("the example of %s: %v", c.Name, err)
			}
		}
	}
}
