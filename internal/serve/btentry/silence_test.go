package btentry_test

import (
	"fmt"
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

// An engine takes no connections for a moment while its stream without length or chunks ends. Guards
// against a whole response that breaks off because the engine counts as silent while the daemon still
// looks whether it is there.
func TestUnframedStreamEndsAtSilentEngine(t *testing.T) {
	// The stream ends one gap after its last event.
	const gap = 170 * time.Millisecond
	const lastEvent = 100*time.Millisecond + (streamEvents-1)*gap
	// The second look at the engine begins that long after the end.
	const secondLook = 70 * time.Millisecond
	for from := time.Duration(0); from < gap; from += 10 * time.Millisecond {
		for _, length := range []time.Duration{70 * time.Millisecond, 100 * time.Millisecond, 115 * time.Millisecond} {
			if from+length >= gap+secondLook {
				continue
			}
			t.Run(fmt.Sprintf("%v for %v", from, length), func(t *testing.T) {
				run(t, func(h *harness) {
					for i := range 3 {
						h.start(fmt.Sprintf("e%d", i+1), engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: gap, Unframed: true})
					}
					after(lastEvent+from, func() {
						addr := h.workers[h.runningEngine()].Addr().Addr()
						h.net.Block(h.entryAddr.Addr(), addr, true)
						after(length, func() { h.net.Block(h.entryAddr.Addr(), addr, false) })
					})
					h.checkComplete(h.generate("/guide/a"))
				})
			})
		}
	}
}
