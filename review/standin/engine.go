package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// prefillPerMilli is the number of prompt tokens that an engine reads in a millisecond.
	prefillPerMilli = 14
	// tokensPerEvent is the number of tokens in one event of a stream.
	tokensPerEvent = 4
)

// engine is a stand-in of a model worker.
type engine struct {
	id       string
	born     int64
	unframed bool
	// The engine takes slow times as long for slowFor in each slowEvery.
	slow      float64
	slowFor   time.Duration
	slowEvery time.Duration
	started   time.Time
	gap       time.Duration
	runs      atomic.Int64
	running   atomic.Int64

	// moves is set if moves and copies find room.
	moves    bool
	cut      cutOff
	listener *busyListener
	// fromCopy is the time until the first event of a run that goes on from a copy.
	fromCopy time.Duration
}

// runEngine serves until the process is killed. It prints a line for each run.
func runEngine(args []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	addr := f.String("addr", "", "address")
	e := &engine{started: time.Now()}
	f.StringVar(&e.id, "id", "", "id in the store")
	f.Int64Var(&e.born, "born", 0, "start in Unix milliseconds")
	f.BoolVar(&e.unframed, "unframed", false, "responses have neither a length nor chunks")
	f.Float64Var(&e.slow, "slow", 1, "factor by which all work takes longer at times")
	f.DurationVar(&e.slowFor, "slow-for", 6500*time.Millisecond, "length of a slow time")
	f.DurationVar(&e.slowEvery, "slow-every", 10*time.Second, "time from one slow time to the next")
	f.DurationVar(&e.gap, "gap", 28*time.Millisecond, "time between two events")
	f.BoolVar(&e.moves, "moves", false, "moves and copies find room")
	f.DurationVar(&e.cut.length, "cut", 0, "time for which the engine is cut off after the first move")
	f.DurationVar(&e.fromCopy, "from-copy", 30*time.Millisecond, "time until the first event of a run that goes on from a copy")
	_ = f.Parse(args)
	l, err := listenShort(*addr)
	if e.cut.length == 0 {
		l.Close()
		l.Listener, err = net.Listen("tcp4", *addr)
	}
	e.listener = l
	if err != nil {
		panic(err)
	}
	fmt.Print("\n")
	panic(http.Serve(l, e))
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		answer(w, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "sequence": 1, "queued": 0, "running": e.running.Load(), "kv_used": 30000, "kv_total": 34228,
			"handles": 0, "born": e.born, "state": "running", "runs": []any{},
		})
		return
	case r.URL.Path == "/api/kv-move":
		var m struct{ ID, Target string }
		_ = json.NewDecoder(r.Body).Decode(&m)
		if e.moves {
			e.move(w, m.ID, m.Target)
			return
		}
		// No other engine has room.
		answer(w, http.StatusServiceUnavailable, map[string]any{"born": e.born})
		return
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Kv-From") != "" && !e.moves {
		// There is no copy here.
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.generate(w, r)
}

// generate runs a generation of the full length that its request allows.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	in, out, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	prompt, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	total := output / tokensPerEvent
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := fmt.Sprintf("%s#%d", e.id, e.runs.Add(1))
	if from := r.Header.Get("Kv-From"); from != "" {
		fmt.Printf("worker %s goes on with %s as %s, from %s, last-event-id %d\n", e.id, r.Header.Get("Attempt-Id"), run, from, last)
		if !e.wait(r, e.fromCopy) {
			fmt.Printf("worker %s: caller of %s left before an event\n", e.id, run)
			return
		}
	} else {
		e.wait(r, time.Duration(float64(prompt)/prefillPerMilli*float64(time.Millisecond)))
		fmt.Printf("worker %s runs %s as %s, last-event-id %q, %d events in all\n", e.id, r.Header.Get("Attempt-Id"), run, r.Header.Get("Last-Event-Id"), total)
	}
	h := w.Header()
	h.Set("Server-Seal", "seal-"+run)
	h.Set("Server-Load", fmt.Sprintf("%d,0,24", e.running.Load()))
	h.Set("Content-Type", "text/event-stream")
	write := func(text string) error {
		_, err := io.WriteString(w, text)
		w.(http.Flusher).Flush()
		return err
	}
	if e.unframed {
		c, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprint(rw, "HTTP/1.1 200 OK\r\n")
		_ = h.Write(rw)
		fmt.Fprint(rw, "Connection: close\r\n\r\n")
		_ = rw.Flush()
		write = func(text string) error {
			_, err := c.Write([]byte(text))
			return err
		}
	}
	for n := last + 1; n <= total; n++ {
		e.cut.pass(r.Header.Get("Attempt-Id"))
		if err := write(fmt.Sprintf("id: %d\ndata: %s from %d %d/%d\n\n", n, run, last, n, total)); err != nil {
			fmt.Printf("worker %s: caller of %s left at event %d\n", e.id, run, n)
			return
		}
		if n < total && !e.wait(r, e.gap) {
			fmt.Printf("worker %s: caller of %s left after event %d\n", e.id, run, n)
			return
		}
	}
	fmt.Printf("worker %s has ended %s with event %d\n", e.id, run, total)
}

// wait takes as long as work does, and reports false if the caller has left.
func (e *engine) wait(r *http.Request, d time.Duration) bool {
	if time.Since(e.started)%e.slowEvery < e.slowFor {
		d = time.Duration(float64(d) * e.slow)
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
