package crdaemon_test

import (
	"net/netip"
	"testing"
	"time"

	"crocusrack/core/crsettings"
	"crocusrack/io/crpeer"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller"
	peerpb "crocusrack/schema/crpeer"
)

// inDrainTest runs a test with a fleet whose calls take workTime, and a peer's client of
// noord-a-1.
func inDrainTest(t *testing.T, workTime time.Duration, test func(t *testing.T, f *fleet, peer peerpb.PeerServiceClient)) {
	t.Helper()
	var address netip.AddrPort
	settings := func(s *crsettings.Settings) {
		if s.Instance == "noord-a-1" {
			address = s.Peer.Advertise
		}
	}
	inFleetWith(t, settings, func(t *testing.T, f *fleet) {
		for _, s := range f.Services {
			s.WorkTime = workTime
		}
		f.Network.AddHost("peer", "noord-b")
		pool := &crpeer.Pool{Dial: func(crpeer.Traffic) crtransport.DialFunc { return f.network.Dial("peer") }}
		defer pool.Close()
		client, err := pool.Client(address, crpeer.Requests)
		if err != nil {
			t.Fatal(err)
		}
		test(t, f, client)
	})
}

// TestDrainWaitsForCallsOfPeers drains a daemon that runs a call for another instance.
func TestDrainWaitsForCallsOfPeers(t *testing.T) {
	inDrainTest(t, 4*time.Second, func(t *testing.T, f *fleet, peer peerpb.PeerServiceClient) {
		for f.Node("noord-a-1").Metrics().EndpointBound()["persbalie-1"] == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(time.Second)
			f.Node("noord-a-1").Drain()
		}()
		answer, err := peer.ServeCall(t.Context(), &peerpb.ServeCallRequest{
			Request: &crcaller.CallRequest{
				RequestId: "r-1", Attempt: 1, Service: "persbalie", ClientAccount: "order-desk", Method: "release",
			},
			ShardService: "persbalie", ShardFailureDomain: "noord-a", MayQueue: true, TokenSpent: true,
		})
		if err != nil || answer.Outcome.Kind != crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED {
			t.Errorf("the call ended %v, error %v", answer.GetOutcome(), err)
		}
		<-done
	})
}

// executions returns how often endpoints ran a call.
func (f *fleet) executions(id string) uint32 {
	var n uint32
	for _, s := range f.Services {
		n += s.Counters().Executions[id]
	}
	return n
}

// TestCallsOfPeersReadDuringAStopAreAnswered holds up a stop by a connection without a request.
func TestCallsOfPeersReadDuringAStopAreAnswered(t *testing.T) {
	inDrainTest(t, 500*time.Millisecond, func(t *testing.T, f *fleet, peer peerpb.PeerServiceClient) {
		call := func(id string) {
			answer, err := peer.ServeCall(t.Context(), &peerpb.ServeCallRequest{Request: &crcaller.CallRequest{
				RequestId: id, Attempt: 1, Service: "persbalie", ClientAccount: "order-desk", Method: "release",
			}})
			if ran := f.executions(id); ran > 0 && (err != nil || answer.Outcome.Kind != crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED) {
				t.Errorf("%s ran and ended %v, error %v", id, answer.GetOutcome(), err)
			}
		}
		call("before")
		if f.executions("before") != 1 {
			t.Fatal("calls of peers don't run")
		}
		callers := f.CallerAddresses()[0].String()
		idle, err := f.network.Dial("peer")(t.Context(), "tcp", callers)
		if err != nil {
			t.Fatal(err)
		}
		defer idle.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Node("noord-a-1").Drain()
		}()
		for {
			probe, err := f.network.Dial("peer")(t.Context(), "tcp", callers)
			if err != nil {
				break
			}
			probe.Close()
			time.Sleep(10 * time.Millisecond)
		}
		go call("at the begin")
		time.Sleep(4900 * time.Millisecond)
		call("at the end")
		<-done
	})
}

// TestStopEndsWithPeersThatCannotBeReached checks that their connections don't hold up a stop.
func TestStopEndsWithPeersThatCannotBeReached(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.network.Part("noord-a-1", "noord-b-1")
		begin := time.Now()
		f.Node("noord-a-1").Drain()
		if took := time.Since(begin); took > 4*time.Second {
			t.Errorf("the drain took %s", took)
		}
	})
}
