package btentry_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/btretry"
	"bramleytack/internal/standin/btworker"
)

// enterBound is the shortest time after the notice of an upstream's leaving for which the
// deployments' pages allow requests to it.
const enterBound = 2 * time.Second

// changes makes the changes of a test one after the other.
type changes struct {
	*harness
	mu sync.Mutex
	// connecting is called when the daemon connects to an address. It may be nil.
	connecting func(addr string)
}

// newChanges returns the changes of a test that has not sent anything yet.
func newChanges(h *harness) *changes {
	c := &changes{harness: h}
	dial := h.handler.Pool.Dial
	h.handler.Pool.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		c.do(func() {
			if c.connecting != nil {
				c.connecting(to)
			}
		})
		return dial(ctx, network, to)
	}
	return c
}

// do makes a change.
func (c *changes) do(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// after makes a change once d has passed.
func (c *changes) after(d time.Duration, f func()) { after(d, func() { c.do(f) }) }

// onConnect calls f when the daemon connects to an upstream, before it is connected.
func (c *changes) onConnect(name string, f func()) {
	addr := c.upstreams[name].Addr.String()
	c.connecting = func(to string) {
		if to == addr {
			f()
		}
	}
}

// moveAway starts a generation at e1, which leaves then, so that e2 takes it over.
func (c *changes) moveAway() response {
	c.startGenerator("e1", 250*time.Millisecond)
	c.after(500*time.Millisecond, func() {
		c.startGenerator("e2", 20*time.Millisecond)
		c.setLeaving("e1")
	})
	return c.generate("/guide/a")
}

// The target of a move begins to leave after the source was closed. Guards against a generation
// that ends although its copy lies there, and is not left behind there either.
func TestGenerationEntersEngineThatBeginsToLeave(t *testing.T) {
	run(t, func(h *harness) {
		c, left := newChanges(h), false
		c.after(510*time.Millisecond, func() {
			c.onConnect("e2", func() {
				if !left {
					left = true
					h.setLeaving("e2")
					c.after(300*time.Millisecond, func() { h.startGenerator("e3", 20*time.Millisecond) })
				}
			})
		})
		got := c.moveAway()
		h.checkComplete(got)
		c.do(func() {
			assert.Check(t, left && h.workers["e3"].ArrivedAfter(time.Time{}) == 1, "it leaves again")
		})
		h.checkRuns(got)
	})
}

// The target begins to leave and rejects the copy each time, slowly. Guards against repeats that
// reach an engine later than the pages allow.
func TestGenerationDoesNotEnterEngineThatLeftBefore(t *testing.T) {
	run(t, func(h *harness) {
		var leftAt, latest time.Time
		c := newChanges(h)
		h.pool.Calls = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get(dialect.From) != "" {
				c.do(func() { latest = time.Now() })
				time.Sleep(enterBound / 2)
			}
			return false
		}
		c.after(510*time.Millisecond, func() {
			h.workers["e2"].Set(btworker.Full)
			c.onConnect("e2", func() {
				if leftAt.IsZero() {
					leftAt = time.Now()
					h.setLeaving("e2")
				}
			})
		})
		got := c.moveAway()
		assert.Check(t, got.err != nil)
		c.do(func() {
			assert.Check(t, !latest.Before(leftAt) && latest.Before(leftAt.Add(enterBound)), "%v after it left", latest.Sub(leftAt))
		})
		h.checkRuns(got)
	})
}

// handOverAt sends a generation whose copy at another engine is complete late after its engine
// is found leaving, and returns how often the other one was asked.
func (h *harness) handOverAt(late time.Duration, prepare func(h *harness)) (got response, asked int) {
	const leaves = 1500 * time.Millisecond
	h.pool.CopyDelay = leaves + late
	h.startGenerator("e1", 100*time.Millisecond)
	h.startGenerator("e2", 20*time.Millisecond)
	if prepare != nil {
		prepare(h)
	}
	c := newChanges(h)
	c.after(leaves, func() { h.setLeaving(h.runningEngine()) })
	got = h.generate("/guide/a")
	c.do(func() {
		for _, name := range []string{"e1", "e2"} {
			asked += h.workers[name].ArrivedAfter(time.Time{})
		}
	})
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
				got, asked := h.handOverAt(c.late, c.prepare)
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
