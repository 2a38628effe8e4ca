package btconn

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/upstream/btstatus"
)

const (
	// readBufferBytes is enough for a response head and a few events.
	readBufferBytes = 8 << 10
	// maxHeadBytes bounds the head of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// maxCarried is the number of requests whose late responses a connection recognizes. An
	// extra response comes where the next one or the one after it is due.
	maxCarried = 8
	// maxExtraBody is the largest body in bytes of an extra response that is skipped.
	maxExtraBody = 64 << 10
	// maxInlineBody is the largest request body in bytes that is written before the
	// response is read. Larger ones are written concurrently.
	maxInlineBody = 16 << 10
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define on
	// amd64.
	tcpUserTimeout = 0x12
)

// Errors of a connection.
var (
	// ErrUnsent means that no byte of the request was sent.
	ErrUnsent = errors.New("btconn: request was not sent")
	// ErrMalformed means that the received bytes are not an HTTP response.
	ErrMalformed = errors.New("btconn: response is malformed")
	// ErrExtraResponse means that an extra response cannot be skipped.
	ErrExtraResponse = errors.New("btconn: extra response cannot be skipped")
	// ErrHeadTooLarge means that the head of a response exceeds 64 KiB.
	ErrHeadTooLarge = errors.New("btconn: response head exceeds 64 KiB")
)

// UserTimeoutControl returns a function for net.Dialer.Control. It makes the kernel
// close a connection whose sent bytes stay unacknowledged for d.
func UserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// Request is one request to an upstream. Do adds the headers Host and
// Content-Length.
type Request struct {
	// ID is the id that the upstream repeats in its response. It may be empty.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Kept counts what is kept of the response's head. It may be nil.
	Kept *btmemory.Account
}

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	pool   *Pool
	number uint64
	addr   netip.AddrPort
	conn   net.Conn
	r      *bufio.Reader
	limit  *headLimit
	reused bool
	// idleUntil is the time until which the connection may be reused.
	idleUntil time.Time
	// carried are the newest requests, at most maxCarried of them.
	carried []carriedRequest
}

// carriedRequest is a request to which a late response may come. Its id may be long, since callers
// choose it, so that a hash stands for it.
type carriedRequest struct {
	id   uint64
	head bool
}

// idSeed is the seed of the hashes of ids.
var idSeed = maphash.MakeSeed()

// hashID returns the hash of a request's id.
func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// headLimit passes reads through while the head of a response may go on.
type headLimit struct {
	r io.Reader
	// left is the number of bytes that the head may still have. It is negative while
	// no head is read.
	left int
	kept *btmemory.Account
}

func (l *headLimit) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	if !l.kept.Take(btmemory.HeadCost(n, bytes.Count(p[:n], []byte{'\n'}))) {
		return 0, btmemory.ErrFull
	}
	return n, err
}

// newConn returns a connection of the pool.
func newConn(p *Pool, number uint64, addr netip.AddrPort, nc net.Conn) *Conn {
	l := &headLimit{r: nc, left: -1}
	return &Conn{pool: p, number: number, addr: addr, conn: nc, limit: l, r: bufio.NewReaderSize(l, readBufferBytes)}
}

// hasCarried reports whether one of the newest requests had an id, which is not empty.
func (c *Conn) hasCarried(id string) bool {
	hash := hashID(id)
	return id != "" && slices.ContainsFunc(c.carried, func(r carriedRequest) bool { return r.id == hash })
}

// Number returns the number of the connection, which no other one of the pool has.
func (c *Conn) Number() uint64 { return c.number }

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Exchange is a sent request with the head of its response. It must be closed.
type Exchange struct {
	conn *Conn
	// Response is the response. Its Body is the exchange itself and returns an
	// error other than io.EOF if the body is cut short.
	*http.Response
	// stop detaches the connection from the context.
	stop func() bool
	// bodySent is closed when the request body has been written or has failed.
	bodySent chan struct{}
	writeErr atomic.Bool
	complete bool
	// method is that of the request. extra is set once a response was skipped.
	method string
	extra  bool
	once   sync.Once
	// body is the original body of the response.
	body io.Reader
}

// Do sends a request and reads the head of its response. If the context ends before
// the exchange is closed, the connection is closed. An error that wraps ErrUnsent
// means that the upstream has not received any part of the request.
func (c *Conn) Do(ctx context.Context, r *Request) (*Exchange, error) {
	x := &Exchange{conn: c, method: r.Method, bodySent: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { c.conn.Close() })
	if err := x.send(r); err != nil {
		x.abandon()
		return nil, err
	}
	resp, err := c.readHead(r.Method, r.Kept)
	if err != nil {
		x.abandon()
		return nil, err
	}
	x.take(resp)
	if c.carried = append(c.carried, carriedRequest{id: hashID(r.ID), head: r.Method == http.MethodHead}); len(c.carried) > maxCarried {
		c.carried = c.carried[1:]
	}
	return x, nil
}

// take makes resp the response of the exchange.
func (x *Exchange) take(resp *http.Response) {
	x.Response, x.body, x.complete = resp, resp.Body, false
	resp.Body = x
}

// IsExtra reports whether a response with an id other than that of the request is an extra one to
// an earlier request on the connection that can be skipped. Where one of the two requests is a
// HEAD it is not known whether a body follows the head.
func (x *Exchange) IsExtra(id string) bool {
	earlier := x.conn.carried[:len(x.conn.carried)-1]
	return id != "" && x.method != http.MethodHead && slices.Contains(earlier, carriedRequest{id: hashID(id)})
}

// Skip drops an extra response and reads the head of the next one, which counts in kept. The
// connection is not reused then. After an error the exchange has no usable response.
func (x *Exchange) Skip(kept *btmemory.Account) error {
	x.extra = true
	if !x.Framed() {
		return ErrExtraResponse
	}
	if _, err := io.CopyN(io.Discard, x, maxExtraBody+1); err == nil || !x.complete {
		return errors.WithSecondaryError(ErrExtraResponse, err)
	}
	resp, err := x.conn.readHead(x.method, kept)
	if err != nil {
		return err
	}
	x.take(resp)
	return nil
}

func (x *Exchange) send(r *Request) error {
	head := r.appendHead(make([]byte, 0, 1024))
	if len(r.Body) <= maxInlineBody {
		close(x.bodySent)
		n, err := x.conn.conn.Write(append(head, r.Body...))
		return sendError(n, err)
	}
	n, err := x.conn.conn.Write(head)
	if err != nil {
		close(x.bodySent)
		return sendError(n, err)
	}
	go x.sendBody(r.Body)
	return nil
}

// sendBody writes a large body while Do waits for the response, since the upstream
// may respond before it has read the whole body.
func (x *Exchange) sendBody(body []byte) {
	defer close(x.bodySent)
	if _, err := x.conn.conn.Write(body); err != nil {
		x.writeErr.Store(true)
	}
}

func sendError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return errors.Wrapf(ErrUnsent, "%v", err)
	}
	return errors.Wrap(err, "btconn: send request")
}

func (r *Request) appendHead(b []byte) []byte {
	w := bytes.NewBuffer(b)
	w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = r.Header.Write(w)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	w.WriteString("\r\n")
	return w.Bytes()
}

// readHead reads the head of the final response and skips interim responses. It returns ErrFull
// if the memory that the head needs in kept is not there.
func (c *Conn) readHead(method string, kept *btmemory.Account) (*http.Response, error) {
	c.limit.left, c.limit.kept = maxHeadBytes, kept
	defer func() { c.limit.left, c.limit.kept = -1, nil }()
	resp, err := c.readFinal(method)
	if err != nil && kept.Ended() {
		return nil, btmemory.ErrFull
	}
	return resp, err
}

func (c *Conn) readFinal(method string) (*http.Response, error) {
	for {
		if _, err := c.r.Peek(1); err != nil {
			return nil, errors.Wrap(err, "btconn: no response")
		}
		interim, err := c.peekStatus()
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.r, &http.Request{Method: method})
		}
		switch {
		case c.limit.left == 0 && err != nil:
			return nil, ErrHeadTooLarge
		case err != nil:
			return nil, errors.Wrapf(ErrMalformed, "%v", err)
		case !interim:
			return resp, nil
		}
	}
}

// peekStatus checks the status line of the next response, which is not read. net/http also
// takes lines that are none.
func (c *Conn) peekStatus() (interim bool, err error) {
	for {
		got, err := c.r.Peek(c.r.Buffered())
		if err != nil {
			return false, err
		}
		if line, _, ok := bytes.Cut(got, []byte{'\n'}); ok {
			return btstatus.Parse(string(bytes.TrimSuffix(line, []byte{'\r'})))
		}
		if _, err := c.r.Peek(len(got) + 1); err != nil {
			return false, err
		}
	}
}

// Read reads the response body. It returns an error that wraps io.ErrUnexpectedEOF if the body ends
// with the connection and the request was not written whole: the error of a connection that breaks
// goes to one call, and if the write of the request takes it, the read sees a plain end.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	if errors.Is(err, io.EOF) {
		if !x.Framed() && !x.written() {
			return n, errors.Wrap(io.ErrUnexpectedEOF, "btconn: request was not written whole")
		}
		x.complete = true
	}
	return n, err
}

// written reports whether the request was written whole. It waits for a write that is under way: an
// upstream that has closed its side may read on. One that does not is given up after userTimeout, or
// when the context of the exchange ends.
func (x *Exchange) written() bool {
	<-x.bodySent
	return !x.writeErr.Load()
}

// Complete reports whether the response body was read to its end.
func (x *Exchange) Complete() bool { return x.complete }

// Close returns the connection to its pool if the exchange is complete and the
// connection can be reused, and closes it otherwise. It never returns an error.
func (x *Exchange) Close() error {
	x.once.Do(x.finish)
	return nil
}

func (x *Exchange) finish() {
	if !x.stop() || !x.complete || !x.reusable() {
		x.conn.conn.Close()
		return
	}
	x.conn.reused = true
	x.conn.release(x.Header)
}

func (x *Exchange) abandon() {
	x.once.Do(func() {
		x.stop()
		x.conn.conn.Close()
	})
}

// reusable reports whether no bytes of this exchange can interfere with the next
// one on the connection.
func (x *Exchange) reusable() bool {
	select {
	case <-x.bodySent:
	default:
		return false
	}
	return !x.extra && !x.writeErr.Load() && !x.Response.Close && x.conn.r.Buffered() == 0 && x.Framed()
}

// Framed reports whether the response has a length, chunks, or no body at all. If it has
// not, its body ends with the connection, and one that was cut short may look whole.
func (x *Exchange) Framed() bool {
	return x.ContentLength >= 0 || len(x.TransferEncoding) > 0 || x.body == http.NoBody
}

// keepAlive returns the idle timeout in the Keep-Alive header, or defaultKeepAlive.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(s) * time.Second
		}
	}
	return defaultKeepAlive
}

// usable reports whether the peer has neither closed an idle connection nor sent
// anything on it.
func (c *Conn) usable() bool {
	sc, ok := c.conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return c.r.Buffered() == 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}
