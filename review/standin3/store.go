package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Name     string
	Revision uint64
	Created  uint64
	Spec     json.RawMessage
	Status   json.RawMessage
}

func (o object) encode() map[string]any {
	m := map[string]any{
		"metadata": map[string]any{"name": o.Name, "revision": o.Revision, "created_rev": o.Created, "finalizers": []string{}, "deleting": false},
		"spec":     o.Spec,
	}
	if o.Status != nil {
		m["status"] = o.Status
	}
	return m
}

// change is one entry of the history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
	at       time.Time
}

// history is how long the store keeps changes.
const history = 20 * time.Second

// store is the platform's store. It answers each call after answerTime.
type store struct {
	bed  *bed
	addr string

	mu       sync.Mutex
	revision uint64
	era      uint64
	kinds    map[string]map[string]object
	changes  []change
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
}

const answerTime = 4 * time.Millisecond

func newStore(b *bed) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{bed: b, addr: l.Addr().String(), revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	server := &http.Server{Handler: s}
	go server.Serve(l)
	b.onClose(func() { server.Close() })
	return s, nil
}

// put writes an object as the operator or a worker does and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data)
}

func (s *store) write(kind, name string, data []byte) uint64 {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	old, ok := s.kinds[kind][name]
	if ok && string(old.Spec) == string(data) {
		return old.Revision
	}
	s.revision++
	o := object{Name: name, Revision: s.revision, Created: s.revision, Spec: data}
	if ok {
		o.Created = old.Created
	}
	s.kinds[kind][name] = o
	s.record(change{kind: kind, revision: s.revision, object: o, at: time.Now()})
	return s.revision
}

// remove deletes an object and reports whether there was one.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(change{kind: kind, revision: s.revision, object: o, deleted: true, at: time.Now()})
	return true
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > history {
		s.forgotten = s.changes[0].revision
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(path) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, path[0])
	case r.Method == http.MethodGet && len(path) == 1:
		s.list(w, r, path[0])
	case r.Method == http.MethodPost && len(path) == 1, r.Method == http.MethodPut && len(path) == 2:
		s.change(w, r, path)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > page
	names = names[:min(len(names), page)]
	items := []map[string]any{}
	for _, n := range names {
		items = append(items, s.kinds[kind][n].encode())
	}
	answer := map[string]any{"items": items, "has_more": more, "store_revision": s.revision}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		if from < s.forgotten || from > s.revision {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object.encode(), "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change creates or replaces an object of the system's own.
func (s *store) change(w http.ResponseWriter, r *http.Request, path []string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	name := body.Metadata.Name
	if len(path) == 2 {
		name = path[1]
	}
	s.mu.Lock()
	old, ok := s.kinds[path[0]][name]
	if len(path) == 1 && ok || len(path) == 2 && (!ok || body.Metadata.Revision != 0 && body.Metadata.Revision != old.Revision) {
		s.mu.Unlock()
		s.answer(w, http.StatusConflict, old.encode())
		return
	}
	s.write(path[0], name, body.Spec)
	o := s.kinds[path[0]][name]
	s.mu.Unlock()
	s.bed.note("store: system writes %s/%s", path[0], name)
	s.answer(w, http.StatusOK, o.encode())
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if era > 0 {
		w.Header().Set("Store-Era", fmt.Sprint(era))
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
