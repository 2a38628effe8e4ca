package btupstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/internal/upstream/btstatus"
)

// Default limits of a Pool.
const (
	// DefaultDialTimeout bounds the establishment of a connection.
	DefaultDialTimeout = time.Second
	// DefaultStreamReadTimeout is three heartbeat periods of an engine.
	DefaultStreamReadTimeout = 3 * time.Second
	// DefaultPollTimeout bounds one request over a pooled connection.
	DefaultPollTimeout = 2 * time.Second
	// DefaultMaxResponseBytes is the largest response body of a plain service.
	DefaultMaxResponseBytes = 8 << 20
	// MaxEventBytes is the longest line of an engine's event stream.
	MaxEventBytes = 1 << 20
)

// Options are the limits of a Pool. Zero values take the defaults.
type Options struct {
	DialTimeout time.Duration
	// StreamReadTimeout bounds the wait for the next bytes of an event stream.
	StreamReadTimeout time.Duration
	// PollTimeout bounds one request over a pooled connection, such as the read
	// of a load report.
	PollTimeout time.Duration
	// MaxResponseBytes bounds the response body of a plain service.
	MaxResponseBytes int64
	// OnConnLost is called when a connection over which load reports are read is
	// closed by the upstream or fails. A connection closes at once when the
	// upstream's process ends. OnConnLost may be nil and must not block.
	OnConnLost func(addr netip.AddrPort)
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Pool implements bramleytack.Upstreams. It keeps one client per upstream. It is
// safe for concurrent use.
type Pool struct {
	opts       Options
	pollClient *http.Client

	mu       sync.Mutex
	engines  map[bramleytack.UpstreamID]*Engine
	services map[bramleytack.UpstreamID]*Service
}

// NewPool returns a pool that has no connections yet.
func NewPool(opts Options) *Pool {
	opts = opts.withDefaults()
	p := &Pool{
		opts:     opts,
		engines:  map[bramleytack.UpstreamID]*Engine{},
		services: map[bramleytack.UpstreamID]*Service{},
	}
	p.pollClient = &http.Client{
		Timeout: opts.PollTimeout,
		Transport: btstatus.Transport{Transport: &http.Transport{
			DialContext:         p.dialPoll,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		}},
	}
	return p
}

// Engine returns the client of an engine, or a new one if its address changed.
func (p *Pool) Engine(u *bramleytack.Upstream) (bramleytack.Engine, error) {
	if u.Kind != bramleytack.KindEngine {
		return nil, errors.Newf("btupstream: %s is not an engine", u.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.engines[u.ID]; ok && e.addr == u.Addr {
		return e, nil
	}
	e := &Engine{addr: u.Addr, pool: p}
	p.engines[u.ID] = e
	return e, nil
}

// Service returns the client of a plain service, or a new one if its address
// changed.
func (p *Pool) Service(u *bramleytack.Upstream) (bramleytack.Service, error) {
	if u.Kind != bramleytack.KindService {
		return nil, errors.Newf("btupstream: %s is not a plain service", u.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.services[u.ID]; ok && s.addr == u.Addr {
		return s, nil
	}
	s := &Service{addr: u.Addr, pool: p}
	p.services[u.ID] = s
	return s, nil
}

// dialPoll opens a pooled connection, whose loss is reported to OnConnLost.
func (p *Pool) dialPoll(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dial(ctx, network, addr)
	if err != nil || p.opts.OnConnLost == nil {
		return c, err
	}
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return c, nil
	}
	return &pollConn{Conn: c, onLost: func() { p.opts.OnConnLost(target) }}, nil
}

// Close closes the idle pooled connections. The pool can still be used.
func (p *Pool) Close() {
	p.pollClient.CloseIdleConnections()
}

// exchange is one request over a new connection.
type exchange struct {
	written atomic.Int64
	client  *http.Client
}

// exchange returns a client for one request. readTimeout bounds each read of the
// response; zero means no limit.
func (p *Pool) exchange(readTimeout time.Duration) *exchange {
	x := &exchange{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
		defer cancel()
		c, err := p.opts.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, written: &x.written, readTimeout: readTimeout}, nil
	}
	x.client = &http.Client{
		Transport:     btstatus.Transport{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}},
		CheckRedirect: returnRedirect,
	}
	return x
}

// outcome returns the outcome of a request that failed without a response.
func (x *exchange) outcome() bramleytack.Outcome {
	if x.written.Load() == 0 {
		return bramleytack.NotRun
	}
	return bramleytack.Unknown
}

// returnRedirect returns redirects to the caller: following one would run the
// request a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.StreamReadTimeout <= 0 {
		o.StreamReadTimeout = DefaultStreamReadTimeout
	}
	if o.PollTimeout <= 0 {
		o.PollTimeout = DefaultPollTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}
