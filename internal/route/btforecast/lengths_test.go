package btforecast

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/bttimer"
)

// Guards against forecasts that follow a wrong hint (Foldwell quiet-1: a hint of 44
// tokens, 700 generated), and against forecasts above the caller's bound.
func TestForecast(t *testing.T) {
	timer := bttimer.New(1)
	defer timer.Close()
	l := New(timer)
	for range 50 {
		l.Learn("guides", 900)
		l.Learn("tags", 12)
	}
	within := func(got, lowest, highest int) {
		t.Helper()
		assert.Assert(t, got >= lowest && got <= highest, "%d is not in %d to %d", got, lowest, highest)
	}
	within(l.Forecast("guides", 0, 2000), 700, 1200)
	within(l.Forecast("guides", 44, 2000), 200, 900)
	within(l.Forecast("guides", 9000, 2000), 900, 2000)
	within(l.Forecast("tags", 0, 40), 5, 25)
	within(l.Forecast("unknown", 0, 100), 1, 100)
}
