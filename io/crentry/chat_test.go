package crentry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"crocusrack/core/cradmit"
	"crocusrack/core/crmember"
	"crocusrack/core/crshard"
	"crocusrack/io/crowner"
	"crocusrack/io/crpeer"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller"
	cataloguepb "crocusrack/schema/crcatalogue"
	peerpb "crocusrack/schema/crpeer"
)

// failingOwner is a peer that accepts a chat and then fails it.
type failingOwner struct {
	peerpb.UnimplementedPeerServiceServer
}

func (failingOwner) ServeChat(*peerpb.ServeChatRequest, peerpb.PeerService_ServeChatServer) error {
	return status.Error(codes.Unavailable, "gone")
}

// TestChatAtAFailingPeer checks that a chat that fails at a peer ends as "not run" only
// if nothing of it was sent.
func TestChatAtAFailingPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerpb.RegisterPeerServiceServer(server, failingOwner{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	tests := []struct {
		name, prompt string
		dial         crtransport.DialFunc
		want         crcaller.OutcomeKind
	}{
		{"no connection", "poppies", refused, notRun},
		{"taken, then failed", "poppies", crtransport.NetDial, unknown},
		// The stream opens, but the message after its headers can't be encoded.
		{"failed while sending", "\xff", crtransport.NetDial, unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeEntry()
			f.members["noord-b-1"] = crmember.Member{Name: "noord-b-1", Peer: netip.MustParseAddrPort(listener.Addr().String())}
			f.Peers.Dial = func(crpeer.Traffic) crtransport.DialFunc { return tt.dial }
			defer f.Peers.Close()
			c := &chat{
				entry:    f.Entry,
				request:  &crcaller.ChatRequest{RequestId: "r-1", Attempt: 1, Service: "taalpers", Prompt: tt.prompt},
				deadline: time.Now().Add(time.Minute),
			}
			end := c.sendToOwner(t.Context(), crshard.Step{Shard: &crshard.Shard{Owner: "noord-b-1"}})
			if end.Outcome.Kind != tt.want {
				t.Errorf("ended %v, want %v", end.Outcome, tt.want)
			}
		})
	}
}

// TestStartedChatNeverEndsNotRun lets the deadline of a chat pass before and after an
// endpoint may have run it. The outcome must be "unknown" in the second case.
func TestStartedChatNeverEndsNotRun(t *testing.T) {
	layout := crshard.New(
		[]crshard.Endpoint{{Name: "taalpers-1", Service: "taalpers", FailureDomain: "noord-a", Capacity: 8, ColdCapacity: 8}},
		[]crshard.Instance{{Name: "noord-a-1", FailureDomain: "noord-a"}})
	for _, tt := range []struct {
		name    string
		started bool
		want    crcaller.OutcomeKind
	}{
		{"never sent", false, notRun},
		{"sent before", true, unknown},
	} {
		f := newFakeEntry()
		f.shards = layout.Owned("noord-a-1")
		f.Owner = &crowner.Owner{Instance: "noord-a-1", Admitter: &cradmit.Admitter{}}
		f.Owner.WithAdmitter(func(a *cradmit.Admitter) { a.SetShards(time.Now(), f.shards) })
		c := &chat{
			entry:      f.Entry,
			request:    &crcaller.ChatRequest{RequestId: "r-1", Attempt: 1, Service: "taalpers", ChatKey: "c-1", Prompt: "poppies"},
			service:    &cataloguepb.Service{Name: "taalpers"},
			deadline:   time.Now().Add(-time.Second),
			mayHaveRun: tt.started,
		}
		if end := c.run(t.Context()); end.Outcome.Kind != tt.want || end.Outcome.Reason != crcaller.Reason_REASON_DEADLINE {
			t.Errorf("%s: ended %v, want %v for the deadline", tt.name, end.Outcome, tt.want)
		}
	}
}
