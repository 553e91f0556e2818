package crobjectstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"crocusrack/schema/crplatform"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// AddInstance puts an instance into the list, or replaces the one of its name.
// Readers see it after InstanceLag.
func (s *Server) AddInstance(instance *crplatform.Instance) {
	s.setup()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh[instance.GetName()] = proto.CloneOf(instance)
	s.putInstances()
}

// RemoveInstance takes the instance of that name off the list. Readers see it
// after InstanceLag.
func (s *Server) RemoveInstance(name string) {
	s.setup()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fresh, name)
	s.putInstances()
}

func (s *Server) putInstances() {
	list := make([]*crplatform.Instance, 0, len(s.fresh))
	for _, in := range s.fresh {
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b *crplatform.Instance) int { return cmp.Compare(a.GetName(), b.GetName()) })
	s.listed.Put(time.Now(), list)
}

type instanceHandler struct{ server *Server }

func (h instanceHandler) Instances(ctx context.Context, _ *connect.Request[crplatform.InstancesRequest]) (*connect.Response[crplatform.InstancesResponse], error) {
	s := h.server
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list, at := s.listed.At(time.Now())
	return connect.NewResponse(&crplatform.InstancesResponse{Instances: list, At: timestamppb.New(at)}), nil
}
