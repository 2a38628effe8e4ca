package btlistener

import (
	"io"
	"time"
)

const (
	// lingerTime is how long a connection stays open after an answer whose request was not read to
	// its end, unless its caller closes it, and lingerBytes what is read of the request meanwhile.
	// maxLingering bounds such connections; those beyond it close at once.
	lingerTime   = drainTime
	lingerBytes  = 1 << 20
	maxLingering = 32
)

// The states of Conn.lingering.
const (
	// lingerReads connections are read until a lingerer has done that.
	lingerReads int32 = iota + 1
	// lingerCloses connections are closed by their lingerer.
	lingerCloses
	// lingerDone connections have been read.
	lingerDone
)

// halfCloser is a connection whose sending side closes on its own.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the sending side. net/http closes the connection a moment later.
func (c *Conn) CloseWrite() error {
	c.linger()
	return nil
}

// unread reports whether the caller may still be sending a request that was answered.
func (c *Conn) unread() bool {
	if c.raw || c.bodyRead.Load() {
		return false
	}
	c.exchange.mu.Lock()
	defer c.exchange.mu.Unlock()
	if c.exchange.left || c.exchange.writeErr != nil {
		return false
	}
	return c.answered.Load() || c.exchange.written > 0 && c.state.Load() != stateIdle
}

// linger closes the sending side and has the request read on. A close would reset the connection:
// callers fail to send the rest then, and may not read the answer.
func (c *Conn) linger() {
	half, ok := c.Conn.(halfCloser)
	if !ok || c.lingering.Load() != 0 || !c.unread() || !c.gate.beginLinger(c) {
		return
	}
	c.lingering.Store(lingerReads)
	_ = half.CloseWrite()
	// drop has set a deadline in the past.
	_ = c.Conn.SetReadDeadline(c.gate.Timer.Now().Add(lingerTime))
	go (&lingerer{c, c.gate.Timer.Now().Add(lingerTime)}).run()
}

// beginLinger counts a connection that lingers. It makes room first.
func (g *Gate) beginLinger(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lingering >= maxLingering {
		return false
	}
	g.lingering++
	if c.counted {
		c.place(&g.refusing)
	}
	return true
}

func (g *Gate) endLinger() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lingering--
}

// lingerer reads what a caller sends until it closes the connection, and closes that unless it is
// still in use.
type lingerer struct {
	c     *Conn
	until time.Time
}

func (l *lingerer) run() {
	if n, _ := io.CopyN(io.Discard, l.c.Conn, lingerBytes); n == lingerBytes {
		// The rest may fit into the buffers of the connection.
		t := l.c.gate.Timer.After(l.until.Sub(l.c.gate.Timer.Now()))
		<-t.C()
		t.Stop()
	}
	l.c.gate.endLinger()
	if !l.c.lingering.CompareAndSwap(lingerReads, lingerDone) {
		_ = l.c.end()
	}
}
