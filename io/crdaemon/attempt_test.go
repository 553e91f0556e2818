package crdaemon_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocusrack/schema/crcaller"
	peerpb "crocusrack/schema/crpeer"
)

// TestLateAttemptDoesNotEndLaterOne sends an earlier attempt of a chat while a later one runs.
func TestLateAttemptDoesNotEndLaterOne(t *testing.T) {
	inDrainTest(t, time.Second, func(t *testing.T, f *fleet, peer peerpb.PeerServiceClient) {
		for f.Node("noord-a-1").Metrics().EndpointBound()["taalpers-1"] == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		chat := func(attempt uint32) *crcaller.ChatEnd {
			stream, err := peer.ServeChat(t.Context(), &peerpb.ServeChatRequest{
				Request: &crcaller.ChatRequest{
					RequestId: "r-1", Attempt: attempt, Service: "taalpers", ClientAccount: "order-desk",
					ChatKey: "c-1", Prompt: "poppies", MaxTokens: 200,
				},
				ShardService: "taalpers", ShardFailureDomain: "noord-a", MayQueue: true,
			})
			if err != nil {
				t.Error(err)
				return nil
			}
			for {
				m, err := stream.Recv()
				if err != nil {
					t.Error(err)
					return nil
				}
				if m.End != nil {
					return m.End
				}
			}
		}
		for _, e := range f.Engines {
			e.TokenTime = 10 * time.Millisecond
		}
		ended := make(chan *crcaller.ChatEnd, 1)
		go func() { ended <- chat(65) }()
		time.Sleep(500 * time.Millisecond)
		kinds := map[string]crcaller.OutcomeKind{"earlier": chat(33).GetOutcome().GetKind()}
		kinds["later"] = (<-ended).GetOutcome().GetKind()
		want := map[string]crcaller.OutcomeKind{
			"earlier": crcaller.OutcomeKind_OUTCOME_KIND_CANCELLED,
			"later":   crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED,
		}
		if diff := cmp.Diff(want, kinds); diff != "" {
			t.Errorf("outcomes of the attempts differ (-want +got):\n%s", diff)
		}
	})
}
