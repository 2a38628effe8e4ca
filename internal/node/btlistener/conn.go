package btlistener

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/node/btmemory"
)

const (
	// bufferBytes is the size of net/http's read buffer. A following head may be in it when a
	// handler ends.
	bufferBytes = 4 << 10
	// maxAtOnce is the most lines of a part of a request that is parsed at once. Ordinary heads have
	// some ten lines, and ordinary bodies are not made of short chunks.
	maxAtOnce = 64
	// lastLook is how long a read waits again after its deadline. Bytes that arrived while the
	// process was paused are read.
	lastLook = 10 * time.Millisecond
)

// errRefused ends the read of a head that was refused.
var errRefused = errors.New("btlistener: connection was refused")

// The states of a connection.
const (
	// stateIdle connections have no request.
	stateIdle uint32 = iota
	// stateReading connections have sent a part of a head.
	stateReading
	// stateServing connections have a request whose head was read.
	stateServing
)

// Conn is a connection of a caller. net/http reads from it in one goroutine at a time.
type Conn struct {
	net.Conn
	gate *Gate
	raw  bool
	// account counts each request from its first byte on until net/http has dropped it.
	account *btmemory.Account
	// state is one of the states. net/http reports a head that it has read, which sets stateServing,
	// before its read ahead begins.
	state atomic.Uint32
	// announced is the idle time that the last answer's KeepAlive goes by, in nanoseconds.
	announced atomic.Int64
	// since is when the connection had its last request, or the first byte of its head.
	since time.Time
	// head and lines are the bytes and lines of the head so far, and charged what counts for
	// them in account.
	head    int
	lines   int
	charged int
	// recent counts the lines that net/http may have in its buffer, and early those that may
	// belong to a head that it has read before the request in front of it was served.
	recent recentLines
	early  int
	// parsing is set while the connection has an element in the gate's parsing, and paced while
	// a handler reads a body.
	parsing atomic.Bool
	paced   atomic.Bool
	// finishing is set from the return of a handler on, while what is left of its answer is written
	// and what is left of the body is read. drained counts the bytes of that, which are read until
	// drainUntil, a Unix time in nanoseconds. incomplete is set if a body cannot be read to its end.
	finishing  atomic.Bool
	drained    int
	drainUntil atomic.Int64
	incomplete atomic.Bool
	// hurried is set if the connection was dropped while finishing.
	hurried atomic.Bool
	// bodyRead is set once net/http has read a request to its end.
	bodyRead atomic.Bool
	// dropped is set if the connection must not serve another request, for the reason in why.
	dropped atomic.Bool
	why     atomic.Uint32
	once    sync.Once
	// refused is set once nothing may be written any more.
	refused atomic.Bool
	// answered is set once a refusal was written. lingering is zero, or what has become of the
	// rest of a request after the answer.
	answered  atomic.Bool
	lingering atomic.Int32
	// exchange is what has become of the request and its answer.
	exchange exchange
	// closed is closed after the connection.
	closed chan struct{}
	// The gate's mutex guards the rest. list has the connection as elem while it may be dropped
	// for another one, since placed; counted is set until then.
	list    *list.List
	placed  time.Time
	elem    *list.Element
	counted bool
}

type connKey struct{}

// Admit returns the account of what a request keeps, its head included, until its handler returns.
// Fits is false if there is no memory to serve it now or its connection has been dropped: then it
// need not be read, and must not be passed on. A request that came by no Gate has no account; ok is
// false then.
func Admit(ctx context.Context) (account *btmemory.Account, fits, ok bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil, true, false
	}
	return c.account, c.noteFit(c.account.FitsHeld()), true
}

// Pace makes a connection wait for its turn where it has got a part of a body, until stop is
// called. Callers that send very many chunks do not delay others then. The caller of Pace must not
// wait for anything but the body.
func Pace(ctx context.Context) (stop func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	c.paced.Store(true)
	return c.stopPacing
}

// HandOver keeps the connection of a request from being dropped for want of memory until its
// handler returns. It reports false if there is no memory for the request or its connection has
// been dropped: the request must not be passed on. For a request that came by no Gate, ok is
// false.
func HandOver(ctx context.Context) (fits, ok bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true, false
	}
	return c.noteFit(c.account.Hold()), true
}

// noteFit reports whether a request that fits may be served. The connection may have been dropped
// for another one after its head was read: then the request's context ends.
func (c *Conn) noteFit(fits bool) bool {
	r := NoMemory
	if c.dropped.Load() {
		fits, r = false, Reason(c.why.Load())
	}
	if !fits {
		c.gate.note(r, c.RemoteAddr().String())
	}
	return fits
}

// Dropped reports whether a request's connection has been dropped before HandOver.
func Dropped(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.dropped.Load()
}

// Closes reports whether a request's connection closes after the answer, which has to say so:
// callers would send their next requests on it. It does not know what net/http closes.
func Closes(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && (c.dropped.Load() || c.incomplete.Load())
}

// KeepAlive returns the value of the answer's Keep-Alive header, empty for none. The connection of
// the request stays open for that long after it: a close that the caller does not expect crosses its
// next request, which gets nothing.
func KeepAlive(ctx context.Context) string {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return ""
	}
	l := c.gate.Limits()
	s := int64(l.KeepAlive / time.Second)
	if s < 1 {
		return ""
	}
	c.announced.Store(int64(l.IdleTimeout))
	return "timeout=" + strconv.FormatInt(s, 10)
}

// stateChanged is called by net/http. A connection becomes active once a head was read.
func stateChanged(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.serve()
	case http.StateIdle:
		c.rest()
	}
}

// place puts the connection into a list. The gate's mutex must be locked.
func (c *Conn) place(l *list.List) {
	c.unplace()
	c.list, c.elem, c.placed = l, l.PushBack(c), c.gate.Timer.Now()
}

func (c *Conn) unplace() {
	if c.elem != nil {
		c.list.Remove(c.elem)
		c.elem = nil
	}
}

// drop makes the connection close instead of reading or serving another request. It neither
// blocks nor uses the budget.
func (c *Conn) drop(r Reason) {
	c.why.Store(uint32(r))
	c.dropped.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	if c.finishing.Load() {
		c.hurried.Store(true)
		c.boundAnswer()
	}
}

// boundAnswer bounds the write of what is left of an answer whose handler has returned. A caller
// that reads gets it at once.
func (c *Conn) boundAnswer() { _ = c.Conn.SetWriteDeadline(c.gate.Timer.Now().Add(refusalTime)) }

// beginParse waits until net/http may parse a part of a request that was read, which it may until
// endParse. A part of few lines is parsed at once. Of others few are parsed at a time, and what is
// ready to run runs before each: a caller whose next part has always arrived already would use up
// whole time slices.
func (c *Conn) beginParse(part []byte) {
	if len(part) > bufferBytes || bytes.Count(part, []byte{'\n'}) <= maxAtOnce {
		return
	}
	c.gate.parse() <- struct{}{}
	c.parsing.Store(true)
	runtime.Gosched()
}

// endParse lets another connection parse.
func (c *Conn) endParse() {
	if c.parsing.Swap(false) {
		<-c.gate.parse()
	}
}

func (c *Conn) stopPacing() {
	c.paced.Store(false)
	c.endParse()
}

// setDeadline ends reads after a time, zero for never.
func (c *Conn) setDeadline(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = c.gate.Timer.Now().Add(d)
	}
	c.bound(at)
}

// bound sets the time until which reads wait, unless the connection is dropped.
func (c *Conn) bound(at time.Time) {
	_ = c.Conn.SetReadDeadline(at)
	if c.dropped.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline implements net.Conn. Deadlines that net/http sets for heads and idle
// connections are ignored: those of Limits hold.
func (c *Conn) SetReadDeadline(at time.Time) error {
	if c.raw || c.state.Load() == stateServing {
		if at.IsZero() {
			// net/http has read the body to its end. A read ahead that it ends later is no failure.
			c.drainUntil.Store(0)
			c.bodyRead.Store(true)
		}
		c.bound(at)
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.raw {
		return c.Conn.Read(p)
	}
	c.endParse()
	if c.state.Load() == stateServing {
		// net/http reads single bytes ahead in a goroutine of its own.
		if c.finishing.Load() && len(p) > 1 {
			return c.drain(p)
		}
		return c.readBody(p)
	}
	// net/http has used up all bytes of the head that it has got, and needs more.
	l := c.gate.Limits()
	switch {
	case c.dropped.Load():
		return 0, c.refuse()
	case l.HeadBytes > 0 && c.head >= l.HeadBytes:
		c.drop(TooLarge)
		return 0, c.refuse()
	case l.HeadLines > 0 && c.lines > l.HeadLines:
		c.drop(TooManyLines)
		return 0, c.refuse()
	}
	n, err := c.read(p)
	c.recent.add(len(p), p[:n])
	if err != nil {
		c.exchange.readFailed(err)
	}
	if n > 0 {
		c.begin(l)
		if !c.count(n, bytes.Count(p[:n], []byte{'\n'})) {
			c.drop(NoMemory)
		}
	}
	if c.dropped.Load() {
		return 0, c.refuse()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.state.Load() == stateReading {
		c.drop(Late)
		return n, c.refuse()
	}
	c.beginParse(p[:n])
	return n, err
}

// readBody reads a part of a body, or the first byte of the next request.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recent.add(len(p), p[:n])
	if err != nil {
		c.exchange.readFailed(err)
		c.noteFailure()
	}
	if c.paced.Load() {
		if c.beginParse(p[:n]); !c.paced.Load() {
			c.endParse()
		}
	}
	return n, err
}

// drain reads a part of what a handler has left of a body.
func (c *Conn) drain(p []byte) (int, error) {
	if c.drainUntil.Load() == 0 {
		at := c.gate.Timer.Now().Add(drainTime)
		c.drainUntil.Store(at.UnixNano())
		c.bound(at)
	}
	if c.drained >= drainBytes {
		c.incomplete.Store(true)
	}
	if c.incomplete.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
	}
	n, err := c.Conn.Read(p)
	c.recent.add(len(p), p[:n])
	c.drained += n
	if err != nil {
		c.exchange.readFailed(err)
		c.noteFailure()
	}
	c.beginParse(p[:n])
	return n, err
}

// noteFailure notes that a read of a body has failed. Once the handler has returned, net/http ends
// its read ahead by a deadline, which is no failure.
func (c *Conn) noteFailure() {
	if !c.finishing.Load() {
		c.incomplete.Store(true)
		return
	}
	if until := c.drainUntil.Load(); until != 0 && c.gate.Timer.Now().UnixNano() >= until {
		c.incomplete.Store(true)
	}
}

// Write implements net.Conn. net/http answers 400 where a line of a head is cut off, although
// the head was refused already.
func (c *Conn) Write(p []byte) (int, error) {
	c.endParse()
	if c.refused.Load() {
		return len(p), nil
	}
	if c.hurried.Load() {
		// The time counts from the write: the process may have been paused since the drop.
		c.boundAnswer()
	}
	n, err := c.Conn.Write(p)
	c.exchange.wrote(n, err)
	return n, err
}

// read waits once more for a moment after its deadline, and as long as a limit allows that was
// raised since.
func (c *Conn) read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.dropped.Load() {
			return n, err
		}
		if !c.extend() {
			break
		}
	}
	c.setDeadline(lastLook)
	return c.Conn.Read(p)
}

// extend sets the deadline of a connection without a request, or with a part of a head, by the limits
// in force. It reports false if they do not allow more time.
func (c *Conn) extend() bool {
	l := c.gate.Limits()
	limit := c.idleLimit(l)
	switch c.state.Load() {
	case stateReading:
		limit = l.HeadTimeout
	case stateServing:
		return false
	}
	if limit <= 0 {
		c.bound(time.Time{})
		return true
	}
	until := c.since.Add(limit)
	if !until.After(c.gate.Timer.Now()) {
		return false
	}
	c.bound(until)
	return true
}

// begin notes the first byte of a head.
func (c *Conn) begin(l Limits) {
	if c.state.Load() != stateIdle {
		return
	}
	c.state.Store(stateReading)
	c.gate.mu.Lock()
	if c.elem != nil {
		c.place(&c.gate.reading)
	}
	c.gate.mu.Unlock()
	c.since = c.gate.Timer.Now()
	c.exchange.begin(c.since)
	c.setDeadline(l.HeadTimeout)
}

// count adds bytes and lines to the head. It reports false if there is no memory for them.
func (c *Conn) count(n, lines int) bool {
	lines += c.early
	c.early = 0
	c.head += n
	c.lines += lines
	cost := btmemory.HeadCost(n, lines)
	if !c.account.Take(cost) {
		return false
	}
	c.charged += cost
	return true
}

// serve notes that a head was read, or could not be.
func (c *Conn) serve() {
	c.endParse()
	if c.state.Load() == stateServing {
		return
	}
	if c.early > 0 && !c.count(0, 0) {
		c.drop(NoMemory)
	}
	if !c.refused.Load() {
		c.gate.mu.Lock()
		c.unplace()
		c.gate.mu.Unlock()
	}
	c.state.Store(stateServing)
	c.bound(time.Time{})
}

// finish notes that the handler of a request has returned. net/http keeps the head until it has
// read the rest of the body, so that the connection may be dropped again.
func (c *Conn) finish() {
	c.stopPacing()
	c.drained = 0
	c.drainUntil.Store(0)
	c.finishing.Store(true)
	_ = c.Conn.SetWriteDeadline(c.gate.Timer.Now().Add(flushTime))
	c.account.Finish(c.charged)
}

// rest notes that a request was served.
func (c *Conn) rest() {
	c.endParse()
	c.finishing.Store(false)
	if c.incomplete.Load() {
		// What follows is no request, and net/http has ended the context of the connection.
		c.drop(Late)
	}
	c.account.Release(c.charged)
	c.bodyRead.Store(false)
	c.state.Store(stateIdle)
	c.head, c.lines, c.charged = 0, 0, 0
	c.exchange.reset()
	c.early, c.recent = c.recent.lines(), recentLines{}
	c.gate.mu.Lock()
	if c.counted {
		c.place(&c.gate.idle)
	}
	c.gate.mu.Unlock()
	c.rested()
}

// rested bounds the time until the next request.
func (c *Conn) rested() {
	c.since = c.gate.Timer.Now()
	c.setDeadline(c.idleLimit(c.gate.Limits()))
}

// idleLimit returns how long the connection may be idle, zero for any time.
func (c *Conn) idleLimit(l Limits) time.Duration {
	if l.IdleTimeout <= 0 {
		return 0
	}
	return max(l.IdleTimeout, time.Duration(c.announced.Load()))
}

// refuse answers a head, unless the connection is idle, and returns the error with which
// net/http closes the connection without another answer. net/http may read once more after it.
func (c *Conn) refuse() error {
	if !c.refused.Load() {
		c.refused.Store(true)
		c.gate.mu.Lock()
		if c.counted {
			c.place(&c.gate.refusing)
		}
		c.gate.mu.Unlock()
		r := Reason(c.why.Load())
		c.gate.note(r, c.RemoteAddr().String())
		if c.state.Load() == stateReading {
			c.answer(r)
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// answer writes a refusal. The caller may not read it.
func (c *Conn) answer(r Reason) {
	_ = c.Conn.SetWriteDeadline(c.gate.Timer.Now().Add(refusalTime))
	_, _ = io.WriteString(c.Conn, response(r))
	c.answered.Store(true)
}

// Close implements net.Conn. A connection that lingers closes after that.
func (c *Conn) Close() error {
	c.linger()
	var err error
	if !c.lingering.CompareAndSwap(lingerReads, lingerCloses) && c.lingering.Load() != lingerCloses {
		err = c.end()
	}
	c.endParse()
	c.once.Do(func() {
		c.noteCut()
		c.account.Close()
		close(c.closed)
	})
	return err
}

// end closes the connection, which counts until then.
func (c *Conn) end() error {
	err := c.Conn.Close()
	c.gate.leave(c)
	return err
}

// recentLines counts the lines in the bytes that may be left in net/http's read buffer.
type recentLines struct {
	bytes, newest int
	// older are the lines of the bytes before the newest ones.
	older int
}

// add counts bytes that were read into a buffer of a size. A read into a larger buffer than
// net/http's own happens only while that one is empty.
func (r *recentLines) add(size int, p []byte) {
	switch {
	case len(p) == 0:
		return
	case size > bufferBytes:
		*r = recentLines{}
		return
	case r.bytes >= bufferBytes:
		r.older, r.newest, r.bytes = r.newest, 0, 0
	}
	r.bytes += len(p)
	r.newest += bytes.Count(p, []byte{'\n'})
}

func (r *recentLines) lines() int { return min(r.newest+r.older, bufferBytes) }
