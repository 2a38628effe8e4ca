package btgossip

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// pullTimeout bounds one pull, connection included.
	pullTimeout = 700 * time.Millisecond
	// maxPull bounds the objects of one kind.
	maxPull = 8 << 20
	// encodedFor bounds the age of an answer that is sent again. Registrations may
	// lapse without a new revision.
	encodedFor = 300 * time.Millisecond
)

// errTooLarge is an answer beyond maxPull.
var errTooLarge = errors.New("btgossip: answer is too large")

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
			all := p.join(r)
			started := p.n.Timer.Now()
			err := p.fetch(ctx, r.from, all)
			for _, r := range all {
				p.n.pulling.Delete(r.kind)
				p.n.Log.Event(btevent.ReplicaPulled).Str("kind", r.kind).Stringer("from", r.from).
					Uint64("upto", uint64(p.n.Table.Upto(r.kind))).Dur("took", p.n.Timer.Now().Sub(started)).AnErr("cause", err).Send()
			}
		case <-ctx.Done():
			return
		}
	}
}

// join takes the other requests that wait for the same daemon, and puts back
// those for others. Nobody else takes requests, and there is room for one a kind.
func (p *puller) join(first pull) []pull {
	all := []pull{first}
	for range len(p.n.pulls) {
		if r := <-p.n.pulls; r.from == first.from {
			all = append(all, r)
		} else {
			p.n.pulls <- r
		}
	}
	return all
}

// fetch pulls some kinds over one connection.
func (p *puller) fetch(ctx context.Context, from netip.Addr, all []pull) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	dial := p.n.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, "tcp", netip.AddrPortFrom(from, p.n.Self.Port).String())
	if err != nil {
		return errors.Wrap(err, "btgossip: pull")
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	br := bufio.NewReader(c)
	for _, r := range all {
		if _, err := protodelim.MarshalTo(c, &PullRequest{Kind: r.kind}); err != nil {
			return errors.Wrap(err, "btgossip: pull")
		}
		b, err := readPacked(br)
		if err != nil {
			return errors.Wrap(err, "btgossip: pull")
		}
		if b.Upto > 0 && b.Kind == r.kind {
			p.n.Table.Apply(b.decode())
		}
	}
	return nil
}

// pack returns a batch in its encoding, compressed and with its length before it.
// When all daemons start, many pull over the link of one machine.
func pack(b *ObjectBatch) ([]byte, error) {
	plain, err := proto.Marshal(b)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	var framed bytes.Buffer
	_, err = protodelim.MarshalTo(&framed, wrapperspb.Bytes(packed.Bytes()))
	return framed.Bytes(), err
}

// readPacked reads what pack wrote.
func readPacked(br *bufio.Reader) (*ObjectBatch, error) {
	var packed wrapperspb.BytesValue
	if err := (protodelim.UnmarshalOptions{MaxSize: maxPull}).UnmarshalFrom(br, &packed); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed.Value)), maxPull+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPull {
		return nil, errTooLarge
	}
	b := &ObjectBatch{}
	return b, proto.Unmarshal(plain, b)
}

// server answers pulls.
type server struct {
	n  *Node
	mu sync.Mutex
	// encoded holds the last answer of each kind.
	encoded map[string]encodedKind
}

// encodedKind is an answer that many daemons may ask for at once.
type encodedKind struct {
	upto bramleytack.Revision
	at   time.Time
	data []byte
}

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
		go (&answer{s: s, c: c}).run()
	}
}

// batch returns all objects of a kind in their encoding.
func (s *server) batch(kind string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.n.Timer.Now()
	if e, ok := s.encoded[kind]; ok && e.upto == s.n.Table.Upto(kind) && now.Sub(e.at) < encodedFor {
		return e.data, nil
	}
	b := s.n.Table.Full(kind)
	data, err := pack(encodeBatch(b))
	if err != nil {
		return nil, err
	}
	if s.encoded == nil {
		s.encoded = map[string]encodedKind{}
	}
	s.encoded[kind] = encodedKind{upto: b.Upto, at: now, data: data}
	return data, nil
}

// answer serves the pulls of one connection.
type answer struct {
	s *server
	c net.Conn
}

func (a *answer) run() {
	defer a.c.Close()
	if err := a.serve(); err != nil && !errors.Is(err, io.EOF) {
		a.s.n.Log.Event(btevent.PeerPacketDropped).Stringer("from", a.c.RemoteAddr()).Err(err).Send()
	}
}

func (a *answer) serve() error {
	if err := a.c.SetDeadline(a.s.n.Timer.Now().Add(pullTimeout)); err != nil {
		return err
	}
	br := bufio.NewReader(a.c)
	for {
		var r PullRequest
		if err := protodelim.UnmarshalFrom(br, &r); err != nil {
			return err
		}
		data, err := a.s.batch(r.Kind)
		if err != nil {
			return err
		}
		if _, err := a.c.Write(data); err != nil {
			return err
		}
	}
}
