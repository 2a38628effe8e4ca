package btentry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/standin/btworker"
)

// Guards against a response that was cut short and looks complete, and against a whole one
// that is taken for broken, for each way in which a body ends and each reason for its end.
func TestEndOfResponse(t *testing.T) {
	const pieces, deadline = 3, 500 * time.Millisecond
	ways := map[string]func(id, piece string, sent int) string{
		"length": func(id, piece string, sent int) string {
			text := head(id, fmt.Sprintf("Content-Length: %d\r\n", pieces*len(piece)))
			for range sent {
				text += piece
			}
			return text
		},
		"chunks": func(id, piece string, sent int) string {
			text := head(id, "Transfer-Encoding: chunked\r\n")
			for range sent {
				text += fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			if sent == pieces {
				text += "0\r\n\r\n"
			}
			return text
		},
		"end of connection": func(id, piece string, sent int) string {
			text := head(id, "")
			for range sent {
				text += piece
			}
			return text
		},
	}
	type upstream struct {
		*rawUpstream
		h *harness
		// info is what the daemon knows of the upstream.
		info *bramleytack.Upstream
	}
	leave := func(u upstream) { u.h.setLeaving("u1") }
	remove := func(u upstream) {
		delete(u.h.upstreams, "u1")
		u.h.publish()
	}
	end := func(u upstream) { u.l.Close() }
	again := func(u upstream) {
		next := &rawUpstream{l: u.h.net.Listen(u.info.Addr), answer: u.answer}
		go next.run()
		after(time.Second, func() { next.l.Close() })
		u.info.Started = time.Now()
		u.h.publish()
	}
	for name, c := range map[string]struct {
		// events happen one after the other before the connection ends.
		events []func(u upstream)
		// whole is set if the end of the connection is the end of the response, as far as
		// can be known.
		whole bool
	}{
		"upstream runs on":         {nil, true},
		"leaving upstream runs on": {[]func(upstream){leave}, true},
		"removed upstream runs on": {[]func(upstream){remove}, true},
		"upstream crashes":         {[]func(upstream){end}, false},
		"leaving upstream ends":    {[]func(upstream){leave, end}, false},
		"removed upstream ends":    {[]func(upstream){remove, end}, false},
		"listener closes last":     {[]func(upstream){leave, func(u upstream) { after(5*time.Millisecond, func() { u.l.Close() }) }}, false},
		"upstream starts again":    {[]func(upstream){end, again}, false},
		"upstream is cut off":      {[]func(upstream){func(u upstream) { u.h.net.Block(u.h.entryAddr.Addr(), u.info.Addr.Addr(), true) }}, false},
		"connection is reset":      {[]func(upstream){func(u upstream) { u.h.net.Reset(u.h.entryAddr.Addr(), u.info.Addr.Addr()) }}, false},
		"deadline at the upstream": {[]func(upstream){func(upstream) { time.Sleep(deadline - 101*time.Millisecond) }}, false},
		"daemon loses one handshake": {[]func(upstream){func(u upstream) {
			u.h.net.Block(u.h.entryAddr.Addr(), u.info.Addr.Addr(), true)
			after(50*time.Millisecond, func() { u.h.net.Block(u.h.entryAddr.Addr(), u.info.Addr.Addr(), false) })
		}}, true},
	} {
		for way, text := range ways {
			for _, k := range []struct{ path, service, piece string }{{"/order/1", callService, "part;"}, {"/guide/1", engineService, "data: x\n\n"}} {
				for _, sent := range []int{pieces - 1, pieces} {
					complete := sent == pieces
					if way == "end of connection" {
						complete = c.whole
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%d of %d", name, way, k.service, sent, pieces), func(t *testing.T) {
						run(t, func(h *harness) {
							u := upstream{h: h}
							u.rawUpstream = h.startRaw("u1", k.service, func(w io.Writer, id string, _ int) bool {
								_, _ = io.WriteString(w, text(id, k.piece, sent))
								time.Sleep(100 * time.Millisecond)
								for _, event := range c.events {
									event(u)
								}
								return false
							})
							u.info = h.upstreams["u1"]
							got := h.request(http.MethodPost, k.path, map[string]string{dialect.DeadlineMillis: fmt.Sprint(deadline.Milliseconds())}, time.Second)
							assert.Check(t, (got.err == nil && got.status == http.StatusOK) == complete, "%d %q %v", got.status, got.body, got.err)
							time.Sleep(time.Second)
							u.l.Close()
						})
					})
				}
			}
		}
	}
}

// Guards against an error that a stream's upstream answers without length or chunks, and
// that looks complete although its upstream ended in the middle of it.
func TestCutErrorOfLeavingUpstream(t *testing.T) {
	run(t, func(h *harness) {
		var u *rawUpstream
		u = h.startRaw("e1", engineService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, fmt.Sprintf("HTTP/1.1 404 Not Found\r\n%s: %s\r\n\r\nno such su", dialect.RequestID, id))
			h.setLeaving("e1")
			u.l.Close()
			return false
		})
		got := h.generate("/guide/1")
		assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	})
}

// Guards against an answer without a body, whose head may name no length, that is taken for
// cut short because its upstream ended after it.
func TestAnswerWithoutBodyOfLeavingUpstream(t *testing.T) {
	run(t, func(h *harness) {
		var u *rawUpstream
		u = h.startRaw("s1", callService, func(w io.Writer, id string, _ int) bool {
			h.setLeaving("s1")
			u.l.Close()
			_, _ = io.WriteString(w, head(id, ""))
			return false
		})
		got := h.request(http.MethodHead, "/order/1", nil, time.Second)
		assert.Equal(t, got.status, http.StatusOK)
	})
}

// Guards against a stream without length or chunks that ends as complete when the process
// of its leaving engine ends, although it can go on from its copy or after its last event.
func TestUnframedStreamOfLeavingEngineGoesOn(t *testing.T) {
	for _, path := range []string{"/guide/1", "/tag/1"} {
		t.Run(path, func(t *testing.T) {
			run(t, func(h *harness) {
				for i := range 3 {
					h.start(fmt.Sprintf("e%d", i), engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: eventGap, Unframed: true})
				}
				after(time.Second, func() {
					for name, w := range h.workers {
						if w.Active() > 0 {
							h.setLeaving(name)
							w.Crash()
						}
					}
				})
				h.checkComplete(h.generate(path))
			})
		})
	}
}
