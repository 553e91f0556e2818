package crslope

import (
	"errors"
	"time"

	"crocusrack/core/cradmit"
	"crocusrack/core/crhash"
	"crocusrack/core/crshard"
)

var errNotGranted = errors.New("a request was not granted")

// success is what was seen of a returning chat that found its context.
var success = cradmit.Observation{
	Outcome: cradmit.Success, PromptTokens: 1000, CachedTokens: 900, FirstToken: 100 * time.Millisecond,
}

// admit admits one chat at its first choice among the layout's shards and ends
// it.
func admit(a *cradmit.Admitter, l *crshard.Layout, service string, chat uint64, dst []*crshard.Shard) error {
	r := cradmit.Request{Service: service, Account: accountName(0), Chat: chat}
	r.Shard = l.AppendRanked(service, chat, dst)[0].Key
	d := a.Admit(now, &r)
	if d.Verdict != cradmit.Granted {
		return errNotGranted
	}
	a.Done(now, d.Grant.ID, success)
	return nil
}

// admitTime admits at the daemon with the most endpoints.
func admitTime(r *runner, size int) (float64, error) {
	l := layoutOf(size)
	owner, most := "", 0
	for i := range daemonsFor(size) {
		if n, _ := ownedBy(l, daemonName(i)); n > most {
			owner, most = daemonName(i), n
		}
	}
	owned := l.Owned(owner)
	a := &cradmit.Admitter{Mean: loadTable(targetServices).Mean}
	a.SetShards(now, owned)
	granted := 0
	each := r.timeOf(func(i int) {
		chat := crhash.Mix(uint64(i%10_000), 9)
		s := owned[chat%uint64(len(owned))]
		d := a.Admit(now, &cradmit.Request{Service: s.Service, Account: accountName(0), Shard: s.Key, Chat: chat})
		if d.Verdict == cradmit.Granted {
			granted++
			a.Done(now, d.Grant.ID, success)
		}
	})
	if granted == 0 {
		return 0, errNotGranted
	}
	return each, nil
}

// chatMemory holds chats at as many endpoints as the target has for them.
func chatMemory(_ *runner, size int) (float64, error) {
	service := "held"
	list := endpoints(max(size/chatsPerEndpoint, 1))
	for i := range list {
		list[i].Service = service
		list[i].FailureDomain = domainName(0)
	}
	l := crshard.New(list, instances(1))
	shards := l.Owned(daemonName(0))
	a := &cradmit.Admitter{}
	a.SetShards(now, shards)
	var failed error
	used := heapOf(func() *cradmit.Admitter {
		dst := make([]*crshard.Shard, 0, len(shards))
		for i := range size {
			if err := admit(a, l, service, crhash.Mix(uint64(i), 3), dst); err != nil {
				failed = err
			}
		}
		return a
	})
	return used, failed
}
