package btpeer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"bramleytack"
)

const (
	// pingPeriod is the time between the heartbeats of a link.
	pingPeriod = time.Second
	// pingTimeout is how long the dialer waits for the answer to a heartbeat.
	pingTimeout = 3 * time.Second
	// inboundTimeout is the period at which the listening side closes links that
	// received nothing since the last check.
	inboundTimeout = 5 * time.Second
	// handshakeTimeout bounds the set-up of a link: dialing and handshakes
	// together on the dialing side, handshakes on the listening side.
	handshakeTimeout = 3 * time.Second
	// maxInbound bounds the calls that run at the same time on an inbound link.
	maxInbound = 128
	// maxOutbound bounds the concurrent calls on an outbound link. It is below
	// streamBacklog because yamux blocks OpenStream when the backlog is full, and
	// a context cannot interrupt that.
	maxOutbound   = 200
	streamBacklog = 256
	// maxTimeout bounds the handling of a call, also if the calling peer sets a
	// longer timeout or none.
	maxTimeout = time.Minute
)

// Dialer opens connections to peers. It must be safe for concurrent use.
type Dialer interface {
	DialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// TCPDialer is a Dialer for TCP. The zero value is ready to use.
type TCPDialer struct{}

// DialPeer opens a TCP connection.
func (TCPDialer) DialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Node manages the links of one daemon. Its exported fields must not change
// after the first use. The methods are safe for concurrent use.
type Node struct {
	Host  bramleytack.HostID
	Timer bramleytack.Timer
	// Mux handles the calls of peers. It may be nil.
	Mux *Mux
	// Dialer is TCPDialer when nil.
	Dialer Dialer
	// Certificates authenticates both sides of each link with TLS.
	Certificates *Certificates
	// AllowPlaintext permits links without TLS if Certificates is nil. The host
	// name that a peer gives is then not verified. For tests only.
	AllowPlaintext bool

	mu      sync.Mutex
	closed  bool
	links   map[bramleytack.HostID]*link
	inbound map[*inbound]struct{}
	active  sync.WaitGroup

	traffic traffic
}

// ErrClosed is returned after Close.
var ErrClosed = errors.New("btpeer: node is closed")

// SetPeer sets a peer's address and keeps a link to it until RemovePeer or
// Close. A new address replaces the link.
func (n *Node) SetPeer(host bramleytack.HostID, addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || host == n.Host {
		return
	}
	if l, ok := n.links[host]; ok {
		if l.addr == addr {
			return
		}
		l.stop()
	}
	if n.links == nil {
		n.links = map[bramleytack.HostID]*link{}
	}
	l := newLink(n, host, addr)
	n.links[host] = l
	n.active.Go(l.run)
}

// Redial closes the connection to a peer, which is then dialed again. It serves
// callers that got no reply and suspect a dead connection before the heartbeat
// detects it.
func (n *Node) Redial(host bramleytack.HostID) {
	if l, ok := n.link(host); ok {
		l.closeSession()
	}
}

// RemovePeer closes the link to a peer and removes its address.
func (n *Node) RemovePeer(host bramleytack.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.links[host]; ok {
		l.stop()
		delete(n.links, host)
	}
}

// Serve accepts links until ctx ends or the listener fails.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// Other errors are taken as temporary, such as a lack of file
			// descriptors.
			if err := n.Timer.Sleep(ctx, pingPeriod); err != nil {
				return err
			}
			continue
		}
		n.accept(ctx, c)
	}
}

// Close closes all links and waits for their goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.links {
		l.stop()
	}
	for in := range n.inbound {
		in.close()
	}
	n.mu.Unlock()
	n.active.Wait()
}

func (n *Node) accept(ctx context.Context, c net.Conn) {
	in := &inbound{node: n, conn: &countedConn{Conn: c, total: &n.traffic}, slots: make(chan struct{}, maxInbound)}
	in.ctx, in.cancel = context.WithCancel(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		in.close()
		return
	}
	if n.inbound == nil {
		n.inbound = map[*inbound]struct{}{}
	}
	n.inbound[in] = struct{}{}
	n.active.Go(in.run)
}

func (n *Node) removeInbound(in *inbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inbound, in)
}

func (n *Node) link(host bramleytack.HostID) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[host]
	return l, ok
}

func (n *Node) dialer() Dialer {
	if n.Dialer == nil {
		return TCPDialer{}
	}
	return n.Dialer
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	// link.monitor sends the heartbeats instead.
	cfg.EnableKeepAlive = false
	cfg.AcceptBacklog = streamBacklog
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = pingTimeout
	cfg.LogOutput = nil
	cfg.Logger = discardLogger{}
	return cfg
}

// discardLogger drops the log lines of yamux. Each failure that they report also
// fails a call or closes the link.
type discardLogger struct{}

// Print drops a line.
func (discardLogger) Print(...any) {}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// Println drops a line.
func (discardLogger) Println(...any) {}
