package btnode

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/btretry"
	"bramleytack/bttimer"
)

// Guards against daemons that together retry more within a window than the bounds allow, after
// a quiet time and at any rate of requests.
func TestRetriesStayWithinBounds(t *testing.T) {
	for _, daemons := range []int{1, 8, 30, 71} {
		checkRetries(t, daemons)
	}
}

// Guards against the same in a fleet whose daemons have less than one retry each.
func TestRetriesOfLargeFleetStayWithinBounds(t *testing.T) { checkRetries(t, 200) }

// checkRetries retries all requests twice, at several rates of requests.
func checkRetries(t *testing.T, daemons int) {
	bounds := Bounds{RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}
	for _, perSecond := range []int{5, 10, 20, 50} {
		t.Run(fmt.Sprint(daemons, " daemons, ", perSecond, " a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := bttimer.New(1)
				defer timer.Close()
				all := make([]*btretry.Budget, daemons)
				for i := range all {
					all[i] = newBudget(timer, bounds, uint64(i), func() int { return daemons })
					all[i].Request("s")
				}
				time.Sleep(time.Minute)
				var retries []time.Time
				most := 0
				for i := range 30 * perSecond {
					b := all[i%daemons]
					b.Request("s")
					for range 2 {
						if b.Retry("s") {
							retries = append(retries, time.Now())
						}
					}
					for len(retries) > 0 && time.Since(retries[0]) >= bounds.RetryWindow {
						retries = retries[1:]
					}
					most = max(most, len(retries))
					time.Sleep(time.Second / time.Duration(perSecond))
				}
				allowed := bounds.RetryRatio*float64(perSecond)*bounds.RetryWindow.Seconds() + bounds.RetrySlack
				assert.Check(t, float64(most) <= allowed, "%d retries in a window, %.0f allowed", most, allowed)
			})
		})
	}
}
