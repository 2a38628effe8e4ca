package bramleytack

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against revisions of an earlier epoch that come after those of a later one, and against parts
// that run over into each other.
func TestRevisionOrder(t *testing.T) {
	parts := [][2]uint64{{0, 1}, {0, 25}, {0, maxNumber}, {1, 0}, {1, 25}, {2, 1}, {maxEpoch, maxNumber}}
	var last Revision
	for _, p := range parts {
		r, err := NewRevision(p[0], p[1])
		assert.NilError(t, err)
		assert.Assert(t, r > last && r.Epoch() == p[0] && r.Number() == p[1])
		last = r
	}
	for _, p := range [][2]uint64{{maxEpoch + 1, 1}, {0, maxNumber + 1}} {
		_, err := NewRevision(p[0], p[1])
		assert.Assert(t, errors.Is(err, ErrRevisionRange))
	}
	assert.Equal(t, Revision(25).String(), "25")
	assert.Equal(t, Revision(3<<numberBits+25).String(), "3:25")
}
