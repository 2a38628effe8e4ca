package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// guides sends n long generations, pause after each.
func (h *harness) guides(n int, pause time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			h.checkWhole(h.send(fmt.Sprintf("guide-%d", i), http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: "3000,900"}, 40*time.Second))
		})
	}
	return &wg
}

// mostActive returns the most generations that one engine runs within d.
func (h *harness) mostActive(d time.Duration) int {
	const look = 5 * time.Millisecond
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(look) {
		for _, w := range h.workers {
			most = max(most, w.Active())
		}
	}
	return most
}

// Pattern: generations need more memory than the engines have. Guards against
// generations in the queue of a full engine while another one becomes free
// (grown Foldwell site, scale-1: first events after 5 s beside engines with room).
func TestGenerationWaitsForRoom(t *testing.T) {
	run(t, func(h *harness) {
		// Room for one at each of two engines.
		h.memory = 4500
		h.engines(2)
		wg := h.guides(3, 600*time.Millisecond)
		assert.Equal(t, h.mostActive(5*time.Second), 1, "generations wait in an engine's queue")
		wg.Wait()
	})
}

// Pattern: as above, and a short request comes. Guards against short requests
// that wait behind long ones.
func TestShortGenerationNeedsLittleRoom(t *testing.T) {
	run(t, func(h *harness) {
		h.memory = 4000
		h.engines(1)
		after(500*time.Millisecond, func() {
			started := time.Now()
			a := h.send("short", http.MethodPost, "/tag/a", map[string]string{dialect.TokenCounts: "400,20"}, 6*time.Second)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK)
			assert.Assert(t, time.Since(started) < streamLen*gap+400*time.Millisecond)
		})
		h.checkWhole(h.stream("/guide/a"))
		time.Sleep(5 * time.Second)
	})
}

// Guards against generations that wait for ever while no engine becomes free.
func TestGenerationGoesToFullEngineInTheEnd(t *testing.T) {
	run(t, func(h *harness) {
		h.memory = 3000
		h.engines(1)
		started := time.Now()
		h.checkWhole(h.stream("/guide/a"))
		assert.Assert(t, time.Since(started) < streamLen*gap+2*time.Second)
	})
}
