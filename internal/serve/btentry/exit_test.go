package btentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/standin/btworker"
)

// halfConn is a connection of which one direction can be closed.
type halfConn struct {
	net.Conn
	out net.Conn
}

func (c *halfConn) Write(b []byte) (int, error)        { return c.out.Write(b) }
func (c *halfConn) CloseWrite() error                  { return c.out.Close() }
func (c *halfConn) SetWriteDeadline(t time.Time) error { return c.out.SetWriteDeadline(t) }

func (c *halfConn) Close() error {
	_ = c.out.Close()
	return c.Conn.Close()
}

// oneConn is a listener that accepts connections from a channel.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error { return nil }

// exchangeHalf sends text as it is, closes the caller's side after a time unless that is
// zero, and reads the response.
func (h *harness) exchangeHalf(text string, closeAfter, timeout time.Duration) (got response) {
	in, out := net.Pipe()
	in2, out2 := net.Pipe()
	here, there := &halfConn{Conn: in, out: out2}, &halfConn{Conn: in2, out: out}
	l := &oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- there
	server := &http.Server{Handler: h.handler}
	go (&entryServer{server, l}).run()
	defer func() {
		here.Close()
		close(l.conns)
		_ = server.Close()
	}()
	assert.NilError(h.t, here.SetReadDeadline(time.Now().Add(timeout)))
	// A response may come before the whole request has been read.
	go (&textWriter{here, text}).run()
	if closeAfter > 0 {
		after(closeAfter, func() { _ = here.CloseWrite() })
	}
	resp, err := http.ReadResponse(bufio.NewReader(here), &http.Request{Method: http.MethodPost})
	if err != nil {
		got.err = err
		return got
	}
	defer resp.Body.Close()
	got.status, got.header = resp.StatusCode, resp.Header
	got.read(resp.Body)
	return got
}

// textWriter writes to a connection that may close before its end.
type textWriter struct {
	w    io.Writer
	text string
}

func (w *textWriter) run() { _, _ = io.WriteString(w.w, w.text) }

// requestText returns a request as it is sent, with more headers and a body.
func requestText(target, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: half\r\nAuthorization: Bearer %s\r\n%s\r\n%s", target, dialect.RequestID, apiKey, headers, body)
}

// Callers close their side of the connection and still read. Guards against a success that
// no upstream gave, and against a stream that looks complete although it is not.
func TestHalfClosedCallerGetsNoFalseAnswer(t *testing.T) {
	for _, c := range []struct {
		name, target, tokens string
		fault                btworker.Fault
		engines              int
		status               int
	}{
		{"call that runs", "/order/a", "", btworker.Mute, 1, http.StatusBadGateway},
		{"repeatable call that runs", "/check/a", "", btworker.Mute, 1, http.StatusBadGateway},
		{"stream before its first event", "/guide/a", "3000,900", btworker.Healthy, 1, http.StatusBadGateway},
		{"stream that waits for memory", "/guide/a", "30000,900", btworker.Healthy, 2, http.StatusBadGateway},
		{"stream after its first event", "/tag/a", "3000,900", btworker.Healthy, 1, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startShop("s1").Set(c.fault)
				h.memory = 32000
				for i := range c.engines {
					h.startEngine(fmt.Sprint("e", i))
				}
				if c.engines > 1 {
					for range 3 {
						go h.request(http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: c.tokens}, 5*time.Second)
					}
					time.Sleep(50 * time.Millisecond)
				}
				closeAfter := 50 * time.Millisecond
				if c.status == http.StatusOK {
					closeAfter = 300 * time.Millisecond
				}
				got := h.exchangeHalf(requestText(c.target, dialect.TokenCounts+": "+c.tokens+"\r\nContent-Length: 4\r\n", "body"), closeAfter, 5*time.Second)
				assert.Check(t, is.Equal(got.status, c.status), "%q %v", got.body, got.err)
				if got.status == http.StatusOK {
					assert.Check(t, is.ErrorIs(got.err, io.ErrUnexpectedEOF), "%d events", len(got.events))
				}
			})
		})
	}
}

// Guards against a success for a request whose body cannot be read, and against one that is
// held past its deadline because its body does not come.
func TestUnreadableBodyIsRejected(t *testing.T) {
	for _, c := range []struct {
		name, headers, body string
		closeAfter          time.Duration
		status              int
	}{
		{"malformed chunk", "Transfer-Encoding: chunked\r\n", "zz\r\nbody\r\n", 0, http.StatusBadRequest},
		{"chunks that end early", "Transfer-Encoding: chunked\r\n", "4\r\nbo", time.Millisecond, http.StatusBadRequest},
		{"body shorter than its length", "Content-Length: 40\r\n", "body", time.Millisecond, http.StatusBadRequest},
		{"body that does not come", "Content-Length: 40\r\n", "body", 0, http.StatusRequestTimeout},
		{"chunk that does not come", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n", 0, http.StatusRequestTimeout},
		{"last chunk without its end", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n", 0, http.StatusRequestTimeout},
		{"trailer without its end", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nSum: 1\r\n", 0, http.StatusRequestTimeout},
		{"trailer that ends early", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\nSum: 1\r\n", time.Millisecond, http.StatusBadRequest},
	} {
		for _, target := range []string{"/order/a", "/guide/a"} {
			t.Run(c.name+" "+target, func(t *testing.T) {
				run(t, func(h *harness) {
					h.startShop("s1")
					h.startEngine("e1")
					deadline := dialect.DeadlineMillis + ": 1200\r\n"
					started := time.Now()
					got := h.exchangeHalf(requestText(target, deadline+c.headers, c.body), c.closeAfter, 3*time.Second)
					assert.Check(t, is.Equal(got.status, c.status), "%q %v", got.body, got.err)
					assert.Check(t, time.Since(started) <= 1200*time.Millisecond)
					assert.Check(t, is.Equal(h.pool.Runs("half"), 0))
				})
			})
		}
	}
}

// Guards against a request that ends without an answer because of a fault of the daemon.
func TestPanicIsAnswered(t *testing.T) {
	run(t, func(h *harness) {
		h.startShop("s1")
		h.handler.Accepts = func(time.Time, time.Duration, time.Duration) bool { panic("test") }
		got := h.request(http.MethodPost, "/order/a", nil, callTimeout)
		assert.Check(t, got.err)
		assert.Check(t, is.Equal(got.status, http.StatusInternalServerError))
		assert.Check(t, is.Equal(got.header.Get(dialect.RequestID), got.id))
		assert.Check(t, is.Equal(h.handler.Active(), 0))
	})
}

// Guards against callers that keep their connections to a daemon that is leaving, because
// forwarded answers do not tell them.
func TestAnswersOfLeavingDaemonCloseConnections(t *testing.T) {
	for _, target := range []string{"/order/a", "/check/a", "/guide/a", "/none/a"} {
		t.Run(strings.Split(target, "/")[1], func(t *testing.T) {
			run(t, func(h *harness) {
				h.startShop("s1")
				h.startEngine("e1")
				signal := time.Now().Add(10 * time.Millisecond)
				h.handler.Leaving = func() bool { return !time.Now().Before(signal) }
				// The signal comes while the first one runs.
				for range 2 {
					got := h.generate(target)
					assert.Check(t, got.err)
					if !time.Now().Before(signal) {
						assert.Check(t, got.closes)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against requests that run or wait when the configuration changes and get no whole
// answer because of that.
func TestConfigurationChangesCutNoRequest(t *testing.T) {
	for name, change := range map[string]func(h *harness, s *bramleytack.Snapshot){
		"routes removed": func(_ *harness, s *bramleytack.Snapshot) { s.Routes = bramleytack.NewRouteTable(nil) },
		"timeouts shortened": func(h *harness, s *bramleytack.Snapshot) {
			var routes []*bramleytack.Route
			for _, r := range h.routes {
				short := *r
				short.Timeout = time.Millisecond
				routes = append(routes, &short)
			}
			s.Routes = bramleytack.NewRouteTable(routes)
		},
		"keys withdrawn":   func(_ *harness, s *bramleytack.Snapshot) { clear(s.ByKeyHash) },
		"services removed": func(_ *harness, s *bramleytack.Snapshot) { clear(s.Services) },
	} {
		for _, leaving := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", engine leaves: ", leaving), func(t *testing.T) {
				run(t, func(h *harness) {
					h.memory = 12000
					h.start("s1", callService, btworker.Config{Work: 100 * time.Millisecond, Slots: 6})
					h.startEngine("e1")
					h.startEngine("e2")
					var wg sync.WaitGroup
					for i := range 32 {
						target := []string{"/order/a", "/check/a", "/guide/a", "/tag/a"}[i%4]
						wg.Go(func() {
							got := h.request(http.MethodPost, target, map[string]string{dialect.TokenCounts: "1000,240"}, 40*time.Second)
							assert.Check(t, got.err, "%s", target)
							assert.Check(t, is.Equal(got.status, http.StatusOK), "%s %s", target, got.body)
						})
					}
					time.Sleep(90 * time.Millisecond)
					h.reconfigure = func(s *bramleytack.Snapshot) { change(h, s) }
					h.configRevision++
					h.publish()
					if leaving {
						time.Sleep(time.Second)
						h.setLeaving("e1")
					}
					wg.Wait()
				})
			})
		}
	}
}

// Guards against requests that end without an answer, or too late, if nothing comes before
// their deadline or the end of the daemon.
func TestEndBeforeTheFirstByteIsAnswered(t *testing.T) {
	const deadline = 700 * time.Millisecond
	for _, c := range []struct {
		name   string
		target string
		set    func(h *harness)
		status int
	}{
		{"upstream that stays silent", "/order/a", func(h *harness) { h.workers["s1"].Set(btworker.Mute) }, http.StatusGatewayTimeout},
		{"upstreams that stay silent", "/check/a", func(h *harness) { h.workers["s1"].Set(btworker.Mute); h.startShop("s2").Set(btworker.Mute) }, http.StatusGatewayTimeout},
		{"engine without an event", "/guide/a", func(h *harness) { h.workers["e1"].Stall(true) }, http.StatusGatewayTimeout},
		{"engines without an event", "/tag/a", func(h *harness) { h.workers["e1"].Stall(true); h.startEngine("e2").Stall(true) }, http.StatusGatewayTimeout},
		{"engine that does not accept", "/guide/a", func(h *harness) { h.net.Block(h.entryAddr.Addr(), h.workers["e1"].Addr().Addr(), true) }, http.StatusServiceUnavailable},
		{"wait for memory", "/guide/a", func(h *harness) { h.fillMemory() }, http.StatusServiceUnavailable},
		{"wait for a limited engine", "/guide/a", func(h *harness) { h.limit("/guide/a", "e1") }, http.StatusServiceUnavailable},
		{"wait for a limited upstream", "/order/a", func(h *harness) { h.limit("/order/a", "s1") }, http.StatusServiceUnavailable},
		{"engine that is full", "/tag/a", func(h *harness) { h.workers["e1"].Set(btworker.Full) }, http.StatusServiceUnavailable},
	} {
		for _, finish := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", daemon ends: ", finish), func(t *testing.T) {
				run(t, func(h *harness) {
					h.startShop("s1")
					h.startEngine("e1")
					time.Sleep(2 * settleTime)
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					h.handler.Finish = ctx
					c.set(h)
					header, end := map[string]string{dialect.TokenCounts: "3000,900"}, deadline
					if finish {
						end = 50 * time.Millisecond
						after(end, cancel)
					} else {
						header[dialect.DeadlineMillis] = fmt.Sprint(deadline.Milliseconds())
					}
					started := time.Now()
					got := h.request(http.MethodPost, c.target, header, 40*time.Second)
					assert.Check(t, got.err)
					if finish {
						assert.Check(t, got.status == http.StatusServiceUnavailable || got.status == http.StatusBadGateway, "%d", got.status)
						assert.Check(t, got.status == http.StatusBadGateway || h.pool.Runs(got.id) == 0, "ran and was said not to")
					} else {
						assert.Check(t, is.Equal(got.status, c.status), got.body)
					}
					assert.Check(t, time.Since(started) <= end+100*time.Millisecond, "%v", time.Since(started))
				})
			})
		}
	}
}

// Guards against a call that is given up at a slow upstream although no other one is left.
func TestLateUpstreamKeepsCallWithoutOthers(t *testing.T) {
	run(t, func(h *harness) {
		h.start("s1", callService, btworker.Config{Work: 800 * time.Millisecond})
		got := h.request(http.MethodPost, "/check/a", nil, callTimeout)
		assert.Check(t, got.err)
		assert.Check(t, is.Equal(got.status, http.StatusOK), got.body)
	})
}

// Guards against a call that has run and is answered with a failure because bodies of other
// requests fill the memory.
func TestRequestBodiesLeaveMemoryForResponses(t *testing.T) {
	run(t, func(h *harness) {
		h.start("s1", callService, btworker.Config{Work: 300 * time.Millisecond})
		h.startEngine("e1").Stall(true)
		var wg sync.WaitGroup
		wg.Go(func() {
			got := h.request(http.MethodPost, "/order/a", nil, callTimeout)
			assert.Check(t, got.err)
			assert.Check(t, is.Equal(got.status, http.StatusOK), got.body)
		})
		time.Sleep(50 * time.Millisecond)
		// With the order's body, five of them fill the memory for requests, and six all of it.
		const size = 4<<20 - 4
		for range 6 {
			wg.Go(func() {
				_ = h.exchangeHalf(requestText("/guide/a", fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size)), 0, 5*time.Second)
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		assert.Check(t, h.handler.Memory.Kept() >= 5*size, "%d", h.handler.Memory.Kept())
		wg.Wait()
	})
}

// Guards against bodies that come at the same time and exceed the memory for them, because
// they count only once they have been read.
func TestBodiesCountWhileTheyAreRead(t *testing.T) {
	const size, callers = 4 << 20, 12
	for name, header := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", size), "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startEngine("e1").Stall(true)
				body := strings.Repeat("x", size)
				if name == "chunks" {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
				}
				var wg sync.WaitGroup
				var rejected atomic.Int32
				for range callers {
					wg.Go(func() {
						if h.exchangeHalf(requestText("/guide/a", header, body), 0, time.Second).status == http.StatusServiceUnavailable {
							rejected.Add(1)
						}
					})
				}
				time.Sleep(500 * time.Millisecond)
				assert.Check(t, h.handler.Memory.Kept() <= 24<<20, "%d bytes", h.handler.Memory.Kept())
				wg.Wait()
				assert.Check(t, rejected.Load() > 0 && rejected.Load() < callers, "%d rejected", rejected.Load())
				time.Sleep(time.Second)
				assert.Check(t, is.Equal(h.handler.Memory.Kept(), int64(0)))
			})
		})
	}
}

// Guards against a caller that does not read and keeps its request for longer than its timeout.
func TestCallerThatDoesNotReadIsEnded(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("e1")
		c, err := h.dialEntry(h.entryAddr)
		assert.NilError(t, err)
		defer c.Close()
		go (&textWriter{c, requestText("/tag/a", "Content-Length: 4\r\n", "body")}).run()
		time.Sleep(time.Second)
		assert.Check(t, is.Equal(h.handler.Active(), 1))
		time.Sleep(7 * time.Second)
		assert.Check(t, is.Equal(h.handler.Active(), 0))
	})
}

// fillMemory fills all engines with generations.
func (h *harness) fillMemory() {
	h.accounts.Begin("e1", btaccount.Need{Prompt: h.memory, Output: 100, MaxOutput: 900})
}

// limit lets an upstream name a limit that allows nothing for seconds.
func (h *harness) limit(target, name string) {
	h.workers[name].SetLimit("0.2")
	for range 2 {
		_ = h.request(http.MethodPost, target, nil, 10*time.Second)
	}
}
