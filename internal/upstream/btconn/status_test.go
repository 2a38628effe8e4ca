package btconn

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// noStatusLines begin heads that are neither final nor interim responses of HTTP/1.0 or
// HTTP/1.1.
var noStatusLines = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 020 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 700 X", "HTTP/1.1 999 X",
	"HTTP/1.1 +20 X", "HTTP/1.1 -00 X", "HTTP/1.1 +99", "HTTP/1.1 0x1 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 200X", "HTTP/1.1 2 0 X",
	"HTTP/1.1  200 X", "HTTP/1.1 \t200 X", "HTTP/1.1\t200 X", "HTTP/1.1 200\tX", " HTTP/1.1 200 X", "HTTP/1.1", "HTTP/1.1 ", "",
	"HTTP/0.9 200 X", "HTTP/1.2 200 X", "HTTP/2.0 200 X", "HTTP/3.1 200 X", "HTTP/1 200 X", "HTTP/01.1 200 X", "HTTP/1.1.1 200 X", "http/1.1 200 X", "X-Id: b",
}

// An upstream answers with a status line that is none, and a body that looks like a response.
// Guards against a response made of the one or the other, on new and on reused connections,
// against a connection that is used again, and against a request that counts as unsent.
func TestStatusThatIsNone(t *testing.T) {
	for _, line := range noStatusLines {
		text := line + "\r\nX-Id: b\r\nContent-Length: 60\r\n\r\n" + response("b", "ok") + response("b", "ok")
		for name, texts := range map[string][]string{"new": {text}, "reused": {response("a", "one"), text}, "after an interim response": {"HTTP/1.1 103 E\r\n\r\n" + text}} {
			t.Run(line+" "+name, func(t *testing.T) {
				serve(t, false, func(ctx context.Context, p *Pool) {
					if name == "reused" {
						_, x := exchange(ctx, t, p, "a")
						finish(t, x)
					}
					body, c, err := roundTrip(ctx, p, "x")
					assert.Check(t, errors.Is(err, ErrMalformed), "%v, body %q", err, body)
					assert.Check(t, !errors.Is(err, ErrUnsent))
					assert.Check(t, c.Reused() == (name == "reused"))
					assert.Check(t, len(p.idle[addr]) == 0)
					_, werr := c.conn.Write([]byte("x"))
					assert.Check(t, werr != nil, "the connection is open")
				}, texts...)
			})
		}
	}
}

// The same where an extra response was skipped first.
func TestStatusThatIsNoneAfterExtraResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 600 X", "HTTP/2.0 200 X"} {
		serve(t, false, func(ctx context.Context, p *Pool) {
			_, x := exchange(ctx, t, p, "a")
			finish(t, x)
			_, x = exchange(ctx, t, p, "b")
			assert.Check(t, x.IsExtra("a"))
			err := x.Skip(nil)
			assert.Check(t, errors.Is(err, ErrMalformed), "%s: %v", line, err)
			x.Close()
			assert.Check(t, len(p.idle[addr]) == 0)
		}, response("a", "one"), response("a", "one")+line+"\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n"+response("b", "ok"))
	}
}

// Guards against the refusal of a final or an interim response.
func TestStatusLines(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 299 Two  words", "HTTP/1.1 404 \xff", "HTTP/1.1 599 X"} {
		for _, end := range []string{"\r\n", "\n"} {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199\nA: b\n\n"} {
				serve(t, false, func(ctx context.Context, p *Pool) {
					body, _, err := roundTrip(ctx, p, "x")
					assert.Check(t, err == nil && body == "ok", "%q after %q: %v, %q", line, interim, err, body)
				}, interim+line+end+"Content-Length: 2\r\n\r\nok")
			}
		}
	}
}

// Interim responses come until the connection closes. Guards against a wait without end, and
// against what the upstream can make the daemon keep.
func TestInterimResponsesWithoutEnd(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		_, _, err := roundTrip(ctx, p, "x")
		assert.Check(t, errors.Is(err, ErrHeadTooLarge), "%v", err)
	}, strings.Repeat("HTTP/1.1 102 P\r\nA: b\r\n\r\n", maxHeadBytes/8))
}

// Guards against a status line that is read without end.
func TestLongStatusLine(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 " + strings.Repeat("x", 2*maxHeadBytes), strings.Repeat("x", 2*maxHeadBytes)} {
		serve(t, false, func(ctx context.Context, p *Pool) {
			_, _, err := roundTrip(ctx, p, "x")
			assert.Check(t, errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrMalformed), "%v", err)
		}, text)
	}
}
