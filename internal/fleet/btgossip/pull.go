package btgossip

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"bramleytack/btevent"
)

const (
	// pullTimeout bounds one pull, connection included.
	pullTimeout = 700 * time.Millisecond
	// maxPull bounds the objects of one kind.
	maxPull = 8 << 20
)

// pull is a request for all objects of a kind from a daemon.
type pull struct {
	from netip.Addr
	kind string
}

// pull asks a daemon that is ahead. It drops the request if one for the kind
// waits: the next digest asks again.
func (n *Node) pull(from netip.Addr, kind string) {
	if !from.IsValid() {
		return
	}
	if _, waits := n.pulling.LoadOrStore(kind, true); waits {
		return
	}
	select {
	case n.pulls <- pull{from: from, kind: kind}:
	default:
		n.pulling.Delete(kind)
	}
}

// puller fetches what other daemons have.
type puller struct{ n *Node }

func (p *puller) run(ctx context.Context) {
	for {
		select {
		case r := <-p.n.pulls:
			err := p.fetch(ctx, r)
			p.n.pulling.Delete(r.kind)
			p.n.Log.Event(btevent.ReplicaPulled).Str("kind", r.kind).Stringer("from", r.from).
				Uint64("upto", uint64(p.n.Table.Upto(r.kind))).AnErr("cause", err).Send()
		case <-ctx.Done():
			return
		}
	}
}

func (p *puller) fetch(ctx context.Context, r pull) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	dial := p.n.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, "tcp", netip.AddrPortFrom(r.from, p.n.Self.Port).String())
	if err != nil {
		return errors.Wrap(err, "btgossip: pull")
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if _, err := protodelim.MarshalTo(c, &PullRequest{Kind: r.kind}); err != nil {
		return errors.Wrap(err, "btgossip: pull")
	}
	var b ObjectBatch
	if err := (protodelim.UnmarshalOptions{MaxSize: maxPull}).UnmarshalFrom(bufio.NewReader(c), &b); err != nil {
		return errors.Wrap(err, "btgossip: pull")
	}
	if b.Upto > 0 && b.Kind == r.kind {
		p.n.Table.Apply(b.decode())
	}
	return nil
}

// server answers pulls.
type server struct{ n *Node }

func (s *server) run(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
			if s.n.Timer.Sleep(ctx, period) != nil {
				return
			}
			continue
		}
		go (&answer{n: s.n, c: c}).run()
	}
}

// answer serves one pull.
type answer struct {
	n *Node
	c net.Conn
}

func (a *answer) run() {
	defer a.c.Close()
	err := a.c.SetDeadline(a.n.Timer.Now().Add(pullTimeout))
	var r PullRequest
	if err == nil {
		err = protodelim.UnmarshalFrom(bufio.NewReader(a.c), &r)
	}
	if err == nil {
		_, err = protodelim.MarshalTo(a.c, encodeBatch(a.n.Table.Full(r.Kind)))
	}
	if err != nil {
		a.n.Log.Event(btevent.PeerPacketDropped).Stringer("from", a.c.RemoteAddr()).Err(err).Send()
	}
}
