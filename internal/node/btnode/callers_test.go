package btnode

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against connections of callers that leave no descriptors or memory for others, and
// against bounds that refuse all of them.
func TestMaxConns(t *testing.T) {
	for _, c := range []struct {
		files         int
		memory        int64
		callers, peer int
	}{
		{0, 0, defaultMaxConns, 0},
		{3075, 112e6, 1293, 359},
		{10_250, 112e6, 1640, 1256},
		{4100, 536e6, 1755, 487},
		{300, 80e6, 45, 12},
		{100, 1, 1, 1},
	} {
		s := Settings{MaxFiles: c.files, MemoryBytes: c.memory}
		assert.Check(t, maxConns(s) == c.callers && maxPeerConns(s) == c.peer, "%+v: %d, %d", c, maxConns(s), maxPeerConns(s))
	}
}
