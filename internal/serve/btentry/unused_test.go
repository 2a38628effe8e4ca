package btentry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// copyLife is how long engines say that they keep unused copies.
const copyLife = 5 * time.Second

// unusedCopy runs a generation at an engine that begins to leave at a time, and returns the engine to
// which it is copied, and whether that keeps the copy 2 s after the end of the stream.
func (h *harness) unusedCopy(leaves, moveTime time.Duration) (to bramleytack.UpstreamID, kept bool) {
	h.pool.MoveTime = moveTime
	h.reconfigure = func(s *bramleytack.Snapshot) { s.Services[engineService].Engine.CopyLife = copyLife }
	h.startEngine("e1")
	h.startEngine("e2")
	other := map[string]bramleytack.UpstreamID{"e1": "e2", "e2": "e1"}
	var from string
	after(leaves, func() {
		from = h.runningEngine()
		h.setLeaving(from)
	})
	got := h.generate("/guide/a")
	h.checkComplete(got)
	time.Sleep(2 * time.Second)
	to = other[from]
	return to, h.workers[string(to)].KeepsMove(h.workers[from].Addr(), got.id)
}

// Engines keep a copy that nobody uses for some seconds, and do not begin what has no room beside it.
// Guards against copies that take room at an engine and do not count there, so that daemons send it
// requests which wait until their callers leave, while others are free.
func TestUnusedCopyCountsAtItsEngine(t *testing.T) {
	t.Run("generation ends before the end of its move", func(t *testing.T) {
		run(t, func(h *harness) {
			// The stream lasts 1.9 s.
			to, _ := h.unusedCopy(time.Second, 2*time.Second)
			assert.Check(t, h.accounts.Load(to).Copies > 3000, "the copy does not count: %+v", h.accounts.Load(to))
			time.Sleep(2 * copyLife)
			assert.Check(t, h.accounts.Load(to).Copies == 0, "the copy counts for good: %+v", h.accounts.Load(to))
		})
	})
	t.Run("generation ends as its move does", func(t *testing.T) {
		run(t, func(h *harness) {
			h.pool.KeepsEnded = true
			to, kept := h.unusedCopy(time.Second, 2*time.Second)
			assert.Check(t, !kept, "the copy was not freed")
			assert.Check(t, h.accounts.Load(to).Copies == 0, "the freed copy counts: %+v", h.accounts.Load(to))
		})
	})
}
