package btpeer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack/btwire"
)

// FuzzReadFrame guards against panics and large allocations on malformed input,
// and against messages that change when they are encoded and decoded again.
func FuzzReadFrame(f *testing.F) {
	seed, err := appendFrame(nil, &btwire.Envelope{Type: "t", Error: &btwire.Error{Code: "c"}}, maxEnvelopeBytes)
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m btwire.Envelope
		if readFrame(bytes.NewReader(data), &m, maxEnvelopeBytes) != nil {
			return
		}
		reencoded, err := appendFrame(nil, &m, 2*maxEnvelopeBytes)
		assert.NilError(t, err)
		var copied btwire.Envelope
		assert.NilError(t, readFrame(bytes.NewReader(reencoded), &copied, 2*maxEnvelopeBytes))
		assert.Assert(t, proto.Equal(&m, &copied))
	})
}
