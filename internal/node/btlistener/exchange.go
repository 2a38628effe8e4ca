package btlistener

import (
	"context"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/btevent"
)

// Ender is who ended a connection before a whole answer to its request.
type Ender uint8

// The enders.
const (
	ByDaemon Ender = iota
	ByCaller
	enderCount
)

var enderNames = [enderCount]string{"daemon", "caller"}

// String returns the ender's name.
func (e Ender) String() string { return enderNames[e] }

// Enders returns all enders.
func Enders() []Ender { return []Ender{ByDaemon, ByCaller} }

// exchange is what has become of a connection's request and its answer. It is safe for concurrent
// use.
type exchange struct {
	// aborted is set while a handler runs, and stays set if it panics.
	aborted atomic.Bool

	mu sync.Mutex
	// id is the request's own id, empty unless it is known.
	id string
	// began is when the first byte of the request came, and written the bytes of the answer.
	began   time.Time
	written int
	// left is set once the caller has ended the connection, writeErr once the answer could not
	// be written before that.
	left     bool
	writeErr error
}

// reset forgets the request. A caller that has left stays away.
func (e *exchange) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.began, e.written = "", time.Time{}, 0
}

func (e *exchange) begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.began = now
}

// readFailed notes a read that failed otherwise than by a deadline, which the daemon sets.
func (e *exchange) readFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errRefused) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
}

func (e *exchange) wrote(n int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.written += n
	switch {
	case err == nil || e.left || e.writeErr != nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.writeErr = err
	default:
		e.left = true
	}
}

// Identify names the request that a connection serves in logs.
func Identify(ctx context.Context, id string) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	c.exchange.mu.Lock()
	defer c.exchange.mu.Unlock()
	c.exchange.id = id
}

// Cut returns how many connections were ended by e before a whole answer to their requests. Refused
// heads do not count.
func (g *Gate) Cut(e Ender) uint64 { return g.cuts[e].Load() }

// noteCut counts a connection that closes before a whole answer to its request, and logs it unless
// the caller has closed it before.
func (c *Conn) noteCut() {
	state := c.state.Load()
	if c.raw || c.refused.Load() || state == stateIdle {
		return
	}
	e := &c.exchange
	e.mu.Lock()
	defer e.mu.Unlock()
	aborted, finishing := e.aborted.Load(), c.finishing.Load()
	if finishing && !aborted && e.writeErr == nil && !e.left {
		return
	}
	ender := ByDaemon
	if e.left {
		ender = ByCaller
	}
	c.gate.cuts[ender].Add(1)
	if e.left {
		return
	}
	stage := "reading"
	switch {
	case finishing && !aborted:
		stage = "flushing"
	case state == stateServing:
		stage = "serving"
	}
	line := c.gate.Log.Event(btevent.CallerCut).Str("request", e.id).Str("stage", stage).Int("written", e.written)
	if c.dropped.Load() {
		line = line.Stringer("dropped", Reason(c.why.Load()))
	}
	if !e.began.IsZero() {
		line = line.Dur("after", c.gate.Timer.Now().Sub(e.began))
	}
	line.Bool("aborted", aborted).AnErr("cause", e.writeErr).Stringer("from", c.RemoteAddr()).Send()
}
