package btmemory

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned for data that exceeds its own bound.
var ErrTooLarge = errors.New("btmemory: data is too large")

// minGrowth is the least size in bytes by which a buffer grows, unless its limit is near.
const minGrowth = 4 << 10

// Grow returns data with room for at least n more bytes. Its capacity doubles, at most to
// limit, and the growth counts in the account before it is allocated.
func Grow(data []byte, n, limit int, a *Account) ([]byte, error) {
	need := len(data) + n
	switch {
	case need > limit:
		return data, ErrTooLarge
	case need <= cap(data):
		return data, nil
	}
	size := min(max(need, 2*cap(data)), limit)
	if !a.Take(size - cap(data)) {
		return data, ErrFull
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

// ReadAll reads data of at most limit bytes to its end. size is its length, negative if it
// is unknown. All that is allocated counts in the account, also if there is an error.
func ReadAll(r io.Reader, size, limit int, a *Account) ([]byte, error) {
	if size >= 0 {
		limit = min(limit, size)
	}
	var data []byte
	for {
		var err error
		if len(data) == cap(data) {
			if len(data) == limit {
				return data, readEnd(r)
			}
			if data, err = Grow(data, min(minGrowth, limit-len(data)), limit, a); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return slices.Clip(data), nil
		case err != nil:
			return nil, err
		}
	}
}

// ReadSized reads data of a length to its end. All of it counts in the account before the first
// byte is read.
func ReadSized(r io.Reader, size int, a *Account) ([]byte, error) {
	if !a.Take(size) {
		return nil, ErrFull
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, readEnd(r)
}

// readEnd returns nil if nothing is left to read.
func readEnd(r io.Reader) error {
	var b [1]byte
	for {
		n, err := r.Read(b[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
