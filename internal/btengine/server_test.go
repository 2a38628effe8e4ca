package btengine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btfault"
	"bramleytack/internal/bthttptest"
)

func call(ctx context.Context, h http.Handler, method, path, body string) bthttptest.Reply {
	return bthttptest.Call(h, bthttptest.Request(ctx, method, path, body))
}

// chunks returns the events of a stream and the number of its heartbeats.
func chunks(t *testing.T, r bthttptest.Reply) (list []Chunk, heartbeats int) {
	t.Helper()
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			heartbeats += strings.Count(s.Text(), ": heartbeat")
			continue
		}
		var c Chunk
		assert.NilError(t, json.Unmarshal([]byte(data), &c))
		list = append(list, c)
	}
	return list, heartbeats
}

func assertTokens(t *testing.T, list []Chunk, id, prompt string, from, to int) {
	t.Helper()
	assert.Assert(t, len(list) >= to-from, "%d events", len(list))
	for i, c := range list[:to-from] {
		assert.Equal(t, c.RequestID, bramleytack.RequestID(id))
		assert.Equal(t, c.Index, from+i)
		assert.Equal(t, c.Text, Text(c.RequestID, prompt, from+i))
		assert.Assert(t, !c.Done)
	}
}

const path = "/v1/generations"

// Guards against a server that loses tokens, events or the death of the engine
// between the core and its callers.
func TestServer(t *testing.T) {
	run := func(name string, opts Options, f func(t *testing.T, s *Server, h http.Handler)) {
		bthttptest.Fake(t, name, func(t *testing.T, timers *bttimer.Service) {
			s := NewServer(opts, timers)
			defer s.Close()
			f(t, s, s.Handler())
		})
	}
	opts := Options{Config: testConfig()}
	const body = `{"id":"r","model":"m","prompt":"[[tokens=5]]"}`

	run("streams and resumes a generation", opts, func(t *testing.T, s *Server, h http.Handler) {
		r := call(t.Context(), h, "POST", path, body)
		list, _ := chunks(t, r)
		assertTokens(t, list, "r", "[[tokens=5]]", 0, 5)
		end := list[5]
		assert.Assert(t, end.Done)
		assert.Equal(t, end.FinishReason, "stop")
		assert.Equal(t, end.Tokens, 5)
		resumed := path + "/" + string(end.Generation)
		list, _ = chunks(t, call(t.Context(), h, "GET", resumed+"?from=3", ""))
		assertTokens(t, list, "r", "[[tokens=5]]", 3, 5)
		assert.Equal(t, len(list), 3)
		time.Sleep(2 * opts.Retention)
		assert.Equal(t, call(t.Context(), h, "GET", resumed, "").Code, http.StatusNotFound)
		assert.Equal(t, s.Executions()["r"], 1)
	})
	run("a reader that leaves does not end the generation", opts, func(t *testing.T, s *Server, h http.Handler) {
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Millisecond)
		defer cancel()
		list, _ := chunks(t, call(ctx, h, "POST", path, body))
		assertTokens(t, list, "r", "[[tokens=5]]", 0, 2)
		list, _ = chunks(t, call(t.Context(), h, "GET", path+"/"+string(list[0].Generation)+"?from=4", ""))
		assertTokens(t, list, "r", "[[tokens=5]]", 4, 5)
		assert.Equal(t, s.Stats().Completed, 1)
	})
	run("the first token announces the request id", opts, func(t *testing.T, _ *Server, h http.Handler) {
		const prompt = "[[tokens=2]] [[announce]]"
		list, _ := chunks(t, call(t.Context(), h, "POST", path, `{"id":"r.1","model":"m","prompt":"`+prompt+`"}`))
		assertTokens(t, list, "r.1", prompt, 0, 2)
		assert.Assert(t, strings.HasPrefix(list[0].Text, "r.1/0-"))
	})
	stalled := opts
	stalled.StepBase = 2500 * time.Millisecond
	run("a stalled stream gets heartbeats", stalled, func(t *testing.T, _ *Server, h http.Handler) {
		list, heartbeats := chunks(t, call(t.Context(), h, "POST", path, body))
		assert.Equal(t, len(list), 6)
		assert.Equal(t, heartbeats, 10)
	})
	run("cancel ends the stream", opts, func(t *testing.T, s *Server, h http.Handler) {
		var id bramleytack.StreamID
		s.do(func(now time.Time) { id, _ = s.core.Submit(now, request("r", "[[tokens=900]]")) })
		time.Sleep(95 * time.Millisecond)
		assert.Equal(t, call(t.Context(), h, "DELETE", path+"/"+string(id), "").Code, http.StatusNoContent)
		list, _ := chunks(t, call(t.Context(), h, "GET", path+"/"+string(id), ""))
		assert.Equal(t, list[len(list)-1].FinishReason, "canceled")
		assert.Equal(t, list[len(list)-1].Tokens, 9)
		assert.Equal(t, call(t.Context(), h, "DELETE", path+"/none", "").Code, http.StatusNotFound)
	})
	full := opts
	full.MaxBatch, full.MaxWaiting = 1, 1
	run("refusals say that the request did not run", full, func(t *testing.T, s *Server, h http.Handler) {
		s.do(func(now time.Time) {
			for _, id := range []string{"a", "b"} {
				submit(t, s.core, now, request(id, "[[tokens=900]]"))
			}
		})
		for body, want := range map[string]int{
			body:                                   http.StatusTooManyRequests,
			`{"id":"r","model":"m","version":"9"}`: http.StatusServiceUnavailable,
		} {
			r := call(t.Context(), h, "POST", path, body)
			assert.Equal(t, r.Code, want)
			refusal := bthttptest.Decode[btfault.Refusal](t, r)
			assert.Assert(t, refusal.NotRun)
			assert.Assert(t, refusal.Reason != "")
		}
		assert.Equal(t, s.Executions()["r"], 0)
	})
	statuses := make(chan int, 1)
	exits := opts
	exits.Exit = func(status int) { statuses <- status }
	run("a poison request ends the streams and the process", exits, func(t *testing.T, _ *Server, h http.Handler) {
		r := call(t.Context(), h, "POST", path, `{"id":"r","model":"m","prompt":"[[crash=2]][[tokens=5]]"}`)
		assert.Assert(t, r.Aborted)
		list, _ := chunks(t, r)
		assert.Equal(t, len(list), 2)
		assert.Equal(t, <-statuses, CrashStatus)
		assert.Assert(t, call(t.Context(), h, "GET", "/v1/load", "").Aborted)
	})
	restarts := opts
	restarts.RestartAfter = time.Second
	run("a restart gives a new instance", restarts, func(t *testing.T, s *Server, h http.Handler) {
		instance := func() bramleytack.InstanceID {
			return bthttptest.Decode[bramleytack.LoadReport](t, call(t.Context(), h, "GET", "/v1/load", "")).Instance
		}
		before := instance()
		s.Faults().Set(btfault.Fault{Crash: true})
		assert.Assert(t, call(t.Context(), h, "GET", "/v1/load", "").Aborted)
		time.Sleep(1100 * time.Millisecond)
		assert.Assert(t, instance() != before)
		list, _ := chunks(t, call(t.Context(), h, "POST", path, body))
		assert.Equal(t, len(list), 6)
	})
	checks := opts
	checks.ChecksFence = true
	run("an old fencing number fails a precondition", checks, func(t *testing.T, _ *Server, h http.Handler) {
		assert.Equal(t, call(t.Context(), h, "POST", "/v1/orders", `{"fence":2,"kind":"role","role":"a"}`).Code, http.StatusOK)
		assert.Equal(t, call(t.Context(), h, "POST", "/v1/orders", `{"fence":1,"kind":"role","role":"b"}`).Code, http.StatusPreconditionFailed)
	})
	run("orders and cache events", opts, func(t *testing.T, _ *Server, h http.Handler) {
		assert.Equal(t, call(t.Context(), h, "POST", "/v1/orders", `{"kind":"load","model":"n","version":"1"}`).Code, http.StatusOK)
		assert.Equal(t, call(t.Context(), h, "POST", "/v1/orders", `{"kind":"none","model":"n","version":"1"}`).Code, http.StatusBadRequest)
		call(t.Context(), h, "POST", path, `{"id":"r","model":"m","prompt":"[[tokens=5]]`+strings.Repeat("x", 600)+`"}`)
		r := call(t.Context(), h, "GET", "/v1/cache-events?after=1", "")
		assert.Equal(t, len(bthttptest.Decode[CacheEvents](t, r).Events), 1)
		assert.Equal(t, call(t.Context(), h, "GET", "/v1/cache-events?after=x", "").Code, http.StatusBadRequest)
	})
}
