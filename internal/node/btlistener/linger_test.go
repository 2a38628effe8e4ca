package btlistener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/bttimer"
)

// loopback is a server behind a gate on a real socket, where a close with unread bytes resets the
// connection.
type loopback struct {
	gate   *Gate
	server *http.Server
	l      net.Listener
}

func (s *loopback) run() { _ = s.server.Serve(s.l) }

// startLoopback starts a server that answers 404 and reads no body.
func startLoopback(t *testing.T, maxConns int) *loopback {
	timer := bttimer.New(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := Limits{HeadBytes: 8000, HeadTimeout: 200 * time.Millisecond}
	s := &loopback{gate: &Gate{Memory: largeMemory(), Timer: timer, MaxConns: maxConns, Limits: func() Limits { return limits }}, l: l}
	s.server = &http.Server{Handler: http.HandlerFunc(leave)}
	s.gate.Bind(s.server)
	s.l = s.gate.Listen(l)
	go s.run()
	t.Cleanup(func() {
		_ = s.server.Close()
		for deadline := time.Now().Add(5 * time.Second); (s.gate.Conns() > 0 || s.gate.lingeringConns() > 0) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		assert.Check(t, is.Equal(s.gate.Conns(), 0))
		assert.Check(t, is.Equal(s.gate.lingeringConns(), 0))
		timer.Close()
	})
	return s
}

func (g *Gate) lingeringConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lingering
}

// exchange sends the parts of a request, of which those after the first wait for the answer if late
// is set, and reads the answer and the end of the connection afterwards. If kept is set, it sends
// another request on the connection before.
func (s *loopback) exchange(kept, late bool, parts ...string) (status int, err error) {
	conn, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	if kept {
		if _, err := io.WriteString(conn, request("", "b")); err != nil {
			return 0, err
		}
		if _, err := http.ReadResponse(r, nil); err != nil {
			return 0, err
		}
	}
	for i, text := range parts {
		if late && i > 0 {
			_, _ = r.Peek(1)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return 0, err
		}
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	if _, err = io.Copy(io.Discard, resp.Body); err == nil {
		_, err = io.Copy(io.Discard, r)
	}
	return resp.StatusCode, err
}

// Requests are answered before they have been read, and their connections close. Guards against a
// connection that is reset while its caller sends the rest: it cannot send its request, and may not
// read the answer.
func TestRefusedCallerMaySendWholeRequest(t *testing.T) {
	body := strings.Repeat("b", 400_000)
	for _, c := range []struct {
		name     string
		maxConns int
		late     bool
		parts    []string
		want     int
	}{
		{"answer", 100, false, []string{requestLine + "Connection: close\r\n" + lengthLine(len(body)), body}, 404},
		{"answer to chunks", 100, false, []string{strings.Replace(chunkedLine, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)}, 404},
		{"answer to a body that is too long to be read", 100, false, []string{requestLine + lengthLine(len(body)), body}, 404},
		{"large head", 100, false, []string{requestLine + "a: " + strings.Repeat("x", 20_000) + "\r\n" + lengthLine(len(body)), body}, 431},
		{"late head", 100, true, []string{requestLine, lengthLine(len(body)) + body}, 408},
		{"malformed head", 100, false, []string{requestLine + "abc\r\n" + lengthLine(len(body)), body}, 400},
		{"new connection", 1, false, []string{requestLine + lengthLine(len(body)), body}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startLoopback(t, c.maxConns)
			if c.maxConns == 1 {
				hold := make(chan struct{})
				s.server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold })
				defer close(hold)
				held, err := net.Dial("tcp", s.l.Addr().String())
				assert.NilError(t, err)
				defer held.Close()
				_, err = io.WriteString(held, request("", ""))
				assert.NilError(t, err)
				time.Sleep(50 * time.Millisecond)
			}
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					for i := range 6 {
						status, err := s.exchange(i%2 == 1 && c.maxConns > 1, c.late, c.parts...)
						assert.Check(t, err)
						assert.Check(t, is.Equal(status, c.want))
					}
				})
			}
			wg.Wait()
		})
	}
}

func lengthLine(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// Callers send without end after their refusal and do not close. Guards against connections that
// stay for that, and against more of them than the bound.
func TestRefusedCallersDoNotStay(t *testing.T) {
	s := startLoopback(t, 200)
	for range 2 * maxLingering {
		conn, err := net.Dial("tcp", s.l.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		go (&writer{&client{Conn: conn}, requestLine + "a: " + strings.Repeat("x", 8<<20), 64 << 10}).run()
	}
	started := time.Now()
	for s.gate.Refused(TooLarge) < 2*maxLingering && time.Since(started) < 5*time.Second {
		assert.Check(t, s.gate.lingeringConns() <= maxLingering)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(lingerTime + 300*time.Millisecond)
	assert.Check(t, is.Equal(s.gate.Conns(), 0))
	assert.Check(t, is.Equal(s.gate.lingeringConns(), 0))
	status, err := s.exchange(false, false, requestLine+"Connection: close\r\n"+lengthLine(4), "body")
	assert.Check(t, err)
	assert.Check(t, is.Equal(status, 404))
}
