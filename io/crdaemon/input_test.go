package crdaemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"crocusrack/io/crpeer"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/croperator"
	peerpb "crocusrack/schema/crpeer"
)

// post sends JSON to the caller listener of noord-a-1 and returns the answer.
func (f *fleet) post(t *testing.T, c *http.Client, method, body string) (code int, answer string) {
	t.Helper()
	url := "http://" + f.CallerAddresses()[0].String() + "/crocusrack.caller.v1.CallerService/" + method
	response, err := c.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func TestBadInputOfCallers(t *testing.T) {
	long := strings.Repeat("x", 600)
	tests := []struct {
		name, method, body string
		code               int
		want               string
	}{
		{"unknown service", "Address", `{"service":"none","client-account":"order-desk"}`, 200, "REASON_UNKNOWN_SERVICE"},
		{"unknown account", "Address", `{"service":"taalpers","client-account":"none"}`, 200, "REASON_UNKNOWN_CLIENT_ACCOUNT"},
		{"no service", "Address", `{}`, 200, "service is missing"},
		{"account too long", "Address", `{"service":"taalpers","client-account":"` + long + `"}`, 200, "client-account has 600 bytes"},
		{"chat key too long", "Address", `{"service":"taalpers","client-account":"order-desk","chat-key":"` + long + `"}`, 200, "chat-key has 600 bytes"},
		{"request id too long", "Call", `{"service":"persbalie","client-account":"order-desk","request-id":"` + long + `"}`, 200, "request-id has 600 bytes"},
		{"no request id", "Call", `{"service":"persbalie","client-account":"order-desk"}`, 200, "request-id is missing"},
		{"token altered", "Call", `{"request-id":"x1-noord-a-1-00","service":"persbalie","client-account":"order-desk","not-repeatable":true}`, 200, "REASON_TOKEN_REQUIRED"},
		{"call to a model", "Call", `{"request-id":"r","service":"taalpers","client-account":"order-desk"}`, 200, "takes chats, not calls"},
		{"malformed", "Call", `{"service":`, 400, "invalid_argument"},
		{"no object", "Call", `[]`, 400, "invalid_argument"},
		{"wrong type", "Call", `{"attempt":"many"}`, 400, "invalid_argument"},
		{"oversized", "Call", `{"service":"` + strings.Repeat("x", 5<<20) + `"}`, 429, "resource_exhausted"},
		{"unknown method", "None", `{}`, 404, ""},
		{"outcome of nothing", "Outcome", `{}`, 200, "REASON_TOKEN_REQUIRED"},
		{"cancel of nothing", "Cancel", `{}`, 200, "{}"},
	}
	inFleet(t, func(t *testing.T, f *fleet) {
		c := f.HTTPClient("caller", "office")
		for _, tt := range tests {
			code, answer := f.post(t, c, tt.method, tt.body)
			if code != tt.code || !strings.Contains(answer, tt.want) {
				t.Errorf("%s: status %d, answer %.300s, want %d and %q", tt.name, code, answer, tt.code, tt.want)
			}
		}
		if code, answer := f.post(t, c, "Address", `{"service":"taalpers","client-account":"order-desk"}`); code != 200 || !strings.Contains(answer, "noord") {
			t.Errorf("after bad input: status %d, answer %s", code, answer)
		}
	})
}

func TestBadInputOfOperators(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		o := f.Operator(f.Node("noord-a-1"))
		current := func() *croperator.GetCatalogueResponse {
			answer, err := o.GetCatalogue(t.Context(), connect.NewRequest(&croperator.GetCatalogueRequest{}))
			if err != nil {
				t.Fatal(err)
			}
			return answer.Msg
		}
		before := current()
		changed := func(change func(c *pb.Catalogue)) *pb.Catalogue {
			c := proto.CloneOf(before.Catalogue)
			change(c)
			return c
		}
		tests := []struct {
			name string
			base uint64
			c    *pb.Catalogue
			code connect.Code
			want string
		}{
			{"endpoint of no service", before.Version, changed(func(c *pb.Catalogue) {
				c.Services[0].Class = "batch"
				c.Endpoints[0].Service = "none"
			}), connect.CodeInvalidArgument, "none"},
			{"two of one name", before.Version, changed(func(c *pb.Catalogue) { c.Endpoints[1].Name = c.Endpoints[0].Name }), connect.CodeInvalidArgument, before.Catalogue.Endpoints[0].Name},
			{"no catalogue", before.Version, nil, connect.CodeInvalidArgument, ""},
			{"stale base", before.Version - 1, changed(func(c *pb.Catalogue) { c.Services[0].Class = "batch" }), connect.CodeAborted, ""},
			{"base of the future", before.Version + 7, changed(func(c *pb.Catalogue) { c.Services[0].Class = "batch" }), connect.CodeAborted, ""},
		}
		for _, tt := range tests {
			_, err := o.Apply(t.Context(), connect.NewRequest(&croperator.ApplyRequest{Catalogue: tt.c, BaseVersion: tt.base, Author: "test"}))
			if connect.CodeOf(err) != tt.code || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("%s: error %v, want %v with %q", tt.name, err, tt.code, tt.want)
			}
		}
		_, err := o.SetOut(t.Context(), connect.NewRequest(&croperator.SetOutRequest{Endpoints: []string{before.Catalogue.Endpoints[0].Name, "none"}, Out: true, Author: "test"}))
		if err == nil {
			t.Error("an endpoint that nobody knows is taken out")
		}
		time.Sleep(10 * time.Second)
		if after := current(); !proto.Equal(before, after) {
			t.Errorf("bad input changed the catalogue from %v to %v", before, after)
		}
	})
}

// peerAddress returns where an instance listens for peers.
func (f *fleet) peerAddress(t *testing.T, name string) netip.AddrPort {
	t.Helper()
	var state struct {
		Members []struct {
			Name        string
			PeerAddress netip.AddrPort `json:"peer-address"`
		}
	}
	if err := json.Unmarshal([]byte(f.dump(t, name)), &state); err != nil {
		t.Fatal(err)
	}
	for _, m := range state.Members {
		if m.Name == name {
			return m.PeerAddress
		}
	}
	t.Fatalf("%s doesn't know itself", name)
	return netip.AddrPort{}
}

// TestBadInputOfPeers sends what no instance sends.
func TestBadInputOfPeers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.Network.AddHost("stranger", "noord-a")
		pool := &crpeer.Pool{Dial: func(crpeer.Traffic) crtransport.DialFunc { return f.Network.Dial("stranger") }}
		defer pool.Close()
		client, err := pool.Client(f.peerAddress(t, "noord-a-1"), crpeer.Control)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.ServeCall(t.Context(), &peerpb.ServeCallRequest{}); status.Code(err) != codes.InvalidArgument {
			t.Errorf("a call without a request: %v", err)
		}
		for name, m := range map[string]*peerpb.Member{
			"no name":     {},
			"bad address": {Name: "noord-z-1", PeerAddress: "here"},
			"nil record":  nil,
		} {
			_, err := client.Gossip(t.Context(), &peerpb.GossipMessage{From: "noord-z-1", Members: []*peerpb.Member{m}})
			if name != "nil record" && status.Code(err) != codes.InvalidArgument {
				t.Errorf("gossip of a member with %s: %v", name, err)
			}
		}
		_, _ = client.Gossip(t.Context(), &peerpb.GossipMessage{})
		_, _ = client.ExchangeLoads(t.Context(), &peerpb.LoadsMessage{Loads: []*peerpb.LoadSum{{Shard: -5}, {Service: "none"}}})
		_, _ = client.TakeOver(t.Context(), &peerpb.TakeOverRequest{Service: "none", Shard: -1})
		_, _ = client.Borrow(t.Context(), &peerpb.BorrowRequest{Uses: []*peerpb.AccountUse{{}, {ClientAccount: "none", Wanted: 1 << 31}}})
		_, _ = client.PullCatalogue(t.Context(), &peerpb.PullCatalogueRequest{AfterVersion: 1 << 63})
		call, err := client.ServeCall(t.Context(), &peerpb.ServeCallRequest{TokenSpent: true, Request: &crcaller.CallRequest{Service: "persbalie"}, ShardIndex: -3})
		if err != nil || call.GetOutcome().GetKind() != crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			t.Errorf("a call at no shard: %v, error %v", call, err)
		}
		time.Sleep(10 * time.Second)
		for _, n := range f.Nodes() {
			if !strings.Contains(f.dump(t, n.Name()), `"alive"`) {
				t.Errorf("%s serves no more", n.Name())
			}
		}
	})
}
