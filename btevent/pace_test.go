package btevent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/btevent"
)

// Guards against a log that fills with lines of the same kind, and against one that stays silent.
func TestPace(t *testing.T) {
	var p btevent.Pace
	start, lines := time.Unix(1000, 0), 0
	for i := range 3001 {
		if p.Due(start.Add(time.Duration(i)*time.Millisecond), time.Second) {
			lines++
		}
	}
	assert.Equal(t, lines, 4)
}
