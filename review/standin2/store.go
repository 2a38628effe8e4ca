package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectMeta is the metadata of an object.
type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one entry of a kind's history.
type change struct {
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
	revision uint64
}

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  map[string][]change
	changed  chan struct{}
	// era counts the returns from an older copy, known is the revision of the newest one: watches
	// from an earlier revision get 410.
	era   int
	known uint64
	// down is set while the store answers 503 and cuts waiting watches off.
	down bool
	// calls counts the calls.
	calls int
	addr  string
}

// newStore returns an empty store that serves at a listener.
func newStore(l net.Listener) *store {
	s := &store{era: 3, revision: 100, objects: map[string]map[string]object{}, history: map[string][]change{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// wake wakes all waiting watches. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown takes the store away, or brings it back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// storeCopy is an older copy of the store.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
}

// copy returns a copy of the store.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{s.revision, map[string]map[string]object{}}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.known, s.objects, s.history = c.revision, c.revision, c.objects, map[string][]change{}
	s.era++
	s.down = false
	s.wake()
}

// put writes an object as the operator or a worker. It reports false while the store is down.
func (s *store) put(kind, name string, spec any) bool {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	o := s.objects[kind][name]
	o.Spec = data
	s.write(kind, name, o)
	return true
}

// write stores an object under the next revision. The caller holds the lock.
func (s *store) write(kind, name string, o object) object {
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old
	}
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.history[kind] = append(s.history[kind], change{Object: o, revision: s.revision})
	s.wake()
	return o
}

// remove removes an object as the operator or a worker. It reports false while the store is down.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		o.Metadata.Revision = s.revision
		delete(s.objects[kind], name)
		s.history[kind] = append(s.history[kind], change{Deleted: true, Object: o, revision: s.revision})
		s.wake()
	}
	return true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind][name]
		if !ok {
			http.Error(w, "none", http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name, len(parts) > 2)
	}
}

// change serves a write of the system. The caller holds the lock.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	old, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok, o.Metadata.Revision != 0 && ok && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !ok:
		http.Error(w, "none", http.StatusNotFound)
		return
	case status:
		old.Status = o.Status
	default:
		old.Spec = o.Spec
	}
	reply(w, http.StatusOK, s.write(kind, name, old))
}

// watch serves a watch, which waits without the lock.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	if from < s.known || from > s.revision {
		http.Error(w, "history is gone", http.StatusGone)
		return
	}
	era := s.era
	for {
		events := []change{}
		for _, c := range s.history[kind] {
			if c.revision > from {
				events = append(events, c)
			}
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
			return
		}
		changed, timedOut := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			timedOut = true
		}
		s.mu.Lock()
		if s.down || s.era != era {
			panic(http.ErrAbortHandler)
		}
		if timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": s.revision})
			return
		}
	}
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
