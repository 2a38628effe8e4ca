package btbench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Runs must repeat exactly, or a comparison of policies would compare random
// draws, and each token that an engine decodes must reach one reader unless
// its generation was canceled.
func TestRunRepeatsAndConservesTokens(t *testing.T) {
	for _, p := range []Policy{Simple()[0], Ours()} {
		t.Run(p.Name, func(t *testing.T) {
			const until = 12 * time.Second
			a, b := run(Foldwell(), p, 7, until), run(Foldwell(), p, 7, until)
			assert.Equal(t, a, b)
			// Before the run, each engine decodes one token a warm-up.
			assert.Equal(t, a.Delivered, a.Decoded-engines*engineConfig(0, 0).WarmAfter)
			assert.Assert(t, a.Tokens <= a.Delivered)
			assert.Assert(t, a.Completed > 0 && a.Completed <= a.Requests)
		})
	}
}
