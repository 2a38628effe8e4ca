package btlistener

import (
	"container/list"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/node/btmemory"
)

const (
	// retryAfter is the Retry-After value of a refusal for want of memory or descriptors.
	retryAfter = 400 * time.Millisecond
	// refusalTime bounds the write of a refusal, and of an answer whose connection is dropped.
	refusalTime = 100 * time.Millisecond
	// closeWait is how long a new connection waits at most until the one that was dropped for
	// it has closed.
	closeWait = 20 * time.Millisecond
	// logPeriod is the least time between two log entries with the same reason.
	logPeriod = time.Second
	// minQuiet is how long a connection is idle, or its head incomplete, before it is dropped for
	// want of memory. A request arrives sooner.
	minQuiet = time.Second
	// maxParsing bounds the parts of requests with very many lines that are parsed at a time.
	maxParsing = 8
	// drainTime and drainBytes bound what is read of a body after its request was answered.
	// net/http reads at most as many bytes of a body, framing not counted.
	drainTime  = time.Second
	drainBytes = 256 << 10
	// flushTime bounds the write of what is left of an answer when its handler returns, a few KiB.
	flushTime = 10 * time.Second
)

// Reason is why a head was refused or a connection closed.
type Reason uint8

// The reasons.
const (
	// TooLarge and TooManyLines heads are answered 431.
	TooLarge Reason = iota
	TooManyLines
	// NoMemory heads are answered 503.
	NoMemory
	// Late heads have not arrived in time, and are answered 408.
	Late
	// TooManyConns closed a connection that was idle or had an incomplete head, or refused a
	// new one.
	TooManyConns
	reasonCount
)

var reasonNames = [reasonCount]string{"bytes", "lines", "memory", "time", "connections"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// status returns the status of the answer. Callers do not repeat a request after 431, as it
// would be refused again. The others promise that it has not run.
func (r Reason) status() int {
	switch r {
	case TooLarge, TooManyLines:
		return http.StatusRequestHeaderFieldsTooLarge
	case Late:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{TooLarge, TooManyLines, NoMemory, Late, TooManyConns}
}

// Limits bound the heads and the pauses of callers. Zero means no limit.
type Limits struct {
	// HeadBytes bounds the bytes of a head, its request line included.
	HeadBytes int
	// HeadLines bounds the lines of a head.
	HeadLines int
	// HeadTimeout is the time from the first byte of a head to its last one, and IdleTimeout
	// the time without one.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
	// KeepAlive is the time without a request that callers are told of. It is shorter than
	// IdleTimeout by what their requests may take to arrive.
	KeepAlive time.Duration
}

// Gate bounds the connections of its listeners and the heads that arrive on them. Its fields
// are set before the first use; Memory and Log may be nil. It is safe for concurrent use.
type Gate struct {
	Memory *btmemory.Budget
	Timer  bramleytack.Timer
	Log    *btevent.Logger
	// MaxConns bounds the connections of all listeners. Zero means no bound.
	MaxConns int
	// Limits returns the limits in force.
	Limits func() Limits

	// parsing has an element for each part with very many lines that is parsed.
	parsingOnce sync.Once
	parsing     chan struct{}

	mu    sync.Mutex
	conns int
	// refusing has the connections that close because their head was refused, idle those
	// without a request, and reading those with a part of a head, all from the oldest on.
	refusing list.List
	idle     list.List
	reading  list.List
	// lingering counts the connections that are read on after their answers.
	lingering int
	refused   [reasonCount]atomic.Uint64
	logged    [reasonCount]btevent.Pace
	// cuts counts the connections that ended without a whole answer, by who ended them.
	cuts [enderCount]atomic.Uint64
}

// parse returns the channel that has an element for each request that is parsed.
func (g *Gate) parse() chan struct{} {
	g.parsingOnce.Do(func() { g.parsing = make(chan struct{}, maxParsing) })
	return g.parsing
}

// Conns returns the number of open connections.
func (g *Gate) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns
}

// Refused returns how often a reason has applied.
func (g *Gate) Refused(r Reason) uint64 { return g.refused[r].Load() }

// Bind makes a server report the state of its connections. It replaces the server's own limits
// on heads and idle connections. The server's handler is set before.
func (g *Gate) Bind(s *http.Server) {
	s.Handler = &servingHandler{next: s.Handler}
	s.ConnState = stateChanged
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	// Limits may change, so that Conn applies them. net/http adds a few KiB to its own.
	s.MaxHeaderBytes = math.MaxInt32
}

// servingHandler notes that the handler of a request has begun and returned. That the request is
// served is known since its head was read: see stateChanged.
type servingHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *servingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.serve()
	defer c.finish()
	c.exchange.aborted.Store(true)
	h.next.ServeHTTP(w, r)
	c.exchange.aborted.Store(false)
}

// Listen returns a listener for a server that is bound to the gate.
func (g *Gate) Listen(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

// ListenRaw returns a listener whose connections the gate counts. It bounds nothing that is
// read from them.
func (g *Gate) ListenRaw(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g, raw: true}
}

type listener struct {
	net.Listener
	gate *Gate
	raw  bool
}

// Accept returns the next connection that finds room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(nc, l.raw); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection, or closes it and returns nil if there is no room for it.
func (g *Gate) admit(nc net.Conn, raw bool) *Conn {
	c := &Conn{Conn: nc, gate: g, raw: raw, closed: make(chan struct{})}
	c.account = g.Memory.OpenCaller(func() { c.drop(NoMemory) })
	old, ok := g.enter(c)
	if !ok {
		g.note(TooManyConns, nc.RemoteAddr().String())
		if !raw {
			c.answer(TooManyConns)
		}
		_ = c.Close()
		return nil
	}
	if old != nil {
		g.awaitClose(old)
	}
	if !raw {
		c.rested()
	}
	return c
}

// awaitClose gives a dropped connection a moment to free its descriptor.
func (g *Gate) awaitClose(c *Conn) {
	t := g.Timer.After(closeWait)
	defer t.Stop()
	select {
	case <-c.closed:
	case <-t.C():
	}
}

// enter counts a connection as idle. If there are too many, it drops one that closes anyway, or
// the one that has been idle for longest, or else the one whose head has been incomplete for
// longest, and returns it. It reports false if there is no such one. For want of memory it rather
// uses the spare part than to drop one whose request may be on its way.
func (g *Gate) enter(c *Conn) (dropped *Conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	full := g.MaxConns > 0 && g.conns >= g.MaxConns
	if full || !g.Memory.OpenConn(false) {
		old := g.oldest()
		switch {
		case old == nil && full:
			return nil, false
		case full || old != nil && g.Timer.Now().Sub(old.placed) >= minQuiet:
		case g.Memory.OpenConn(true):
			g.count(c)
			return nil, true
		}
		if old != nil {
			g.uncount(old)
			old.drop(TooManyConns)
		}
		if !g.Memory.OpenConn(true) {
			return nil, false
		}
		dropped = old
	}
	g.count(c)
	return dropped, true
}

// count counts a connection as idle. The gate's mutex must be locked.
func (g *Gate) count(c *Conn) {
	g.conns++
	c.counted = true
	c.place(&g.idle)
}

// oldest returns the connection that is dropped for a new one, or nil.
func (g *Gate) oldest() *Conn {
	for _, l := range []*list.List{&g.refusing, &g.idle, &g.reading} {
		if e := l.Front(); e != nil {
			return e.Value.(*Conn)
		}
	}
	return nil
}

// uncount ends the count of a connection. The gate's mutex must be locked.
func (g *Gate) uncount(c *Conn) {
	c.unplace()
	if c.counted {
		c.counted = false
		g.conns--
		g.Memory.CloseConn()
	}
}

// leave is called when a connection has closed.
func (g *Gate) leave(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uncount(c)
}

// note counts a reason and logs it, at most once in each logPeriod.
func (g *Gate) note(r Reason, from string) {
	count := g.refused[r].Add(1)
	if !g.logged[r].Due(g.Timer.Now(), logPeriod) {
		return
	}
	g.Log.Event(btevent.CallerRefused).Stringer("reason", r).Uint64("count", count).Str("from", from).Send()
}

// Handler returns a handler that takes over each request before its body is read, and whose answers
// say how long the connection is kept. A request that finds no memory is answered 503. Handlers that
// keep bodies call Admit, HandOver, KeepAlive and Closes themselves.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v := KeepAlive(r.Context()); v != "" {
			w.Header().Set("Keep-Alive", v)
		}
		_, fits, _ := Admit(r.Context())
		if fits {
			fits, _ = HandOver(r.Context())
		}
		if !fits {
			if Closes(r.Context()) {
				w.Header().Set("Connection", "close")
				w.Header().Del("Keep-Alive")
			}
			w.Header().Set("Retry-After", seconds(retryAfter))
			http.Error(w, refusal(NoMemory), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

func refusal(r Reason) string { return "request refused: " + r.String() }

// response returns a refusal of the daemon.
func response(r Reason) string {
	status, body, after := r.status(), refusal(r)+"\n", ""
	if status == http.StatusServiceUnavailable {
		after = "Retry-After: " + seconds(retryAfter) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), after, len(body), body)
}
