package btentry_test

import (
	"fmt"
	"net/http"
	"strconv"
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

// Mass return: 60 callers come at once to an upstream that serves 20 calls a second. Each waits for
// 2.5 s and returns once, when it is told to. Guards against callers that are told to return before
// there is room, because the timeout of their first attempt bounds the time.
func TestReturnTimesUseTheCallersTime(t *testing.T) {
	run(t, func(h *harness) {
		h.startSmallShop("s1")
		h.orders(5).wg.Wait()
		time.Sleep(time.Second)
		const callers, patience = 60, 2500 * time.Millisecond
		answered := make(chan int)
		for i := range callers {
			go func() {
				start := time.Now()
				send := func(n int) response {
					left := patience - time.Since(start)
					return h.send(fmt.Sprintf("back-%d-%d", i, n), http.MethodPost, fmt.Sprintf("/order/%d", i), map[string]string{dialect.DeadlineMillis: strconv.Itoa(int(left.Milliseconds()))}, left)
				}
				r := send(1)
				if r.status == http.StatusServiceUnavailable {
					again := r.retryAfter()
					assert.Check(t, again > 0 && again <= (patience-time.Since(start))/3, "return after %v", again)
					time.Sleep(again)
					r = send(2)
				}
				answered <- r.status
			}()
		}
		n := 0
		for range callers {
			if status := <-answered; status == http.StatusOK {
				n++
			}
		}
		// Four fifths of the 50 that the upstream can serve in their time.
		assert.Check(t, n >= 40, "%d answered", n)
	})
}
