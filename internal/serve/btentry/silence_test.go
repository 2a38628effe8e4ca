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
// against a whole response that breaks off because the engine counts as silent, before its end has
// arrived, while the daemon still looks whether the engine is there, or after it was not found.
func TestUnframedStreamEndsAtSilentEngine(t *testing.T) {
	// The stream ends one gap after its last event. With the longer gap the engine is given up before.
	for _, gap := range []time.Duration{170 * time.Millisecond, 175 * time.Millisecond} {
		lastEvent := 100*time.Millisecond + (streamEvents-1)*gap
		for from := time.Duration(0); from < gap; from += 10 * time.Millisecond {
			for _, length := range []time.Duration{70 * time.Millisecond, 100 * time.Millisecond, 115 * time.Millisecond} {
				t.Run(fmt.Sprintf("end after %v/%v for %v", gap, from, length), func(t *testing.T) {
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
}

// An engine crashes in the middle of a stream without length or chunks and is not reached for a while,
// and the one with the copy ends the stream without an event. Guards against the part that the caller
// has got being taken for the whole response.
func TestUnframedStreamOfUnseenCrashIsNotWhole(t *testing.T) {
	for _, length := range []time.Duration{0, 70 * time.Millisecond, 125 * time.Millisecond, time.Hour} {
		t.Run(length.String(), func(t *testing.T) {
			run(t, func(h *harness) {
				h.startUnframed(3)
				after(1510*time.Millisecond, func() {
					name := h.runningEngine()
					for other, w := range h.workers {
						if other != name {
							w.Set(btworker.Lost)
						}
					}
					addr := h.workers[name].Addr().Addr()
					h.net.Block(h.entryAddr.Addr(), addr, true)
					after(length, func() { h.net.Block(h.entryAddr.Addr(), addr, false) })
					h.workers[name].Crash()
				})
				got := h.generate("/guide/a")
				assert.Check(t, len(got.events) > 0 && len(got.events) < streamEvents, "%d events", len(got.events))
				assert.Check(t, got.err != nil, "the response looks complete after %d events", len(got.events))
			})
		})
	}
}
