package btlistener

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/internal/node/btmemory"
)

// leave answers 404 and leaves the body.
func leave(w http.ResponseWriter, r *http.Request) {
	_, fits, _ := Admit(r.Context())
	if fits {
		fits, _ = HandOver(r.Context())
	}
	if !fits {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// unfinished is a request with many lines whose body does not come.
func unfinished() string {
	return strings.TrimSuffix(request(strings.Repeat("a:\n", 3000), strings.Repeat("b", 1000)), strings.Repeat("b", 1000))
}

// Callers send heads of many lines and no body, which the handler does not read. Guards against
// heads that count for no longer than the handler runs, although net/http keeps them while it waits
// for the body, and against a caller that is never answered and whose connection never closes.
func TestHeadCountsUntilBodyHasCome(t *testing.T) {
	serve(t, memory(), 100, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.handler = leave
		c := f.dial()
		c.write(unfinished())
		time.Sleep(drainTime / 2)
		assert.Check(t, f.gate.Memory.Kept() >= int64(btmemory.HeadCost(9000, 3000)), "%d bytes", f.gate.Memory.Kept())
		assert.Check(t, is.Equal(c.status(), 404))
		assert.Check(t, c.closed())
		assert.Check(t, is.Equal(f.gate.Memory.Kept(), int64(0)))
		for range 20 {
			f.dial().write(unfinished())
			time.Sleep(10 * time.Millisecond)
			assert.Check(t, f.gate.Memory.Kept() <= f.gate.Memory.Limit)
			assert.Check(t, f.dial().send(request("", "body")) == 404, "an ordinary request")
		}
	})
}

// Guards against a connection that closes although the body that a handler has left comes in time,
// against a body without end that is read on, and against what follows a part of a body that is
// taken for a request.
func TestRestOfBodyIsRead(t *testing.T) {
	serve(t, memory(), 100, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.handler = leave
		for _, c := range []struct {
			name, text string
			kept       bool
		}{
			{"small body", request("", strings.Repeat("b", 1000)), true},
			{"body of 200 KB", request("", strings.Repeat("b", 200_000)), true},
			{"chunks", requestLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 10_000) + "0\r\n\r\n", true},
			{"chunks without end", requestLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 100_000), false},
			{"no body", requestLine + "Content-Length: 5\r\n\r\n", false},
		} {
			conn := f.dial()
			conn.write(c.text)
			assert.Check(t, is.Equal(conn.status(), 404), c.name)
			if c.kept {
				assert.Check(t, is.Equal(conn.send(request("", "")), 404), c.name)
			} else {
				assert.Check(t, conn.closed(), c.name)
			}
			conn.Close()
		}
	})
}

// Callers send requests without end and read no answer. Guards against a connection that is kept,
// and whose head counts, for as long as its caller likes.
func TestCallerThatReadsNothingIsClosed(t *testing.T) {
	serve(t, memory(), 100, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.handler = leave
		f.dial().write(strings.Repeat(request("", ""), 100))
		time.Sleep(time.Second)
		assert.Check(t, is.Equal(f.gate.Conns(), 1))
		time.Sleep(flushTime)
		assert.Check(t, is.Equal(f.gate.Conns(), 0))
	})
}
