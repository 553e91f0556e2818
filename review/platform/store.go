package crreview

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the most objects in one answer.
const pageItems = 500

// Object is an object of a Store.
type Object struct {
	Metadata struct {
		Name              string
		Revision, Created uint64
	}
	Spec   json.RawMessage
	Status json.RawMessage `json:",omitempty"`
}

type change struct {
	Removed bool
	Object  Object
	kind    string
}

// Store is a sound store of the platform. Unlike that of the project's stand-ins it has pages
// of the usual size and notes which pages it gave out. The zero value is empty.
type Store struct {
	// OnPage is called with the page of a list before it is sent. It may be nil.
	OnPage func(kind, after string, hasMore bool)

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  []change
	changed  chan struct{}
}

// Put writes the spec of an object and returns when that is acknowledged.
func (s *Store) Put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
	return nil
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.note(change{Removed: true, Object: o, kind: kind})
	}
}

func (s *Store) write(kind, name string, spec json.RawMessage) Object {
	if s.objects == nil {
		s.objects = make(map[string]map[string]Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	o.Spec, o.Metadata.Name, o.Metadata.Revision = spec, name, s.revision+1
	if o.Metadata.Created == 0 {
		o.Metadata.Created = o.Metadata.Revision
	}
	s.objects[kind][name] = o
	s.note(change{Object: o, kind: kind})
	return o
}

func (s *Store) note(c change) {
	s.revision++
	c.Object.Metadata.Revision = s.revision
	s.history = append(s.history, c)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	status, answer := s.serve(r, kind, name)
	w.Header().Set("Store-Era", "0")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		// A caller that has left asks again.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *Store) serve(r *http.Request, kind, name string) (int, any) {
	if r.FormValue("Watch") != "" {
		return s.watch(r, kind)
	}
	var o Object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.write(kind, name, o.Spec)
	case name != "" && !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, o.Spec)
	case name != "":
		return http.StatusOK, current
	}
	return http.StatusOK, s.list(kind, r.FormValue("After"))
}

// page is an answer to a list. At is the store's revision.
type page struct {
	Items   []Object
	HasMore bool
	At      uint64
}

func (s *Store) list(kind, after string) page {
	p := page{Items: []Object{}, At: s.revision}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(p.Items) == pageItems {
			p.HasMore = true
			break
		}
		p.Items = append(p.Items, s.objects[kind][name])
	}
	if s.OnPage != nil {
		s.OnPage(kind, after, p.HasMore)
	}
	return p
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	after, err := strconv.ParseUint(r.FormValue("Watch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	ms, err := strconv.Atoi(r.FormValue("WaitMs"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		events, at, changed := s.since(kind, after)
		answer := map[string]any{"events": events, "At": at}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *Store) since(kind string, after uint64) ([]change, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []change{}
	for _, c := range s.history {
		if c.kind == kind && c.Object.Metadata.Revision > after {
			events = append(events, c)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return events, s.revision, s.changed
}
