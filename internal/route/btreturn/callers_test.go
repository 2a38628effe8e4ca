package btreturn_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/route/btreturn"
)

var start = time.Unix(1000, 0)

// Guards against callers that return at once, or long after their time, and come first.
func TestCallersComeBackOnceInTheirTime(t *testing.T) {
	for after, want := range map[time.Duration]bool{500 * time.Millisecond: false, 950 * time.Millisecond: true, 2900 * time.Millisecond: true, 3100 * time.Millisecond: false} {
		t.Run(after.String(), func(t *testing.T) {
			var c btreturn.Callers
			c.Tell(btreturn.Told{Key: 7, After: time.Second}, 0, start)
			assert.Equal(t, c.Take(8, start.Add(after)), false)
			assert.Equal(t, c.Take(7, start.Add(after)), want)
			assert.Equal(t, want && c.Take(7, start.Add(after)), false, "counts once")
		})
	}
}

// Guards against a mass return that fills the memory of daemons or their messages.
func TestCallersAreBounded(t *testing.T) {
	var c btreturn.Callers
	for i := range 10000 {
		c.Tell(btreturn.Told{Key: btreturn.KeyOf(fmt.Sprint(i)), After: time.Second}, 1, start)
	}
	assert.Check(t, c.Len() == 4096 && c.Size(start) == 4096, "%d, size %d", c.Len(), c.Size(start))
	list := c.Untold(32, start.Add(400*time.Millisecond))
	assert.Check(t, len(list) == 32 && list[0].After == 600*time.Millisecond, "%v", list)
	assert.Equal(t, len(c.Untold(32, start.Add(2*time.Second))), 0, "are back")
	c.Tell(btreturn.Told{Key: 1, After: time.Second}, 1, start.Add(time.Minute))
	assert.Equal(t, c.Len(), 1, "expired ones make room")
}

// Guards against a daemon without admission that fails.
func TestNobodyIsExpected(t *testing.T) {
	var c *btreturn.Callers
	c.Tell(btreturn.Told{Key: 1}, 0, start)
	assert.Equal(t, c.Len(), 0)
}
