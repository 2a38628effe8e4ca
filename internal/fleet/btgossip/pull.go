package btgossip

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/node/btmemory"
)

const (
	// pullTimeout bounds a connection with all of its pulls.
	pullTimeout = 700 * time.Millisecond
	// maxReplySize bounds a reply in bytes, both compressed and uncompressed.
	maxReplySize = 8 << 20
	// maxPullRequest bounds a request for a pull in bytes.
	maxPullRequest = 1 << 10
	// pullGrace is how long a pull waits for changes that are on their way. A digest
	// that announces a revision may overtake the datagram with the changes.
	pullGrace = 20 * time.Millisecond
	// replyCacheTTL bounds the age of a reply that is sent again. An unchanged revision
	// is not enough, because registrations may lapse without a new one.
	replyCacheTTL = 300 * time.Millisecond
)

// errReplyTooLarge is returned for a reply that exceeds maxReplySize uncompressed.
var errReplyTooLarge = errors.New("btgossip: reply to a pull exceeds 8 MiB")

// pull is a queued request for all objects of a kind from another daemon.
type pull struct {
	from netip.Addr
	kind string
	// state is what the other daemon has.
	state kindState
}

// kindState is what a daemon announces of its replica of a kind.
type kindState struct {
	upto bramleytack.Revision
	// version is the operator's version of the configuration.
	version uint64
}

func (k *KindRevision) decode() kindState {
	return kindState{upto: bramleytack.Revision(k.Content), version: k.Version}
}

// lacks reports whether the replica of a kind is behind a state.
func (n *Node) lacks(kind string, s kindState) bool {
	return s.upto > n.Table.Upto(kind) || s.version > n.configVersion(kind)
}

// pull queues a pull from a daemon that is ahead, unless one of the same kind is
// queued or running. A later digest asks again if the replica is still behind.
func (n *Node) pull(from netip.Addr, kind string, s kindState) {
	if !from.IsValid() || !slices.Contains(bramleytack.ReplicatedKinds, kind) && !slices.Contains(bramleytack.OptionalKinds, kind) {
		return
	}
	if _, pending := n.pulling.LoadOrStore(kind, true); pending {
		return
	}
	select {
	case n.pulls <- pull{from: from, kind: kind, state: s}:
	default:
		n.pulling.Delete(kind)
	}
}

// puller runs the queued pulls, one connection at a time.
type puller struct{ n *Node }

func (p *puller) run(ctx context.Context) {
	for {
		select {
		case r := <-p.n.pulls:
			if p.n.Table.Upto(r.kind) > 0 && p.n.Timer.Sleep(ctx, pullGrace) != nil {
				return
			}
			batch := p.dropDone(p.takeSameSource(r))
			if len(batch) == 0 {
				continue
			}
			started := p.n.Timer.Now()
			err := p.fetch(ctx, r.from, batch)
			for _, r := range batch {
				p.n.pulling.Delete(r.kind)
				p.n.Log.Event(btevent.ReplicaPulled).Str("kind", r.kind).Stringer("from", r.from).
					Stringer("upto", p.n.Table.Upto(r.kind)).Dur("took", p.n.Timer.Now().Sub(started)).AnErr("cause", err).Send()
			}
		case <-ctx.Done():
			return
		}
	}
}

// takeSameSource returns first and the queued pulls from the same daemon, and queues
// the others again. That does not block: no other goroutine receives from the queue,
// and it has a slot for each replicated kind.
func (p *puller) takeSameSource(first pull) []pull {
	batch := []pull{first}
	for range len(p.n.pulls) {
		if r := <-p.n.pulls; r.from == first.from {
			batch = append(batch, r)
		} else {
			p.n.pulls <- r
		}
	}
	return batch
}

// dropDone returns the pulls whose changes have not arrived by other means.
func (p *puller) dropDone(batch []pull) []pull {
	return slices.DeleteFunc(batch, func(r pull) bool {
		done := !p.n.lacks(r.kind, r.state)
		if done {
			p.n.pulling.Delete(r.kind)
		}
		return done
	})
}

// fetch runs pulls from one daemon over one connection and applies the replies.
func (p *puller) fetch(ctx context.Context, from netip.Addr, batch []pull) error {
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
	kept := p.n.Memory.Open(btmemory.Peers, cancel)
	defer kept.Close()
	for _, r := range batch {
		if _, err := protodelim.MarshalTo(c, &PullRequest{Kind: r.kind}); err != nil {
			return errors.Wrap(err, "btgossip: pull")
		}
		b, err := readReply(br, kept)
		if err != nil {
			return errors.Wrap(err, "btgossip: pull")
		}
		if b.Upto > 0 && b.Kind == r.kind {
			p.n.Table.Apply(b.decode())
		}
	}
	return nil
}

// encodeReply returns an encoded batch, compressed and with its length in front. It is
// compressed because many daemons pull over one host's link when all daemons start.
func encodeReply(b *ObjectBatch) ([]byte, error) {
	compressed, err := compressBatch(b)
	if err != nil {
		return nil, err
	}
	var framed bytes.Buffer
	_, err = protodelim.MarshalTo(&framed, wrapperspb.Bytes(compressed))
	return framed.Bytes(), err
}

// readReply reads a batch that encodeReply encoded. Its bytes count in kept.
func readReply(br *bufio.Reader, kept *btmemory.Account) (*ObjectBatch, error) {
	size, err := binary.ReadUvarint(br)
	if err != nil {
		return nil, err
	}
	if size > maxReplySize {
		return nil, errReplyTooLarge
	}
	data, err := btmemory.ReadAll(io.LimitReader(br, int64(size)), int(size), maxReplySize, kept)
	if err != nil {
		return nil, err
	}
	if len(data) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	var compressed wrapperspb.BytesValue
	if err := proto.Unmarshal(data, &compressed); err != nil {
		return nil, err
	}
	return expandBatch(compressed.Value, kept)
}

// compressBatch returns an encoded batch, compressed by DEFLATE.
func compressBatch(b *ObjectBatch) ([]byte, error) {
	plain, err := proto.Marshal(b)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// expandBatch returns the batch that compressBatch compressed. Its bytes count in kept.
func expandBatch(compressed []byte, kept *btmemory.Account) (*ObjectBatch, error) {
	plain, err := btmemory.ReadAll(flate.NewReader(bytes.NewReader(compressed)), -1, maxReplySize, kept)
	if errors.Is(err, btmemory.ErrTooLarge) {
		return nil, errReplyTooLarge
	}
	if err != nil {
		return nil, err
	}
	b := &ObjectBatch{}
	return b, proto.Unmarshal(plain, b)
}

// server answers the pulls of other daemons.
type server struct {
	n  *Node
	mu sync.Mutex
	// cached holds the latest reply for each kind.
	cached map[string]cachedReply
}

// cachedReply is an encoded reply that is kept because many daemons may pull the same
// kind at once.
type cachedReply struct {
	upto      bramleytack.Revision
	encodedAt time.Time
	data      []byte
}

func (s *server) run(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
			if s.n.Timer.Sleep(ctx, digestPeriod) != nil {
				return
			}
			continue
		}
		go (&pullConn{server: s, conn: conn}).run()
	}
}

// reply returns the encoded reply with all objects of a kind.
func (s *server) reply(kind string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.n.Timer.Now()
	if c, ok := s.cached[kind]; ok && c.upto == s.n.Table.Upto(kind) && now.Sub(c.encodedAt) < replyCacheTTL {
		return c.data, nil
	}
	b := s.n.Table.FullBatch(kind)
	data, err := encodeReply(encodeBatch(b))
	if err != nil {
		return nil, err
	}
	if s.cached == nil {
		s.cached = map[string]cachedReply{}
	}
	s.cached[kind] = cachedReply{upto: b.Upto, encodedAt: now, data: data}
	return data, nil
}

// pullConn answers the pulls on one connection.
type pullConn struct {
	server *server
	conn   net.Conn
}

func (c *pullConn) run() {
	defer c.conn.Close()
	if err := c.serve(); err != nil && !errors.Is(err, io.EOF) {
		c.server.n.Log.Event(btevent.PeerPacketDropped).Stringer("from", c.conn.RemoteAddr()).Err(err).Send()
	}
}

func (c *pullConn) serve() error {
	if err := c.conn.SetDeadline(c.server.n.Timer.Now().Add(pullTimeout)); err != nil {
		return err
	}
	br := bufio.NewReader(c.conn)
	for {
		var r PullRequest
		if err := (protodelim.UnmarshalOptions{MaxSize: maxPullRequest}).UnmarshalFrom(br, &r); err != nil {
			return err
		}
		data, err := c.server.reply(r.Kind)
		if err != nil {
			return err
		}
		if _, err := c.conn.Write(data); err != nil {
			return err
		}
	}
}
