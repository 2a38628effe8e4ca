package btentry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller that is told "not run" for a request that ran, because the
// upstream sent an earlier rejection again on the connection.
func TestEarlierRejectionAgain(t *testing.T) {
	rejection := func(idLine string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + idLine + dialect.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	for name, idLine := range map[string]func(id string) string{
		"with its id": func(id string) string { return dialect.RequestID + ": " + id + "\r\n" },
		"without id":  func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				rejected := ""
				u := h.startRaw("s1", callService, func(w io.Writer, id string, before int) bool {
					text := head(id, fmt.Sprintf("Content-Length: %d\r\n", len(id))) + id
					switch before {
					case 0:
						rejected = id
						text = rejection(dialect.RequestID + ": " + id + "\r\n")
					case 2:
						text = rejection(idLine(rejected)) + text
					}
					_, err := io.WriteString(w, text)
					return err == nil
				})
				h.request(http.MethodPost, "/order/1", nil, 5*time.Second)
				for i := range 4 {
					got := h.request(http.MethodPost, "/order/1", nil, 5*time.Second)
					if got.status == http.StatusServiceUnavailable {
						// The raw upstream rejects the first request of each connection.
						assert.Assert(t, i > 1, "request %d ran, and its caller was told that it did not", i)
					}
				}
				u.l.Close()
			})
		})
	}
}

// Guards against the text of an error in the middle of a stream, and against a stream that
// looks complete, if the next engine answers with an error after the first one broke off.
func TestErrorAfterBrokenStream(t *testing.T) {
	run(t, func(h *harness) {
		broken := false
		for _, name := range []string{"e1", "e2"} {
			u := h.startRaw(name, engineService, func(w io.Writer, id string, _ int) bool {
				if broken {
					_, _ = io.WriteString(w, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\nContent-Length: 9\r\n\r\nsecret!!\n", dialect.RequestID, id))
					return false
				}
				broken = true
				_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
				for i := range 3 {
					event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
					_, _ = io.WriteString(w, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
				}
				time.Sleep(50 * time.Millisecond)
				return false
			})
			defer u.l.Close()
		}
		got := h.generate("/tag/1")
		assert.Equal(t, len(got.events), 3)
		assert.Assert(t, got.err != nil, "the stream looks complete")
		assert.Assert(t, !strings.Contains(got.body, "secret") && !strings.Contains(got.body, "HTTP/"), got.body)
	})
}

// Guards against an answer that looks whole although its upstream closed the connection
// within the head, or within an event of a stream without length or chunks.
func TestAnswerCutShort(t *testing.T) {
	unframed := "Content-Type: text/event-stream\r\nConnection: close\r\n"
	for name, c := range map[string]struct {
		path, service string
		answer        func(id string) string
		status        int
	}{
		"call, in a header":      {"/order/1", callService, func(id string) string { return strings.TrimSuffix(head(id, "Content-Le"), "\r\n") }, http.StatusBadGateway},
		"call, after a header":   {"/order/1", callService, func(id string) string { return strings.TrimSuffix(head(id, ""), "\r\n") }, http.StatusBadGateway},
		"call, in the status":    {"/order/1", callService, func(string) string { return "HTTP/1.1 200" }, http.StatusBadGateway},
		"stream, in a header":    {"/guide/1", engineService, func(id string) string { return strings.TrimSuffix(head(id, "Content-Ty"), "\r\n") }, http.StatusBadGateway},
		"stream, after a header": {"/guide/1", engineService, func(id string) string { return strings.TrimSuffix(head(id, unframed), "\r\n") }, http.StatusBadGateway},
		"stream, before events":  {"/guide/1", engineService, func(id string) string { return head(id, unframed) }, http.StatusBadGateway},
		"stream, in an event":    {"/guide/1", engineService, func(id string) string { return head(id, unframed) + "id: 1\ndata: x\n\nid: 2\nda" }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				u := h.startRaw("u1", c.service, func(w io.Writer, id string, _ int) bool {
					_, _ = io.WriteString(w, c.answer(id))
					return false
				})
				got := h.generate(c.path)
				assert.Equal(t, got.status, c.status)
				assert.Assert(t, c.status != http.StatusOK || got.err != nil, "the answer looks complete")
				u.l.Close()
			})
		})
	}
}

// Guards against an answer without length or chunks that looks whole although its upstream
// crashed in the middle of it.
func TestUnframedAnswerOfCrashedUpstream(t *testing.T) {
	for path, service := range map[string]string{"/order/1": callService, "/guide/1": engineService} {
		t.Run(service, func(t *testing.T) {
			run(t, func(h *harness) {
				var u *rawUpstream
				u = h.startRaw("u1", service, func(w io.Writer, id string, _ int) bool {
					_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\n")+"id: 1\ndata: x\n\n")
					u.l.Close()
					return false
				})
				got := h.generate(path)
				assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q looks complete", got.status, got.body)
			})
		})
	}
}

// Guards against a whole stream without length or chunks that is taken for a broken one.
func TestUnframedStream(t *testing.T) {
	run(t, func(h *harness) {
		u := h.startRaw("e1", engineService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\n")+"id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
			return false
		})
		got := h.generate("/guide/1")
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.events), 2)
		u.l.Close()
	})
}
