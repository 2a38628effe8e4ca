package btmemnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused is returned by a dial to an address that nobody listens on. It wraps
// syscall.ECONNREFUSED.
var ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "btmemnet")

// path is one direction between two hosts.
type path struct{ from, to netip.Addr }

// Network connects hosts in memory. The zero value is a network without faults.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	blocked   map[path]bool
	delays    map[path]time.Duration
}

// Block drops everything on the way from one host to another, or ends that.
// A connection that lost bytes stays silent in this direction.
func (n *Network) Block(from, to netip.Addr, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked == nil {
		n.blocked = map[path]bool{}
	}
	n.blocked[path{from, to}] = on
}

// Slow delays each write on the way from one host to another.
func (n *Network) Slow(from, to netip.Addr, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = map[path]time.Duration{}
	}
	n.delays[path{from, to}] = d
}

// Silence makes the open connections between two hosts silent for good. New
// connections work.
func (n *Network) Silence(a, b netip.Addr) {
	n.each(a, b, func(c *conn) { c.silent = true })
}

// Cut closes the open connections between two hosts.
func (n *Network) Cut(a, b netip.Addr) {
	var cut []*conn
	n.each(a, b, func(c *conn) { cut = append(cut, c) })
	for _, c := range cut {
		_ = c.Close()
	}
}

// Reset closes the open connections between two hosts. Reads at both ends fail with
// syscall.ECONNRESET.
func (n *Network) Reset(a, b netip.Addr) {
	n.each(a, b, func(c *conn) { c.reset.Store(true) })
	n.Cut(a, b)
}

func (n *Network) each(a, b netip.Addr, f func(*conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.path == (path{a, b}) || c.path == (path{b, a}) {
			f(c)
		}
	}
}

// Listen opens a listener on an address.
func (n *Network) Listen(addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*listener{}
	}
	l := &listener{network: n, addr: addr, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dialer dials from a host.
type Dialer struct {
	Network *Network
	From    netip.Addr
}

// DialPeer connects to an address. It hangs while either direction is blocked.
func (d Dialer) DialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n := d.Network
	n.mu.Lock()
	l := n.listeners[addr]
	blocked := n.blocked[path{d.From, addr.Addr()}] || n.blocked[path{addr.Addr(), d.From}]
	n.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, ErrRefused
	}
	here, there := n.pipe(d.From, addr.Addr())
	select {
	case l.queue <- there:
		return here, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) pipe(from, to netip.Addr) (here, there *conn) {
	a, b := net.Pipe()
	here = &conn{Conn: a, network: n, path: path{from, to}, closed: make(chan struct{})}
	there = &conn{Conn: b, network: n, path: path{to, from}, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*conn]struct{}{}
	}
	n.conns[here], n.conns[there] = struct{}{}, struct{}{}
	return here, there
}

// conn is one end of a connection. The network's mutex guards silent.
type conn struct {
	net.Conn
	network *Network
	path    path
	silent  bool
	reset   atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Write delays or drops what the network's faults ask for.
func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	delay := c.network.delays[c.path]
	c.silent = c.silent || c.network.blocked[c.path]
	silent := c.silent
	c.network.mu.Unlock()
	if silent {
		return len(b), nil
	}
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(b)
}

// Close closes this end. A silent connection does not tell the other end.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type listener struct {
	network *Network
	addr    netip.AddrPort
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
