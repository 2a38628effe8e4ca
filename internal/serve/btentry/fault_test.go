package btentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// rawUpstream answers each request of a connection by a function that writes to the
// connection. The function reports whether the connection stays open.
type rawUpstream struct {
	l net.Listener
	// answer gets the request, its id, and the number of requests before it on the
	// connection.
	answer func(w io.Writer, id string, before int) bool
	// written counts the bytes that were taken from the upstream.
	written atomic.Int64
	// unread upstreams answer before they have read the body of the request.
	unread atomic.Bool
}

func (u *rawUpstream) run() {
	for {
		c, err := u.l.Accept()
		if err != nil {
			return
		}
		go (&rawConn{u, c}).run()
	}
}

type rawConn struct {
	u *rawUpstream
	c net.Conn
}

func (c *rawConn) run() {
	defer c.c.Close()
	r := bufio.NewReader(c.c)
	for before := 0; ; before++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !c.u.unread.Load() {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil || !c.u.answer(c, req.Header.Get(dialect.RequestID), before) {
			return
		}
	}
}

// Write implements io.Writer and counts the bytes.
func (c *rawConn) Write(b []byte) (int, error) {
	n, err := c.c.Write(b)
	c.u.written.Add(int64(n))
	return n, err
}

// startRaw starts an upstream of a service that answers as told.
func (h *harness) startRaw(name, service string, answer func(w io.Writer, id string, before int) bool) *rawUpstream {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(len(h.upstreams) + 1)}), 80)
	u := &rawUpstream{l: h.net.Listen(a), answer: answer}
	go u.run()
	h.upstreams[name] = &bramleytack.Upstream{ID: bramleytack.UpstreamID(name), Addr: a, Service: service, FailureDomain: "d1", WarmLimit: 6}
	h.publish()
	return u
}

// repeat writes a text until the connection is closed.
func repeat(w io.Writer, text string, pause time.Duration) bool {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return false
		}
		time.Sleep(pause)
	}
}

func head(id, rest string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n", dialect.RequestID, id, rest)
}

// An upstream sends bytes that are no answer until the daemon closes the connection, as
// fast as they are taken. Guards against a daemon that reads them until its memory is
// used up, and against answers made of them.
func TestBytesWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 4096)
	for name, c := range map[string]struct {
		answer func(w io.Writer, id string) bool
		limit  int64
	}{
		"head in one line": {func(w io.Writer, _ string) bool { return repeat(w, block, 0) }, 128 << 10},
		"header lines": {func(w io.Writer, id string) bool {
			_, _ = io.WriteString(w, strings.TrimSuffix(head(id, ""), "\r\n"))
			return repeat(w, "X-Pad: "+block+"\r\n", 0)
		}, 128 << 10},
		"interim responses": {func(w io.Writer, _ string) bool { return repeat(w, "HTTP/1.1 102 Processing\r\n\r\n", 0) }, 128 << 10},
		"body without length": {func(w io.Writer, id string) bool {
			_, _ = io.WriteString(w, head(id, "Connection: close\r\n"))
			return repeat(w, block, 0)
		}, 17 << 20},
		"chunks": {func(w io.Writer, id string) bool {
			_, _ = io.WriteString(w, head(id, "Transfer-Encoding: chunked\r\n"))
			return repeat(w, "1000\r\n"+block+"\r\n", 0)
		}, 17 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				u := h.startRaw("s1", callService, func(w io.Writer, id string, _ int) bool { return c.answer(w, id) })
				got := h.request(http.MethodPost, "/order/1", nil, 5*time.Second)
				assert.Equal(t, got.status, http.StatusBadGateway)
				time.Sleep(time.Second)
				assert.Assert(t, u.written.Load() <= c.limit, "%d bytes were read", u.written.Load())
				u.l.Close()
			})
		})
	}
	for name, text := range map[string]string{"long event": block, "event of short lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				u := h.startRaw("e1", engineService, func(w io.Writer, id string, _ int) bool {
					_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\n")+"id: 1\ndata: a\n\n")
					return repeat(w, text, 0)
				})
				got := h.generate("/guide/1")
				assert.Assert(t, got.err != nil, "the stream looks complete")
				assert.Assert(t, u.written.Load() <= 2<<20, "%d bytes were read", u.written.Load())
				u.l.Close()
			})
		})
	}
}

// Many upstreams send bodies without end at the same time. Guards against a daemon that
// keeps the largest allowed body of each.
func TestManyBodiesWithoutEnd(t *testing.T) {
	run(t, func(h *harness) {
		block := strings.Repeat("x", 4096)
		u := h.startRaw("s1", callService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, head(id, "Connection: close\r\n"))
			return repeat(w, block, 100*time.Microsecond)
		})
		done := make(chan int)
		const calls = 12
		for i := range calls {
			go (&oneCall{h: h, id: fmt.Sprint("many-", i), done: done}).run()
		}
		peak := int64(0)
		for ended := 0; ended < calls; {
			select {
			case status := <-done:
				assert.Assert(t, status >= http.StatusBadGateway)
				ended++
			case <-time.After(time.Millisecond):
				peak = max(peak, h.handler.Memory.Kept())
			}
		}
		assert.Assert(t, peak > 20<<20 && peak <= 25<<20, "%d bytes were kept", peak)
		time.Sleep(time.Second)
		assert.Equal(t, h.handler.Memory.Kept(), int64(0), "memory of ended requests is still counted")
		u.l.Close()
	})
}

// oneCall is a call whose status goes to done.
type oneCall struct {
	h    *harness
	id   string
	done chan int
}

func (c *oneCall) run() {
	c.done <- c.h.send(c.id, http.MethodPost, "/order/1", nil, 5*time.Second).status
}

// An engine sends a byte, or a comment, now and then, but no event. Guards against a
// stream that never ends for a caller who waits.
func TestDrippingStreamEnds(t *testing.T) {
	for name, text := range map[string]string{"bytes": "x", "comments": ": ping\n\n"} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				u := h.startRaw("e1", engineService, func(w io.Writer, id string, _ int) bool {
					_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\n")+"id: 1\ndata: a\n\n")
					return repeat(w, text, 150*time.Millisecond)
				})
				started := time.Now()
				got := h.generate("/guide/1")
				assert.Assert(t, got.err != nil, "the stream looks complete")
				took := time.Since(started)
				assert.Assert(t, took > 7*time.Second && took < 8*time.Second, "ended after %v", took)
				u.l.Close()
			})
		})
	}
}

// An engine sends an event each 1.9 s. Guards against bounds on the whole time, or on
// pauses that callers accept, that cut a slow stream.
func TestSlowStreamIsNotCut(t *testing.T) {
	run(t, func(h *harness) {
		u := h.startRaw("e1", engineService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\nConnection: close\r\n"))
			for i := range 19 {
				time.Sleep(1900 * time.Millisecond)
				if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
					return false
				}
			}
			return false
		})
		got := h.generate("/guide/1")
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.events), 19)
		u.l.Close()
	})
}

// An upstream answers a request, and sends the answer again, late, when the connection is
// in use again. Guards against a caller that gets the answer to another request, also if
// the second copy lacks the id.
func TestLateSecondAnswer(t *testing.T) {
	for name, copyOf := range map[string]func(id string) string{
		"with its id": func(id string) string { return head(id, "Content-Length: 5\r\n") },
		"without id":  func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				last := ""
				u := h.startRaw("s1", callService, func(w io.Writer, id string, before int) bool {
					text := head(id, fmt.Sprintf("Content-Length: %d\r\n", len(id))) + id
					if before > 0 {
						text = copyOf(last) + "wrong" + text
					}
					last = id
					_, err := io.WriteString(w, text)
					return err == nil
				})
				for i := range 6 {
					got := h.request(http.MethodPost, "/order/1", nil, 5*time.Second)
					if got.status == http.StatusOK {
						assert.Equal(t, got.body, got.id, "request %d", i)
						continue
					}
					assert.Equal(t, got.status, http.StatusBadGateway)
				}
				u.l.Close()
			})
		})
	}
}

// Guards against bodies that stay counted although their requests were rejected after they
// had been read: later requests would find the memory for bodies full.
func TestRejectedBodiesAreNotCounted(t *testing.T) {
	run(t, func(h *harness) {
		h.startShop("s1")
		h.handler.Accepts = func(time.Time, time.Duration, time.Duration) bool { return false }
		for range 3 {
			assert.Equal(t, h.request(http.MethodPost, "/order/1", nil, time.Second).status, http.StatusServiceUnavailable)
		}
		assert.Equal(t, h.handler.Memory.Kept(), int64(0))
	})
}
