package btgossip

import (
	"net/netip"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
)

// maxPacketSize is the size in bytes up to which changes are pushed. Such a datagram
// fits into one Ethernet frame.
const maxPacketSize = 1400

// pushBatch sends changes that this daemon read from the store to all live daemons,
// through the hubs of their failure domains if there are any. Of full lists and of
// changes beyond maxPacketSize it only announces the revision, by a digest: daemons that
// are behind pull the objects.
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
	v := n.view()
	data := n.encode(&Packet{Batch: encodeBatch(b), Forward: true})
	if len(data) > maxPacketSize {
		n.TriggerDigest()
		return
	}
	if !v.large() {
		n.writeAll(CauseChange, n.encode(&Packet{Batch: encodeBatch(b)}), addrsOf(v.alive))
		return
	}
	n.writeAll(CauseChange, data, n.remoteHubs(v))
	n.forwardBatch(v, encodeBatch(b))
}

// forwardBatch sends changes to the other daemons of this failure domain.
func (n *Node) forwardBatch(v *view, b *ObjectBatch) {
	n.writeAll(CauseChange, n.encode(&Packet{Batch: b}), addrsOf(v.near))
}

func (n *Node) writeAll(c Cause, data []byte, addrs []netip.Addr) {
	for _, a := range addrs {
		n.write(c, data, a)
	}
}

// handleBatch applies changes from another daemon, and sends them on if that was asked
// for and they are news.
func (n *Node) handleBatch(p *Packet, sender netip.Addr) {
	before := n.Table.Upto(p.Batch.Kind)
	if !n.Table.Apply(p.Batch.decode()) {
		n.pull(sender, p.Batch.Kind, bramleytack.Revision(p.Batch.Upto))
		return
	}
	if p.Forward && bramleytack.Revision(p.Batch.Upto) > before {
		n.forwardBatch(n.view(), p.Batch)
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
