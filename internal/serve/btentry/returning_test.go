package btentry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Mass return: a caller that was told when to return does so among as many new ones as the only
// upstream serves in their time. Guards against a caller that is told to return and finds no
// more room than before.
func TestReturnedCallerComesBeforeNewOnes(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is added to the Retry-After, and early taken off.
		late, early time.Duration
		want        int
	}{
		{"in time", 10 * time.Millisecond, 0, http.StatusOK},
		{"too early", 0, 180 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startSmallShop("s1")
				h.orders(5).check(t, 5)
				first := h.orders(60)
				time.Sleep(10 * time.Millisecond)
				r := h.send("back-1", http.MethodPost, "/order/back", nil, callTimeout)
				assert.Check(t, r.status == http.StatusServiceUnavailable && r.retryAfter() > 0, "%d, %v", r.status, r.header)
				again := r.retryAfter() + c.late - c.early
				time.Sleep(again - 20*time.Millisecond)
				second := h.orders(60)
				time.Sleep(20 * time.Millisecond)
				r = h.send("back-2", http.MethodPost, "/order/back", nil, callTimeout)
				assert.Check(t, r.status == c.want, "%d, want %d", r.status, c.want)
				first.wg.Wait()
				second.wg.Wait()
			})
		})
	}
}
