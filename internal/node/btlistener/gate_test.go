package btlistener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bramleytack/bttimer"
	"bramleytack/internal/btmemnet"
	"bramleytack/internal/node/btmemory"
)

var addr = netip.MustParseAddrPort("10.0.0.1:80")

// fixture is a server behind a gate.
type fixture struct {
	t      *testing.T
	net    *btmemnet.Network
	gate   *Gate
	limits Limits
	server *http.Server
	l      net.Listener
	// work is the time that a request takes after its hand-over.
	work time.Duration
	// handler replaces ServeHTTP.
	handler http.HandlerFunc
}

func (f *fixture) run() { _ = f.server.Serve(f.l) }

// ServeHTTP reads the body, takes the request over and answers its size.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.handler != nil {
		f.handler(w, r)
		return
	}
	account, opened, counted := Admit(r.Context())
	stop := Pace(r.Context())
	body, err := btmemory.ReadAll(r.Body, int(r.ContentLength), 1<<20, account)
	stop()
	if fits, _ := HandOver(r.Context()); err != nil || !opened || !counted || !fits {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(f.work)
	fmt.Fprint(w, len(body))
}

// serve calls f with a running server in fake time.
func serve(t *testing.T, budget *btmemory.Budget, maxConns int, limits Limits, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		f := &fixture{t: t, net: &btmemnet.Network{}, limits: limits}
		f.gate = &Gate{Memory: budget, Timer: timer, MaxConns: maxConns, Limits: func() Limits { return f.limits }}
		f.server = &http.Server{Handler: f}
		f.gate.Bind(f.server)
		f.l = f.gate.Listen(f.net.Listen(addr))
		go f.run()
		test(f)
		_ = f.server.Close()
		time.Sleep(time.Minute)
		assert.Check(t, f.gate.Conns() == 0, "%d connections counted", f.gate.Conns())
		assert.Check(t, budget.Kept() == 0, "%d bytes counted", budget.Kept())
		timer.Close()
	})
}

// client is one connection of a caller.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (f *fixture) dial() *client {
	c, err := btmemnet.Dialer{Network: f.net, From: netip.MustParseAddr("10.9.0.1")}.DialPeer(context.Background(), addr)
	assert.NilError(f.t, err)
	dialed := &client{c, bufio.NewReader(c)}
	dialed.bound()
	// The gate admits connections one after the other.
	synctest.Wait()
	return dialed
}

// bound ends what the caller waits for after callerTime, which is longer than all limits.
func (c *client) bound() { _ = c.SetDeadline(time.Now().Add(callerTime)) }

const callerTime = 5 * time.Minute

// send writes text in pieces and returns the status of the response, zero without one.
func (c *client) send(text string) int {
	c.write(text)
	return c.status()
}

// pieceBytes is the size of the pieces in which callers write.
const pieceBytes = 1000

// write writes text in pieces and does not wait.
func (c *client) write(text string) { go (&writer{c, text, pieceBytes}).run() }

func (c *client) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		return -1
	}
	return resp.StatusCode
}

// writer writes text in pieces of a size.
type writer struct {
	c    *client
	text string
	size int
}

func (w *writer) run() {
	for text := w.text; text != ""; {
		n := min(len(text), w.size)
		if _, err := io.WriteString(w.c, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// closed reports whether the server has closed the connection.
func (c *client) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.bound()
	_, err := c.r.Peek(1)
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

const requestLine = "POST / HTTP/1.1\r\nHost: h\r\n"

// request is a request with header lines and a body.
func request(lines, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n%s\r\n%s", requestLine, len(body), lines, body)
}

func memory() *btmemory.Budget { return &btmemory.Budget{Limit: 1 << 20} }

// Guards against heads over a limit that are read on, and against one at a limit that is
// refused.
func TestHeadLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		want int
	}{
		{"ordinary", request("", "body"), 200},
		{"at the limit of bytes", request("a: "+strings.Repeat("x", 8000-len(request("a: \r\n", "")))+"\r\n", ""), 200},
		{"line without end", requestLine + "a: " + strings.Repeat("x", 100_000), 431},
		{"request line without end", "GET /" + strings.Repeat("x", 100_000), 431},
		{"lines without end", requestLine + strings.Repeat("a: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", 5000), 431},
		{"many lines", request(strings.Repeat("a:\r\n", 90), ""), 200},
		{"too many lines", requestLine + strings.Repeat("a:\n", 1500), 431},
		{"folded lines", requestLine + "a: b\r\n" + strings.Repeat(" c\n", 1500), 431},
		{"no colon", requestLine + strings.Repeat("abc\n", 100_000), 400},
		{"no name", requestLine + strings.Repeat(":a\n", 100_000), 400},
		{"blank lines", strings.Repeat("\r\n", 100_000), 400},
		{"body of many lines", request("", strings.Repeat("\n", 50_000)), 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve(t, memory(), 10, Limits{HeadBytes: 8000, HeadLines: 100}, func(f *fixture) {
				conn := f.dial()
				assert.Check(t, conn.send(c.text) == c.want)
				assert.Check(t, conn.closed() == (c.want != 200))
			})
		})
	}
}

// Guards against heads of legal size whose many lines take more than the memory allows, and
// against ordinary requests that are refused beside them.
func TestLinesFindMemory(t *testing.T) {
	big := strings.Repeat("a:\n", 3000)
	serve(t, memory(), 100, Limits{HeadBytes: 16_000}, func(f *fixture) {
		assert.Check(t, f.dial().send(request(big, "")) == 200, "a single request")
		// Their bodies do not come.
		refused := 0
		var all []*client
		for range 20 {
			c := f.dial()
			all = append(all, c)
			c.write(strings.TrimSuffix(request(big, "x"), "x"))
			time.Sleep(time.Millisecond)
			assert.Check(t, f.gate.Memory.Kept() <= f.gate.Memory.Limit)
			assert.Check(t, f.dial().send(request("", "body")) == 200, "an ordinary request")
		}
		time.Sleep(time.Second)
		for _, c := range all {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if c.status() == http.StatusServiceUnavailable {
				refused++
			}
			c.Close()
		}
		assert.Check(t, refused >= 17 && refused < 20, "%d refused", refused)
		assert.Check(t, f.gate.Refused(NoMemory) > 0)
	})
}

// Guards against a request that is cut after its handler has taken it over, by want of memory
// or of connections, and against an idle connection that stays although there are too many.
func TestServedRequestIsNotDropped(t *testing.T) {
	serve(t, memory(), 2, Limits{HeadBytes: 1 << 20}, func(f *fixture) {
		f.work = time.Second
		served, idle := f.dial(), f.dial()
		served.write(request(strings.Repeat("a:\n", 3000), "body"))
		time.Sleep(100 * time.Millisecond)
		next := f.dial()
		time.Sleep(100 * time.Millisecond)
		assert.Check(t, idle.closed() && !next.closed())
		// A head without end takes the memory that is left.
		next.write(requestLine + strings.Repeat("b:\n", 100_000))
		assert.Check(t, next.status() == 503)
		other := f.dial()
		other.write(request("", "body"))
		time.Sleep(100 * time.Millisecond)
		assert.Check(t, f.dial().status() == 503, "both connections are in use")
		assert.Check(t, served.status() == 200)
		assert.Check(t, is.Equal(other.status(), 200))
		assert.Check(t, !served.closed() && served.send(request("", "")) == 200, "the connection is kept")
	})
}

// Guards against connections that are dropped in another order than that of their last use, or
// an idle one after one with a part of a head.
func TestOldestConnectionMakesRoom(t *testing.T) {
	serve(t, memory(), 4, Limits{HeadBytes: 1 << 20}, func(f *fixture) {
		reading := f.dial()
		_, _ = io.WriteString(reading, requestLine)
		a, b, c := f.dial(), f.dial(), f.dial()
		assert.Check(t, a.send(request("", "")) == 200)
		time.Sleep(time.Millisecond)
		for _, next := range []*client{b, c, a} {
			assert.Check(t, !next.closed())
			_, err := io.WriteString(f.dial(), requestLine)
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
			assert.Check(t, next.closed())
		}
		f.dial()
		assert.Check(t, reading.status() == 503)
	})
}

// Requests are served on as many connections as find memory beside the spare part. Guards against a
// new connection that is dropped for the next one before its request can arrive, against a quiet one
// that is kept instead, and against more connections than the memory allows.
func TestNewConnectionFindsMemory(t *testing.T) {
	const served, spare = 15, 3
	// What the heads take is much less than a connection.
	budget := &btmemory.Budget{Limit: 60_000, Total: 1_850_000, ConnCost: 100_000}
	serve(t, budget, 100, Limits{HeadBytes: 8000}, func(f *fixture) {
		f.work = time.Minute
		for range served {
			f.dial().write(requestLine + "Content-Length: 0\r\n\r\n")
			time.Sleep(time.Millisecond)
		}
		var fresh []*client
		for range spare {
			fresh = append(fresh, f.dial())
		}
		f.work = 0
		for i, c := range fresh[1:] {
			assert.Check(t, c.send(requestLine+"Content-Length: 0\r\n\r\n") == 200, "%d", i)
			time.Sleep(time.Millisecond)
		}
		assert.Check(t, is.Equal(f.gate.Conns(), served+spare))
		next := f.dial()
		assert.Check(t, fresh[0].closed() && !next.closed(), "the oldest one makes room")
		assert.Check(t, is.Equal(f.gate.Conns(), served+spare))
		fresh[1].Close()
		time.Sleep(minQuiet)
		f.dial()
		assert.Check(t, fresh[2].closed() && !next.closed(), "a quiet one makes room although there is a spare part")
	})
}

// Guards against heads that follow a body in one buffer and are not counted.
func TestPipelinedHeadsCount(t *testing.T) {
	serve(t, memory(), 10, Limits{HeadBytes: 16_000}, func(f *fixture) {
		f.work = time.Second
		const lines = 1200
		c := f.dial()
		text := request("", "body") + request(strings.Repeat("a:\n", lines), "")
		go (&writer{c, text, len(text)}).run()
		assert.Check(t, is.Equal(c.status(), 200))
		time.Sleep(500 * time.Millisecond)
		assert.Check(t, f.gate.Memory.Kept() >= int64(btmemory.HeadCost(0, lines)), "%d bytes", f.gate.Memory.Kept())
		_, err := io.WriteString(f.dial(), requestLine)
		assert.NilError(t, err)
		assert.Check(t, is.Equal(c.status(), 200))
		text = strings.Repeat(request("", "body"), 5)
		go (&writer{c, text, len(text)}).run()
		for range 5 {
			assert.Check(t, is.Equal(c.status(), 200))
		}
	})
}

// Guards against a pipelined request, whose head was in the buffer already, that counts as an
// idle connection and is dropped while it is served.
func TestPipelinedRequestIsNotDropped(t *testing.T) {
	serve(t, memory(), 1, Limits{}, func(f *fixture) {
		f.work = time.Second
		c := f.dial()
		text := request("", "body") + request("", "body")
		go (&writer{c, text, len(text)}).run()
		assert.Check(t, is.Equal(c.status(), 200))
		time.Sleep(500 * time.Millisecond)
		assert.Check(t, is.Equal(f.dial().status(), 503))
		assert.Check(t, is.Equal(c.status(), 200))
	})
}

// Guards against slow heads and idle connections that stay, against limits that are not in
// force once they change, and against a caller within them that is cut.
func TestTimeouts(t *testing.T) {
	serve(t, memory(), 10, Limits{HeadTimeout: time.Second, IdleTimeout: 5 * time.Second}, func(f *fixture) {
		idle := f.dial()
		time.Sleep(4900 * time.Millisecond)
		assert.Check(t, idle.send(request("", "")) == 200)
		started := time.Now()
		_, err := idle.r.Peek(1)
		assert.Check(t, err != nil && time.Since(started) < 5100*time.Millisecond && time.Since(started) >= 5*time.Second, "idle for %v", time.Since(started))
		slow := f.dial()
		for range 9 {
			_, err := io.WriteString(slow, "GET")
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		assert.Check(t, slow.status() == 408 && slow.closed())
		assert.Check(t, f.gate.Refused(Late) == 1)
		f.limits.IdleTimeout = time.Minute
		idle = f.dial()
		time.Sleep(50 * time.Second)
		assert.Check(t, idle.send(request("", "")) == 200)
	})
}

// Callers come and leave at random. Guards against connections or bytes that stay counted, and
// against more of them than the bounds allow.
func TestCountsStayWithinBounds(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		serve(t, memory(), 8, Limits{HeadBytes: 16_000, HeadTimeout: time.Second, IdleTimeout: time.Second}, func(f *fixture) {
			f.work = 5 * time.Millisecond
			var open []*client
			for range 300 {
				if n := len(open); n > 0 && rng.IntN(3) == 0 {
					i := rng.IntN(n)
					open[i].Close()
					open = append(open[:i], open[i+1:]...)
				} else {
					c := f.dial()
					open = append(open, c)
					text := request(strings.Repeat("a:\n", rng.IntN(4000)), "body")
					c.write(text[:rng.IntN(len(text))])
				}
				time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond)
				assert.Check(t, f.gate.Conns() <= 8 && f.gate.Memory.Kept() <= f.gate.Memory.Limit, "seed %d: %d, %d", seed, f.gate.Conns(), f.gate.Memory.Kept())
			}
			for _, c := range open {
				c.Close()
			}
		})
	}
}

// pipe admits a connection whose caller writes a text and reads nothing.
func pipe(g *Gate, text string) (*Conn, net.Conn) {
	server, caller := net.Pipe()
	if text != "" {
		go (&writer{&client{Conn: caller}, text, pieceBytes}).run()
	}
	return g.admit(server, false), caller
}

// net/http reports a connection as active between the refusal of its head and its close. Guards
// against an ordinary caller that is refused because such a connection is still counted.
func TestRefusedConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		g := &Gate{Memory: memory(), Timer: timer, MaxConns: 1, Limits: func() Limits { return Limits{HeadBytes: 10} }}
		c, caller := pipe(g, requestLine)
		for {
			if _, err := c.Read(make([]byte, bufferBytes)); err != nil {
				assert.Check(t, is.ErrorIs(err, errRefused))
				break
			}
		}
		c.serve()
		next, other := pipe(g, "")
		if assert.Check(t, next != nil && g.Conns() == 1, "%d connections", g.Conns()); next == nil {
			_ = c.Close()
			return
		}
		for _, o := range []net.Conn{c, caller, next, other} {
			_ = o.Close()
		}
		assert.Equal(t, g.Conns(), 0)
	})
}
