package btconn

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack/internal/node/btmemory"
)

// sendAs sends a request with a method, an id and a body and returns the exchange.
func sendAs(ctx context.Context, t *testing.T, p *Pool, method, id, body string) *Exchange {
	t.Helper()
	c, err := p.Get(ctx, addr, "")
	assert.NilError(t, err)
	x, err := c.Do(ctx, &Request{ID: id, Method: method, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(body)})
	assert.NilError(t, err)
	return x
}

// Guards against an extra response that is read with the method of another request: after a HEAD its body
// would be taken for the next head, and as a copy of a response to a HEAD it would take a part of the next one
// for its body.
func TestExtraResponseBesideHeadIsNotSkipped(t *testing.T) {
	for _, c := range [][2]string{{http.MethodGet, http.MethodHead}, {http.MethodHead, http.MethodGet}, {http.MethodHead, http.MethodHead}} {
		t.Run(c[0]+" "+c[1], func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				finish(t, sendAs(ctx, t, p, c[0], "a", ""))
				x := sendAs(ctx, t, p, c[1], "b", "")
				assert.Check(t, !x.IsExtra("a"))
				assert.NilError(t, x.Close())
			}, response("a", ""), response("a", ""))
		})
	}
}

// Guards against bytes of an extra response that are left or taken from the next one, whatever
// frames it, also while the body of the request is still being sent.
func TestExtraResponseFramings(t *testing.T) {
	for name, extra := range map[string]string{
		"trailers":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3;ext=1\r\none\r\n0\r\nX-T: 1\r\nX-Id: a\r\n\r\n",
		"no content":     "HTTP/1.1 204 OK\r\nX-Id: a\r\n\r\n",
		"interim":        "HTTP/1.1 103 E\r\nX-Id: b\r\n\r\n" + response("a", "x") + "HTTP/1.1 103 E\r\n\r\n",
		"close":          "HTTP/1.1 503 No\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx",
		"white space":    "HTTP/1.1 503 No\r\nx-iD:  \t a \t\r\nContent-Length: 0\r\n\r\n",
		"largest":        response("a", strings.Repeat("x", maxExtraBody)),
		"largest chunks": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("x", maxExtraBody) + "\r\n0\r\n\r\n",
	} {
		for _, body := range []string{"", strings.Repeat("b", 100<<10)} {
			t.Run(fmt.Sprintf("%s %d", name, len(body)), func(t *testing.T) {
				serve(t, body != "", func(ctx context.Context, p *Pool) {
					finish(t, sendAs(ctx, t, p, http.MethodGet, "a", ""))
					x := sendAs(ctx, t, p, http.MethodPost, "b", body)
					assert.Check(t, x.IsExtra(x.Header.Get("X-Id")))
					assert.Check(t, x.Skip(nil) == nil)
					assert.Check(t, x.Header.Get("X-Id") == "b")
					assert.Check(t, finish(t, x) == "two")
					assert.Check(t, len(p.idle[addr]) == 0)
				}, response("a", "one"), extra+response("b", "two"))
			})
		}
	}
}

// Guards against an extra response without a length that is read until the deadline.
func TestUnframedExtraResponseEndsAtOnce(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		finish(t, sendAs(ctx, t, p, http.MethodGet, "a", ""))
		x := sendAs(ctx, t, p, http.MethodGet, "b", "")
		started := time.Now()
		assert.Check(t, x.Skip(nil) != nil && time.Since(started) == 0, "after %v", time.Since(started))
		x.Close()
	}, response("a", "one"), "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nx")
}

// Guards against ids that a connection remembers without a bound, or too few of them.
func TestCarriedIDs(t *testing.T) {
	var texts []string
	for n := range maxCarried + 2 {
		texts = append(texts, response(fmt.Sprint(n), "x"))
	}
	serve(t, false, func(ctx context.Context, p *Pool) {
		for n := range maxCarried + 2 {
			c, x := exchange(ctx, t, p, fmt.Sprint(n))
			for earlier := range n {
				assert.Check(t, x.IsExtra(fmt.Sprint(earlier)) == (n-earlier < maxCarried), "%d at %d", earlier, n)
			}
			assert.Check(t, len(c.carried) <= maxCarried)
			finish(t, x)
		}
	}, texts...)
}

// Guards against a response that finds no memory after an extra one, and is reported as malformed.
func TestSkipFindsNoMemory(t *testing.T) {
	big := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	serve(t, false, func(ctx context.Context, p *Pool) {
		_, x := exchange(ctx, t, p, "a")
		finish(t, x)
		b := &btmemory.Budget{Limit: 1 << 20}
		ctx, cancel := context.WithCancel(ctx)
		kept := b.Open(btmemory.Control(addr), cancel)
		defer kept.Close()
		c, err := p.Get(ctx, addr, "b")
		assert.NilError(t, err)
		x, err = c.Do(ctx, &Request{ID: "b", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Kept: kept})
		assert.NilError(t, err)
		for n := 0; err == nil && n < 4; n++ {
			err = x.Skip(kept)
		}
		x.Close()
		assert.Check(t, errors.Is(err, btmemory.ErrFull), "%v", err)
	}, response("a", "one"), strings.Repeat(big, 4)+response("b", "two"))
}
