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
		assert.Assert(t, !e.begin(), "sent after its rejection")
		assert.Assert(t, e.reject(), "rejected twice")
	})
	t.Run("one of two sends ruled out", func(t *testing.T) {
		var e execution
		assert.Assert(t, e.begin() && e.begin())
		e.ruleOut()
		assert.Assert(t, e.mayHaveRun() && !e.reject())
		assert.Assert(t, e.begin(), "a request that is not rejected may go on")
	})
	t.Run("all sends ruled out", func(t *testing.T) {
		var e execution
		assert.Assert(t, e.begin())
		e.ruleOut()
		assert.Assert(t, !e.mayHaveRun() && e.reject())
	})
	t.Run("at the same time", func(t *testing.T) {
		for range 200 {
			var e execution
			var wg sync.WaitGroup
			var sent, rejected bool
			wg.Go(func() { sent = e.begin() })
			wg.Go(func() { rejected = e.reject() })
			wg.Wait()
			assert.Assert(t, sent != rejected)
		}
	})
}
