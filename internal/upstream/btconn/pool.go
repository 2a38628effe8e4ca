package btconn

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/node/btmemory"
)

const (
	// dialTimeout bounds a connection attempt. TCP retransmits a lost first packet
	// after one second; a request that can go to another upstream should not wait
	// for that.
	dialTimeout = 400 * time.Millisecond
	// userTimeout closes a connection whose sent bytes stay unacknowledged. A pause
	// this long exceeds every latency target of streams.
	userTimeout = 1500 * time.Millisecond
	// defaultKeepAlive is the idle timeout of upstreams that announce none.
	defaultKeepAlive = 4 * time.Second
	// idleMargin is subtracted from the idle timeout, so that no request is sent
	// while the upstream closes the connection.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerAddr limits the idle connections to one address.
	maxIdlePerAddr = 6
)

// Pool keeps idle connections by address. The zero value is ready to use. It is safe
// for concurrent use.
type Pool struct {
	// Dial opens connections. If nil, the pool dials TCP with userTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Memory bounds what the pool's users keep of responses. It may be nil.
	Memory *btmemory.Budget

	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
	// Opened counts the attempts to open a connection.
	Opened atomic.Uint64
}

// Get returns a pooled connection to addr if one is usable, and opens one otherwise. It does not
// return a connection whose number is in except, nor one that has carried a request with the same
// id a short while ago: a late copy of that one's response has the id of the response that is due.
// Every error wraps ErrUnsent.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort, id string, except ...uint64) (*Conn, error) {
	now := time.Now()
	for c := p.takeIdle(addr, id, except); c != nil; c = p.takeIdle(addr, id, except) {
		if now.Before(c.idleUntil) && c.usable() {
			return c, nil
		}
		c.conn.Close()
	}
	return p.Open(ctx, addr)
}

// Open returns a new connection to addr. Every error wraps ErrUnsent.
func (p *Pool) Open(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	dial := p.Dial
	if dial == nil {
		d := &net.Dialer{Control: UserTimeoutControl(userTimeout), KeepAlive: time.Second}
		dial = d.DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	number := p.Opened.Add(1)
	nc, err := dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", addr), ErrUnsent)
	}
	return newConn(p, number, addr, nc), nil
}

// Check opens a connection to addr and puts it into the pool, unused. An error means that
// addr accepts no connections; it wraps syscall.ECONNREFUSED if the host refused this
// one.
func (p *Pool) Check(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.Open(ctx, addr)
	if err != nil {
		return err
	}
	c.Release()
	return nil
}

// Release puts a connection on which nothing was sent back into its pool.
func (c *Conn) Release() { c.release(nil) }

// takeIdle removes the idle connection to addr that was used last from the pool, without those
// that Get does not return, or returns nil.
func (p *Pool) takeIdle(addr netip.AddrPort, id string, except []uint64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(except, c.number) && !c.hasCarried(id) {
			p.idle[addr] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// Drop closes the idle connections to addr.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		c.conn.Close()
	}
}

// DropAll closes all idle connections.
func (p *Pool) DropAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conns := range all {
		for _, c := range conns {
			c.conn.Close()
		}
	}
}

// release puts the connection into the pool, or closes it if the idle timeout in
// header is too short or the pool is full.
func (c *Conn) release(header http.Header) {
	idle := keepAlive(header) - idleMargin
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || len(p.idle[c.addr]) >= maxIdlePerAddr {
		c.conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*Conn{}
	}
	c.idleUntil = time.Now().Add(idle)
	p.idle[c.addr] = append(p.idle[c.addr], c)
}
