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
	// pingPeriod spaces the heartbeats of a link.
	pingPeriod = time.Second
	// pingTimeout is how long a heartbeat waits for its answer.
	pingTimeout = 3 * time.Second
	// inboundSilence is how long the listening side waits for a heartbeat.
	inboundSilence = 5 * time.Second
	// handshakeTimeout bounds dialing and the handshakes of a link.
	handshakeTimeout = 3 * time.Second
	// maxInbound bounds the streams that one link may have open.
	maxInbound = 128
	// maxOutbound stays below streamBacklog: yamux blocks the opening of
	// streams, without regard to contexts, once the backlog is full.
	maxOutbound   = 200
	streamBacklog = 256
	// maxTimeout bounds the deadline that a caller may ask for.
	maxTimeout = time.Minute
)

// Dialer opens connections to peers.
type Dialer interface {
	DialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// TCPDialer dials over TCP. The zero value is ready.
type TCPDialer struct{}

// DialPeer opens a TCP connection.
func (TCPDialer) DialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Node is a daemon's end of its links. The exported fields are set before the
// first call and not changed after it.
type Node struct {
	Host  bramleytack.HostID
	Timer bramleytack.Timer
	// Mux handles the calls of peers. It may be nil.
	Mux *Mux
	// Dialer is TCPDialer when nil.
	Dialer Dialer
	// Certificates secure the links.
	Certificates *Certificates
	// AllowPlaintext permits links without TLS if Certificates is nil. The host
	// name that a peer gives is then not verified. For tests only.
	AllowPlaintext bool

	mu     sync.Mutex
	closed bool
	links  map[bramleytack.HostID]*link
	served map[*inbound]struct{}
	active sync.WaitGroup

	traffic traffic
}

// ErrClosed is returned after Close.
var ErrClosed = errors.New("btpeer: node is closed")

// SetPeer makes a peer's address known and keeps a link to it from now on.
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

// Redial replaces the link to a peer by a new one. A caller that gets no
// answer need not wait for the link's heartbeat to find it silent.
func (n *Node) Redial(host bramleytack.HostID) {
	if l, ok := n.link(host); ok {
		l.reset()
	}
}

// RemovePeer closes the link to a peer and forgets its address.
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
			// Running out of descriptors is temporary.
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
	for in := range n.served {
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
	if n.served == nil {
		n.served = map[*inbound]struct{}{}
	}
	n.served[in] = struct{}{}
	n.active.Go(in.run)
}

func (n *Node) forget(in *inbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.served, in)
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
	// The link's own heartbeat replaces the keepalive.
	cfg.EnableKeepAlive = false
	cfg.AcceptBacklog = streamBacklog
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = pingTimeout
	cfg.LogOutput = nil
	cfg.Logger = quiet{}
	return cfg
}

// quiet drops the log lines of yamux: each failure reaches a caller or closes
// the link.
type quiet struct{}

// Print drops a line.
func (quiet) Print(...any) {}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// Println drops a line.
func (quiet) Println(...any) {}
