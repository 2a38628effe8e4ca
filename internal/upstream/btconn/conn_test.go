package btconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack/internal/btmemnet"
)

var addr = netip.MustParseAddrPort("10.1.0.1:80")

// server sends one of texts for each request of a connection, in order. An empty
// text closes the connection.
type server struct {
	l     net.Listener
	texts []string
	// early sends the response before the request body is read.
	early bool
}

func (s *server) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go (&serverConn{s, c}).run()
	}
}

type serverConn struct {
	s *server
	c net.Conn
}

func (t *serverConn) run() {
	defer t.c.Close()
	r := bufio.NewReader(t.c)
	for _, text := range t.s.texts {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !t.s.early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if text == "" {
			return
		}
		if _, err := io.WriteString(t.c, text); err != nil {
			return
		}
		// An early response does not stop the reading of the request body.
		_, _ = io.Copy(io.Discard, req.Body)
	}
	// Keep the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, t.c)
}

func serve(t *testing.T, early bool, f func(ctx context.Context, p *Pool), texts ...string) {
	synctest.Test(t, func(t *testing.T) {
		network := &btmemnet.Network{}
		s := &server{l: network.Listen(addr), texts: texts, early: early}
		go s.run()
		p := &Pool{Dial: func(ctx context.Context, _, a string) (net.Conn, error) {
			return btmemnet.Dialer{Network: network, From: netip.MustParseAddr("10.0.0.1")}.DialPeer(ctx, netip.MustParseAddrPort(a))
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		f(ctx, p)
		cancel()
		p.DropAll()
		s.l.Close()
		time.Sleep(time.Second)
	})
}

// roundTrip sends a request and reads the response.
func roundTrip(ctx context.Context, p *Pool, body string) (string, *Conn, error) {
	c, err := p.Get(ctx, addr, "")
	if err != nil {
		return "", nil, err
	}
	x, err := c.Do(ctx, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		return "", c, err
	}
	defer x.Close()
	data, err := io.ReadAll(x.Body)
	return string(data), c, err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against reuse of connections after anything but exactly one complete
// response.
func TestReuse(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		reused bool
	}{
		{"complete", okResponse, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"second response", okResponse + okResponse, false},
		{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"no idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				for range 2 {
					body, _, err := roundTrip(ctx, p, "x")
					assert.NilError(t, err)
					assert.Equal(t, body, "ok")
				}
				assert.Equal(t, p.Opened.Load() == 1, c.reused)
			}, c.text, c.text)
		})
	}
}

// Guards against broken responses that are taken for complete, and against ErrUnsent
// for a request that may have run.
func TestBrokenResponses(t *testing.T) {
	cases := []struct{ name, text string }{
		{"closed", ""},
		{"garbage", "hello\r\n\r\n"},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-"},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\nok"},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				_, _, err := roundTrip(ctx, p, "x")
				assert.Assert(t, err != nil)
				assert.Assert(t, !errors.Is(err, ErrUnsent))
			}, c.text, "")
		})
	}
}

// Guards against an error that does not wrap ErrUnsent when no connection was
// possible.
func TestUnreachableIsUnsent(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		_, err := p.Get(ctx, netip.MustParseAddrPort("10.1.0.9:80"), "")
		assert.Assert(t, errors.Is(err, ErrUnsent))
		assert.Assert(t, p.Check(ctx, netip.MustParseAddrPort("10.1.0.9:80")) != nil)
		assert.NilError(t, p.Check(ctx, addr))
	})
}

// Guards against a large request body whose rest is taken for the next request on
// the same connection, when the upstream responds before it has read the body.
func TestEarlyResponse(t *testing.T) {
	serve(t, true, func(ctx context.Context, p *Pool) {
		body, _, err := roundTrip(ctx, p, strings.Repeat("x", 4*maxInlineBody))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		// The rest of the body is still being sent. It must neither delay the next
		// request nor be taken for it.
		body, _, err = roundTrip(ctx, p, "x")
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}, okResponse, okResponse)
}

// Guards against exchanges that continue after their context has ended.
func TestContextEndsExchange(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, _, err := roundTrip(ctx, p, "x")
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(started), 100*time.Millisecond)
	}, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
}

// Guards against a connection that was only checked, or released unsent, and counts as one that
// carried a request before: the response to its first request would need an id.
func TestUnsentConnectionIsNew(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		assert.NilError(t, p.Check(ctx, addr))
		c, err := p.Get(ctx, addr, "")
		assert.NilError(t, err)
		assert.Check(t, !c.Reused())
		c.Release()
		_, c, err = roundTrip(ctx, p, "x")
		assert.NilError(t, err)
		assert.Check(t, c.Reused(), "the connection has carried a request")
		c, err = p.Get(ctx, addr, "")
		assert.NilError(t, err)
		c.Release()
		c, err = p.Get(ctx, addr, "")
		assert.NilError(t, err)
		assert.Check(t, c.Reused(), "the connection has carried a request before its release")
		c.Release()
		assert.Equal(t, p.Opened.Load(), uint64(1))
	}, okResponse)
}
