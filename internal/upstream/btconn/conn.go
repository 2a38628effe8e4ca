package btconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBuffer holds a response head and a few events.
	readBuffer = 8 << 10
	// inlineBody is the largest body that is written before the response is
	// read; larger ones are written beside the reading.
	inlineBody = 16 << 10
	// tcpUserTimeout is the option's number on Linux.
	tcpUserTimeout = 0x12
)

// Errors of a connection.
var (
	// ErrUnsent means that no byte of the request left.
	ErrUnsent = errors.New("btconn: request was not sent")
	// ErrMalformed means that the bytes are no response.
	ErrMalformed = errors.New("btconn: response is malformed")
)

// UserTimeoutControl returns a dialer's control function that closes a connection
// whose bytes stay unacknowledged for d.
func UserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var serr error
		err := c.Control(func(fd uintptr) {
			serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return serr
	}
}

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	pool   *Pool
	addr   netip.AddrPort
	conn   net.Conn
	r      *bufio.Reader
	reused bool
	// idleUntil is when the upstream may close the connection.
	idleUntil time.Time
}

// Reused says whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Exchange is a request whose response has begun.
type Exchange struct {
	conn *Conn
	// Response is the head. Its body ends with an error unless it is complete.
	*http.Response
	stop     func() bool
	written  chan struct{}
	writeErr atomic.Bool
	done     bool
	once     sync.Once
	// body is the response's own body, which Read watches for its end.
	body io.Reader
}

// Do sends a request and reads the head of its response. The context bounds
// the whole exchange; its end closes the connection. An error that wraps
// ErrUnsent proves that the upstream has not seen the request.
func (c *Conn) Do(ctx context.Context, r *Request) (*Exchange, error) {
	x := &Exchange{conn: c, written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { c.conn.Close() })
	if err := x.send(r); err != nil {
		x.abandon()
		return nil, err
	}
	resp, err := c.readHead(r.Method)
	if err != nil {
		x.abandon()
		return nil, err
	}
	x.Response = resp
	x.body = resp.Body
	resp.Body = x
	return x, nil
}

func (x *Exchange) send(r *Request) error {
	head := r.appendHead(make([]byte, 0, 1024))
	if len(r.Body) <= inlineBody {
		close(x.written)
		n, err := x.conn.conn.Write(append(head, r.Body...))
		return sendError(n, err)
	}
	n, err := x.conn.conn.Write(head)
	if err != nil {
		close(x.written)
		return sendError(n, err)
	}
	go x.run(r.Body)
	return nil
}

// run writes a long body while the response is awaited: the upstream may answer
// before it has read all of it.
func (x *Exchange) run(body []byte) {
	defer close(x.written)
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
	return errors.Wrap(err, "btconn: send")
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

func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		if _, err := c.r.Peek(1); err != nil {
			return nil, errors.Wrap(err, "btconn: no response")
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrapf(ErrMalformed, "%v", err)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Read reads the body.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.body.Read(p)
	if errors.Is(err, io.EOF) {
		x.done = true
	}
	return n, err
}

// Complete says whether the whole body was read.
func (x *Exchange) Complete() bool { return x.done }

// Close returns the connection to its pool if the exchange is complete, and
// closes it otherwise.
func (x *Exchange) Close() error {
	x.once.Do(x.finish)
	return nil
}

func (x *Exchange) finish() {
	if !x.stop() || !x.done || !x.reusable() {
		x.conn.conn.Close()
		return
	}
	x.conn.keep(x.Header)
}

func (x *Exchange) abandon() {
	x.once.Do(func() {
		x.stop()
		x.conn.conn.Close()
	})
}

// reusable says whether nothing of this exchange can reach the next one.
func (x *Exchange) reusable() bool {
	select {
	case <-x.written:
	default:
		return false
	}
	return !x.writeErr.Load() && !x.Response.Close && x.conn.r.Buffered() == 0 && x.framed()
}

func (x *Exchange) framed() bool {
	return x.ContentLength >= 0 || len(x.TransferEncoding) > 0
}

// keepAlive returns the idle time that the upstream announces.
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
	return defaultIdle
}

// quiet says whether the peer has neither closed the connection nor sent
// anything on it.
func (c *Conn) quiet() bool {
	sc, ok := c.conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return c.r.Buffered() == 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
