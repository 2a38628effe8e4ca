package btentry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/btretry"
)

// noStatusLines are status lines that HTTP/1.1 does not have.
var noStatusLines = []string{"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 +20 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 X"}

// noStatus is a response with such a line to a request. It says that the request has not run,
// and its body looks like a response. The connection stays open.
func noStatus(line, id, header string) string {
	body := head(id, "Content-Length: 5\r\n") + "wrong"
	return fmt.Sprintf("%s\r\n%s: %s\r\n%s: full\r\n%sContent-Length: %d\r\n\r\n%s", line, dialect.RequestID, id, dialect.NotRun, header, len(body), body)
}

// startWithoutStatus starts an upstream whose answers have no status after the first good ones,
// whose body is "good".
func (h *harness) startWithoutStatus(name, service, line, header string, good int) *rawUpstream {
	return h.startRaw(name, service, func(w io.Writer, id string, before int) bool {
		text := noStatus(line, id, header)
		if before < good {
			text = head(id, "Content-Length: 4\r\n") + "good"
		}
		_, err := io.WriteString(w, text)
		return err == nil
	})
}

// checkUnknown checks that a caller was told that its request may have run.
func checkUnknown(t *testing.T, line string, got response) {
	t.Helper()
	assert.Check(t, got.err == nil && got.status == http.StatusBadGateway, "%s: status %d, body %q: %v", line, got.status, got.body, got.err)
	assert.Check(t, got.header.Get(dialect.NotRun) == "", "%s: %v", line, got.header)
}

// An upstream answers with a status that is none. Guards against its body or its head that
// reach the caller as an answer, and against a refusal as not run of a request that may have
// run, on every kind of route and on connections that were used before.
func TestStatusThatIsNone(t *testing.T) {
	for _, line := range noStatusLines {
		for _, target := range []string{"/order/a", "/check/a", "/guide/a", "/tag/a"} {
			t.Run(line+target, func(t *testing.T) {
				run(t, func(h *harness) {
					service, header := callService, ""
					if target == "/guide/a" || target == "/tag/a" {
						service, header = engineService, "Content-Type: text/event-stream\r\n"
					}
					u := h.startWithoutStatus("r1", service, line, header, 0)
					defer u.l.Close()
					checkUnknown(t, line, h.request(http.MethodPost, target, nil, 10*time.Second))
				})
			})
		}
		t.Run(line+" reused", func(t *testing.T) {
			run(t, func(h *harness) {
				u := h.startWithoutStatus("r1", callService, line, "", 1)
				defer u.l.Close()
				got := h.request(http.MethodPost, "/order/a", nil, 5*time.Second)
				assert.Check(t, got.body == "good", "status %d, body %q", got.status, got.body)
				checkUnknown(t, line, h.request(http.MethodPost, "/order/a", nil, 5*time.Second))
				// The next request gets another connection.
				got = h.request(http.MethodPost, "/order/a", nil, 5*time.Second)
				assert.Check(t, got.body == "good", "status %d, body %q", got.status, got.body)
			})
		})
	}
}

// allowRetries gives the daemon tokens for repeats.
func (h *harness) allowRetries() {
	h.handler.Budget = &btretry.Budget{Timer: h.timer, Minimum: 1000, Burst: 1000}
	h.handler.Budget.Retry(callService)
	h.handler.Budget.Retry(engineService)
	time.Sleep(time.Second)
}

// Guards against a request that may be repeated and is not, after a status that is none.
func TestStatusThatIsNoneIsRepeatedWhereAllowed(t *testing.T) {
	for _, line := range noStatusLines {
		run(t, func(h *harness) {
			u := h.startWithoutStatus("r1", callService, line, "", 0)
			defer u.l.Close()
			h.startShop("s1")
			h.allowRetries()
			for n := range 8 {
				got := h.request(http.MethodPost, "/check/a", nil, 5*time.Second)
				assert.Check(t, got.status == http.StatusOK && got.body != "wrong", "%s, request %d: status %d, body %q", line, n, got.status, got.body)
			}
		})
		run(t, func(h *harness) {
			u := h.startWithoutStatus("r1", engineService, line, "Content-Type: text/event-stream\r\n", 0)
			defer u.l.Close()
			h.startEngine("e1")
			h.allowRetries()
			for range 4 {
				h.checkComplete(h.generate("/tag/a"))
			}
		})
	}
}

// The engine of a stream leaves, and the one that is to go on with it answers with a status
// that is none. Guards against bytes of that answer within the stream, and against one that
// looks complete without its last event.
func TestStatusThatIsNoneAtHandover(t *testing.T) {
	for _, line := range noStatusLines {
		for _, target := range []string{"/guide/a", "/tag/a"} {
			run(t, func(h *harness) {
				h.startEngine("e1")
				asked := atomic.Int32{}
				u := h.startRaw("r1", engineService, func(w io.Writer, id string, _ int) bool {
					asked.Add(1)
					body := "id: 40\ndata: wrong\n\nid: 41\ndata: wrong\n\n"
					_, err := fmt.Fprintf(w, "%s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", line, dialect.RequestID, id, len(body), body)
					return err == nil
				})
				defer u.l.Close()
				h.allowRetries()
				// The stream begins at the engine that works, which is less busy.
				h.accounts.Observe("r1", 12, 6)
				after(1600*time.Millisecond, func() { h.setLeaving("e1") })
				after(2*time.Second, func() { h.workers["e1"].Crash() })
				got := h.generate(target)
				assert.Check(t, asked.Load() > 0, "%s %s: the other engine was not asked, %d events", line, target, len(got.events))
				for i, id := range got.events {
					assert.Check(t, id == fmt.Sprint(i+1), "%s: event %d has id %s", line, i+1, id)
				}
				assert.Check(t, got.err != nil || len(got.events) == streamEvents, "%s: complete with %d events", line, len(got.events))
			})
		}
	}
}
