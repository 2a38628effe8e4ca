package bttoken

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// formatVersion is the first byte of the encoded GenerationRef.
const formatVersion = 1

var errMalformedToken = errors.New("bttoken: malformed token content")

// encode returns the plaintext of a token. It lacks the workspace, which is
// associated data.
func encode(g *bramleytack.GenerationRef) []byte {
	b := []byte{formatVersion}
	b = binary.AppendUvarint(b, uint64(g.Attempt))
	b = binary.AppendVarint(b, g.Expires.Unix())
	for _, s := range []string{
		string(g.Upstream), string(g.Instance), string(g.Stream),
		g.Model, g.Version, string(g.Request),
	} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return b
}

// decodeGeneration reads what encode wrote. Trailing bytes are fields of a
// newer version and are ignored.
func decodeGeneration(b []byte) (bramleytack.GenerationRef, error) {
	var g bramleytack.GenerationRef
	if len(b) == 0 || b[0] != formatVersion {
		return g, errMalformedToken
	}
	d := decoder{rest: b[1:]}
	g.Attempt = int(d.uvarint())
	g.Expires = time.Unix(d.varint(), 0)
	g.Upstream = bramleytack.UpstreamID(d.string())
	g.Instance = bramleytack.InstanceID(d.string())
	g.Stream = bramleytack.StreamID(d.string())
	g.Model = d.string()
	g.Version = d.string()
	g.Request = bramleytack.RequestID(d.string())
	if d.failed {
		return bramleytack.GenerationRef{}, errMalformedToken
	}
	return g, nil
}

// decoder reads fields from rest. After a field that is malformed, failed is set
// and the later fields are meaningless.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	d.skip(n)
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	d.skip(n)
	return v
}

func (d *decoder) skip(n int) {
	if n <= 0 {
		d.failed = true
		return
	}
	d.rest = d.rest[n:]
}

func (d *decoder) string() string {
	n := d.uvarint()
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}
