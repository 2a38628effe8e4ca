package btlistener

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// What is left of a body has come in time, but the caller reads the answer later than the rest of a
// body may take. Guards against a sound connection that closes although its caller was not told.
func TestConnectionIsKeptForSlowReader(t *testing.T) {
	serve(t, memory(), 100, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.handler = leave
		for _, body := range []string{"b", strings.Repeat("b", 200_000)} {
			c := f.dial()
			c.write(request("", body))
			time.Sleep(2 * drainTime)
			assert.Check(t, is.Equal(c.status(), 404))
			assert.Check(t, is.Equal(c.send(request("", "")), 404), "%d bytes", len(body))
			c.Close()
		}
	})
}
