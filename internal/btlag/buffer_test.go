package btlag

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against values that show early, late or never.
func TestBuffer(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b Buffer[int]
	_, _, ok := b.Latest(start)
	assert.Assert(t, !ok)
	for i := range 5 {
		b.Add(start.Add(time.Duration(i)*time.Second), i)
	}
	for _, test := range []struct {
		by   time.Duration
		want int
	}{{-time.Second, 0}, {0, 0}, {1500 * time.Millisecond, 1}, {2 * time.Second, 2}, {time.Minute, 4}, {time.Minute, 4}} {
		v, at, ok := b.Latest(start.Add(test.by))
		assert.Assert(t, ok)
		assert.Equal(t, v, test.want)
		assert.Equal(t, at, start.Add(time.Duration(test.want)*time.Second))
	}
	assert.Equal(t, len(b.entries), 1)
}
