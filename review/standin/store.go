package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in for the platform's metadata store. It keeps all of its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storeEvent
	changed  chan struct{}
	ip       string
}

// storeDoor is an address of the store for one daemon, so that the store can be silent
// for some daemons and serve the others.
type storeDoor struct {
	*store
	addr   string
	silent atomic.Bool
	// watches holds the start of the newest watch by kind.
	watches sync.Map
}

type objectMeta struct {
	Name       string `json:"name"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev"`
}

type storedObject struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind    string
	at      uint64
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

// storeAnswer is the delay of an answer of a healthy store.
const storeAnswer = 4 * time.Millisecond

func newStore(ip string) *store {
	return &store{revision: 10, objects: map[string]map[string]storedObject{}, changed: make(chan struct{}), ip: ip}
}

// open opens an address of the store.
func (s *store) open() *storeDoor {
	l, err := net.Listen("tcp4", s.ip+":0")
	must(err)
	d := &storeDoor{store: s, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, d) }()
	return d
}

// watchAge returns the time since the newest watch of a kind began, a long time without
// one.
func (d *storeDoor) watchAge(kind string) time.Duration {
	at, ok := d.watches.Load(kind)
	if !ok {
		return time.Hour
	}
	return time.Since(at.(time.Time))
}

// ServeHTTP answers a call unless the store is silent for this daemon. A connection on
// which a response is lost returns nothing further.
func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		d.watches.Store(strings.TrimPrefix(r.URL.Path, "/api/objects/"), time.Now())
	}
	kept := &keptResponse{header: http.Header{}}
	d.store.ServeHTTP(kept, r)
	if d.silent.Load() {
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), kept.header)
	w.WriteHeader(max(kept.status, http.StatusOK))
	_, _ = w.Write(kept.body.Bytes())
}

// keptResponse is a response that is not sent yet.
type keptResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (k *keptResponse) Header() http.Header         { return k.header }
func (k *keptResponse) WriteHeader(status int)      { k.status = status }
func (k *keptResponse) Write(p []byte) (int, error) { return k.body.Write(p) }

// put writes an object on behalf of the operator or a worker.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) write(kind, name string, data json.RawMessage) storedObject {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = objectMeta{Name: name, CreatedRev: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, data
	s.objects[kind][name] = o
	s.notify(storeEvent{kind: kind, at: s.revision, Object: o})
	return o
}

// remove deletes an object, as the platform does with the entry of a worker.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.notify(storeEvent{kind: kind, at: s.revision, Object: o, Deleted: true})
}

func (s *store) notify(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	time.Sleep(storeAnswer)
	if r.Method != http.MethodGet {
		s.change(w, r, path)
		return
	}
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, path[0], watch)
		return
	}
	s.mu.Lock()
	items := make([]storedObject, 0, len(s.objects[path[0]]))
	for _, o := range s.objects[path[0]] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, _ := strconv.ParseUint(from, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.at > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// change handles a write of a daemon.
func (s *store) change(w http.ResponseWriter, r *http.Request, path []string) {
	var o storedObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := o.Metadata.Name
	if len(path) > 1 {
		name = path[1]
	}
	old, exists := s.objects[path[0]][name]
	switch {
	case r.Method == http.MethodPost && exists,
		o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusMethodNotAllowed)
	default:
		answer(w, http.StatusOK, s.write(path[0], name, o.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
