package crowner

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/cradmit"
	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
	"crocusrack/schema/crcaller"
)

// TestAccountIsCheckedAfterQueue guards against a request that runs although its client account
// was removed while the request waited in the queue. An account that the owner didn't know when
// the wait began is one that its entry has heard of before.
func TestAccountIsCheckedAfterQueue(t *testing.T) {
	for _, c := range []struct {
		name                string
		before, after, runs bool
	}{
		{"stays", true, true, true},
		{"is removed", true, false, false},
		{"is added", false, true, true},
		{"isn't known yet", false, false, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			layout := crshard.New(
				[]crshard.Endpoint{{Name: "engine-1", Service: "taalpers", FailureDomain: "noord-a", Capacity: 1, ColdCapacity: 1}},
				[]crshard.Instance{{Name: "entry-1", FailureDomain: "noord-a"}},
			)
			mayUse := c.before
			o := &Owner{
				Instance: "entry-1", Admitter: &cradmit.Admitter{}, Log: zap.NewNop(),
				MayUse: func(account, service string) bool { return mayUse || account != "tuinland" || service != "taalpers" },
			}
			o.WithAdmitter(func(a *cradmit.Admitter) { a.SetShards(time.Now(), layout.Owned("entry-1")) })
			request := func() *cradmit.Request {
				r := &cradmit.Request{Service: "taalpers", Chat: crhash.Of("chat-7"), Account: "tuinland", MaxWait: time.Second}
				r.Shard = layout.AppendRanked("taalpers", r.Chat, nil)[0].Key
				return r
			}
			first, refused := o.admit(t.Context(), request())
			if refused != nil {
				t.Fatalf("%s: the first request is refused: %v", c.name, refused)
			}
			time.AfterFunc(100*time.Millisecond, func() {
				mayUse = c.after
				o.done("taalpers", first, cradmit.Observation{Outcome: cradmit.Success})
			})
			second, refused := o.admit(t.Context(), request())
			if (refused == nil) != c.runs {
				t.Errorf("%s: the request that waited got %v and %v, want that it runs: %t", c.name, second, refused, c.runs)
			}
			if refused != nil && refused.Reason != crcaller.Reason_REASON_UNKNOWN_CLIENT_ACCOUNT {
				t.Errorf("%s: refused with %v", c.name, refused)
			}
			if refused == nil {
				o.done("taalpers", second, cradmit.Observation{Outcome: cradmit.Success})
			}
			mayUse = true
			if third, refused := o.admit(t.Context(), request()); refused != nil || third.Endpoint != "engine-1" {
				t.Errorf("%s: the place isn't free again: %v, %v", c.name, third, refused)
			}
		})
	}
}
