package btentry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/btretry"
	"bramleytack/internal/standin/btworker"
)

// enterBound is the shortest time after the notice of an upstream's leaving for which the
// deployments' pages allow requests to it.
const enterBound = 2 * time.Second

// onConnect calls f when the daemon connects to an upstream, before it is connected.
func (h *harness) onConnect(name string, f func()) {
	dial, addr := h.handler.Pool.Dial, h.upstreams[name].Addr.String()
	h.handler.Pool.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == addr {
			f()
		}
		return dial(ctx, network, to)
	}
}

// moveAway starts a generation at e1, which leaves then, so that e2 takes it over.
func (h *harness) moveAway() response {
	h.startGenerator("e1", 250*time.Millisecond)
	after(500*time.Millisecond, func() {
		h.startGenerator("e2", 20*time.Millisecond)
		h.setLeaving("e1")
	})
	return h.generate("/guide/a")
}

// The target of a move begins to leave after the source was closed. Guards against a generation
// that ends although its copy lies there, and is not left behind there either.
func TestGenerationEntersEngineThatBeginsToLeave(t *testing.T) {
	run(t, func(h *harness) {
		left := false
		after(510*time.Millisecond, func() {
			h.onConnect("e2", func() {
				if !left {
					left = true
					h.setLeaving("e2")
					after(300*time.Millisecond, func() { h.startGenerator("e3", 20*time.Millisecond) })
				}
			})
		})
		got := h.moveAway()
		h.checkComplete(got)
		assert.Check(t, left && h.workers["e3"].ArrivedAfter(time.Time{}) == 1, "it leaves again")
		h.checkRuns(got)
	})
}

// The target begins to leave and rejects the copy each time, slowly. Guards against repeats that
// reach an engine later than the pages allow.
func TestGenerationDoesNotEnterEngineThatLeftBefore(t *testing.T) {
	run(t, func(h *harness) {
		var leftAt, latest time.Time
		h.pool.Calls = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get(dialect.From) != "" {
				latest = time.Now()
				time.Sleep(enterBound / 2)
			}
			return false
		}
		after(510*time.Millisecond, func() {
			h.workers["e2"].Set(btworker.Full)
			h.onConnect("e2", func() {
				if leftAt.IsZero() {
					leftAt = time.Now()
					h.setLeaving("e2")
				}
			})
		})
		got := h.moveAway()
		assert.Check(t, got.err != nil)
		assert.Check(t, !latest.Before(leftAt) && latest.Before(leftAt.Add(enterBound)), "%v after it left", latest.Sub(leftAt))
		h.checkRuns(got)
	})
}

// handOverAt sends a generation whose copy at e2 is complete late after the engine is
// found leaving, and returns how often e2 was asked.
func (h *harness) handOverAt(late time.Duration) (got response, asked int) {
	const leaves = 1500 * time.Millisecond
	h.pool.CopyDelay = leaves + late
	h.startGenerator("e1", 100*time.Millisecond)
	h.startGenerator("e2", 20*time.Millisecond)
	after(leaves, func() { h.setLeaving(h.runningEngine()) })
	got = h.generate("/guide/a")
	for _, name := range []string{"e1", "e2"} {
		asked += h.workers[name].ArrivedAfter(time.Time{})
	}
	return got, asked - 1
}

// Engines reject a copy until they have noticed that its generation has ended elsewhere. Guards against
// streams that break off after one such rejection, against repeats without end or within a
// pause that the engine asked for, and against repeats that the deployment's budget does not allow.
func TestRejectedCopyIsRepeated(t *testing.T) {
	empty := func(h *harness) {
		h.handler.Budget = &btretry.Budget{Timer: h.timer, Ratio: 1e-9, Minimum: 1e-9, Burst: 1}
		h.handler.Budget.Retry(engineService)
	}
	pausing := func(h *harness) {
		for _, w := range h.workers {
			w.SetPause(5 * time.Second)
		}
	}
	for name, c := range map[string]struct {
		late     time.Duration
		prepare  func(h *harness)
		complete bool
		asked    int
	}{
		"complete":         {0, nil, true, 1},
		"one rejection":    {10 * time.Millisecond, empty, true, 2},
		"three rejections": {40 * time.Millisecond, nil, true, 4},
		"four rejections":  {time.Second, nil, false, 4},
		"no budget":        {40 * time.Millisecond, empty, false, 2},
		"asks for a pause": {40 * time.Millisecond, pausing, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				after(time.Second, func() {
					if c.prepare != nil {
						c.prepare(h)
					}
				})
				got, asked := h.handOverAt(c.late)
				assert.Check(t, asked == c.asked, "asked %d times", asked)
				if c.complete {
					h.checkComplete(got)
				} else {
					assert.Check(t, got.err != nil && got.status == http.StatusOK)
				}
				h.checkRuns(got)
			})
		})
	}
}
