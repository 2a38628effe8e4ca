package btentry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/standin/btworker"
)

// Mass return: the only upstream has just started and takes ten calls a second while it is cold.
// Guards against calls that are rejected at once although their turn comes in time, against those
// without one that wait, and against a cold upstream that gets more than its limit.
func TestCallsWaitForColdUpstream(t *testing.T) {
	for _, c := range []struct {
		name     string
		calls    int
		answered int
		early    int
	}{
		{"all in time", 8, 8, 0},
		{"more than in time", 30, 9, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.reconfigure = func(s *bramleytack.Snapshot) { s.Services[callService].ColdPerSecond = 10 }
				w := h.start("s1", callService, btworker.Config{Work: 20 * time.Millisecond, Slots: 6})
				h.upstreams["s1"].ColdUntil = time.Now().Add(10 * time.Second)
				h.publish()
				start := time.Now()
				all := h.orders(c.calls)
				time.Sleep(100 * time.Millisecond)
				all.mu.Lock()
				early := len(all.got)
				all.mu.Unlock()
				assert.Check(t, early >= c.early, "%d were rejected at once", early)
				time.Sleep(900*time.Millisecond - time.Since(start)%time.Millisecond)
				assert.Check(t, w.ArrivedAfter(start) <= 11, "%d arrivals in a second", w.ArrivedAfter(start))
				all.wg.Wait()
				n := 0
				for _, r := range all.got {
					if r.status == 200 {
						n++
					} else {
						assert.Check(t, r.status == 503 && h.pool.Runs(r.id) == 0 && r.header.Get("Retry-After") != "", "%d %q", r.status, r.body)
					}
				}
				assert.Check(t, n >= c.answered, "%d of %d answered, want %d", n, len(all.got), c.answered)
			})
		})
	}
}
