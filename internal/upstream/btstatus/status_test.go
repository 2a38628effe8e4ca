package btstatus

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a status that is none and counts, and against one that does not count.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		line    string
		interim bool
		ok      bool
	}{
		{"HTTP/1.1 100 Continue", true, true},
		{"HTTP/1.0 199", true, true},
		{"HTTP/1.1 200 OK", false, true},
		{"HTTP/1.1 599 X", false, true},
		{"HTTP/1.1 101 X", false, false},
		{"HTTP/1.1 000 X", false, false},
		{"HTTP/1.1 099 X", false, false},
		{"HTTP/1.1 600 X", false, false},
		{"HTTP/1.1 +20 X", false, false},
		{"HTTP/1.1 ２00 X", false, false},
		{"HTTP/2.0 200 X", false, false},
		{"HTTP/1.1  200 X", false, false},
		{"HTTP/1.1", false, false},
		{"", false, false},
	} {
		interim, err := Parse(c.line)
		assert.Check(t, interim == c.interim && (err == nil) == c.ok && (c.ok || errors.Is(err, ErrStatus)), "%q: %t, %v", c.line, interim, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK")
	f.Fuzz(func(t *testing.T, line string) {
		interim, err := Parse(line)
		if err != nil {
			return
		}
		first := line[len("HTTP/1.1 ")]
		assert.Assert(t, first >= '1' && first <= '5' && interim == (first == '1'), "%q", line)
	})
}
