package btentry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

// maxPause is the longest pause of a stream that is on time.
const maxPause = 180 * time.Millisecond

// home returns the name of the engine that runs a generation now.
func (h *harness) home() string {
	for name, w := range h.workers {
		if w.Active() > 0 {
			return name
		}
	}
	h.t.Fatal("no engine runs the generation")
	return ""
}

// engines starts n engines.
func (h *harness) engines(n int) {
	for i := range n {
		h.engine("e" + string(rune('1'+i)))
	}
}

// Guards against streams that lose, repeat or reorder events.
func TestStreamIsWhole(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(3)
		a := h.stream("/guide/a")
		h.checkWhole(a)
		assert.Equal(t, a.header.Get(dialect.Seal) != "", true)
	})
}

// Pattern: an engine is taken away on short notice while it generates. Guards
// against streams that end with their engine.
func TestStreamMovesFromLeavingEngine(t *testing.T) {
	cases := []struct {
		name      string
		at        time.Duration
		copyDelay time.Duration
	}{
		{"young generation without a copy", 400 * time.Millisecond, time.Hour},
		{"old generation with a copy", 1600 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.pool.CopyDelay = c.copyDelay
				h.engines(3)
				after(c.at, func() {
					name := h.home()
					h.leave(name)
					after(time.Second, h.workers[name].Crash)
				})
				a := h.stream("/guide/a")
				h.checkWhole(a)
				assert.Assert(t, a.longest < maxPause, "pause of %v", a.longest)
				assert.Equal(t, h.pool.Runs(a.id), 1)
			})
		})
	}
}

// Pattern: the engine with the copy died before the notice. Guards against a
// generation that is ended for a copy that nobody can reach (Foldwell inc-9c7b).
func TestStreamKeepsRunningWithoutItsCopy(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(3)
		after(1600*time.Millisecond, func() {
			name := h.home()
			r, _ := h.workers[name].Last()
			for backup, u := range h.upstreams {
				if u.Addr.String() == r.Header.Get(dialect.Backup) {
					h.workers[backup].Crash()
				}
			}
			h.leave(name)
		})
		h.checkWhole(h.stream("/guide/a"))
	})
}

// Pattern: every engine but one gets notice, one after the other. Guards against
// a move that is tried once only.
func TestStreamMovesAgain(t *testing.T) {
	run(t, func(h *harness) {
		h.pool.CopyDelay = time.Hour
		h.engines(3)
		for i := range 2 {
			after(time.Duration(400+700*i)*time.Millisecond, func() {
				name := h.home()
				h.leave(name)
				after(600*time.Millisecond, h.workers[name].Crash)
			})
		}
		h.checkWhole(h.stream("/guide/a"))
	})
}

// Pattern: an engine crashes without notice. Guards against streams that end
// although a copy exists, and against streams that end as if they were whole.
func TestStreamAfterCrash(t *testing.T) {
	t.Run("with a copy", func(t *testing.T) {
		run(t, func(h *harness) {
			h.engines(2)
			after(time.Second, func() { h.workers[h.home()].Crash() })
			a := h.stream("/guide/a")
			h.checkWhole(a)
			assert.Equal(t, h.pool.Runs(a.id), 1)
		})
	})
	t.Run("without a copy", func(t *testing.T) {
		run(t, func(h *harness) {
			h.engines(1)
			after(time.Second, func() { h.workers[h.home()].Crash() })
			a := h.stream("/guide/a")
			assert.Assert(t, a.err != nil, "a cut stream looks whole")
			assert.Equal(t, h.pool.Runs(a.id), 1)
		})
	})
	t.Run("resumable without a copy", func(t *testing.T) {
		run(t, func(h *harness) {
			h.engines(2)
			after(time.Second, func() { h.workers[h.home()].Crash() })
			h.checkWhole(h.request(http.MethodPost, "/tag/a", map[string]string{dialect.TokenCounts: "100,40"}, 6*time.Second))
		})
	})
}

// Pattern: an engine under memory pressure preempts a generation for a while.
// Guards against a take-over that ends a generation on a live engine.
func TestStreamWaitsForBusyEngine(t *testing.T) {
	run(t, func(h *harness) {
		h.pool.CopyDelay = time.Hour
		h.engines(2)
		after(400*time.Millisecond, func() {
			w := h.workers[h.home()]
			w.Stall(true)
			after(time.Second, func() { w.Stall(false) })
		})
		a := h.stream("/guide/a")
		h.checkWhole(a)
		assert.Equal(t, h.pool.Runs(a.id), 1)
	})
}

// Pattern: an engine goes dark: nothing is refused, nothing answers. Guards
// against streams that wait for it.
func TestStreamLeavesDarkEngine(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(2)
		after(time.Second, func() {
			name := h.home()
			addr := h.upstreams[name].Addr.Addr()
			h.net.Silence(h.entry.Addr(), addr)
			h.net.Block(h.entry.Addr(), addr, true)
			h.net.Block(addr, h.entry.Addr(), true)
		})
		a := h.stream("/guide/a")
		h.checkWhole(a)
	})
}

// Guards against "not run" for a generation that ran on an engine which crashed
// before its first event (found on the grown Foldwell site, trouble-3).
func TestStreamRanBeforeCrashIsNotRefused(t *testing.T) {
	run(t, func(h *harness) {
		h.pool.CopyDelay = time.Hour
		h.engines(2)
		for _, w := range h.workers {
			w.Set(btworker.Lost)
		}
		a := h.stream("/guide/a")
		assert.Equal(t, h.pool.Runs(a.id), 1)
		assert.Equal(t, a.status, http.StatusBadGateway)
	})
}

// Guards against generations that run on after their caller has left.
func TestStreamEndsWithItsCaller(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(2)
		a := h.request(http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: "3000,900"}, 700*time.Millisecond)
		assert.Assert(t, a.err != nil)
		time.Sleep(500 * time.Millisecond)
		for _, w := range h.workers {
			assert.Equal(t, w.Active(), 0)
		}
	})
}

// Guards against waiting until the deadline when nothing can serve a stream.
func TestStreamRefusedAtOnce(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(1)
		h.leave("e1")
		started := time.Now()
		a := h.stream("/guide/a")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(started) < 100*time.Millisecond)
	})
}

// Pattern: most engines have ended while the store is away, so that they stay
// registered. Guards against streams that are refused after a few of them (grown
// Foldwell site, trouble-3: 350 refusals in 10 s with 20 live engines).
func TestStreamFindsTheLiveEngine(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(9)
		for name, w := range h.workers {
			if name != "e5" {
				w.Crash()
			}
		}
		h.checkWhole(h.stream("/guide/a"))
	})
}

// Pattern: an engine restarts at its address while a connection to it is kept.
// Guards against generations that are sent on the dead connection (own day
// crash-beside-notice: a guide answered 502 after 2 ms).
func TestStreamUsesNoKeptConnection(t *testing.T) {
	run(t, func(h *harness) {
		h.engines(1)
		a := h.request(http.MethodPost, "/tag/a", map[string]string{dialect.TokenCounts: "100,40"}, 6*time.Second)
		h.checkWhole(a)
		h.net.Silence(h.entry.Addr(), h.upstreams["e1"].Addr.Addr())
		h.checkWhole(h.stream("/guide/a"))
	})
}
