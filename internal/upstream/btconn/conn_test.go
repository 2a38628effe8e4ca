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

// script answers each request of a connection with the next text. An empty text
// closes the connection.
type script struct {
	l     net.Listener
	texts []string
	// early sends the answer before the body is read.
	early bool
}

func (s *script) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go (&talk{s, c}).run()
	}
}

type talk struct {
	s *script
	c net.Conn
}

func (t *talk) run() {
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
		// An upstream that answered early reads on.
		_, _ = io.Copy(io.Discard, req.Body)
	}
	// Holds the connection open.
	_, _ = io.Copy(io.Discard, t.c)
}

func serve(t *testing.T, early bool, f func(ctx context.Context, p *Pool), texts ...string) {
	synctest.Test(t, func(t *testing.T) {
		network := &btmemnet.Network{}
		s := &script{l: network.Listen(addr), texts: texts, early: early}
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

// ask sends a request and reads the response.
func ask(ctx context.Context, p *Pool, body string) (string, *Conn, error) {
	c, err := p.Get(ctx, addr)
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

const answered = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against reuse of connections that carry anything but one whole answer.
func TestReuse(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		reused bool
	}{
		{"whole", answered, true},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"second answer", answered + answered, false},
		{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"no idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + answered, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				for range 2 {
					body, _, err := ask(ctx, p, "x")
					assert.NilError(t, err)
					assert.Equal(t, body, "ok")
				}
				assert.Equal(t, p.Opened.Load() == 1, c.reused)
			}, c.text, c.text)
		})
	}
}

// Guards against broken answers that look whole, and against "unsent" for a
// request that may have run.
func TestBrokenAnswers(t *testing.T) {
	cases := []struct{ name, text string }{
		{"closed", ""},
		{"garbage", "hello\r\n\r\n"},
		{"cut head", "HTTP/1.1 200 OK\r\nContent-"},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve(t, false, func(ctx context.Context, p *Pool) {
				_, _, err := ask(ctx, p, "x")
				assert.Assert(t, err != nil)
				assert.Assert(t, !errors.Is(err, ErrUnsent))
			}, c.text, "")
		})
	}
}

// Guards against a "not run" that is missing when nobody listens.
func TestUnreachableIsUnsent(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		_, err := p.Get(ctx, netip.MustParseAddrPort("10.1.0.9:80"))
		assert.Assert(t, errors.Is(err, ErrUnsent))
		assert.Assert(t, p.Check(ctx, netip.MustParseAddrPort("10.1.0.9:80")) != nil)
		assert.NilError(t, p.Check(ctx, addr))
	})
}

// Guards against bytes of a long body that reach the next request on its
// connection, when the upstream answered before it had read the body.
func TestEarlyAnswer(t *testing.T) {
	serve(t, true, func(ctx context.Context, p *Pool) {
		body, _, err := ask(ctx, p, strings.Repeat("x", 4*inlineBody))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		// The rest of the body is still on its way; it must not hold the next
		// request, nor be taken for it.
		body, _, err = ask(ctx, p, "x")
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}, answered, answered)
}

// Guards against requests that outlive their caller.
func TestContextEndsExchange(t *testing.T) {
	serve(t, false, func(ctx context.Context, p *Pool) {
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		started := time.Now()
		_, _, err := ask(ctx, p, "x")
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(started), 100*time.Millisecond)
	}, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
}
