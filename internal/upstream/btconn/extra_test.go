package btconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// response returns a response to the request with an id.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// exchange sends a request with an id and returns the exchange.
func exchange(ctx context.Context, t *testing.T, p *Pool, id string, except ...uint64) (*Conn, *Exchange) {
	t.Helper()
	c, err := p.Get(ctx, addr, id, except...)
	assert.NilError(t, err)
	x, err := c.Do(ctx, &Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	assert.NilError(t, err)
	return c, x
}

// finish reads the response to its end and closes the exchange.
func finish(t *testing.T, x *Exchange) string {
	t.Helper()
	data, err := io.ReadAll(x.Body)
	assert.NilError(t, err)
	assert.NilError(t, x.Close())
	return string(data)
}

// Guards against an extra response to an earlier request that is taken for the response that is due,
// and against the reuse of a connection after it.
func TestExtraResponseIsSkipped(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		first, x := exchange(ctx, t, p, "a")
		assert.Equal(t, finish(t, x), "one")
		c, x := exchange(ctx, t, p, "b")
		assert.Equal(t, c, first)
		assert.Assert(t, x.IsExtra(x.Header.Get("X-Id")) && !x.IsExtra("b") && !x.IsExtra("") && !x.IsExtra("c"))
		assert.NilError(t, x.Skip(nil))
		assert.Equal(t, x.Header.Get("X-Id"), "b")
		assert.Equal(t, finish(t, x), "two")
		c, x = exchange(ctx, t, p, "c")
		assert.Assert(t, c != first)
		finish(t, x)
	}, response("a", "one"), response("a", "copy")+response("b", "two"))
}

// Guards against an extra response without end, or too large, that is read for ever, and against the
// rest of it that is taken for the next response.
func TestExtraResponseThatCannotBeSkipped(t *testing.T) {
	for name, extra := range map[string]string{
		"large":    response("a", strings.Repeat("x", maxExtraBody+1)) + response("b", "two"),
		"unframed": "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n" + response("b", "two"),
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				_, x := exchange(ctx, t, p, "a")
				finish(t, x)
				_, x = exchange(ctx, t, p, "b")
				assert.ErrorIs(t, x.Skip(nil), ErrExtraResponse)
				assert.NilError(t, x.Close())
				assert.Equal(t, len(p.idle[addr]), 0)
			}, response("a", "one"), extra)
		})
	}
}

// Guards against a request that gets a connection which has carried it, or one with its id, before, and
// against other requests that do not get that connection.
func TestConnectionsOfARequestAreNotReusedForIt(t *testing.T) {
	for name, c := range map[string]struct {
		id     string
		except func(*Conn) []uint64
	}{
		"number":   {"b", func(c *Conn) []uint64 { return []uint64{c.Number()} }},
		"id":       {"a", func(*Conn) []uint64 { return nil }},
		"number 2": {"a", func(c *Conn) []uint64 { return []uint64{c.Number()} }},
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				first, x := exchange(ctx, t, p, "a")
				finish(t, x)
				second, x := exchange(ctx, t, p, c.id, c.except(first)...)
				assert.Check(t, second != first)
				finish(t, x)
				got, x := exchange(ctx, t, p, "c", second.Number())
				assert.Check(t, got == first)
				finish(t, x)
			}, response("a", "one"), response("b", "two"))
		})
	}
}
