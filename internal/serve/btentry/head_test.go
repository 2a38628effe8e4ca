package btentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/internal/node/btlistener"
	"bramleytack/internal/node/btmemory"
)

// serveBehindGate starts the harness's first daemon once more, behind a gate.
func (h *harness) serveBehindGate(limit int64, maxConns int) {
	d := h.daemons[0]
	_ = d.server.Close()
	d.handler.Memory = &btmemory.Budget{Limit: limit, Timer: h.timer}
	gate := &btlistener.Gate{Memory: d.handler.Memory, Timer: h.timer, MaxConns: maxConns, Limits: func() btlistener.Limits {
		l := h.limits
		l.HeadBytes = 20_000
		return l
	}}
	d.server = &http.Server{Handler: d.handler}
	gate.Bind(d.server)
	d.listener = gate.Listen(h.net.Listen(h.entryAddr))
	go (&entryServer{d.server, d.listener}).run()
}

// headWriter writes a request on a connection.
type headWriter struct {
	c    net.Conn
	text string
}

func (w *headWriter) run() { _, _ = io.WriteString(w.c, w.text) }

// lineRequest is a request with many header lines and a part of its body.
func lineRequest(id string, lines int, body string) string {
	return fmt.Sprintf("POST /order/a HTTP/1.1\r\nHost: h\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n%s\r\n%s",
		dialect.RequestID, id, apiKey, strings.Repeat("a:\r\n", lines), body)
}

// answer returns the status of the response to what was written on a connection, zero without
// one.
func answer(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		return -1
	}
	return resp.StatusCode
}

// headReader reads the answer on a connection.
type headReader struct {
	c      net.Conn
	status chan int
}

func (r *headReader) run() { r.status <- answer(r.c) }

// Many requests of legal size with thousands of header lines, whose bodies do not come. Guards
// against a sound request that finds no memory beside them, against one of them that is
// refused in calm, and against a refusal as not run of one that runs.
func TestHeadsOfManyLinesMakeRoom(t *testing.T) {
	run(t, func(h *harness) {
		h.startShop("s1")
		h.serveBehindGate(2<<20, 100)
		for n := range 5 {
			c, err := h.dialEntry(h.entryAddr)
			assert.NilError(t, err)
			go (&headWriter{c, lineRequest(fmt.Sprint("calm-", n), 4000, "body")}).run()
			assert.Check(t, answer(c) == http.StatusOK, "a single request in calm")
			c.Close()
		}
		var waiting []*headReader
		for n := range 20 {
			c, err := h.dialEntry(h.entryAddr)
			assert.NilError(t, err)
			go (&headWriter{c, lineRequest(fmt.Sprint("waits-", n), 4000, "")}).run()
			r := &headReader{c, make(chan int, 1)}
			waiting = append(waiting, r)
			go r.run()
			time.Sleep(time.Millisecond)
			got := h.request(http.MethodPost, "/order/a", nil, 5*time.Second)
			assert.Check(t, got.status == http.StatusOK, "beside %d heads: status %d %q", n+1, got.status, got.body)
			assert.Check(t, h.handler.Memory.Kept() <= 2<<20)
		}
		refused := 0
		for _, r := range waiting {
			if status := <-r.status; status == http.StatusServiceUnavailable {
				refused++
			} else {
				assert.Check(t, status == http.StatusRequestTimeout, "status %d", status)
			}
			r.c.Close()
		}
		assert.Check(t, refused >= 17, "%d refused", refused)
		for n := range 20 {
			assert.Check(t, h.pool.Runs(fmt.Sprint("waits-", n)) == 0)
		}
		time.Sleep(2 * time.Second)
		assert.Check(t, h.handler.Memory.Kept() == 0, "%d bytes are still counted", h.handler.Memory.Kept())
	})
}

// Connections come without end while requests run. Guards against a request that was passed on
// and is cut for them: it has to be answered.
func TestRunningRequestOutlastsNewConnections(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("e1")
		h.serveBehindGate(2<<20, 4)
		after(500*time.Millisecond, func() {
			for range 100 {
				c, err := h.dialEntry(h.entryAddr)
				if err != nil {
					return
				}
				after(time.Second, func() { c.Close() })
				go (&headWriter{c, lineRequest("x", 4000, "")[:10_000]}).run()
				time.Sleep(10 * time.Millisecond)
			}
		})
		h.checkComplete(h.generate("/guide/a"))
	})
}

// Guards against a caller whose body is late and that learns it only after a further wait for the
// body, when it has left, or while the request could still be served.
func TestLateBodyIsAnsweredAtOnce(t *testing.T) {
	run(t, func(h *harness) {
		h.startShop("s1")
		h.serveBehindGate(2<<20, 100)
		c, err := h.dialEntry(h.entryAddr)
		assert.NilError(t, err)
		defer c.Close()
		const deadline = 500 * time.Millisecond
		started := time.Now()
		go (&headWriter{c, strings.Replace(lineRequest("late", 10, "bo"), "Content-Length", fmt.Sprintf("%s: %d\r\nContent-Length", dialect.DeadlineMillis, deadline.Milliseconds()), 1)}).run()
		assert.Check(t, answer(c) == http.StatusRequestTimeout)
		took := time.Since(started)
		assert.Check(t, took >= deadline-deadline/10 && took < deadline-callerLag, "after %v", took)
	})
}

// A new connection makes one close whose request has been read and not begun. Guards against a
// request that is passed on although its context has ended, and against a refusal on a connection
// that closes without having said so.
func TestRequestOfDroppedConnectionIsRefused(t *testing.T) {
	for _, target := range []string{"/order/a", "/check/a", "/guide/a", "/tag/a"} {
		t.Run(target, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startShop("s1")
				h.startEngine("e1")
				h.serveBehindGate(2<<20, 1)
				server := h.daemons[0].server
				changed := server.ConnState
				var once sync.Once
				server.ConnState = func(c net.Conn, s http.ConnState) {
					if s == http.StateActive {
						once.Do(func() {
							next, err := h.dialEntry(h.entryAddr)
							assert.Check(t, err)
							time.Sleep(10 * time.Millisecond)
							after(time.Minute, func() { next.Close() })
						})
					}
					changed(c, s)
				}
				got := h.request(http.MethodPost, target, nil, 10*time.Second)
				assert.Check(t, got.err)
				assert.Check(t, is.Equal(got.status, http.StatusServiceUnavailable), got.body)
				assert.Check(t, got.closes)
				assert.Check(t, is.Equal(h.pool.Runs(got.id), 0))
			})
		})
	}
}

// Callers use a kept connection until the time that its last answer names. Guards against answers
// that do not name it, so that a next request crosses the close of an idle connection.
func TestAnswersNameTheIdleLimit(t *testing.T) {
	run(t, func(h *harness) {
		h.startShop("s1")
		h.startEngine("e1")
		h.limits = btlistener.Limits{IdleTimeout: 16 * time.Second, KeepAlive: 15 * time.Second}
		h.serveBehindGate(2<<20, 10)
		for _, target := range []string{"/order/a", "/check/a", "/guide/a", "/tag/a", "/none/a"} {
			got := h.generate(target)
			assert.Check(t, got.err)
			assert.Check(t, is.Equal(got.header.Get("Keep-Alive"), "timeout=15"), target)
		}
		h.handler.Leaving = func() bool { return true }
		got := h.generate("/order/a")
		assert.Check(t, got.closes && got.header.Get("Keep-Alive") == "")
	})
}
