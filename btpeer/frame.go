package btpeer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes bounds an encoded message. It is large enough for the largest
	// object of the store.
	MaxFrameBytes = 4 << 20
	// maxEnvelopeBytes bounds the first frame of a request or reply.
	maxEnvelopeBytes = 64 << 10
	// lengthBytes is the size of a frame's length prefix.
	lengthBytes = 4
)

// ErrFrameTooLong is returned for a frame over its limit.
var ErrFrameTooLong = errors.New("btpeer: frame is too long")

// appendFrame appends a message with its length prefix.
func appendFrame(b []byte, m proto.Message, limit int) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, lengthBytes)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, errors.Wrap(err, "btpeer: encode")
	}
	n := len(b) - start - lengthBytes
	if n > limit {
		return nil, errors.Wrapf(ErrFrameTooLong, "%d bytes", n)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(n))
	return b, nil
}

// readFrame decodes one frame into m.
func readFrame(r io.Reader, m proto.Message, limit int) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return errors.Wrap(err, "btpeer: read length")
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if int64(n) > int64(limit) {
		return errors.Wrapf(ErrFrameTooLong, "%d bytes", n)
	}
	// The buffer grows as data arrives, so that a false length prefix does not
	// allocate memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		return errors.Wrap(err, "btpeer: read frame")
	}
	return errors.Wrap(proto.Unmarshal(body.Bytes(), m), "btpeer: decode")
}
