package btservice

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btfault"
	"bramleytack/internal/bthttptest"
)

func send(h http.Handler, method, path, id, key, body string) bthttptest.Reply {
	r := bthttptest.Request(context.Background(), method, path, body, requestIDHeader, id, idempotencyKeyHeader, key)
	return bthttptest.Call(h, r)
}

// Guards against a service that miscounts executions, survives a cold overload
// or answers after its death.
func TestServer(t *testing.T) {
	run := func(name string, opts Options, f func(t *testing.T, s *Server, h http.Handler)) {
		bthttptest.Fake(t, name, func(t *testing.T, timers *bttimer.Service) {
			s := NewServer(opts, timers)
			defer s.Close()
			f(t, s, s.Handler())
		})
	}
	// parallel starts n calls and returns how many had an answer.
	parallel := func(h http.Handler, n int) (answered int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				w := send(h, "POST", "/a", "r", "", "")
				mu.Lock()
				defer mu.Unlock()
				if !w.Aborted && w.Code == http.StatusOK {
					answered++
				}
			})
		}
		wg.Wait()
		return answered
	}

	run("answers with what it saw and counts", Options{Instance: "i"}, func(t *testing.T, s *Server, h http.Handler) {
		send(h, "POST", "/orders", "r1", "k", "body")
		w := send(h, "POST", "/orders?x=1", "r2", "k", "body")
		assert.Equal(t, w.Header().Get(requestIDHeader), "r2")
		assert.DeepEqual(t, bthttptest.Decode[Answer](t, w), Answer{
			RequestID: "r2", IdempotencyKey: "k", Method: "POST", Path: "/orders?x=1",
			Body: "body", Executions: 2, Instance: "i.1",
		})
		w = send(h, "GET", "/debug/executions", "", "", "")
		e := bthttptest.Decode[Executions](t, w)
		assert.DeepEqual(t, e, s.Executions())
		assert.Equal(t, e.ByKey["k"], 2)
		assert.Equal(t, e.ByRequest["r1"], 1)
	})
	cold := Options{Work: time.Second, ColdLimit: 2, ColdFactor: 3, WarmAfter: 2}
	run("a cold service is slow and dies over its limit", cold, func(t *testing.T, s *Server, h http.Handler) {
		begin := time.Now()
		assert.Equal(t, parallel(h, 1), 1)
		assert.Equal(t, time.Since(begin), 3*time.Second)
		assert.Equal(t, parallel(h, 3), 0)
		assert.Equal(t, s.Stats().ColdDeaths, 1)
		assert.Equal(t, parallel(h, 1), 0)
		s.Restart()
		assert.Equal(t, parallel(h, 2), 2)
		assert.Equal(t, parallel(h, 5), 5)
		s.BecomeCold()
		assert.Equal(t, parallel(h, 3), 0)
	})
	run("a full service refuses", Options{Work: time.Second, MaxCalls: 2}, func(t *testing.T, s *Server, h http.Handler) {
		assert.Equal(t, parallel(h, 5), 2)
		assert.Equal(t, s.Executions().ByRequest["r"], 2)
		assert.Equal(t, s.Stats().Refused, 3)
	})
	run("a poison call is counted and has no answer", Options{}, func(t *testing.T, s *Server, h http.Handler) {
		assert.Assert(t, send(h, "POST", "/a", "r", "k", "[[crash]]").Aborted)
		assert.Equal(t, s.Executions().ByKey["k"], 1)
		assert.Assert(t, send(h, "GET", "/v1/load", "", "", "").Aborted)
	})
	run("reports its load late", Options{Work: time.Minute, ReportLag: time.Second}, func(t *testing.T, s *Server, h http.Handler) {
		running := func() int {
			return bthttptest.Decode[bramleytack.LoadReport](t, send(h, "GET", "/v1/load", "", "", "")).Running
		}
		time.Sleep(time.Minute)
		var wg sync.WaitGroup
		wg.Go(func() { parallel(h, 3) })
		time.Sleep(999 * time.Millisecond)
		assert.Equal(t, running(), 0)
		time.Sleep(time.Millisecond)
		assert.Equal(t, running(), 3)
		s.SetCondition(btfault.Condition{StaleReports: true})
		wg.Wait()
		time.Sleep(time.Minute)
		assert.Equal(t, running(), 3)
		s.SetCondition(btfault.Condition{})
		assert.Equal(t, running(), 0)
	})
}
