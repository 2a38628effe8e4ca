package btentry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/internal/standin/btworker"
)

// Engines stop work at the end of the time that they are told, a fraction of a millisecond before the
// deadline of the daemon. Guards against engines that count as failed for it, so that a route with a short
// timeout ejects them all, and against answers that do not say that the time was over.
func TestEnginesThatKeepTheirTimeHaveNotFailed(t *testing.T) {
	for _, c := range []struct {
		name, target string
		read         time.Duration
		status       int
	}{
		{"before the first event", "/guide/a", time.Second, http.StatusGatewayTimeout},
		{"after some events", "/guide/a", 100 * time.Millisecond, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.routes[0].Timeout = 400700 * time.Microsecond
				for _, name := range []string{"e1", "e2"} {
					h.start(name, engineService, btworker.Config{Events: streamEvents, Read: c.read, Gap: eventGap})
				}
				for range 20 {
					got := h.generate(c.target)
					assert.Check(t, is.Equal(got.status, c.status), "%q %v", got.body, got.err)
					time.Sleep(100 * time.Millisecond)
				}
				for id, l := range h.accounts.OwnLoads() {
					assert.Check(t, l.Ejections == 0, "%s was ejected", id)
				}
			})
		})
	}
}

// Guards against plain upstreams that count as failed because they end calls at the end of the time
// that they are told, so that a route with a short timeout ejects them for all routes.
func TestUpstreamsThatKeepTheirTimeHaveNotFailed(t *testing.T) {
	run(t, func(h *harness) {
		for _, r := range h.routes {
			r.Timeout = 400700 * time.Microsecond
		}
		for _, name := range []string{"s1", "s2"} {
			h.start(name, callService, btworker.Config{Work: time.Second})
		}
		for range 20 {
			h.request(http.MethodPost, "/order/a", nil, callTimeout)
			time.Sleep(100 * time.Millisecond)
		}
		for id, l := range h.accounts.OwnLoads() {
			assert.Check(t, l.Ejections == 0, "%s was ejected", id)
		}
	})
}
