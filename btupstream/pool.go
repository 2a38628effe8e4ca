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
)

// Default limits of a Pool.
const (
	// DefaultDialTimeout bounds the set-up of a connection.
	DefaultDialTimeout = time.Second
	// DefaultSilence is three heartbeats of an engine.
	DefaultSilence = 3 * time.Second
	// DefaultPollTimeout bounds one read of a load report.
	DefaultPollTimeout = 2 * time.Second
	// DefaultMaxAnswer is the largest answer of a plain service in bytes.
	DefaultMaxAnswer = 8 << 20
	// MaxEventBytes is the largest line of an engine's event stream.
	MaxEventBytes = 1 << 20
)

// Options are the limits of a Pool. Zero values take the defaults.
type Options struct {
	DialTimeout time.Duration
	Silence     time.Duration
	PollTimeout time.Duration
	// MaxAnswer bounds the answer of a plain service in bytes.
	MaxAnswer int64
	// OnConnLost is called when an upstream closes the connection over which its load
	// reports are read, which it does at once when its process ends. It may be
	// nil and must not block.
	OnConnLost func(addr netip.AddrPort)
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Pool implements bramleytack.Upstreams.
type Pool struct {
	opts Options
	poll *http.Client

	mu       sync.Mutex
	engines  map[bramleytack.UpstreamID]*Engine
	services map[bramleytack.UpstreamID]*Service
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	opts = opts.withDefaults()
	p := &Pool{
		opts:     opts,
		engines:  map[bramleytack.UpstreamID]*Engine{},
		services: map[bramleytack.UpstreamID]*Service{},
	}
	p.poll = &http.Client{
		Timeout: opts.PollTimeout,
		Transport: &http.Transport{
			DialContext:         p.dialPoll,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		},
	}
	return p
}

// Engine returns the client of an engine.
func (p *Pool) Engine(u *bramleytack.Upstream) (bramleytack.Engine, error) {
	if u.Kind != bramleytack.KindEngine {
		return nil, errors.Newf("btupstream: %s is no engine", u.ID)
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

// Service returns the client of a plain service.
func (p *Pool) Service(u *bramleytack.Upstream) (bramleytack.Service, error) {
	if u.Kind != bramleytack.KindService {
		return nil, errors.Newf("btupstream: %s is no plain service", u.ID)
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

// dialPoll opens a connection for load reports.
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
	return &pollConn{Conn: c, lost: func() { p.opts.OnConnLost(target) }}, nil
}

// Close closes the pooled connections.
func (p *Pool) Close() {
	p.poll.CloseIdleConnections()
}

// exchange is one request over a connection of its own.
type exchange struct {
	written atomic.Int64
	client  *http.Client
}

// exchange returns a client for one request. Each read of the answer waits at
// most the silence limit, where zero means no limit.
func (p *Pool) exchange(silence time.Duration) *exchange {
	x := &exchange{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
		defer cancel()
		c, err := p.opts.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, written: &x.written, silence: silence}, nil
	}
	x.client = &http.Client{
		Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: refuseRedirect,
	}
	return x
}

// outcome says what is known after a failure without an answer.
func (x *exchange) outcome() bramleytack.Outcome {
	if x.written.Load() == 0 {
		return bramleytack.NotRun
	}
	return bramleytack.Unknown
}

// refuseRedirect returns redirects to the caller: following one would run the
// request a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Silence <= 0 {
		o.Silence = DefaultSilence
	}
	if o.PollTimeout <= 0 {
		o.PollTimeout = DefaultPollTimeout
	}
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = DefaultMaxAnswer
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return o
}
