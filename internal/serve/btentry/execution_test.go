package btentry

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a rejection of a request that may have run or may still run, and against a
// send after its rejection.
func TestExecution(t *testing.T) {
	t.Run("not sent", func(t *testing.T) {
		var e execution
		assert.Assert(t, e.reject())
		assert.Assert(t, !e.begin(1), "sent after its rejection")
		assert.Assert(t, e.reject(), "rejected twice")
	})
	t.Run("one of two sends ruled out", func(t *testing.T) {
		var e execution
		assert.Assert(t, e.begin(1) && e.begin(2))
		e.ruleOut()
		assert.Assert(t, e.mayHaveRun() && !e.reject())
		assert.Assert(t, e.begin(1), "a request that is not rejected may go on")
	})
	t.Run("connections of the sends", func(t *testing.T) {
		var e execution
		assert.Assert(t, e.begin(1) && e.begin(2))
		assert.DeepEqual(t, e.sentOn(), []uint64{1, 2})
	})
	t.Run("all sends ruled out", func(t *testing.T) {
		var e execution
		assert.Assert(t, e.begin(1))
		e.ruleOut()
		assert.Assert(t, !e.mayHaveRun() && e.reject())
	})
	t.Run("at the same time", func(t *testing.T) {
		for range 200 {
			var e execution
			var wg sync.WaitGroup
			var sent, rejected bool
			wg.Go(func() { sent = e.begin(1) })
			wg.Go(func() { rejected = e.reject() })
			wg.Wait()
			assert.Assert(t, sent != rejected)
		}
	})
}
