package btlag

import "time"

type entry[T any] struct {
	at    time.Time
	value T
}

// Buffer holds values in the order of their times. The zero value is empty.
type Buffer[T any] struct {
	entries []entry[T]
}

// Add appends a value that holds from at on. Times must not decrease.
func (b *Buffer[T]) Add(at time.Time, v T) {
	b.entries = append(b.entries, entry[T]{at: at, value: v})
}

// Latest returns the newest value that held at by, with its time, and drops
// the values before it. It returns the oldest value if all are newer than by.
func (b *Buffer[T]) Latest(by time.Time) (v T, at time.Time, ok bool) {
	if len(b.entries) == 0 {
		return v, at, false
	}
	i := 0
	for i+1 < len(b.entries) && !b.entries[i+1].at.After(by) {
		i++
	}
	if i > 0 {
		n := copy(b.entries, b.entries[i:])
		clear(b.entries[n:])
		b.entries = b.entries[:n]
	}
	e := b.entries[0]
	return e.value, e.at, true
}

// Clear removes all values.
func (b *Buffer[T]) Clear() { b.entries = nil }
