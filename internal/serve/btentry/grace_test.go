package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/node/btdrain"
	"bramleytack/internal/standin/btworker"
)

// Guards against requests that are taken and passed on late in the grace of a planned stop
// and cut at its end, among them requests that may not be repeated.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	const grace = 8 * time.Second
	for _, c := range []struct {
		name   string
		target string
		header map[string]string
		work   time.Duration
		// served is the least number of requests that are served meanwhile.
		served int
	}{
		{"orders", "order", nil, 30 * time.Millisecond, 100},
		{"slow orders", "order", nil, 600 * time.Millisecond, 100},
		{"orders as slow as allowed", "order", nil, 1150 * time.Millisecond, 100},
		{"slow checks", "check", nil, 240 * time.Millisecond, 100},
		{"checks that time out", "check", nil, 700 * time.Millisecond, 0},
		{"streams longer than forecast", "guide", map[string]string{dialect.TokenCounts: "300,240", dialect.LengthHint: "20"}, 0, 0},
		{"streams of unusual length", "guide", map[string]string{dialect.TokenCounts: "300,900", dialect.LengthHint: "20"}, 0, 0},
		{"streams without a length", "guide", nil, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				for i := range 3 {
					h.start(fmt.Sprintf("s%d", i), callService, btworker.Config{Work: c.work})
					h.startEngine(fmt.Sprintf("e%d", i))
				}
				d := h.running()[0]
				drain := &btdrain.Drain{Timer: h.timer, Grace: grace, Active: d.handler.Active}
				d.handler.Leaving = func() bool { return drain.Phase() != btdrain.Serving }
				d.handler.Accepts = drain.Accepts
				var wg sync.WaitGroup
				var mu sync.Mutex
				lost := 0
				answered := map[int]int{}
				stopped := time.Now()
				wg.Go(func() {
					drain.Run(&btdrain.HTTPServer{Server: d.server, Listener: d.listener})
					d.stop()
				})
				// Requests of the first three seconds may be cut.
				time.Sleep(3 * time.Second)
				for i := 0; drain.Phase() < btdrain.Closing; i++ {
					wg.Go(func() {
						conn, err := h.dialEntry(d.addr)
						if err != nil {
							// The listener has closed.
							return
						}
						id := fmt.Sprint("late-", i)
						r := h.exchange(conn, id, http.MethodPost, fmt.Sprintf("/%s/%d", c.target, i), c.header, 20*time.Second)
						mu.Lock()
						defer mu.Unlock()
						// A request that crosses the close of its connection was not passed on.
						if answered[r.status]++; r.err != nil && h.pool.Runs(id) > 0 {
							lost++
						}
					})
					time.Sleep(20 * time.Millisecond)
				}
				wg.Wait()
				assert.Check(t, lost == 0, "%d requests cut, answered %v", lost, answered)
				assert.Check(t, time.Since(stopped) <= grace)
				assert.Check(t, answered[http.StatusOK] >= c.served, "answered %v", answered)
			})
		})
	}
}
