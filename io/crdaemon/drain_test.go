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
