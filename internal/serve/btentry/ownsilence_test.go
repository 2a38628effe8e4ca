package btentry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The daemon hears and reaches no engine for a moment, as on a link that is full, and later does not
// reach the one with the copy either. Guards against a stream that its sound engine still runs and
// that breaks off because the daemon takes its own silence for the engine's.
func TestStreamStaysWhileNoEngineIsReached(t *testing.T) {
	for _, length := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			run(t, func(h *harness) {
				h.startEngines(2)
				away := func(on bool) {
					h.stall(on)
					for _, w := range h.workers {
						h.net.Block(h.entryAddr.Addr(), w.Addr().Addr(), on)
					}
				}
				after(500*time.Millisecond, func() { away(true) })
				after(500*time.Millisecond+length, func() { away(false) })
				got := h.generate("/guide/a")
				h.checkComplete(got)
				assert.Equal(t, h.pool.Runs(got.id), 1)
			})
		})
	}
}

// An engine goes dark, and the one with the copy is not reached for a moment when it is to go on.
// Guards against a stream that breaks off after a single attempt to reach its copy.
func TestCopyIsReachedAtSecondAttempt(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngines(2)
		after(1500*time.Millisecond, func() {
			from := h.runningEngine()
			h.workers[from].Stall(true)
			h.net.Block(h.entryAddr.Addr(), h.workers[from].Addr().Addr(), true)
			for name, w := range h.workers {
				if name == from {
					continue
				}
				// The look at it is over, the send is not.
				after(110*time.Millisecond, func() { h.net.Block(h.entryAddr.Addr(), w.Addr().Addr(), true) })
				after(700*time.Millisecond, func() { h.net.Block(h.entryAddr.Addr(), w.Addr().Addr(), false) })
			}
		})
		h.checkComplete(h.generate("/guide/a"))
	})
}
