package btpeer

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"bramleytack"
	"bramleytack/btwire"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// link keeps an outbound connection to one peer.
type link struct {
	node        *Node
	host        bramleytack.HostID
	addr        netip.AddrPort
	ctx         context.Context
	stop        context.CancelFunc
	slots       chan struct{}
	mu          sync.Mutex
	sess        *yamux.Session
	dialed      int
	failedDials int
	// attempt is closed when the current attempt to connect ends. It is nil
	// between attempts.
	attempt chan struct{}
}

func newLink(n *Node, host bramleytack.HostID, addr netip.AddrPort) *link {
	l := &link{node: n, host: host, addr: addr, slots: make(chan struct{}, maxOutbound)}
	l.attempt = make(chan struct{})
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// run dials the peer, and dials again after each failure, until stop is called.
func (l *link) run() {
	for l.ctx.Err() == nil {
		conn, sess, err := l.dial()
		l.endAttempt(sess)
		if err == nil {
			l.monitor(sess)
			_ = conn.Close()
			_ = sess.Close()
			l.clearSession()
		}
		if l.node.Timer.Sleep(l.ctx, l.backoff()) != nil {
			return
		}
		l.beginAttempt()
	}
}

func (l *link) dial() (net.Conn, *yamux.Session, error) {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	conn, err := l.node.dialer().DialPeer(ctx, l.addr)
	if err != nil {
		return nil, nil, err
	}
	conn = &countedConn{Conn: conn, total: &l.node.traffic}
	secured, err := l.node.secureOutbound(ctx, conn, l.host)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	sess, err := yamux.Client(secured, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, sess, nil
}

// monitor sends heartbeats. It returns when the session or the link ends or a
// heartbeat is not answered in time.
func (l *link) monitor(sess *yamux.Session) {
	tick := l.node.Timer.Every(pingPeriod, pingPeriod/10)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-sess.CloseChan():
			return
		case <-l.ctx.Done():
			return
		}
		if !l.ping(sess) {
			return
		}
	}
}

// ping reports whether the peer answered a heartbeat. It uses the ping frame of
// yamux: a call would take about six times as many bytes on the wire, and a
// member of a full cell sends and answers 31 heartbeats a second.
func (l *link) ping(sess *yamux.Session) bool {
	ctx, cancel := context.WithTimeout(l.ctx, pingTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = sess.Close() })
	defer stop()
	_, err := sess.Ping()
	return err == nil
}

func (l *link) beginAttempt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempt = make(chan struct{})
}

func (l *link) endAttempt(sess *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess = sess
	l.failedDials++
	if sess != nil {
		l.dialed++
		l.failedDials = 0
	}
	close(l.attempt)
	l.attempt = nil
}

func (l *link) clearSession() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sess = nil
}

// closeSession closes the current session, if any. run then dials again.
func (l *link) closeSession() {
	l.mu.Lock()
	sess := l.sess
	l.mu.Unlock()
	if sess != nil {
		_ = sess.Close()
	}
}

// backoff returns the delay before the next attempt. The full delay doubles with
// each failure up to maxBackoff; the result is random, from half of the full
// delay up to all of it.
func (l *link) backoff() time.Duration {
	const maxDoublings = 6
	l.mu.Lock()
	defer l.mu.Unlock()
	d := min(minBackoff<<min(l.failedDials, maxDoublings), maxBackoff)
	return d/2 + rand.N(d/2)
}

// session returns the current session. It waits while an attempt to connect is
// in progress. Between attempts it returns ErrLinkDown at once.
func (l *link) session(ctx context.Context) (*yamux.Session, error) {
	l.mu.Lock()
	sess, attempt := l.sess, l.attempt
	l.mu.Unlock()
	if attempt != nil {
		select {
		case <-attempt:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-l.ctx.Done():
			return nil, ErrLinkDown
		}
		l.mu.Lock()
		sess = l.sess
		l.mu.Unlock()
	}
	if sess == nil || sess.IsClosed() {
		return nil, ErrLinkDown
	}
	return sess, nil
}

// call makes one call. written reports whether any part of the request may have
// reached the peer.
func (l *link) call(ctx context.Context, req, resp proto.Message) (written bool, err error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.ctx.Done():
		return false, ErrLinkDown
	}
	defer func() { <-l.slots }()
	sess, err := l.session(ctx)
	if err != nil {
		return false, err
	}
	return l.exchange(ctx, sess, req, resp)
}

// Call sends a request to a peer and returns its reply. The deadline of ctx also
// bounds the handling at the peer. An error is a *bramleytack.Error; the package
// comment describes its outcome.
func Call[Req, Resp any, PReq message[Req], PResp message[Resp]](
	ctx context.Context, n *Node, to bramleytack.HostID, r *Req,
) (*Resp, error) {
	l, ok := n.link(to)
	if !ok {
		return nil, callError(ctx, to, false, ErrUnknownPeer)
	}
	resp := new(Resp)
	written, err := l.call(ctx, PReq(r), PResp(resp))
	var remote *remoteError
	if asRemote(err, &remote) {
		return nil, decodeError(remote.e)
	}
	if err != nil {
		return nil, callError(ctx, to, written, err)
	}
	return resp, nil
}

// exchange sends a request over a new stream and reads the reply.
func (l *link) exchange(ctx context.Context, sess *yamux.Session, req, resp proto.Message) (written bool, err error) {
	data, err := encodeRequest(ctx, req)
	if err != nil {
		return false, err
	}
	if err := ctx.Err(); err != nil {
		return false, err
	}
	st, err := sess.OpenStream()
	if err != nil {
		return false, err
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := st.Write(data); err != nil {
		return true, err
	}
	l.node.traffic.sent(req, len(data))
	in := &countedReader{Reader: st}
	defer func() { l.node.traffic.received(typeName(resp), in.bytes) }()
	return true, readReply(in, resp)
}

func readReply(r io.Reader, resp proto.Message) error {
	var env btwire.Envelope
	if err := readFrame(r, &env, maxEnvelopeBytes); err != nil {
		return err
	}
	if env.GetError() != nil {
		return &remoteError{env.GetError()}
	}
	return readFrame(r, resp, MaxFrameBytes)
}

func encodeRequest(ctx context.Context, req proto.Message) ([]byte, error) {
	env := &btwire.Envelope{Type: typeName(req)}
	if deadline, ok := ctx.Deadline(); ok {
		env.Timeout = durationpb.New(time.Until(deadline))
	}
	data, err := appendFrame(nil, env, maxEnvelopeBytes)
	if err != nil {
		return nil, err
	}
	return appendFrame(data, req, MaxFrameBytes)
}
