package main

import (
	"cmp"
	"context"
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

// The figures of the workers.
const (
	firstTime = 60 * time.Millisecond
	workTime  = 30 * time.Millisecond
	queueLen  = 24
)

// workerConfig describes a worker.
type workerConfig struct {
	service string
	zone    string
	slots   int
	engine  bool
	coldFor time.Duration
	// work is the time that a plain request takes, workTime if it is zero.
	work time.Duration
	// deaf workers do not notice that a connection closes and end their runs as usual.
	deaf bool
	// crashAbove is the number of requests in a second from which on a cold worker crashes, zero
	// for never.
	crashAbove int
}

// arrival is a request that a worker got, without those that it answered with 421.
type arrival struct {
	at     time.Time
	sent   time.Time
	id     string
	worker string
	// daemon is the address of the daemon that sent it.
	daemon string
	cold   bool
	from   bool
}

// run is the work of a worker on one request.
type run struct {
	id, worker string
	began      time.Time
	ended      time.Time
	result     string
}

// worker is a stand-in of a worker: a model engine or a server of a plain service.
type worker struct {
	workerConfig
	fleet *fleet
	id    string
	addr  string
	born  time.Time
	srv   *http.Server
	// ended is closed when the process has ended.
	ended chan struct{}
	// slotsFree has a token for each free place.
	slotsFree chan struct{}

	mu        sync.Mutex
	state     string
	coldUntil time.Time
	running   int
	waiting   int
	arrivals  []time.Time
	// copies are the events made so far of runs whose memory lies here, by handle.
	copies map[string]int
	// runs are the events made so far of the running requests.
	runs map[string]int
	next int
	dead bool
	// gone workers write no entry any more, and serve on for a while.
	gone bool
}

// startWorker starts a worker at a free address and registers it.
func (f *fleet) startWorker(c workerConfig) *worker {
	return f.startWorkerAs(c, f.workerHost()+":0", fmt.Sprintf("i-%x", time.Now().UnixNano()&0xffffffffff))
}

// restart ends a worker and starts it again after a time, under its id and at its address. It then
// knows nothing of before.
func (f *fleet) restart(w *worker, after time.Duration, c workerConfig) *worker {
	w.crash()
	time.Sleep(after)
	return f.startWorkerAs(c, w.addr, w.id)
}

func (f *fleet) startWorkerAs(c workerConfig, addr, id string) *worker {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		panic(err)
	}
	w := &worker{workerConfig: c, fleet: f, id: id, addr: l.Addr().String(), born: time.Now(), state: "ready", copies: map[string]int{}, runs: map[string]int{}}
	w.slotsFree, w.ended = make(chan struct{}, c.slots), make(chan struct{})
	for range c.slots {
		w.slotsFree <- struct{}{}
	}
	w.coldUntil = w.born.Add(c.coldFor)
	w.srv = &http.Server{Handler: w, IdleTimeout: 20 * time.Second}
	f.mu.Lock()
	f.workers[w.addr] = w
	f.mu.Unlock()
	go func() { _ = w.srv.Serve(l) }()
	go w.beat()
	f.rec.line("worker %s of %s starts at %s, cold for %v", w.id, c.service, w.addr, c.coldFor)
	return w
}

// beat writes the worker's entry, again until the store takes it, and whenever it changes.
func (w *worker) beat() {
	last := ""
	for {
		w.mu.Lock()
		dead, gone, cold, state := w.dead, w.gone, max(time.Until(w.coldUntil), 0), w.state
		w.mu.Unlock()
		if dead || gone {
			return
		}
		key := state + strconv.FormatBool(cold > 0)
		if key != last && w.fleet.store.put("servers", w.id, map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
			"cold_left_ms": cold.Milliseconds(), "sequence": 1, "born": w.born.UnixMilli(),
		}) {
			last = key
			w.fleet.rec.line("the store has worker %s as %s, cold for %v", w.id, state, cold.Round(time.Millisecond))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// drain makes the worker say that it leaves.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
}

// leaveSilently makes the worker leave without saying so. It serves on for a while.
func (w *worker) leaveSilently() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	w.fleet.store.remove("servers", w.id)
}

// turnCold makes a warm worker cold.
func (w *worker) turnCold(d time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(d)
	w.mu.Unlock()
	w.fleet.rec.line("worker %s turns cold for %v", w.id, d)
}

// crash ends the worker's process.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	close(w.ended)
	w.mu.Unlock()
	w.fleet.rec.line("worker %s crashes", w.id)
	_ = w.srv.Close()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	cold, state, running, waiting := max(time.Until(w.coldUntil), 0), w.state, w.running, w.waiting
	w.mu.Unlock()
	rw.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, w.slots))
	switch {
	case r.URL.Path == "/health":
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		if state != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == "/api/report":
		reply(rw, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1, "queued": waiting,
			"running": running, "kv_used": 0, "kv_total": kvCapacity, "handles": 0, "state": state, "born": w.born.UnixMilli(),
		})
	case r.URL.Path == "/api/kv-move":
		w.move(rw, r)
	case strings.HasPrefix(r.URL.Path, "/api/"):
		rw.WriteHeader(http.StatusOK)
	default:
		w.serve(rw, r, cold > 0)
	}
}

// serve serves a request of a client.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, cold bool) {
	id, now := r.Header.Get("Attempt-Id"), time.Now()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Attempt-Id", id)
	sent := time.Unix(0, 0)
	if n, err := strconv.ParseInt(r.Header.Get("Sent-Nanos"), 10, 64); err == nil {
		sent = time.Unix(0, n)
	}
	w.fleet.arrived(arrival{at: now, sent: sent, id: id, worker: w.id, daemon: r.Header.Get("Daemon"), cold: cold, from: r.Header.Get("Kv-From") != ""})
	w.fleet.rec.line("request %s reaches worker %s from daemon %s, cold %v, Kv-From %q, Last-Event-Id %q, Kv-Backup %q", id, w.id, r.Header.Get("Daemon"), cold, r.Header.Get("Kv-From"), r.Header.Get("Last-Event-Id"), r.Header.Get("Kv-Backup"))
	if w.overrun(now, cold) {
		w.crash()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_ = body
	if w.engine {
		w.generate(rw, r, id)
		return
	}
	if !w.enter(r) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	n := w.fleet.begin(id, w.id)
	if !w.spend(r.Context(), cmp.Or(w.work, workTime)) {
		w.fleet.end(n, "cut")
		panic(http.ErrAbortHandler)
	}
	w.fleet.end(n, "whole")
	answer := []byte("order " + id + "\n")
	rw.Header().Set("Server-Seal", "seal."+w.id+"."+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = rw.Write(answer)
}

// overrun counts a request and reports whether a cold worker crashes under it.
func (w *worker) overrun(now time.Time, cold bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, now)
	n := 0
	for i := len(w.arrivals) - 1; i >= 0 && now.Sub(w.arrivals[i]) < time.Second && !w.arrivals[i].Before(w.coldUntil.Add(-coldFor)); i-- {
		n++
	}
	return cold && w.crashAbove > 0 && n > w.crashAbove
}

// enter waits for a place. It reports false if there is none in time.
func (w *worker) enter(r *http.Request) bool {
	w.mu.Lock()
	if w.waiting >= queueLen {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	ok := false
	select {
	case <-w.slotsFree:
		ok = true
	case <-time.After(left):
	case <-r.Context().Done():
	case <-w.ended:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	if ok {
		w.running++
	}
	return ok
}

func (w *worker) leave() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	w.slotsFree <- struct{}{}
}

// spend takes a time. It reports false if the worker crashes, or the connection closes.
func (w *worker) spend(ctx context.Context, d time.Duration) bool {
	if w.deaf {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
	case <-w.ended:
	}
	return false
}

// generate serves a generation of a model engine.
func (w *worker) generate(rw http.ResponseWriter, r *http.Request, id string) {
	total := eventsOf(r.Header.Get("Token-Counts"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	wait := firstTime
	if from := r.Header.Get("Kv-From"); from != "" {
		if !w.takeCopy(from) {
			w.fleet.rec.line("worker %s has no copy %s", w.id, from)
			rw.Header().Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wait = w.fleet.gap
	}
	if !w.enter(r) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	n := w.fleet.begin(id, w.id)
	result := "cut"
	defer func() { w.fleet.end(n, result) }()
	backup := w.fleet.worker(r.Header.Get("Kv-Backup"))
	defer w.progress(id, -1, nil)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Server-Seal", "seal."+w.id+"."+id)
	for e := last + 1; e <= total; e++ {
		if !w.spend(r.Context(), wait) {
			if w.isDead() {
				result = "crashed"
			}
			panic(http.ErrAbortHandler)
		}
		wait = w.fleet.gap
		w.progress(id, e, backup)
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", e, id, e)
		if err == nil {
			err = http.NewResponseController(rw).Flush()
		}
		if err != nil && !w.deaf {
			panic(http.ErrAbortHandler)
		}
	}
	result = "whole"
	if backup != nil {
		backup.dropCopy(id)
	}
}

// progress notes the events of a run, and sends the run's memory to a backup. It forgets the run if
// there are -1.
func (w *worker) progress(id string, events int, backup *worker) {
	w.mu.Lock()
	if w.runs[id] = events; events < 0 {
		delete(w.runs, id)
	}
	w.mu.Unlock()
	if backup != nil {
		backup.mu.Lock()
		backup.copies[id] = events
		backup.mu.Unlock()
	}
}

func (w *worker) dropCopy(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.copies, id)
}

func (w *worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

// takeCopy uses a copy, which may be used once, and reports whether there is one.
func (w *worker) takeCopy(from string) bool {
	_, handle, _ := strings.Cut(from, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.copies[handle]
	delete(w.copies, handle)
	return ok
}

// move copies the memory of a run to another worker while the run goes on.
func (w *worker) move(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		ID     string `json:"id"`
		Target string `json:"target"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	events, ok := w.runs[call.ID]
	w.next++
	handle := fmt.Sprintf("h%s-%d", w.id, w.next)
	w.mu.Unlock()
	target := w.fleet.worker(call.Target)
	switch {
	case !ok:
		rw.WriteHeader(http.StatusNotFound)
	case target == nil:
		rw.WriteHeader(http.StatusServiceUnavailable)
	default:
		time.Sleep(20 * time.Millisecond)
		target.mu.Lock()
		target.copies[handle] = events
		target.mu.Unlock()
		w.fleet.rec.line("worker %s has copied the memory of %s to worker %s", w.id, call.ID, target.id)
		reply(rw, http.StatusOK, map[string]any{"handle": handle, "created_rev": events})
	}
}

// eventsOf returns the number of events of a generation that writes all its tokens.
func eventsOf(counts string) int {
	_, out, _ := strings.Cut(counts, ",")
	n, _ := strconv.Atoi(out)
	return n / stride
}
