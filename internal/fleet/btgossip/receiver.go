package btgossip

import (
	"context"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
)

// receiver reads and handles datagrams.
type receiver struct {
	n *Node
	// newest holds the number of the newest packet with a digest of each sender.
	newest map[bramleytack.HostID]packetNumber
}

// packetNumber orders the packets of one sender.
type packetNumber struct {
	incarnation uint64
	sequence    uint64
}

func (r *receiver) run(ctx context.Context) {
	buf := make([]byte, receiveBufferSize)
	for {
		size, from, err := r.n.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
			if r.n.Timer.Sleep(ctx, digestPeriod) != nil {
				return
			}
			continue
		}
		r.handleDatagram(buf[:size], from)
	}
}

// handleDatagram decodes a datagram and drops those that this daemon sent.
func (r *receiver) handleDatagram(data []byte, from net.Addr) {
	var p Packet
	if err := proto.Unmarshal(data, &p); err != nil {
		r.n.Log.Event(btevent.PeerPacketDropped).Stringer("from", from).Err(err).Send()
		return
	}
	if bramleytack.HostID(p.Host) != r.n.Self.Host {
		r.handlePacket(&p, from)
	}
}

func (r *receiver) handlePacket(p *Packet, from net.Addr) {
	var sender netip.Addr
	if u, ok := from.(*net.UDPAddr); ok {
		sender = u.AddrPort().Addr().Unmap()
	}
	if d := p.Digest; d != nil {
		r.handleDigest(p, d, sender)
	}
	if p.Batch != nil && !r.n.Table.Apply(p.Batch.decode()) {
		r.n.pull(sender, p.Batch.Kind)
	}
}

func (r *receiver) handleDigest(p *Packet, d *Digest, sender netip.Addr) {
	n := r.n
	now := n.Timer.Now()
	for _, m := range d.Members {
		if bramleytack.HostID(m.Host) == n.Self.Host {
			continue
		}
		addr, ok := netip.AddrFromSlice(m.Address)
		if !ok {
			continue
		}
		peer := Peer{
			Host: bramleytack.HostID(m.Host), Addr: addr, FailureDomain: bramleytack.FailureDomainID(m.FailureDomain),
			Incarnation: m.Incarnation, Heartbeat: m.Beat, Ready: m.Ready, Leaving: m.Leaving, StoreDown: m.StoreDown, StoreRead: m.StoreRead,
		}
		direct := m.Host == p.Host
		if !n.peers.merge(peer, direct, now) {
			continue
		}
		n.Log.Event(btevent.PeerAlive).Str("peer", m.Host).Stringer("addr", addr).Uint64("incarnation", m.Incarnation).Send()
		if direct {
			// The peer may have just started: the digest shows it the daemons that follow
			// the store.
			n.write(n.encode(&Packet{Digest: n.digest(n.peers.list(now))}), addr)
		}
	}
	for _, k := range d.Kinds {
		if bramleytack.Revision(k.Content) > n.Table.Upto(k.Kind) {
			n.pull(sender, k.Kind)
		}
	}
	if !r.inOrder(p) {
		return
	}
	loads := make(map[bramleytack.UpstreamID]btaccount.Load, len(d.Loads))
	// Ejections by daemons of other failure domains do not count: an upstream may fail
	// for the callers of one domain alone.
	sameDomain := n.peers.failureDomain(bramleytack.HostID(p.Host)) == n.Self.FailureDomain
	for _, l := range d.Loads {
		load := btaccount.Load{
			Running: int(l.Running), Unread: int(l.UnreadTokens), Memory: int(l.MemoryTokens), Copies: int(l.CopyTokens),
		}
		if l.Ejected && sameDomain {
			load.Ejections = 1
		}
		loads[bramleytack.UpstreamID(l.Upstream)] = load
	}
	n.Accounts.SetPeer(bramleytack.HostID(p.Host), loads)
}

// inOrder reports whether a packet is newer than all before it from the same sender,
// and if so records its number.
func (r *receiver) inOrder(p *Packet) bool {
	h := bramleytack.HostID(p.Host)
	newest := r.newest[h]
	if p.Incarnation < newest.incarnation || p.Incarnation == newest.incarnation && p.Sequence <= newest.sequence {
		return false
	}
	r.newest[h] = packetNumber{incarnation: p.Incarnation, sequence: p.Sequence}
	return true
}

// pushBatch sends changes that this daemon read from the store to all live daemons.
// Of full lists and of changes beyond maxPacketSize it only announces the revision, by
// a digest: daemons that are behind pull the objects.
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
	data := n.encode(&Packet{Batch: encodeBatch(b)})
	if len(data) > maxPacketSize {
		n.TriggerDigest()
		return
	}
	n.broadcast(data)
}

func encodeBatch(b btreplica.Batch) *ObjectBatch {
	out := &ObjectBatch{Kind: b.Kind, Full: b.Full, Base: uint64(b.Base), Upto: uint64(b.Upto), AfterOutage: b.AfterOutage}
	for _, o := range b.Objects {
		out.Objects = append(out.Objects, &StoredObject{Name: o.Name, Version: uint64(o.Version), Deleted: o.Deleted, Data: o.Data})
	}
	return out
}

func (b *ObjectBatch) decode() btreplica.Batch {
	out := btreplica.Batch{
		Kind: b.Kind, Full: b.Full, Base: bramleytack.Revision(b.Base), Upto: bramleytack.Revision(b.Upto), AfterOutage: b.AfterOutage,
	}
	for _, o := range b.Objects {
		out.Objects = append(out.Objects, bramleytack.Object{
			Key:     bramleytack.Key{Kind: b.Kind, Name: o.Name},
			Version: bramleytack.Revision(o.Version), Deleted: o.Deleted, Data: o.Data,
		})
	}
	return out
}
