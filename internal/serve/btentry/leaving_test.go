package btentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/node/btdrain"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/standin/btworker"
)

// Guards against an unframed stream that its upstream ends at the time that a leaving daemon
// has told it, and that looks complete to the caller.
func TestUnframedStreamOfLeavingDaemonIsNotComplete(t *testing.T) {
	for _, path := range []string{"/guide/1", "/tag/1"} {
		t.Run(path, func(t *testing.T) {
			run(t, func(h *harness) {
				h.routes[1].Timeout = 30 * time.Second
				h.start("e1", engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: 150 * time.Millisecond, Unframed: true})
				h.takePlaces("e1")
				stop := h.prepareStop()
				go stop.run()
				time.Sleep(500 * time.Millisecond)
				got := h.request(http.MethodPost, path, map[string]string{dialect.TokenCounts: "1000,160"}, 40*time.Second)
				assert.Check(t, got.status == http.StatusOK && len(got.events) > 0, "%d %q", got.status, got.body)
				assert.Check(t, got.err != nil || len(got.events) == streamEvents, "complete after %d of %d events", len(got.events), streamEvents)
				<-stop.ended
			})
		})
	}
}

// takePlaces makes the daemon expect that requests wait at an engine first.
func (h *harness) takePlaces(name string) {
	for range h.slots {
		h.accounts.Begin(bramleytack.UpstreamID(name), btaccount.Need{})
	}
}

// crossing is the server's side of a connection. Once armed, it is closed as idle between the
// read of a request's bytes and their return.
type crossing struct {
	net.Conn
	armed  atomic.Bool
	cross  func()
	once   sync.Once
	closed chan struct{}
}

func (c *crossing) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.armed.CompareAndSwap(true, false) {
		go c.cross()
		<-c.closed
	}
	return n, err
}

func (c *crossing) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a request of a kept connection that is passed on although the daemon has
// closed the connection as idle while it read the request.
func TestRequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	run(t, func(h *harness) {
		w := h.startShop("s1")
		here, there := net.Pipe()
		c := &crossing{Conn: there, closed: make(chan struct{})}
		l := &oneConn{conns: make(chan net.Conn, 1)}
		l.conns <- c
		server := &http.Server{Handler: h.handler}
		c.cross = func() {
			close(l.conns)
			_ = server.Shutdown(context.Background())
		}
		go (&entryServer{server, l}).run()
		defer here.Close()
		r := bufio.NewReader(here)
		for i, want := range []int{1, 1} {
			c.armed.Store(i == 1)
			_, err := io.WriteString(here, requestText("/order/a", "Content-Length: 4\r\n", "body"))
			assert.NilError(t, err)
			resp, err := http.ReadResponse(r, nil)
			if i == 0 {
				assert.NilError(t, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			} else {
				assert.Check(t, err != nil)
			}
			time.Sleep(time.Second)
			assert.Check(t, w.ArrivedAfter(time.Time{}) == want, "%d requests passed on after request %d", w.ArrivedAfter(time.Time{}), i)
		}
	})
}

// Guards against a stream that is rejected as not run, and dropped, because its first engine
// rejects it, although the one to which it was sent meanwhile runs it.
func TestLateRejectionKeepsResumedStream(t *testing.T) {
	run(t, func(h *harness) {
		raw := h.startRaw("e1", engineService, func(w io.Writer, id string, _ int) bool {
			time.Sleep(1500 * time.Millisecond)
			_, _ = io.WriteString(w, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: full\r\nContent-Length: 0\r\n\r\n", dialect.RequestID, id, dialect.NotRun))
			return true
		})
		after(500*time.Millisecond, func() {
			h.start("e2", engineService, btworker.Config{Events: streamEvents, Read: time.Second, Gap: eventGap})
		})
		got := h.request(http.MethodPost, "/tag/1", map[string]string{dialect.TokenCounts: "1000,160"}, 10*time.Second)
		assert.Check(t, got.status == http.StatusOK && got.err == nil, "%d %q, runs: %d", got.status, got.body, h.pool.Runs(got.id))
		raw.l.Close()
	})
}

// Guards against upstreams that are ejected, by this daemon and by those that it tells, because
// they ended streams at the time that a leaving daemon gave them.
func TestUpstreamsThatKeepTheTimeOfLeavingDaemonAreNotEjected(t *testing.T) {
	run(t, func(h *harness) {
		h.start("e1", engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: 150 * time.Millisecond})
		h.takePlaces("e1")
		stop := h.prepareStop()
		go stop.run()
		time.Sleep(500 * time.Millisecond)
		var wg sync.WaitGroup
		var begun atomic.Int32
		for range 8 {
			wg.Go(func() {
				got := h.request(http.MethodPost, "/guide/1", map[string]string{dialect.TokenCounts: "1000,160"}, 40*time.Second)
				if len(got.events) > 0 {
					begun.Add(1)
				}
			})
		}
		time.Sleep(6750 * time.Millisecond)
		assert.Check(t, h.accounts.OwnLoads()["e1"].Ejections == 0, "ejected 7.25 s after the signal")
		wg.Wait()
		assert.Check(t, begun.Load() >= 5, "%d streams have begun", begun.Load())
		<-stop.ended
	})
}

// Guards against a stream that could end before a leaving daemon does and is cut before.
func TestStreamEndsBeforeLeavingDaemon(t *testing.T) {
	run(t, func(h *harness) {
		h.start("e1", engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: 115 * time.Millisecond})
		stop := h.prepareStop()
		go stop.run()
		time.Sleep(500 * time.Millisecond)
		got := h.request(http.MethodPost, "/guide/1", map[string]string{dialect.TokenCounts: "1000,240"}, 40*time.Second)
		assert.Check(t, got.err, "%d of %d events", len(got.events), streamEvents)
		<-stop.ended
	})
}

// Guards against a request of a new connection that is read while the daemon closes and whose
// connection is then closed without an answer.
func TestRequestOfNewConnectionIsAnsweredWhileClosing(t *testing.T) {
	run(t, func(h *harness) {
		h.startShop("s1")
		h.startEngine("e1").Stall(true)
		stop := h.prepareStop()
		go h.request(http.MethodPost, "/guide/1", map[string]string{dialect.TokenCounts: "1000,240"}, 40*time.Second)
		time.Sleep(50 * time.Millisecond)
		go stop.run()
		time.Sleep(6590 * time.Millisecond)
		assert.Assert(t, stop.drain.Phase() == btdrain.Leaving)
		c, err := h.dialEntry(h.entryAddr)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, stop.drain.Phase() == btdrain.Closing)
		got := h.exchange(c, "new", http.MethodPost, "/order/1", nil, 2*time.Second)
		assert.Check(t, got.err, "no answer")
		<-stop.ended
	})
}

// Guards against retries of streams that a leaving daemon's own time ended, shortly before its
// end.
func TestLeavingDaemonDoesNotResumeWhatItsTimeEnded(t *testing.T) {
	run(t, func(h *harness) {
		h.routes[1].Timeout = 30 * time.Second
		for _, name := range []string{"e1", "e2"} {
			h.start(name, engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: 200 * time.Millisecond})
			h.takePlaces(name)
		}
		stop := h.prepareStop()
		signal := time.Now()
		go stop.run()
		time.Sleep(500 * time.Millisecond)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				got := h.request(http.MethodPost, "/tag/1", map[string]string{dialect.TokenCounts: "1000,160"}, 40*time.Second)
				assert.Check(t, len(got.events) > 0, "%d %q", got.status, got.body)
			})
		}
		<-stop.ended
		wg.Wait()
		n := h.workers["e1"].ArrivedAfter(signal.Add(7*time.Second)) + h.workers["e2"].ArrivedAfter(signal.Add(7*time.Second))
		assert.Check(t, n == 0, "%d requests reached engines less than 0.6 s before the end", n)
	})
}

// A stream's deadline comes shortly before a leaving daemon answers what has no byte. Guards
// against a stream that its upstream ends, at the time that the daemon has told it, before its
// deadline.
func TestStreamOfLeavingDaemonKeepsItsDeadline(t *testing.T) {
	run(t, func(h *harness) {
		const sent, deadline, unit = 3722 * time.Millisecond, 3497 * time.Millisecond, time.Millisecond
		h.start("e1", engineService, btworker.Config{Events: streamEvents, Read: 2400 * time.Millisecond, Gap: 20 * time.Millisecond})
		h.takePlaces("e1")
		stop := h.prepareStop()
		go stop.run()
		time.Sleep(sent)
		began := time.Now()
		got := h.request(http.MethodPost, "/tag/1", map[string]string{dialect.TokenCounts: "1000,160", dialect.DeadlineMillis: fmt.Sprint(deadline.Milliseconds())}, 10*time.Second)
		took := time.Since(began)
		assert.Check(t, got.status != http.StatusOK || took >= deadline-unit, "cut after %v with %d events", took, len(got.events))
		<-stop.ended
	})
}
