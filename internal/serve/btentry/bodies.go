package btentry

import (
	"sync/atomic"
)

const (
	// maxBufferedBytes bounds the bodies that the handler keeps in memory.
	maxBufferedBytes = 24 << 20
	// responseReserve is the part of maxBufferedBytes that bodies of requests leave to those
	// of responses: a request that has run should not fail because of others.
	responseReserve = 4 << 20
)

// bodyMemory counts the bytes of bodies in memory. The zero value has none. It is safe for
// concurrent use.
type bodyMemory struct{ requests, responses atomic.Int64 }

// total returns the bytes of all bodies.
func (m *bodyMemory) total() int64 { return m.requests.Load() + m.responses.Load() }

// fits reports whether the body of a request would fit.
func (m *bodyMemory) fits(n int64) bool {
	return m.requests.Load()+n <= maxBufferedBytes-responseReserve && m.total()+n <= maxBufferedBytes
}

// takeResponse adds bytes of a response. It reports false and adds none if there is no
// memory left.
func (m *bodyMemory) takeResponse(n int64) bool {
	if all := m.responses.Add(n); all > responseReserve && all+m.requests.Load() > maxBufferedBytes {
		m.responses.Add(-n)
		return false
	}
	return true
}
