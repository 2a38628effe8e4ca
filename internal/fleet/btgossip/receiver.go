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

// receiver reads datagrams.
type receiver struct {
	n    *Node
	last map[bramleytack.HostID]position
}

// position is the place of a packet among those of its sender.
type position struct {
	incarnation uint64
	sequence    uint64
}

func (r *receiver) run(ctx context.Context) {
	buf := make([]byte, receiveBuffer)
	for {
		size, from, err := r.n.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
			if r.n.Timer.Sleep(ctx, period) != nil {
				return
			}
			continue
		}
		r.receive(buf[:size], from)
	}
}

// receive takes one datagram.
func (r *receiver) receive(data []byte, from net.Addr) {
	var p Packet
	if err := proto.Unmarshal(data, &p); err != nil {
		r.n.Log.Event(btevent.PeerPacketDropped).Stringer("from", from).Err(err).Send()
		return
	}
	if bramleytack.HostID(p.Host) != r.n.Self.Host {
		r.take(&p, from)
	}
}

func (r *receiver) take(p *Packet, from net.Addr) {
	var sender netip.Addr
	if u, ok := from.(*net.UDPAddr); ok {
		sender = u.AddrPort().Addr().Unmap()
	}
	if d := p.Digest; d != nil {
		r.takeDigest(p, d, sender)
	}
	if p.Batch != nil && !r.n.Table.Apply(p.Batch.decode()) {
		r.n.pull(sender, p.Batch.Kind)
	}
}

func (r *receiver) takeDigest(p *Packet, d *Digest, sender netip.Addr) {
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
			Incarnation: m.Incarnation, Beat: m.Beat, Ready: m.Ready, Leaving: m.Leaving, StoreDown: m.StoreDown, StoreRead: m.StoreRead,
		}
		direct := m.Host == p.Host
		if !n.members.merge(peer, direct, now) {
			continue
		}
		n.Log.Event(btevent.PeerSeen).Str("peer", m.Host).Stringer("addr", addr).Uint64("incarnation", m.Incarnation).Send()
		if direct {
			// A daemon that has just started learns at once who follows the store.
			n.write(n.encode(&Packet{Digest: n.digest(n.members.list(now))}), addr)
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
	// An upstream can fail the callers of one failure domain only.
	near := n.members.domain(bramleytack.HostID(p.Host)) == n.Self.FailureDomain
	for _, l := range d.Loads {
		load := btaccount.Load{
			Running: int(l.Running), Unread: int(l.UnreadTokens), Memory: int(l.MemoryTokens), Copies: int(l.CopyTokens),
		}
		if l.Ejected && near {
			load.Ejections = 1
		}
		loads[bramleytack.UpstreamID(l.Upstream)] = load
	}
	n.Accounts.SetPeer(bramleytack.HostID(p.Host), loads)
}

// inOrder says whether a packet is newer than the last one of its sender.
func (r *receiver) inOrder(p *Packet) bool {
	h := bramleytack.HostID(p.Host)
	last := r.last[h]
	if p.Incarnation < last.incarnation || p.Incarnation == last.incarnation && p.Sequence <= last.sequence {
		return false
	}
	r.last[h] = position{incarnation: p.Incarnation, sequence: p.Sequence}
	return true
}

// push sends changes that came from the store to all daemons alive. Whole kinds
// are only announced: daemons that are behind pull them.
func (n *Node) push(b btreplica.Batch) {
	switch {
	case b.Full:
		// Those that pull it tell others in turn, so that no link carries it to all.
		n.TriggerDigest()
		return
	case !b.FromStore, len(b.Objects) == 0:
		return
	}
	data := n.encode(&Packet{Batch: encodeBatch(b)})
	if len(data) > maxPacket {
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
