// Command platform takes all keys of the only tenant away and then sends requests with them.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	crstandin "crocusrack/platform/standin"
	crreview "crocusrack/review/platform"
)

const (
	// revokeAt is when the first key is taken away, and revokeGap the time to the next.
	revokeAt  = 4 * time.Second
	revokeGap = 1500 * time.Millisecond
	// length is how long requests are sent.
	length = 20 * time.Second
	// sendGap is the pause between the requests of a client.
	sendGap = 100 * time.Millisecond
)

func main() { crreview.Main(run) }

// sent is a request of a client.
type sent struct {
	id, key string
	at      time.Time
	status  int
}

func run(ctx context.Context, r *crreview.Record) int {
	store, record := &crstandin.Store{}, &crstandin.Record{}
	w := &crreview.World{Record: r, Store: store, Daemons: 3}
	defer w.Close()
	keys := []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"}
	const unknown = "neverheldbyanyconfig"
	write := func(version int, keys []string) error {
		return store.Put(crstandin.KindRouting, crstandin.RoutingName, crstandin.Routing(version, map[string][]string{"hule930": keys}))
	}
	for i, zone := range crreview.Zones {
		s := &crstandin.Server{ID: fmt.Sprintf("i-%d", i), Record: record, Work: 15 * time.Millisecond, Random: rand.New(rand.NewPCG(1, uint64(i)))}
		if _, err := w.Server(store, s, zone); err != nil {
			r.Printf("server: %v", err)
			return crreview.CannotRun
		}
	}
	if err := write(7, keys); err != nil {
		r.Printf("config: %v", err)
		return crreview.CannotRun
	}
	if err := w.Start(ctx); err != nil {
		r.Printf("start: %v", err)
		return crreview.CannotRun
	}
	begin := time.Now()
	var mu sync.Mutex
	var all []sent
	taken := make(map[string]time.Time)
	var tasks sync.WaitGroup
	if crreview.Trouble() {
		tasks.Go(func() {
			for i := range keys {
				time.Sleep(time.Until(begin.Add(revokeAt + time.Duration(i)*revokeGap)))
				if err := write(10+3*i, append([]string{}, keys[i+1:]...)); err != nil {
					r.Printf("config: %v", err)
				}
				mu.Lock()
				taken[keys[i]] = time.Now()
				mu.Unlock()
				r.Printf("the store acknowledged version %d, which takes away the key %s", 10+3*i, keys[i])
			}
		})
	}
	for m, d := range w.Machines {
		for k, key := range append([]string{unknown}, keys...) {
			tasks.Go(func() {
				client := &http.Client{Timeout: 2 * time.Second}
				for n := 0; time.Since(begin) < length; n++ {
					s := sent{id: fmt.Sprintf("r%d%d%06d", m, k, n), key: key, at: time.Now()}
					callCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
					s.status = crstandin.Call(callCtx, client, d.Front, crstandin.Book, s.id, key).Status
					cancel()
					r.Printf("request %s, key %s, sent at %.3f to %s: answer %d", s.id, key, r.Since(s.at), d.Name, s.status)
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
					time.Sleep(sendGap)
				}
			})
		}
	}
	tasks.Wait()
	served, revoked, foreign := 0, 0, 0
	for _, s := range all {
		runs := record.Runs(s.id)
		for _, run := range runs {
			r.Printf("request %s, key %s: run by %s, tenant %q", s.id, s.key, run.Server, run.Account)
		}
		at, gone := taken[s.key]
		switch {
		case len(runs) == 0:
		case s.key == unknown:
			foreign++
		case gone && s.at.Sub(at) > crreview.Revoke:
			revoked++
		default:
			served++
		}
	}
	r.Printf("%d requests sent; %d with a key in force ran", len(all), served)
	r.Printf("CONFIG: %d requests ran that were sent later than %v after their key had been taken away", revoked, crreview.Revoke)
	r.Printf("ROUTE: %d requests ran whose key no configuration ever held", foreign)
	switch {
	case served == 0:
		return crreview.CannotRun
	case revoked+foreign > 0:
		return crreview.Broken
	}
	return crreview.Held
}
