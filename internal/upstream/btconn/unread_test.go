package btconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const (
	// largeBody is more than the buffers of a connection hold.
	largeBody = 16 << 20
	// usualBody is a usual large request.
	usualBody = 2 << 20
)

// listener accepts connections of TCP on loopback, and serves each by a function.
type listener struct {
	l     net.Listener
	serve func(c *net.TCPConn)
}

// listen starts a listener.
func listen(t *testing.T, serve func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go (&listener{l, serve}).run()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (l *listener) run() {
	for {
		c, err := l.l.Accept()
		if err != nil {
			return
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return
		}
		l.serve(tcp)
	}
}

// reset ends a connection by a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against the belief that a read shows the reset of a connection: the error goes to one
// call. If a write takes it, reads get what has arrived and then a plain end.
func TestWriteTakesTheReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		write bool
		want  error
	}{{"nothing written", false, syscall.ECONNRESET}, {"write failed first", true, nil}} {
		t.Run(c.name, func(t *testing.T) {
			addr := listen(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1))
				_, _ = io.WriteString(c, "part")
				reset(c)
			})
			conn, err := net.Dial("tcp4", addr.String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte{0})
			assert.NilError(t, err)
			if c.write {
				_, err := conn.Write(make([]byte, largeBody))
				assert.Check(t, errors.Is(err, syscall.ECONNRESET), "write: %v", err)
			}
			_, err = io.ReadAll(conn)
			assert.Check(t, errors.Is(err, c.want) && (err == nil) == (c.want == nil), "read: %v", err)
		})
	}
}

// lateReader reads nothing before a write has failed, as a busy process may.
type lateReader struct {
	net.Conn
	once   sync.Once
	failed chan struct{}
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *lateReader) Read(p []byte) (int, error) {
	<-c.failed
	return c.Conn.Read(p)
}

// dialLate connects with a lateReader.
func dialLate(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	return &lateReader{Conn: c, failed: make(chan struct{})}, err
}

const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// post sends a request with a body of a size and reads the response.
func post(t *testing.T, p *Pool, addr netip.AddrPort, size int) (string, *Exchange, error) {
	t.Helper()
	c, err := p.Get(t.Context(), addr, "")
	assert.NilError(t, err)
	x, err := c.Do(t.Context(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)})
	assert.NilError(t, err)
	defer x.Close()
	data, err := io.ReadAll(x.Body)
	return string(data), x, err
}

// An upstream answers at once and without a length, and ends the connection before it has read the
// request. Guards against a cut answer that looks whole.
func TestAnswerToUnreadRequestIsNotWhole(t *testing.T) {
	for _, c := range []struct {
		name string
		dial func(ctx context.Context, network, addr string) (net.Conn, error)
		end  func(c *net.TCPConn)
	}{
		{"reset", dialLate, reset},
		{"closed", dialLate, func(c *net.TCPConn) { _ = c.Close() }},
		{"half-closed and not read", nil, func(c *net.TCPConn) { _ = c.CloseWrite() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := listen(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, unframed+"part")
				c.end(conn)
			})
			got, x, err := post(t, &Pool{Dial: c.dial}, addr, largeBody)
			assert.Equal(t, got, "part")
			assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
			assert.Check(t, !x.Complete())
			_, err = x.Read(make([]byte, 1))
			assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF), "second read: %v", err)
		})
	}
}

// Upstreams answer without a length and close the connection at the end. Guards against whole
// answers that are taken for broken, before and after the request has been read.
func TestAnswerToReadRequestIsWhole(t *testing.T) {
	body := strings.Repeat("answer ", 1<<10)
	read := func(c *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(c *net.TCPConn)
	}{
		{"read first", func(c *net.TCPConn) {
			read(c)
			_, _ = io.WriteString(c, unframed+body)
		}},
		{"answered first", func(c *net.TCPConn) {
			_, _ = io.WriteString(c, unframed+body)
			read(c)
		}},
		{"answered and half-closed first", func(c *net.TCPConn) {
			_, _ = io.WriteString(c, unframed+body)
			_ = c.CloseWrite()
			read(c)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr := listen(t, func(conn *net.TCPConn) {
				c.serve(conn)
				_ = conn.Close()
			})
			for range 100 {
				got, x, err := post(t, &Pool{}, addr, usualBody)
				assert.NilError(t, err)
				assert.Check(t, got == body && x.Complete())
			}
		})
	}
}

// Guards against an answer with a length that is taken for broken because the request was not read.
func TestFramedAnswerToUnreadRequestIsWhole(t *testing.T) {
	addr := listen(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		reset(c)
	})
	got, x, err := post(t, &Pool{Dial: dialLate}, addr, largeBody)
	assert.NilError(t, err)
	assert.Check(t, got == "whole" && x.Complete())
}
