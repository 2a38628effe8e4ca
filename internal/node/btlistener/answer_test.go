package btlistener

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/btevent"
)

// dropper drops a connection between the return of its handler and the write of its answer, which
// net/http keeps until then.
type dropper struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (d *dropper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.next.ServeHTTP(w, r)
	r.Context().Value(connKey{}).(*Conn).drop(NoMemory)
}

// Guards against an answer that is lost because its connection is dropped, for want of memory,
// after the handler has returned.
func TestAnswerOutlivesDrop(t *testing.T) {
	serve(t, memory(), 10, Limits{}, func(f *fixture) {
		f.server.Handler = &dropper{f.server.Handler}
		c := f.dial()
		assert.Check(t, is.Equal(c.send(request("", "body")), http.StatusOK))
		assert.Check(t, c.closed())
	})
}

// Callers reuse connections for most of the newest idle limit. Guards against a connection that
// closes under a request because it came to rest under a shorter limit.
func TestIdleLimitIsRaised(t *testing.T) {
	serve(t, memory(), 10, Limits{}, func(f *fixture) {
		var limit atomic.Int64
		limit.Store(int64(5 * time.Second))
		f.gate.Limits = func() Limits { return Limits{IdleTimeout: time.Duration(limit.Load())} }
		used, unused := f.dial(), f.dial()
		assert.Check(t, is.Equal(used.send(request("", "")), http.StatusOK))
		time.Sleep(4 * time.Second)
		limit.Store(int64(time.Minute))
		time.Sleep(40 * time.Second)
		for _, c := range []*client{used, unused} {
			assert.Check(t, is.Equal(c.send(request("", "")), http.StatusOK))
		}
		started := time.Now()
		_, err := used.r.Peek(1)
		assert.Check(t, is.ErrorIs(err, io.EOF))
		idle := time.Since(started)
		assert.Check(t, idle >= time.Minute && idle < time.Minute+time.Second, "idle for %v", idle)
	})
}

// Callers use a kept connection until the time that its last answer names. Guards against a
// connection that closes sooner, under their next request, although the limit is lowered meanwhile.
func TestIdleConnectionIsKeptAsAnnounced(t *testing.T) {
	serve(t, memory(), 10, Limits{}, func(f *fixture) {
		var limit atomic.Int64
		limit.Store(int64(time.Minute))
		f.gate.Limits = func() Limits {
			d := time.Duration(limit.Load())
			return Limits{IdleTimeout: d + time.Second, KeepAlive: d}
		}
		f.handler = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Keep-Alive", KeepAlive(r.Context()))
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Second)
		}
		c := f.dial()
		for _, d := range []time.Duration{time.Minute, 5 * time.Second} {
			c.write(request("", ""))
			resp, err := http.ReadResponse(c.r, nil)
			assert.NilError(t, err)
			assert.Check(t, is.Equal(resp.Header.Get("Keep-Alive"), fmt.Sprintf("timeout=%.0f", d.Seconds())))
			// The limit is lowered while the answer is sent.
			limit.Store(int64(5 * time.Second))
			_, err = io.Copy(io.Discard, resp.Body)
			assert.Check(t, err)
			time.Sleep(d)
			assert.Check(t, !c.closed(), "after %v", d)
		}
		time.Sleep(2 * time.Second)
		assert.Check(t, c.closed())
	})
}

// Guards against logs and metrics that do not tell a connection that the daemon closes under a
// request from one that its caller has closed, or that count whole answers and refusals.
func TestCutsAreToldApart(t *testing.T) {
	abort := func(w http.ResponseWriter, r *http.Request) {
		Identify(r.Context(), "r1")
		w.WriteHeader(http.StatusOK)
		panic(http.ErrAbortHandler)
	}
	wait := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for _, c := range []struct {
		name             string
		handler          http.HandlerFunc
		text             string
		leaves           bool
		daemon, byCaller uint64
	}{
		{"answered", nil, request("", "body"), true, 0, 0},
		{"refused", nil, requestLine + strings.Repeat("a:\n", 500), false, 0, 0},
		{"aborted", abort, request("", ""), false, 1, 0},
		{"caller leaves", wait, request("", ""), true, 0, 1},
		{"caller leaves in its head", nil, requestLine, true, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve(t, memory(), 10, Limits{HeadLines: 100}, func(f *fixture) {
				var log bytes.Buffer
				f.gate.Log = btevent.New(&log, zerolog.InfoLevel, "h")
				f.handler = c.handler
				conn := f.dial()
				conn.write(c.text)
				time.Sleep(time.Second)
				if !c.leaves || c.handler == nil && c.byCaller == 0 {
					conn.status()
				}
				if c.leaves {
					conn.Close()
				}
				time.Sleep(time.Second)
				synctest.Wait()
				assert.Check(t, is.Equal(f.gate.Cut(ByDaemon), c.daemon))
				assert.Check(t, is.Equal(f.gate.Cut(ByCaller), c.byCaller))
				logged := strings.Contains(log.String(), "BT541")
				assert.Check(t, is.Equal(logged, c.daemon > 0), log.String())
				assert.Check(t, !logged || strings.Contains(log.String(), `"request":"r1","stage":"serving"`), log.String())
			})
		})
	}
}
