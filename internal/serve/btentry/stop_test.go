package btentry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/standin/btworker"
)

// startDeaf starts n engines that never notice that a connection has closed.
func (h *harness) startDeaf(n int) {
	for i := range n {
		h.startEngine(fmt.Sprintf("e%d", i+1)).DeafenForGood()
	}
}

// checkStopped fails the test unless the stream is whole, went on elsewhere, no engine worked on it
// beside another one, and none keeps memory of it.
func (h *harness) checkStopped(got response) {
	h.t.Helper()
	h.checkComplete(got)
	assert.Check(h.t, len(h.spans(got.id)) > 1, "the generation went on nowhere else")
	h.checkRuns(got)
	assert.Check(h.t, len(h.pool.Kept()) == 0, "kept: %v", h.pool.Kept())
}

// Engines that never notice a closed connection work on generations that go on elsewhere, on each
// path on which they do. Guards against two engines that work on one generation.
func TestDeafEngineIsStopped(t *testing.T) {
	for _, c := range []struct {
		name   string
		target string
		at     time.Duration
		// begin is called while an engine generates.
		begin func(h *harness, engine string)
	}{
		{"leaving, moved", "/guide/a", 400 * time.Millisecond, func(h *harness, engine string) { h.setLeaving(engine) }},
		{"leaving, copy", "/guide/a", 1310 * time.Millisecond, func(h *harness, engine string) { h.setLeaving(engine) }},
		{"no longer registered", "/guide/a", 400 * time.Millisecond, func(h *harness, engine string) {
			delete(h.upstreams, engine)
			h.publish()
		}},
		{"connection broken, copy", "/guide/a", 700 * time.Millisecond, func(h *harness, engine string) {
			h.net.Cut(h.entryAddr.Addr(), h.workers[engine].Addr().Addr())
		}},
		{"connection broken, resumed", "/tag/a", 200 * time.Millisecond, func(h *harness, engine string) {
			h.net.Cut(h.entryAddr.Addr(), h.workers[engine].Addr().Addr())
		}},
		{"connection broken before the first event", "/tag/a", 50 * time.Millisecond, func(h *harness, engine string) {
			h.net.Cut(h.entryAddr.Addr(), h.workers[engine].Addr().Addr())
		}},
		{"connection broken while moved", "/guide/a", 400 * time.Millisecond, func(h *harness, engine string) {
			h.setLeaving(engine)
			after(100*time.Millisecond, func() { h.net.Cut(h.entryAddr.Addr(), h.workers[engine].Addr().Addr()) })
		}},
		{"path lost", "/guide/a", 700 * time.Millisecond, func(h *harness, engine string) { h.losePath(engine, 500*time.Millisecond) }},
		{"path lost while stopped", "/guide/a", 1310 * time.Millisecond, func(h *harness, engine string) {
			h.setLeaving(engine)
			h.losePath(engine, 500*time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startDeaf(3)
				after(c.at, func() { c.begin(h, h.runningEngine()) })
				counts := "3000,900"
				if c.target == "/tag/a" {
					// A shorter generation has no copy.
					counts = "100,40"
				}
				h.checkStopped(h.request(http.MethodPost, c.target, map[string]string{dialect.TokenCounts: counts}, 6*time.Second))
			})
		})
	}
}

// A generation returns to the engine that it has left, which never notices a closed connection.
// Guards against two engines that work on it, and against an order to stop that ends its return.
func TestDeafEngineIsStoppedAndReturnedTo(t *testing.T) {
	run(t, func(h *harness) {
		h.pool.MoveTime = 100 * time.Millisecond
		h.startDeaf(2)
		after(300*time.Millisecond, func() {
			first := h.runningEngine()
			h.setLeaving(first)
			after(400*time.Millisecond, func() {
				second := h.runningEngine()
				assert.Check(t, second != first)
				h.upstreams[first].State = bramleytack.UpstreamActive
				h.setLeaving(second)
			})
		})
		got := h.generate("/guide/a")
		h.checkStopped(got)
		spans := h.spans(got.id)
		assert.Equal(t, len(spans), 3)
		assert.Equal(t, spans[0].Worker, spans[2].Worker)
	})
}

// A roll-out completes while a generation runs at an engine of the old version that never notices
// a closed connection. Guards against two engines that work on it.
func TestDeafEngineOfOldVersionIsStopped(t *testing.T) {
	run(t, func(h *harness) {
		start := func(version string) {
			name := "v" + version
			h.start(name, engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: 150 * time.Millisecond}).DeafenForGood()
			h.upstreams[name].Version = version
			h.publish()
		}
		start("1")
		r := h.order(engineService, 3*time.Second)
		defer r.stop()
		after(500*time.Millisecond, func() { start("2") })
		got := h.generate("/guide/a")
		h.checkStopped(got)
	})
}

// Two engines read a resumable request, of which neither notices a closed connection, and both
// begin. Guards against the one whose events the caller does not get working on.
func TestDeafLoserIsStopped(t *testing.T) {
	run(t, func(h *harness) {
		h.startDeaf(2)
		got := h.requestOfTwo()
		h.checkStopped(got)
	})
}

// An engine that leaves confirms the order to stop and goes on. Guards against a second engine that
// works on its generation, and against a stream that ends with the attempt.
func TestEngineThatDoesNotStopKeepsItsGeneration(t *testing.T) {
	for _, at := range []time.Duration{400 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(at.String(), func(t *testing.T) {
			run(t, func(h *harness) {
				h.startDeaf(3)
				for _, w := range h.workers {
					w.IgnoreStops()
				}
				after(at, func() { h.setLeaving(h.runningEngine()) })
				got := h.generate("/guide/a")
				h.checkComplete(got)
				assert.Equal(t, len(h.spans(got.id)), 1)
			})
		})
	}
}
