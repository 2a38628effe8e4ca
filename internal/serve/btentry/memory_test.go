package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startGenerations requests n long generations, one after each pause.
func (h *harness) startGenerations(n int, pause time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			h.checkComplete(h.send(fmt.Sprintf("guide-%d", i), http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: "3000,900"}, 40*time.Second))
		})
	}
	return &wg
}

// maxActive returns the highest number of requests active at one engine within d.
func (h *harness) maxActive(d time.Duration) int {
	const interval = 5 * time.Millisecond
	highest := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		for _, w := range h.workers {
			highest = max(highest, w.Active())
		}
	}
	return highest
}

// Generations need more memory than the engines have. Guards against generations
// that wait in the queue of a full engine while another engine becomes free. On the
// grown Foldwell site (day scale-1), first events came after 5 s for this reason.
func TestGenerationWaitsForFreeMemory(t *testing.T) {
	run(t, func(h *harness) {
		// Each of the two engines has memory for one generation.
		h.memory = 4500
		h.startEngines(2)
		wg := h.startGenerations(3, 600*time.Millisecond)
		assert.Equal(t, h.maxActive(5*time.Second), 1, "generations wait in an engine's queue")
		wg.Wait()
	})
}

// A long generation uses most of the only engine's memory. Guards against a short
// generation that waits until the long one has ended.
func TestShortGenerationStartsBesideLongOne(t *testing.T) {
	run(t, func(h *harness) {
		h.memory = 4000
		h.startEngines(1)
		after(500*time.Millisecond, func() {
			started := time.Now()
			got := h.send("short", http.MethodPost, "/tag/a", map[string]string{dialect.TokenCounts: "400,20"}, 6*time.Second)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, time.Since(started) < streamEvents*eventGap+400*time.Millisecond)
		})
		h.checkComplete(h.generate("/guide/a"))
		time.Sleep(5 * time.Second)
	})
}

// Guards against generations that wait forever while no engine becomes free.
func TestGenerationGoesToFullEngineAfterWait(t *testing.T) {
	run(t, func(h *harness) {
		h.memory = 3000
		h.startEngines(1)
		started := time.Now()
		h.checkComplete(h.generate("/guide/a"))
		assert.Assert(t, time.Since(started) < streamEvents*eventGap+2*time.Second)
	})
}
