package btretry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"
)

// Guards against processes with less than one retry each that retry more, or hardly ever, than
// all together may: 400 of them share a burst of 40.
func TestPartsOfOneRetryAddUp(t *testing.T) {
	const processes, burst = 400, 40
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		allowed := 0
		for i := range processes {
			b := &Budget{Timer: timer, Burst: burst, Minimum: 0.001, Processes: func() int { return processes }, Seed: uint64(i)}
			b.Request("k")
			time.Sleep(time.Millisecond)
			for range 3 {
				if b.Retry("k") {
					allowed++
				}
			}
		}
		assert.Assert(t, allowed >= burst/2 && allowed <= 2*burst, "%d retries, %d expected", allowed, burst)
	})
}
