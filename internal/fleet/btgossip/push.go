package btgossip

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/node/btmemory"
)

const (
	// maxPacketSize is the size in bytes up to which changes are pushed as they are. Such
	// a datagram fits into one Ethernet frame.
	maxPacketSize = 1400
	// maxCompressedSize is the size in bytes up to which larger changes are pushed
	// compressed. It holds the notices of about two hundred upstreams; a few frames
	// arrive sooner than a pull of all objects.
	maxCompressedSize = 8 << 10
)

// pushBatch sends changes that this daemon read from the store to all live daemons,
// through the hubs of their failure domains if there are any. Of full lists and of
// changes beyond maxCompressedSize it only announces the revision, by a digest: daemons
// that are behind pull the objects.
func (n *Node) pushBatch(b btreplica.Batch) {
	switch {
	case b.Full:
		// Only the targets of this digest pull from this daemon at once. Each announces
		// the revision in turn, so that no daemon's link carries the list to all others.
		n.TriggerDigest()
		return
	case !b.FromStore, len(b.Objects) == 0:
		return
	}
	p, err := packChanges(encodeBatch(b))
	if err != nil {
		n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
		n.TriggerDigest()
		return
	}
	v := n.view()
	n.spread(CauseChange, p, v, addrsOf(v.alive))
}

// spread sends news to the given daemons or, in a fleet with hubs, to this failure domain
// and through the hubs of the others to theirs.
func (n *Node) spread(c Cause, p *Packet, v *view, direct []netip.Addr) {
	if !v.large() {
		n.writeAll(c, n.encode(p), direct)
		return
	}
	n.writeAll(c, n.encode(p), addrsOf(v.near))
	p.Forward = true
	n.writeAll(c, n.encode(p), n.remoteHubs(v))
}

// sendLost sends the failure domains that stay out of service although the store, restored from an
// older copy, has lost that. A daemon that starts cannot read them there.
func (n *Node) sendLost(to []netip.Addr) {
	b := n.Table.Lost(bramleytack.KindEvacuations)
	if len(b.Objects) == 0 {
		return
	}
	p, err := packChanges(encodeBatch(b))
	if err != nil {
		n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
		return
	}
	n.writeAll(CauseChange, n.encode(p), to)
}

// errChangesTooLarge is returned for changes that exceed maxCompressedSize.
var errChangesTooLarge = errors.New("btgossip: changes are too large for a datagram")

// packChanges returns a packet with changes, compressed if they exceed maxPacketSize.
func packChanges(b *ObjectBatch) (*Packet, error) {
	if proto.Size(b) <= maxPacketSize {
		return &Packet{Batch: b}, nil
	}
	compressed, err := compressBatch(b)
	if err == nil && len(compressed) > maxCompressedSize {
		err = errChangesTooLarge
	}
	return &Packet{Compressed: compressed}, err
}

// handleCompressed applies compressed changes from another daemon.
func (n *Node) handleCompressed(p *Packet, sender netip.Addr) {
	kept := n.Memory.Open(btmemory.Peers, func() {})
	defer kept.Close()
	b, err := expandBatch(p.Compressed, kept)
	if err != nil {
		n.Log.Event(btevent.PeerPacketDropped).Stringer("from", sender).Err(err).Send()
		return
	}
	n.handleBatch(p, b, sender)
}

func (n *Node) writeAll(c Cause, data []byte, addrs []netip.Addr) {
	for _, a := range addrs {
		n.write(c, data, a)
	}
}

// handleBatch applies the changes b of a packet, and sends them on if that was asked for
// and the replica lacked them.
func (n *Node) handleBatch(p *Packet, b *ObjectBatch, sender netip.Addr) {
	before := n.Table.Upto(b.Kind)
	if !n.Table.Apply(b.decode()) {
		n.pull(sender, b.Kind, kindState{upto: bramleytack.Revision(b.Upto)})
		return
	}
	if p.Forward && bramleytack.Revision(b.Upto) > before {
		n.writeAll(CauseChange, n.encode(&Packet{Batch: p.Batch, Compressed: p.Compressed}), addrsOf(n.view().near))
	}
}

func encodeBatch(b btreplica.Batch) *ObjectBatch {
	out := &ObjectBatch{Kind: b.Kind, Full: b.Full, Base: uint64(b.Base), Upto: uint64(b.Upto), AfterOutage: b.AfterOutage, Lapsed: b.Lapsed}
	for _, o := range b.Objects {
		out.Objects = append(out.Objects, &StoredObject{Name: o.Name, Version: uint64(o.Version), Deleted: o.Deleted, Data: o.Data})
	}
	return out
}

func (b *ObjectBatch) decode() btreplica.Batch {
	out := btreplica.Batch{
		Kind: b.Kind, Full: b.Full, Base: bramleytack.Revision(b.Base), Upto: bramleytack.Revision(b.Upto), AfterOutage: b.AfterOutage, Lapsed: b.Lapsed,
	}
	for _, o := range b.Objects {
		out.Objects = append(out.Objects, bramleytack.Object{
			Key:     bramleytack.Key{Kind: b.Kind, Name: o.Name},
			Version: bramleytack.Revision(o.Version), Deleted: o.Deleted, Data: o.Data,
		})
	}
	return out
}
