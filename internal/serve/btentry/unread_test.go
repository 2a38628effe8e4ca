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

// An upstream answers a large request without a length and ends the connection, before or after it
// has read the request. Guards against a cut answer that looks whole to the caller, and against a
// whole one that is taken for broken, on each kind of route.
func TestUnframedAnswerToLargeRequest(t *testing.T) {
	body := strings.Repeat("x", 2<<20)
	events := "id: 1\ndata: a\n\n"
	for _, c := range []struct {
		name, target, service, answer string
		// empty answers of streams are never whole.
		empty bool
	}{
		{"order", "/order/1", callService, "answ", false},
		{"check", "/check/1", callService, "answ", false},
		{"stream without an event", "/guide/1", engineService, "data", true},
		{"stream with an event", "/guide/1", engineService, events, false},
		{"resumable stream with an event", "/tag/1", engineService, events, false},
	} {
		for _, read := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, request read %t", c.name, read), func(t *testing.T) {
				run(t, func(h *harness) {
					u := h.startRaw("u1", c.service, func(w io.Writer, id string, _ int) bool {
						_, _ = io.WriteString(w, head(id, "Content-Type: text/event-stream\r\n")+c.answer)
						return false
					})
					u.unread.Store(!read)
					got := h.exchangeHalf(requestText(c.target, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body), 0, 8*time.Second)
					whole := got.err == nil && got.status == http.StatusOK
					assert.Check(t, whole == (read && !c.empty), "%d %q %v", got.status, got.body, got.err)
					u.l.Close()
				})
			})
		}
	}
}
