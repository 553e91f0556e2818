package crwatch_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/io/crwatch"
	pb "crocusrack/schema/crrouter"
)

var errDown = errors.New("the store is down")

// store is a store of endpoints and one routing.
type store struct {
	mu        sync.Mutex
	down      bool
	revision  crgrant.Position
	endpoints map[string]*pb.Endpoint
	routing   *pb.Routing
	// routingRemoved and routingMissing tell how the routing is gone: with a change, or from
	// the list.
	routingRemoved, routingMissing bool

	outs  []string
	calls int
	kept  []byte
	// versions and streams are the kept versions of services and of streams, and versionCalls the
	// calls for them.
	versions     crwatch.Kept
	streams      map[string]*crwatch.Kept
	versionCalls int
	// versionsDown is true while calls for kept versions to load them fail.
	versionsDown bool
	// recordDown is true while the record of versions can't be written.
	recordDown bool
	// saves counts the checkpoints, and registrations the registered instances.
	saves, registrations int
}

// callCount returns the number of calls so far.
func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) do(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += 2
	f()
}

// feed returns a feed whose watches return the whole state when it has changed.
func feed[T any](s *store, all func() []crwatch.Change[T]) crwatch.Feed[T] {
	list := func(context.Context) ([]crwatch.Change[T], crgrant.Position, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		if s.down {
			return nil, 0, errDown
		}
		return all(), s.revision, nil
	}
	return crwatch.Feed[T]{
		List: list,
		Watch: func(ctx context.Context, after crgrant.Position, wait time.Duration) ([]crwatch.Change[T], crgrant.Position, error) {
			for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				s.mu.Lock()
				changed, down := s.revision > after, s.down
				s.mu.Unlock()
				if changed || down {
					break
				}
			}
			changes, at, err := list(ctx)
			if err == nil && at.Era() != after.Era() {
				return nil, 0, crwatch.ErrGone
			}
			if at <= after {
				changes = nil
			}
			return changes, at, err
		},
	}
}

func (s *store) watcher(state *crgrant.State) *crwatch.Watcher {
	return &crwatch.Watcher{
		State: state,
		Routing: feed(s, func() []crwatch.Change[pb.Routing] {
			if s.routingMissing {
				return nil
			}
			return []crwatch.Change[pb.Routing]{{Name: "main", Removed: s.routingRemoved, Value: s.routing}}
		}),
		Endpoints: feed(s, func() []crwatch.Change[pb.Endpoint] {
			var list []crwatch.Change[pb.Endpoint]
			for _, name := range []string{"llm-1", "llm-2", "llm-3"} {
				e := s.endpoints[name]
				list = append(list, crwatch.Change[pb.Endpoint]{Name: name, Removed: e == nil, Value: e})
			}
			return list
		}),
		Outs: feed(s, func() []crwatch.Change[struct{}] {
			var list []crwatch.Change[struct{}]
			for _, name := range s.outs {
				list = append(list, crwatch.Change[struct{}]{Name: name, Value: &struct{}{}})
			}
			return list
		}),
		Instances: feed(s, func() []crwatch.Change[crliveness.Instance] { return nil }),
		Register:  func(context.Context, crliveness.Instance) error { s.registrations++; return nil },
		Contexts: crwatch.Checkpoint{
			Save: func(_ context.Context, data []byte) error { s.kept, s.saves = data, s.saves+1; return nil },
			Load: func(context.Context) ([]byte, error) { return s.kept, nil },
		},
		Versions: crwatch.Record{
			Save: func(_ context.Context, revision uint64, data []byte) (uint64, error) {
				if s.recordDown {
					return 0, errDown
				}
				return s.saveKept(func() *crwatch.Kept { return &s.versions }, revision, data)
			},
			Read: func(context.Context) (kept crwatch.Kept, err error) {
				err = s.countVersionCall(func() { kept = s.versions })
				if s.versionsDown {
					err = errDown
				}
				return kept, err
			},
		},
		Streams: crwatch.Streams{
			Read: func(_ context.Context, name string) (kept crwatch.Kept, err error) {
				err = s.countVersionCall(func() { kept = *s.keptStreams(name) })
				return kept, err
			},
			Save: s.saveStreams,
			Load: func(context.Context) ([][]byte, error) {
				var list [][]byte
				err := s.countVersionCall(func() {
					for _, o := range s.streams {
						list = append(list, o.Data)
					}
				})
				return list, err
			},
		},
		Log:     zap.NewNop(),
		Changed: func() {},
	}
}

// saveStreams replaces an object of versions of streams that has the revision.
func (s *store) saveStreams(_ context.Context, name string, revision uint64, data []byte) (uint64, error) {
	return s.saveKept(func() *crwatch.Kept { return s.keptStreams(name) }, revision, data)
}

// keptStreams returns an object of versions of streams. The caller holds the mutex.
func (s *store) keptStreams(name string) *crwatch.Kept {
	if s.streams[name] == nil {
		s.streams[name] = &crwatch.Kept{}
	}
	return s.streams[name]
}

// saveKept replaces an object that has the revision.
func (s *store) saveKept(find func() *crwatch.Kept, revision uint64, data []byte) (uint64, error) {
	var conflict *crwatch.Conflict
	err := s.countVersionCall(func() {
		kept := find()
		if kept.Revision != revision {
			conflict = &crwatch.Conflict{Kept: *kept}
			return
		}
		*kept = crwatch.Kept{Revision: revision + 1, Data: data}
	})
	if conflict != nil {
		err = conflict
	}
	return revision + 1, err
}

// countVersionCall makes and counts a call for kept versions, which fails while the store is down.
func (s *store) countVersionCall(call func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionCalls++
	if s.down {
		return errDown
	}
	call()
	return nil
}

// recorded returns the versions of a service in the record.
func (s *store) recorded(t *testing.T, service string) []uint32 {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &pb.VersionHistory{}
	if err := proto.Unmarshal(s.versions.Data, m); err != nil {
		t.Fatal(err)
	}
	for _, o := range m.Services {
		if o.GetService() == service {
			return o.GetVersions()
		}
	}
	return nil
}

func newStore(names ...string) *store {
	s := &store{revision: 1, routing: &pb.Routing{Version: 3}, endpoints: map[string]*pb.Endpoint{}, streams: map[string]*crwatch.Kept{}}
	for _, name := range names {
		s.endpoints[name] = &pb.Endpoint{Id: name, Service: "llm", Address: "10.0.1.1:80", FailureDomain: "noord-a", Slots: 64}
	}
	return s
}

func newState() *crgrant.State {
	begin := time.Now()
	return &crgrant.State{
		Self: crliveness.Instance{
			Name: "instance-1", FailureDomain: "noord-a",
			Front: netip.MustParseAddrPort("10.0.0.1:80"), Peer: netip.MustParseAddrPort("10.0.0.1:81"),
		},
		Retries: crgrant.RetryLimit{Window: 10 * time.Second},
		Elapsed: func() time.Duration { return time.Since(begin) },
	}
}
