package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a worker of a service. It writes its entry in each heartbeat interval.
type worker struct {
	bed     *bed
	id      string
	service string
	zone    string
	slots   int
	// work is how long it works on a request.
	work time.Duration
	// head adds headers to each answer. It may be nil.
	head func(h http.Header, r *http.Request)
	// arrived is called for each request that reaches it. It may be nil.
	arrived func(w *worker, r *http.Request)

	addr    string
	born    int64
	silent  atomic.Bool
	mu      sync.Mutex
	heard   time.Time
	beats   int
	running int
	waiting int
	places  chan struct{}
}

// start opens the listener and registers the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr, w.born = l.Addr().String(), time.Now().UnixMilli()
	w.places = make(chan struct{}, w.slots)
	server := &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go server.Serve(l)
	w.bed.onClose(func() { server.Close() })
	w.bed.note("worker %s of %s starts at %s", w.id, w.service, w.addr)
	w.beat()
	go w.register()
	return nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "sequence": 1, "born": w.born,
	}
}

func (w *worker) beat() {
	w.mu.Lock()
	w.heard = time.Now()
	w.mu.Unlock()
	// The entry changes when more than the sequence changes, so that the sequence is left out of it.
	w.bed.store.put("servers", w.id, w.entry())
}

// register writes the entry in each heartbeat interval. The platform removes it after three intervals
// of silence.
func (w *worker) register() {
	gone := false
	for {
		time.Sleep(heartbeat / 12)
		w.mu.Lock()
		age := time.Since(w.heard)
		w.mu.Unlock()
		switch {
		case !w.silent.Load() && (gone || age >= heartbeat):
			if gone {
				w.bed.note("worker %s: its entry is back", w.id)
			}
			gone = false
			w.beat()
		case age >= 3*heartbeat && !gone:
			gone = true
			w.bed.store.remove("servers", w.id)
			w.bed.note("worker %s: the platform removes its entry after %v of silence", w.id, age.Round(time.Millisecond))
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := rw.Header()
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.id {
		h.Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.arrived != nil {
		w.arrived(w, r)
	}
	w.mu.Lock()
	full := w.running+w.waiting >= 5*w.slots
	w.waiting++
	w.mu.Unlock()
	if w.head != nil {
		w.head(h, r)
	}
	if full {
		w.count(-1, 0)
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.places <- struct{}{}:
	case <-r.Context().Done():
		w.count(-1, 0)
		return
	}
	w.count(-1, 1)
	w.bed.note("worker %s runs %s (%s %s, tenant %q)", w.id, id, r.Method, r.URL.Path, r.Header.Get("Tenant"))
	time.Sleep(w.work)
	<-w.places
	w.count(0, -1)
	w.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots))
	w.mu.Unlock()
	h.Set("Server-Seal", "seal-"+id)
	answer := "done " + id + " " + strconv.Itoa(len(body)) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
}

func (w *worker) count(waiting, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting += waiting
	w.running += running
}
