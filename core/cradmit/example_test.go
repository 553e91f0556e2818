package cradmit_test

import (
	"fmt"
	"time"

	"crocusrack/core/cradmit"
	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
)

// An endpoint with a capacity of one queues the second request until the first one is
// done.
func ExampleAdmitter() {
	layout := crshard.New(
		[]crshard.Endpoint{{Name: "engine-1", Service: "taalpers", FailureDomain: "noord-a", Capacity: 1, ColdCapacity: 1}},
		[]crshard.Instance{{Name: "entry-1", FailureDomain: "noord-a"}},
	)
	now := time.Now()
	var a cradmit.Admitter
	a.SetShards(now, layout.Owned("entry-1"))
	r := &cradmit.Request{Service: "taalpers", Chat: crhash.Of("chat-7"), Account: "tuinland", MaxWait: time.Second}
	r.Shard = layout.AppendRanked("taalpers", r.Chat, nil)[0].Key

	first := a.Admit(now, r)
	fmt.Println(first.Verdict == cradmit.Granted, first.Grant.Endpoint)
	second := a.Admit(now, r)
	fmt.Println(second.Verdict == cradmit.Waiting)
	a.Done(now, first.Grant.ID, cradmit.Observation{Outcome: cradmit.Success})
	for _, d := range a.Decisions() {
		fmt.Println(d.Waiter == second.Waiter, d.Verdict == cradmit.Granted, d.Grant.Holder)
	}
	// Output:
	// true engine-1
	// true
	// true true true
}
