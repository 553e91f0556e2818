package crobjectstore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"crocusrack/schema/crplatform"
	"crocusrack/stand/crfault"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

var (
	errOutage   = connect.NewError(connect.CodeUnavailable, errors.New("the store is down"))
	errRate     = connect.NewError(connect.CodeResourceExhausted, errors.New("too many calls"))
	errNotFound = connect.NewError(connect.CodeNotFound, errors.New("no such object"))
	errExists   = connect.NewError(connect.CodeAlreadyExists, errors.New("the name is taken"))
	errNoName   = connect.NewError(connect.CodeInvalidArgument, errors.New("the object has no name"))
	errSize     = connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("the value is larger than %d bytes", MaxValueBytes))
	errGap      = connect.NewError(connect.CodeOutOfRange, errors.New("the changes after that version are no longer kept"))
)

// admitRead counts one read and returns an error when it can't be served.
func (s *Server) admitRead(ctx context.Context) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	if !s.reads.Allow() {
		return errRate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	return nil
}

// admitWrite counts one write and returns an error when it can't be served.
func (s *Server) admitWrite(ctx context.Context) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	if !s.writes.Allow() {
		return errRate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	return nil
}

func (s *Server) reach(ctx context.Context) error {
	if err := s.faults.Pause(ctx); err != nil {
		return err
	}
	if s.faults.Faults().GetOutage() {
		return errOutage
	}
	return nil
}

// answerWrite loses the answer of a write that took effect when that fault is
// in force.
func (s *Server) answerWrite() {
	if s.faults.Faults().GetLoseWriteAnswers() {
		crfault.LoseAnswer()
	}
}

// put stores the object under the next version.
func (s *Server) put(o *crplatform.Object) uint64 {
	s.version++
	stored := proto.CloneOf(o)
	stored.Version = s.version
	s.objects[stored.GetName()] = stored
	s.record(change{object: stored})
	return s.version
}

func (s *Server) remove(name string) uint64 {
	s.version++
	delete(s.objects, name)
	s.record(change{object: &crplatform.Object{Name: name, Version: s.version}, deleted: true})
	return s.version
}

func (s *Server) record(c change) {
	s.history = append(s.history, c)
	if over := len(s.history) - s.HistoryChanges; over > 0 {
		s.trimmed = s.history[over-1].object.GetVersion()
		s.history = s.history[over:]
	}
	s.wake()
}

// create, update and delete change the store and return the new version.

func (s *Server) create(o *crplatform.Object) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.GetName()] != nil {
		return 0, errExists
	}
	return s.put(o), nil
}

func (s *Server) update(o *crplatform.Object) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(o.GetName(), o.GetVersion()); err != nil {
		return 0, err
	}
	return s.put(o), nil
}

func (s *Server) delete(name string, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(name, version); err != nil {
		return 0, err
	}
	return s.remove(name), nil
}

func (s *Server) checkVersion(name string, version uint64) error {
	current := s.objects[name]
	if current == nil {
		return errNotFound
	}
	if current.GetVersion() != version {
		return connect.NewError(connect.CodeAborted, fmt.Errorf("the current version is %d, not %d", current.GetVersion(), version))
	}
	return nil
}

func checkObject(o *crplatform.Object) error {
	if o.GetName() == "" {
		return errNoName
	}
	if len(o.GetValue()) > MaxValueBytes {
		return errSize
	}
	return nil
}

type objectHandler struct{ server *Server }

func (h objectHandler) Get(ctx context.Context, r *connect.Request[crplatform.GetRequest]) (*connect.Response[crplatform.GetResponse], error) {
	s := h.server
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[r.Msg.GetName()]
	if o == nil {
		return nil, errNotFound
	}
	return connect.NewResponse(&crplatform.GetResponse{Object: o}), nil
}

func (h objectHandler) Create(ctx context.Context, r *connect.Request[crplatform.CreateRequest]) (*connect.Response[crplatform.CreateResponse], error) {
	if err := checkObject(r.Msg.GetObject()); err != nil {
		return nil, err
	}
	if err := h.server.admitWrite(ctx); err != nil {
		return nil, err
	}
	version, err := h.server.create(r.Msg.GetObject())
	if err != nil {
		return nil, err
	}
	h.server.answerWrite()
	return connect.NewResponse(&crplatform.CreateResponse{Version: version}), nil
}

func (h objectHandler) Update(ctx context.Context, r *connect.Request[crplatform.UpdateRequest]) (*connect.Response[crplatform.UpdateResponse], error) {
	if err := checkObject(r.Msg.GetObject()); err != nil {
		return nil, err
	}
	if err := h.server.admitWrite(ctx); err != nil {
		return nil, err
	}
	version, err := h.server.update(r.Msg.GetObject())
	if err != nil {
		return nil, err
	}
	h.server.answerWrite()
	return connect.NewResponse(&crplatform.UpdateResponse{Version: version}), nil
}

func (h objectHandler) Delete(ctx context.Context, r *connect.Request[crplatform.DeleteRequest]) (*connect.Response[crplatform.DeleteResponse], error) {
	if err := h.server.admitWrite(ctx); err != nil {
		return nil, err
	}
	version, err := h.server.delete(r.Msg.GetName(), r.Msg.GetVersion())
	if err != nil {
		return nil, err
	}
	h.server.answerWrite()
	return connect.NewResponse(&crplatform.DeleteResponse{Version: version}), nil
}

func (h objectHandler) List(ctx context.Context, r *connect.Request[crplatform.ListRequest]) (*connect.Response[crplatform.ListResponse], error) {
	s := h.server
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &crplatform.ListResponse{Version: s.version}
	for name, o := range s.objects {
		if strings.HasPrefix(name, r.Msg.GetPrefix()) {
			response.Objects = append(response.Objects, o)
		}
	}
	slices.SortFunc(response.Objects, func(a, b *crplatform.Object) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return connect.NewResponse(response), nil
}
