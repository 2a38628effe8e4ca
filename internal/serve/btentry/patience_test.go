package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

// Callers abandon a stream without events four target latencies after they have sent its request, or
// at its deadline. Guards against a daemon that ends such a stream, or rejects it, only then or later:
// its caller gets neither an answer nor a refusal.
func TestStreamWithoutEventsIsAnsweredBeforeItsCallerLeaves(t *testing.T) {
	// Longer than callers wait.
	const long = time.Minute
	for _, c := range []struct {
		name   string
		target string
		// patience is how long callers wait for a first event.
		patience time.Duration
		engine   btworker.Config
		memory   int
		stall    bool
		// deadline is the callers' in milliseconds.
		deadline string
	}{
		{"in the queue of an engine", "guide", 7200 * time.Millisecond, btworker.Config{Events: 3, Gap: long, Slots: 1}, 1 << 20, false, "39000"},
		{"in the queues of two engines", "tag", 6 * time.Second, btworker.Config{Events: 3, Gap: long, Slots: 1}, 1 << 20, false, "39000"},
		{"behind a prompt", "guide", 7200 * time.Millisecond, btworker.Config{Events: 3, Read: long}, 1 << 20, false, "39000"},
		{"at an engine that stands still", "guide", 7200 * time.Millisecond, btworker.Config{Events: 3, Gap: eventGap}, 1 << 20, true, "39000"},
		{"for memory, then in a queue", "guide", 7200 * time.Millisecond, btworker.Config{Events: 3, Gap: long, Slots: 1}, 2000, false, "39000"},
		{"until its deadline", "guide", time.Second, btworker.Config{Events: 3, Gap: long, Slots: 1}, 1 << 20, false, "1000"},
		{"for memory until its deadline", "guide", 800 * time.Millisecond, btworker.Config{Events: 3, Gap: long}, 1000, false, "800"},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.memory = c.memory
				for i := range 2 {
					h.start(fmt.Sprintf("e%d", i), engineService, c.engine)
				}
				header := map[string]string{dialect.TokenCounts: "1000,240", dialect.DeadlineMillis: c.deadline}
				var occupants sync.WaitGroup
				if c.engine.Slots > 0 {
					// Callers that have got a first event stay.
					for _, w := range h.workers {
						occupants.Go(func() { h.occupy(w, 10*time.Second) })
					}
					time.Sleep(time.Second)
				}
				if c.stall {
					h.stall(true)
				}
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						got := h.request(http.MethodPost, "/"+c.target+"/a", header, c.patience)
						assert.Check(t, got.err == nil, "no answer: %v", got.err)
						assert.Check(t, got.status >= http.StatusInternalServerError, "status %d", got.status)
					})
				}
				callers.Wait()
				occupants.Wait()
				h.stall(false)
			})
		})
	}
}

// occupy runs a request at an engine, unknown to the daemon, and drops it after a while.
func (h *harness) occupy(w *btworker.Worker, d time.Duration) {
	c, err := h.dialEntry(w.Addr())
	assert.NilError(h.t, err)
	h.exchange(c, "occupant-"+w.Addr().String(), http.MethodPost, "/guide/b", nil, d)
}
