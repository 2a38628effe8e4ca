package btentry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/standin/btworker"
)

// An engine is silent for a moment, and the one with the copy has no free place. Guards against
// a stream that is taken from an engine that still runs it, and ends in the queue of another
// one.
func TestStreamStaysAtSilentEngineIfTheOtherIsFull(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngine("e1")
		full := h.start("e2", engineService, btworker.Config{Events: streamEvents, Gap: time.Second, Slots: 1})
		for range h.slots {
			h.accounts.Begin(bramleytack.UpstreamID("e2"), btaccount.Need{})
		}
		// Another daemon's generation takes the place.
		c, err := h.dialEntry(full.Addr())
		assert.NilError(t, err)
		go h.exchange(c, "occupant", http.MethodPost, "/guide/b", nil, 20*time.Second)
		silent := func(on bool) {
			h.workers["e1"].Stall(on)
			h.net.Block(h.entryAddr.Addr(), h.workers["e1"].Addr().Addr(), on)
		}
		after(700*time.Millisecond, func() { silent(true) })
		after(time.Second, func() { silent(false) })
		got := h.generate("/guide/a")
		h.checkComplete(got)
		assert.Equal(t, h.pool.Runs(got.id), 1)
	})
}
