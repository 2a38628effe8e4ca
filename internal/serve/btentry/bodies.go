package btentry

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
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

// takeRequest adds bytes of a request. It reports false and adds none if there is no memory
// left.
func (m *bodyMemory) takeRequest(n int64) bool {
	if all := m.requests.Add(n); all > maxBufferedBytes-responseReserve || all+m.responses.Load() > maxBufferedBytes {
		m.requests.Add(-n)
		return false
	}
	return true
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

// readCounted reads a body of a size that is negative if it is unknown. The body counts
// while it is read; counted is what take has added, whether there is an error or not.
func readCounted(r io.Reader, size int64, limit int, take func(int64) bool) (body []byte, counted int, err error) {
	for {
		if len(body) == counted {
			chunk := bodyChunk
			if size >= 0 {
				// The end usually comes with the last byte, or else one byte lets it be read.
				chunk = max(min(chunk, int(size)-counted), 1)
			}
			if counted+chunk > limit || !take(int64(chunk)) {
				return nil, counted, errTooLarge
			}
			counted += chunk
			body = slices.Grow(body, chunk)
		}
		n, err := r.Read(body[len(body):counted])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, counted, nil
		case err != nil:
			return nil, counted, err
		}
	}
}
