package btlistener

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/internal/node/btmemory"
)

// largeMemory has room for all requests of these tests.
func largeMemory() *btmemory.Budget { return &btmemory.Budget{Limit: 64 << 20} }

// chunks are n chunks of one byte.
func chunks(n int) string { return strings.Repeat("1\r\nb\r\n", n) }

const chunkedLine = requestLine + "Transfer-Encoding: chunked\r\n\r\n"

// partReader reads a part of a body and answers after a while.
type partReader struct{ f *fixture }

func (p *partReader) handle(w http.ResponseWriter, r *http.Request) {
	_, _, _ = Admit(r.Context())
	stop := Pace(r.Context())
	n, _ := io.ReadFull(r.Body, make([]byte, 700))
	stop()
	time.Sleep(p.f.work)
	fmt.Fprint(w, n)
}

// Many callers send bodies in chunks of one byte at once, and some leave, stop or are answered
// midway. Guards against a turn that is never given back, after which no request would be read, and
// against a body that is changed.
func TestTurnsAreGivenBack(t *testing.T) {
	const callers = 5 * maxParsing
	serve(t, largeMemory(), 200, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.work = time.Minute
		f.handler = (&partReader{f}).handle
		var all []*client
		for range callers {
			c := f.dial()
			all = append(all, c)
			go (&writer{c, chunkedLine + chunks(10_000), 4 * pieceBytes}).run()
		}
		time.Sleep(time.Second)
		assert.Check(t, is.Len(f.gate.parse(), 0), "while handlers wait")
		for _, c := range all[:callers/2] {
			c.Close()
		}
		other := f.dial()
		other.write(request(strings.Repeat("a:\n", 3000), "body"))
		assert.Check(t, is.Equal(other.status(), 200))
		time.Sleep(f.work)
		f.handler, f.work = nil, 0
		for i, text := range []string{chunkedLine + chunks(5000), requestLine + strings.Repeat("a:\n", 3000), request("", "") + chunkedLine + chunks(3000)} {
			for range callers {
				c := f.dial()
				go (&writer{c, text, 4 * pieceBytes}).run()
				if i > 0 {
					time.Sleep(time.Millisecond)
					c.Close()
				}
			}
		}
		time.Sleep(time.Second)
		assert.Check(t, is.Len(f.gate.parse(), 0), "while callers wait")
		c := f.dial()
		c.write(chunkedLine + chunks(5000) + "0\r\n\r\n")
		resp, err := http.ReadResponse(c.r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Check(t, is.Equal(string(body), "5000"))
	})
}

// Guards against very many parts of requests that are ready to be parsed at once, so that a
// request of few lines waits for all of them.
func TestFewPartsAreParsedAtATime(t *testing.T) {
	serve(t, largeMemory(), 200, Limits{HeadBytes: 16_000}, func(f *fixture) {
		g := f.gate
		for range maxParsing {
			g.parse() <- struct{}{}
		}
		for _, text := range []string{requestLine + strings.Repeat("a:\n", 3000), chunkedLine + chunks(5000)} {
			for range 50 {
				go (&writer{f.dial(), text, 4 * pieceBytes}).run()
			}
		}
		time.Sleep(time.Second)
		assert.Check(t, f.dial().send(request("", "body")) == 200, "a request of few lines")
		waiting := f.dial()
		go (&writer{waiting, chunkedLine + chunks(5000) + "0\r\n\r\n", 4 * pieceBytes}).run()
		time.Sleep(time.Second)
		assert.Check(t, is.Len(g.parse(), maxParsing))
		for range maxParsing {
			<-g.parse()
		}
		assert.Check(t, is.Equal(waiting.status(), 200))
	})
}
