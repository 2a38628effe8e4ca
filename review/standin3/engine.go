package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventGap is the time between two events of a stream, firstEvent that to the first one.
	eventGap   = 100 * time.Millisecond
	firstEvent = 300 * time.Millisecond
	// streamEvents is the number of events of each answer.
	streamEvents = 60
	// handleTime is how long a copy is kept that nobody uses.
	handleTime = 5 * time.Second
)

// engineStyle is how an engine ends its streams.
type engineStyle bool

const (
	// chunked streams end with a last chunk.
	chunked engineStyle = false
	// unframed streams have neither a length nor chunks, and end with their connection.
	unframed engineStyle = true
)

// engineFleet holds what the engines of a service know together: the copies of memory.
type engineFleet struct {
	bed *bed
	mu  sync.Mutex
	// copies are the times until which copies are kept, by holder and handle.
	copies map[string]time.Time
	// runs are the last events that engines have made, by request.
	runs map[string]int
	// number makes handles.
	number int
}

// engine is a model worker that moves runs and keeps copies of them.
type engine struct {
	fleet   *engineFleet
	id      string
	service string
	zone    string
	style   engineStyle
	addr    string
	born    int64
	// events is the number of events of each answer, streamEvents if it is zero.
	events int
	// cold is how long the engine is cold after its start.
	cold time.Duration
	// fatal is the part of a prompt that crashes the engine, empty for none. It does so after crashAfter
	// events of an answer.
	fatal      string
	crashAfter int
	// arrived is called for each request that reaches the engine, crashed when it has crashed on fatal. Both
	// may be nil.
	arrived func(id, parts string)
	crashed func(*engine)

	mu     sync.Mutex
	state  string
	runs   map[string]chan struct{}
	server *http.Server
}

func newEngineFleet(b *bed) *engineFleet {
	return &engineFleet{bed: b, copies: map[string]time.Time{}, runs: map[string]int{}}
}

// start opens the listener and registers the engine, which writes its entry from then on.
func (e *engine) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.addr, e.born, e.state, e.runs = l.Addr().String(), time.Now().UnixMilli(), "ready", map[string]chan struct{}{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/kv-move", e.move)
	mux.HandleFunc("DELETE /api/kv-handle/{id}", e.free)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.id) })
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	e.server = server
	go server.Serve(l)
	e.fleet.bed.onClose(func() { server.Close() })
	e.fleet.bed.note("engine %s of zone %s starts at %s", e.id, e.zone, e.addr)
	e.beat()
	return nil
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.bed.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 24, "state": e.state, "cold_left_ms": e.cold.Milliseconds(),
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 1, "born": e.born,
	})
}

// drain reports that the engine is leaving. It goes on serving.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	e.fleet.bed.note("engine %s is draining", e.id)
}

// crash ends the engine's process as a kill does: its listener and all of its connections close. The
// platform removes its entry after three heartbeat intervals.
func (e *engine) crash() {
	e.fleet.bed.note("engine %s crashes with %d runs", e.id, e.running())
	e.server.Close()
	time.AfterFunc(3*heartbeat, func() {
		if e.fleet.bed.store.remove("servers", e.id) {
			e.fleet.bed.note("the platform removes the entry of engine %s", e.id)
		}
	})
}

// running returns the number of runs.
func (e *engine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "running": len(e.runs), "queued": 0, "kv_used": 0, "kv_total": 30000, "handles": 0, "state": e.state, "runs": []any{}})
}

// move copies a run's memory to another engine. With last the run stops first, and its stream is closed
// without its end.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID, Target string
		Last       bool
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stopped, ok := e.runs[order.ID]
	if ok && order.Last {
		delete(e.runs, order.ID)
		close(stopped)
	}
	e.mu.Unlock()
	e.fleet.bed.note("engine %s is told to move %s, last %v: runs here %v", e.id, order.ID, order.Last, ok)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(10 * time.Millisecond)
	f := e.fleet
	f.mu.Lock()
	f.number++
	handle := fmt.Sprintf("h%d", f.number)
	until := time.Now().Add(handleTime)
	f.copies[order.Target+"/"+handle], f.copies[e.addr+"/"+handle] = until, until
	made := f.runs[order.ID]
	f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created_rev": made})
}

func (e *engine) free(_ http.ResponseWriter, r *http.Request) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	for name := range e.fleet.copies {
		if strings.HasSuffix(name, "/"+r.PathValue("id")) {
			delete(e.fleet.copies, name)
		}
	}
}

// use takes the copy that a request names. It reports false if this engine cannot go on from it.
func (e *engine) use(from string) bool {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	holder, handle, _ := strings.Cut(from, "/")
	for _, name := range []string{from, e.addr + "/" + handle} {
		if until, ok := f.copies[name]; ok && time.Now().Before(until) && (holder == e.addr || f.copies[e.addr+"/"+handle] != time.Time{}) {
			delete(f.copies, name)
			return true
		}
	}
	return false
}

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	f, h, id := e.fleet, w.Header(), r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.arrived != nil {
		e.arrived(id, r.Header.Get("Prompt-Prefix"))
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from := r.Header.Get("Kv-From"); from != "" && !e.use(from) {
		f.bed.note("engine %s has no copy %s", e.id, from)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	stopped := make(chan struct{})
	e.mu.Lock()
	e.runs[id] = stopped
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[id] == stopped {
			delete(e.runs, id)
		}
	}()
	backup := r.Header.Get("Kv-Backup")
	if last == 0 {
		time.Sleep(firstEvent)
	}
	f.bed.note("engine %s runs %s after event %d, backup %q", e.id, id, last, backup)
	h.Set("Server-Seal", "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	if e.style == unframed {
		// net/http sends no chunks then, and closes the connection after the handler.
		h.Set("Transfer-Encoding", "identity")
	}
	events := e.events
	if events == 0 {
		events = streamEvents
	}
	fatal := e.fatal != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), e.fatal+":")
	for n := last + 1; n <= events; n++ {
		if fatal && n > e.crashAfter {
			f.bed.note("engine %s crashes on %s after event %d", e.id, id, n-1)
			e.crash()
			if e.crashed != nil {
				e.crashed(e)
			}
			return
		}
		select {
		case <-stopped:
			f.bed.note("engine %s closes the stream of %s after event %d, without its end", e.id, id, n-1)
			if e.style == chunked {
				// The connection closes without the last chunk.
				panic(http.ErrAbortHandler)
			}
			return
		case <-r.Context().Done():
			f.bed.note("engine %s: the connection of %s has closed after event %d", e.id, id, n-1)
			return
		case <-time.After(eventGap):
		}
		fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", n, n, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		f.mu.Lock()
		f.runs[id] = n
		if backup != "" {
			f.copies[backup+"/"+id] = time.Now().Add(handleTime)
		}
		f.mu.Unlock()
	}
	f.bed.note("engine %s has made all %d events of %s", e.id, events, id)
}
