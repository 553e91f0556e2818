package crwatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crgrant"
	"crocusrack/core/crrollout"
	"crocusrack/io/crwatch"
	pb "crocusrack/schema/crrouter"
)

// orders are the operators' orders in a store that counts how it is asked.
type orders struct {
	mu            sync.Mutex
	lists, peeks  int
	given         bool
	recorded      []crrollout.State
	orderRevision uint64
	revision      crgrant.Position
}

func (o *orders) rollouts() crwatch.Rollouts {
	read := func(count *int) ([]crwatch.Change[pb.Rollout], crgrant.Position, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		*count++
		if !o.given {
			return nil, o.revision, nil
		}
		return []crwatch.Change[pb.Rollout]{{Name: "llm", Value: &pb.Rollout{
			Id: 3, Service: "llm", Target: "v2", Duration: durationpb.New(time.Minute), Revision: o.orderRevision,
		}}}, o.revision, nil
	}
	return crwatch.Rollouts{
		Feed: crwatch.Feed[pb.Rollout]{
			List: func(context.Context) ([]crwatch.Change[pb.Rollout], crgrant.Position, error) { return read(&o.lists) },
			Watch: func(ctx context.Context, after crgrant.Position, wait time.Duration) ([]crwatch.Change[pb.Rollout], crgrant.Position, error) {
				for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
					o.mu.Lock()
					changed := o.revision > after
					o.mu.Unlock()
					if changed {
						return read(&o.lists)
					}
				}
				return nil, after, nil
			},
		},
		Peek: func(context.Context) ([]crwatch.Change[pb.Rollout], crgrant.Position, error) { return read(&o.peeks) },
		Record: func(_ context.Context, r crrollout.Record) (uint64, error) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.recorded = append(o.recorded, r.State)
			o.revision++
			o.orderRevision = o.revision.Revision()
			return o.orderRevision, nil
		},
	}
}

// TestOrdersAreReadWhenVersionsDiffer checks that the store is hardly asked for orders while
// all endpoints run one version, and that an order is followed soon otherwise.
func TestOrdersAreReadWhenVersionsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, o, state := newStore("llm-1", "llm-2"), &orders{revision: 1}, newState()
		state.Rollouts = crrollout.Limits{Share: 0.1, Slack: 50}
		w := s.watcher(state)
		w.Rollouts = o.rollouts()
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { w.Run(ctx) })
		defer func() {
			cancel()
			done.Wait()
		}()
		time.Sleep(59 * time.Second)
		o.mu.Lock()
		if o.lists > 0 || o.peeks > 3 {
			t.Errorf("one version: %d lists and %d peeks in 59 s, want 0 and 3", o.lists, o.peeks)
		}
		o.given, o.revision, o.orderRevision = true, 2, 2
		o.mu.Unlock()
		s.do(func() {
			s.endpoints["llm-3"] = &pb.Endpoint{
				Id: "llm-3", Incarnation: 9, Service: "llm", Address: "10.0.1.3:80", FailureDomain: "noord-a", Slots: 64, Version: "v2",
			}
		})
		time.Sleep(3 * time.Second)
		known := state.Versions().Rollouts
		for range 5 {
			time.Sleep(5 * time.Second)
			o.mu.Lock()
			o.revision++
			o.mu.Unlock()
		}
		if got := state.Versions().Rollouts; got != known {
			t.Errorf("orders that didn't change were put in force again, at revision %d after %d", got, known)
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if diff := cmp.Diff([]crrollout.State{crrollout.Running}, o.recorded); diff != "" {
			t.Errorf("states recorded 3 s after the order (-want +got):\n%s", diff)
		}
	})
}
