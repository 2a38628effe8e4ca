package btgossip

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/internal/node/btmemory"
)

// Guards against replies of other daemons that use up the memory: they count while they are
// read and while they are expanded.
func TestReplyCountsInMemory(t *testing.T) {
	const limit = 64 << 10
	large, err := encodeReply(&ObjectBatch{Objects: []*StoredObject{{Data: make([]byte, 2*limit)}}})
	assert.NilError(t, err)
	claimed := binary.AppendUvarint(nil, maxReplySize)
	for name, r := range map[string]io.Reader{
		"expanded":  bytes.NewReader(large),
		"not ended": io.MultiReader(bytes.NewReader(claimed), bytes.NewReader(make([]byte, 2*limit))),
	} {
		t.Run(name, func(t *testing.T) {
			b := &btmemory.Budget{Limit: limit}
			kept := b.Open(btmemory.Peers, func() {})
			_, err := readReply(bufio.NewReader(r), kept)
			assert.ErrorIs(t, err, btmemory.ErrFull)
			kept.Close()
			assert.Equal(t, b.Kept(), int64(0))
		})
	}
}
