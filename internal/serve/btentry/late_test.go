package btentry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const millis = time.Millisecond

// Guards against late answers whose cause is counted where another one took most of the time.
func TestCauseOfDelay(t *testing.T) {
	for _, c := range []struct {
		d    delay
		want lateCause
	}{
		{delay{wait: 900 * millis, upstream: 800 * millis}, lateWait},
		{delay{wait: 100 * millis, retry: 1200 * millis, upstream: 900 * millis}, lateRetry},
		{delay{wait: 100 * millis, retry: 100 * millis, upstream: 1900 * millis}, lateUpstream},
		{delay{}, lateUpstream},
	} {
		assert.Equal(t, c.d.cause(), c.want, "%+v", c.d)
	}
}

// Load: streams that pause while prompts are read beside them, at slow and full engines, and
// while they move. Guards against a cause that hides the one that an operator has to act on.
func TestCauseOfGap(t *testing.T) {
	for _, c := range []struct {
		g    gap
		want lateCause
	}{
		{gap{length: 190 * millis, held: 100 * millis, handover: true, beside: true, full: true}, lateDaemon},
		{gap{length: 190 * millis, held: 90 * millis, handover: true, beside: true, full: true}, lateHandover},
		{gap{length: 190 * millis, beside: true, full: true}, latePrompt},
		{gap{length: 190 * millis, full: true}, lateBatch},
		{gap{length: 190 * millis}, latePace},
	} {
		assert.Equal(t, c.g.cause(), c.want, "%+v", c.g)
	}
	for c := onTime; c <= lateDaemon; c++ {
		assert.Equal(t, c.String() == "", c == onTime)
	}
}
