package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["replaced"] = replacedCase }

const (
	// reportRequests is the number of requests that run at a time at each of the two workers.
	reportRequests = 12
	// halfTime is how long a worker works before and after the first half of an answer has left.
	halfTime = 1500 * time.Millisecond
	// freezeTime is how long a daemon stands still, crashTime how long the worker is down.
	freezeTime = 3500 * time.Millisecond
	crashTime  = 2 * time.Second
	reportHalf = 2000
)

// halfWorker is a worker whose answers have no length and end with their connection. It sends them in two
// halves.
type halfWorker struct {
	bed  *bed
	addr string
	id   string
	zone string

	mu     sync.Mutex
	server *http.Server
	born   int64
}

// start opens the listener, at the address before if there is one, and registers the worker.
func (w *halfWorker) start() error {
	addr := w.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr, w.born = l.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
	server := w.server
	w.bed.onClose(func() { server.Close() })
	w.bed.note("worker %s starts at %s", w.id, w.addr)
	w.bed.store.put("servers", w.id, map[string]any{
		"service": "desk", "address": w.addr, "zone": w.zone, "version": "v1", "slots": 24, "state": "ready", "cold_left_ms": 0, "stage": "both", "sequence": 1, "born": w.born,
	})
	return nil
}

// crash ends the process: its listener and all of its connections close.
func (w *halfWorker) crash() {
	w.bed.note("worker %s crashes", w.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server.Close()
}

// comeBack starts the worker again at its address, under another id.
func (w *halfWorker) comeBack() {
	w.bed.store.remove("servers", w.id)
	w.mu.Lock()
	w.id = "i-7"
	w.mu.Unlock()
	if err := w.start(); err != nil {
		w.bed.note("worker could not start: %v", err)
	}
}

// ServeHTTP implements http.Handler.
func (w *halfWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id, h := r.Header.Get("Attempt-Id"), rw.Header()
	h.Set("Attempt-Id", id)
	w.mu.Lock()
	own := w.id
	w.mu.Unlock()
	if e := r.Header.Get("Expect-Instance"); e != "" && e != own {
		h.Set("Instance-Id", own)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Server-Seal", "seal-"+id)
	// net/http sends no chunks then, and closes the connection after the handler.
	h.Set("Transfer-Encoding", "identity")
	w.bed.note("worker %s runs %s", own, id)
	time.Sleep(halfTime)
	_, _ = io.WriteString(rw, strings.Repeat("a", reportHalf))
	_ = http.NewResponseController(rw).Flush()
	time.Sleep(halfTime)
	if _, err := io.WriteString(rw, strings.Repeat("b", reportHalf)); err == nil && http.NewResponseController(rw).Flush() == nil {
		w.bed.note("worker %s has sent all of %s", own, id)
	}
}

// replacedCase freezes a daemon while a worker that has sent half of its answers crashes and comes back. With
// ONLY=freeze or ONLY=crash in the environment only one of these happens.
func replacedCase(b *bed) ([]string, error) {
	b.addDaemons(9)
	routes := []map[string]any{route("r-1", "/report/", "non_idempotent", "desk", 10000, 4000)}
	b.store.put("config", "main", config(3, routes, []map[string]any{service("desk")}, []map[string]any{tenant("t-1", "key-1")}))
	var workers []*halfWorker
	for i := range 6 {
		w := &halfWorker{bed: b, id: fmt.Sprintf("i-%d", i+1), zone: zones[i%len(zones)]}
		if err := w.start(); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	frozen := b.daemons[len(b.daemons)-1]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	for range 6 * reportRequests / 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, body, err := b.report(frozen)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == http.StatusOK && body != 2*reportHalf {
				violations = append(violations, fmt.Sprintf("MIXED: a client gets 200 with the seal and %d of %d bytes, as a whole answer", body, 2*reportHalf))
			}
		}()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(halfTime + 300*time.Millisecond)
	if b.trouble {
		only := os.Getenv("ONLY")
		if only != "crash" {
			frozen.signal(syscall.SIGSTOP)
			time.AfterFunc(freezeTime, func() { frozen.signal(syscall.SIGCONT) })
		}
		if only != "freeze" {
			time.AfterFunc(200*time.Millisecond, workers[0].crash)
			time.AfterFunc(200*time.Millisecond+crashTime, workers[0].comeBack)
		}
	}
	wg.Wait()
	return violations, nil
}

// report sends a request and returns the status and the length of the body of a whole answer.
func (b *bed) report(d *daemon) (status, length int, err error) {
	id := fmt.Sprintf("%016x", 0xc000000000000000+uint64(requestNumber.Add(1)))
	req, err := http.NewRequest(http.MethodPost, "http://"+d.front()+"/report/x", strings.NewReader("report"))
	if err != nil {
		return 0, 0, err
	}
	req.Host, req.Close = host, true
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "12000")
	req.Header.Set("Authorization", "Bearer key-1")
	b.note("client sends %s to %s", id, d.name)
	resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
	if err != nil {
		b.note("client got no answer to %s: %v", id, err)
		return 0, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	b.note("client got %d for %s: %d bytes, length %d, seal %q, %v", resp.StatusCode, id, len(data), resp.ContentLength, resp.Header.Get("Server-Seal"), err)
	return resp.StatusCode, len(data), err
}
