package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["stopped"] = stoppedCase }

// streams is the number of streams that run at a time.
const streams = 36

// stoppedCase lets an engine leave while it runs streams that end with their connection. With FRAMED=1
// they have chunks.
func stoppedCase(b *bed) ([]string, error) {
	style := unframed
	if os.Getenv("FRAMED") == "1" {
		style = chunked
	}
	b.addDaemons(3)
	b.store.put("config", "main", config(3, []map[string]any{streamRoute("r-1", "/guide/", "model")}, []map[string]any{engineService("model")}, []map[string]any{tenant("t-1", "key-1")}))
	fleet := newEngineFleet(b)
	var engines []*engine
	for i := range 12 {
		e := &engine{fleet: fleet, id: fmt.Sprintf("i-%02d", i+1), service: "model", zone: zones[i%len(zones)], style: style}
		if err := e.start(); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := b.stream(b.daemons[i%len(b.daemons)], "/guide/x", "key-1", strings.Repeat("x", 2600), streamEvents)
			mu.Lock()
			defer mu.Unlock()
			if v := s.check(); v != "" {
				violations = append(violations, v)
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	if b.trouble {
		time.Sleep(2 * time.Second)
		leaving := engines[0]
		for _, e := range engines {
			if e.running() > leaving.running() {
				leaving = e
			}
		}
		b.note("engine %s has %d runs", leaving.id, leaving.running())
		leaving.drain()
	}
	wg.Wait()
	return violations, nil
}

func streamRoute(name, prefix, service string) map[string]any {
	r := route(name, prefix, "streaming", service, 39000, 1800)
	r["sticky"], r["gap_aim_ms"] = true, 180
	return r
}

// engineService returns a service of model workers of the configuration.
func engineService(name string) map[string]any {
	s := service(name)
	s["cold_start_s"], s["cold_per_s"] = 1.0, 37.0
	s["engine"] = map[string]any{
		"slots": 24, "kv_capacity": 34228, "kv_token_bytes": 262144, "link_mbps": 38000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": handleTime.Seconds(), "models": []map[string]any{{"name": "m"}},
	}
	return s
}

// streamResult is what a client got of a stream.
type streamResult struct {
	id     string
	status int
	events []int
	// complete is set if the answer ended as a whole one does.
	complete bool
	err      error
}

// stream sends a request for a stream and reads it to its end.
func (b *bed) stream(d *daemon, path, key, body string, events int, parts ...string) streamResult {
	s := streamResult{id: fmt.Sprintf("%016x", 0xb000000000000000+uint64(requestNumber.Add(1)))}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front()+path, strings.NewReader(body))
	if err != nil {
		s.err = err
		return s
	}
	req.Host, req.Close = host, true
	for name, value := range map[string]string{
		"Attempt-Id": s.id, "Deadline-Ms": "39000", "Authorization": "Bearer " + key, "Model": "m", "Token-Counts": fmt.Sprintf("800,%d", 4*events),
		"Prompt-Prefix": strings.Join(append(append([]string{"5c1e07a2:40"}, parts...), s.id+":760"), ","), "Length-Hint": fmt.Sprint(4 * events),
	} {
		req.Header.Set(name, value)
	}
	b.note("client sends %s to %s: POST %s", s.id, d.name, path)
	resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
	if err != nil {
		b.note("client got no answer to %s: %v", s.id, err)
		s.err = err
		return s
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	for r := bufio.NewReader(resp.Body); ; {
		line, err := r.ReadString('\n')
		var n int
		if _, serr := fmt.Sscanf(line, "id: %d", &n); serr == nil {
			s.events = append(s.events, n)
		}
		if err != nil {
			s.complete = errors.Is(err, io.EOF)
			s.err = err
			break
		}
	}
	b.note("client got %d for %s: %d events, complete %v (%v), transfer encoding %v", s.status, s.id, len(s.events), s.complete, s.err, resp.TransferEncoding)
	return s
}

// check returns what breaks the rule ORDER, or nothing.
func (s streamResult) check() string {
	for i, n := range s.events {
		if n != i+1 {
			return fmt.Sprintf("ORDER: %s: event %d is where %d is due", s.id, n, i+1)
		}
	}
	if s.status == http.StatusOK && s.complete && len(s.events) < streamEvents {
		return fmt.Sprintf("ORDER: %s ends as complete after event %d of %d", s.id, len(s.events), streamEvents)
	}
	return ""
}
