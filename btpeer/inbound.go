package btpeer

import (
	"context"
	"sync"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btwire"
)

// inbound is a link that a peer dialed. from is the peer's host.
type inbound struct {
	node   *Node
	conn   *countedConn
	ctx    context.Context
	cancel context.CancelFunc
	from   bramleytack.HostID
	slots  chan struct{}
	active sync.WaitGroup
}

func (in *inbound) close() {
	in.cancel()
	_ = in.conn.Close()
}

// run does the handshakes and serves calls until the link closes.
func (in *inbound) run() {
	defer in.node.removeInbound(in)
	defer in.close()
	ctx, cancel := context.WithTimeout(in.ctx, handshakeTimeout)
	defer cancel()
	secured, from, err := in.node.secureInbound(ctx, in.conn)
	if err != nil {
		return
	}
	in.from = from
	sess, err := yamux.Server(secured, yamuxConfig())
	if err != nil {
		return
	}
	stop := context.AfterFunc(in.ctx, func() {
		_ = in.conn.Close()
		_ = sess.Close()
	})
	in.active.Go(in.closeWhenSilent)
	in.acceptStreams(sess)
	in.cancel()
	in.active.Wait()
	if stop() {
		_ = sess.Close()
	}
}

// closeWhenSilent closes the link if no byte arrived for inboundTimeout. The
// heartbeats keep an idle link open.
func (in *inbound) closeWhenSilent() {
	tick := in.node.Timer.Every(inboundTimeout, 0)
	defer tick.Stop()
	for last := uint64(0); ; {
		select {
		case <-tick.C():
		case <-in.ctx.Done():
			return
		}
		now := in.conn.received.Load()
		if now == last {
			in.close()
			return
		}
		last = now
	}
}

// acceptStreams serves each stream until the session ends.
func (in *inbound) acceptStreams(sess *yamux.Session) {
	for {
		st, err := sess.AcceptStream()
		if err != nil {
			return
		}
		select {
		case in.slots <- struct{}{}:
			in.active.Go(func() { in.serve(st) })
		default:
			in.rejectStream(st)
		}
	}
}

// rejectStream answers a call over the limit with an error, without reading it.
func (in *inbound) rejectStream(st *yamux.Stream) {
	defer func() { _ = st.Close() }()
	_ = st.SetDeadline(in.node.Timer.Now().Add(minBackoff))
	err := bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "too many calls on the link")
	in.reply(st, nil, err)
}

// serve handles the call on one stream.
func (in *inbound) serve(st *yamux.Stream) {
	defer func() { <-in.slots }()
	defer func() { _ = st.Close() }()
	_ = st.SetDeadline(in.node.Timer.Now().Add(maxTimeout))
	var env btwire.Envelope
	r := &countedReader{Reader: st}
	if err := readFrame(r, &env, maxEnvelopeBytes); err != nil {
		return
	}
	timeout := maxTimeout
	if t := env.GetTimeout(); t != nil {
		timeout = min(timeout, t.AsDuration())
	}
	ctx, cancel := context.WithTimeout(in.ctx, timeout)
	defer cancel()
	_ = st.SetDeadline(in.node.Timer.Now().Add(timeout))
	m, err := in.handle(ctx, env.GetType(), r)
	in.reply(st, m, err)
}

func (in *inbound) handle(ctx context.Context, name string, r *countedReader) (proto.Message, error) {
	if name == typeName((*btwire.Ping)(nil)) {
		defer func() { in.node.traffic.received(name, r.bytes) }()
		return pong(ctx, in.from, r)
	}
	h, ok := in.node.Mux.handler(name)
	if !ok {
		in.node.traffic.received(unknownType, r.bytes)
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "no handler for message type %q", name)
	}
	defer func() { in.node.traffic.received(name, r.bytes) }()
	return h(ctx, in.from, r)
}

// reply writes the reply or the error of a call.
func (in *inbound) reply(st *yamux.Stream, m proto.Message, err error) {
	env := &btwire.Envelope{}
	if err != nil {
		env.Error = encodeError(err)
	} else {
		env.Type = typeName(m)
	}
	data, encodeErr := appendFrame(nil, env, maxEnvelopeBytes)
	if encodeErr == nil && err == nil {
		data, encodeErr = appendFrame(data, m, MaxFrameBytes)
	}
	if encodeErr != nil {
		return
	}
	if _, writeErr := st.Write(data); writeErr != nil {
		return
	}
	if err != nil {
		m = env
	}
	in.node.traffic.sent(m, len(data))
}
