package crobjectstore

import (
	"context"
	"sort"
	"strings"

	"crocusrack/schema/crplatform"

	"connectrpc.com/connect"
)

// Watch sends the changes after a version until the client leaves or the store
// is down. It fails with out_of_range when they are no longer kept.
func (h objectHandler) Watch(ctx context.Context, r *connect.Request[crplatform.WatchRequest], stream *connect.ServerStream[crplatform.WatchResponse]) error {
	s := h.server
	if err := s.admitRead(ctx); err != nil {
		return err
	}
	s.countWatch(1)
	defer s.countWatch(^uint64(0))
	after := r.Msg.GetAfterVersion()
	for {
		changes, changed, err := s.changesAfter(after)
		if err != nil {
			return err
		}
		for _, c := range changes {
			after = c.object.GetVersion()
			if !strings.HasPrefix(c.object.GetName(), r.Msg.GetPrefix()) {
				continue
			}
			if err := stream.Send(&crplatform.WatchResponse{Object: c.object, Deleted: c.deleted}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := s.reach(ctx); err != nil {
			return err
		}
	}
}

// changesAfter returns the changes after a version and a channel that is closed
// when there may be more.
func (s *Server) changesAfter(version uint64) ([]change, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.trimmed || version > s.version {
		return nil, nil, errGap
	}
	first := sort.Search(len(s.history), func(i int) bool {
		return s.history[i].object.GetVersion() > version
	})
	return s.history[first:len(s.history):len(s.history)], s.changed, nil
}

// countWatch adds delta to the number of waiting watches, modulo 2^64.
func (s *Server) countWatch(delta uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.WaitingWatches += delta
}
