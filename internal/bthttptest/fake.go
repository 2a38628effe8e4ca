package bthttptest

import (
	"testing"
	"testing/synctest"

	"bramleytack/bttimer"
)

// timerSeed seeds the jitter of fake timers.
const timerSeed = 1

// Fake runs a subtest on fake time with a timer service.
func Fake(t *testing.T, name string, f func(t *testing.T, timers *bttimer.Service)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			timers := bttimer.New(timerSeed)
			defer timers.Close()
			f(t, timers)
		})
	})
}
