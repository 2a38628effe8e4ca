package btconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds a connection attempt. A lost packet is repeated after
	// a second, so a longer wait seldom helps a request that can go elsewhere.
	dialTimeout = 400 * time.Millisecond
	// unsentLimit closes connections whose bytes are not acknowledged. A pause
	// this long is past every target of the streams.
	unsentLimit = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept if the upstream says nothing.
	defaultIdle = 4 * time.Second
	// idleMargin keeps a request from crossing the upstream's close.
	idleMargin = 400 * time.Millisecond
	// maxIdle bounds the pooled connections to one upstream.
	maxIdle = 6
)

// Pool keeps idle connections by address. The zero value is ready to use.
type Pool struct {
	// Dial opens connections. Nil dials TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[netip.AddrPort][]*Conn
	// Opened counts the connections that were opened.
	Opened atomic.Uint64
}

// Get returns a connection to addr. Every error wraps ErrUnsent.
func (p *Pool) Get(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	now := time.Now()
	for c := p.take(addr); c != nil; c = p.take(addr) {
		if now.Before(c.idleUntil) && c.quiet() {
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
		d := &net.Dialer{Control: UserTimeoutControl(unsentLimit), KeepAlive: time.Second}
		dial = d.DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.Opened.Add(1)
	nc, err := dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "dial %s: %v", addr, err)
	}
	return &Conn{pool: p, addr: addr, conn: nc, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// Check opens a connection to addr and keeps it. An error says that addr takes
// no connections.
func (p *Pool) Check(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.Open(ctx, addr)
	if err != nil {
		return err
	}
	c.keep(nil)
	return nil
}

func (p *Pool) take(addr netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// Drop closes the idle connections to addr.
func (p *Pool) Drop(addr netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.conn.Close()
	}
}

// DropAll closes all idle connections.
func (p *Pool) DropAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.conn.Close()
		}
	}
}

func (c *Conn) keep(header http.Header) {
	idle := keepAlive(header) - idleMargin
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || len(p.idle[c.addr]) >= maxIdle {
		c.conn.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*Conn{}
	}
	c.reused = true
	c.idleUntil = time.Now().Add(idle)
	p.idle[c.addr] = append(p.idle[c.addr], c)
}
