package btentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bramleytack/internal/node/btmemory"
)

// checkKept fails the test if more bytes are kept than the limit allows, until done is closed.
func (h *harness) checkKept(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			kept := h.handler.Memory.Kept()
			if kept > h.handler.Memory.Limit {
				h.t.Errorf("%d bytes are kept", kept)
				return
			}
		}
	}
}

// Engines and services send bytes without end to many requests at once, each of them slower
// than what would exceed its own bound. Guards against a sum beyond the limit for all, against
// sound requests beside them that pay for it, and against untrue answers to the others.
func TestSumOfBytesWithoutEnd(t *testing.T) {
	const limit, floods = 1 << 20, 40
	stream := "Content-Type: text/event-stream\r\n"
	for _, c := range []struct {
		name, target string
		first        func(id string) string
		text         string
	}{
		{"event", "/guide/flood", func(id string) string { return head(id, stream) + "id: 1\ndata: " }, strings.Repeat("x", 4096)},
		{"event after a sound one", "/guide/flood", func(id string) string { return head(id, stream) + "id: 1\ndata: a\n\nid: 2\ndata: " }, strings.Repeat("x", 4096)},
		{"event of short lines", "/guide/flood", func(id string) string { return head(id, stream) }, strings.Repeat("data: x\n", 500)},
		{"head", "/guide/flood", func(string) string { return "HTTP/1.1 200 OK\r\n" }, strings.Repeat("a: b\r\n", 200)},
		{"body of an error", "/guide/flood", func(id string) string {
			return strings.Replace(head(id, "Connection: close\r\n"), "200 OK", "500 Failed", 1)
		}, strings.Repeat("x", 4096)},
		{"body of a call", "/order/flood", func(id string) string { return head(id, "Connection: close\r\n") }, strings.Repeat("x", 4096)},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.handler.Memory = &btmemory.Budget{Limit: limit}
				service := engineService
				if strings.HasPrefix(c.target, "/order/") {
					service = callService
					h.startEngine("e1")
				} else {
					h.startShop("s1")
				}
				flood := func(w io.Writer, id string, _ int) bool {
					if !strings.HasPrefix(id, "flood") {
						_, err := io.WriteString(w, head(id, "Content-Type: text/event-stream\r\nConnection: close\r\n")+"id: 1\ndata: x\n\n")
						return err != nil
					}
					_, _ = io.WriteString(w, c.first(id))
					return repeat(w, c.text, 20*time.Millisecond)
				}
				for i := range 3 {
					defer h.startRaw(fmt.Sprint("u", i), service, flood).l.Close()
				}
				done := make(chan struct{})
				go h.checkKept(done)
				var wg sync.WaitGroup
				var ended atomic.Int32
				for i := range floods {
					wg.Go(func() {
						got := h.send(fmt.Sprint("flood-", i), http.MethodPost, c.target, nil, 5*time.Second)
						assert.Check(t, got.err != nil || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, "%d %q", got.status, got.body)
						ended.Add(1)
					})
				}
				for i := range 20 {
					time.Sleep(20 * time.Millisecond)
					for _, target := range []string{"/order/sound", "/guide/sound"} {
						if strings.HasPrefix(target, "/order/") && service == callService {
							continue
						}
						got := h.send(fmt.Sprint("sound-", target[1:6], i), http.MethodPost, target, nil, 10*time.Second)
						assert.Check(t, got.err)
						assert.Check(t, cmp.Equal(got.status, http.StatusOK), "%s: %s", target, got.body)
					}
				}
				wg.Wait()
				close(done)
				time.Sleep(time.Second)
				assert.Equal(t, ended.Load(), int32(floods))
				assert.Equal(t, h.handler.Memory.Kept(), int64(0), "bytes of ended requests are still counted")
			})
		})
	}
}

// Engines send large events to callers that do not read. Guards against events that are read
// ahead for them until the memory is used up, and against callers that read and pay for it.
func TestEventsForCallersThatDoNotRead(t *testing.T) {
	const limit, size, callers = 1 << 20, 100 << 10, 12
	run(t, func(h *harness) {
		h.handler.Memory = &btmemory.Budget{Limit: limit}
		event := "id: %d\ndata: " + strings.Repeat("x", size) + "\n\n"
		u := h.startRaw("u1", engineService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\nConnection: close\r\n"))
			for i := range 20 {
				if strings.HasPrefix(id, "sound") {
					fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				} else if _, err := fmt.Fprintf(w, event, i+1); err != nil {
					return false
				}
				time.Sleep(20 * time.Millisecond)
			}
			return false
		})
		defer u.l.Close()
		done := make(chan struct{})
		go h.checkKept(done)
		for range callers {
			c, err := h.dialEntry(h.entryAddr)
			assert.NilError(t, err)
			defer c.Close()
			go (&textWriter{c, requestText("/guide/a", "", "")}).run()
		}
		for i := range 5 {
			got := h.send(fmt.Sprint("sound-", i), http.MethodPost, "/guide/a", nil, 10*time.Second)
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.events), 20)
		}
		assert.Assert(t, h.handler.Active() < callers, "no caller that does not read was ended")
		close(done)
	})
}

// An engine sends small events to a caller that does not read. Guards against a read-ahead
// that is bounded by the number of events only, and against one that stops a caller that
// reads later.
func TestReadAheadIsBoundedInBytes(t *testing.T) {
	const size, events = 8 << 10, 60
	run(t, func(h *harness) {
		event := "id: %d\ndata: " + strings.Repeat("x", size) + "\n\n"
		u := h.startRaw("u1", engineService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\nConnection: close\r\n"))
			for i := range events {
				if _, err := fmt.Fprintf(w, event, i+1); err != nil {
					return false
				}
			}
			return false
		})
		defer u.l.Close()
		c, err := h.dialEntry(h.entryAddr)
		assert.NilError(t, err)
		defer c.Close()
		go (&textWriter{c, requestText("/guide/a", "", "")}).run()
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, h.handler.Memory.Kept() <= 64<<10, "%d bytes are read ahead", h.handler.Memory.Kept())
		got := response{}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		defer resp.Body.Close()
		got.read(resp.Body)
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.events), events)
	})
}
