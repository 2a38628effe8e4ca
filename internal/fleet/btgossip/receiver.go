package btgossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
)

// receiver reads and handles datagrams.
type receiver struct {
	n *Node
	// newest holds the number of the newest packet with loads or tables of each sender.
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
	n := r.n
	now := n.Timer.Now()
	var sender netip.Addr
	if u, ok := from.(*net.UDPAddr); ok {
		sender = u.AddrPort().Addr().Unmap()
	}
	if d := p.Digest; d != nil {
		r.handleDigest(p, d, sender, now)
	}
	if p.Batch != nil {
		n.handleBatch(p, p.Batch, sender)
	}
	if len(p.Compressed) > 0 {
		n.handleCompressed(p, sender)
	}
	if p.Report != nil {
		n.handleReport(p, p.Report, now)
	}
	if len(p.Tables) > 0 && r.inOrder(p) {
		n.handleTables(p, now)
	}
	if len(p.Suspicions) > 0 {
		n.handleSuspicions(p)
	}
	if len(p.Words) > 0 {
		n.handleWords(p, now)
	}
	if len(p.Paces)+len(p.Pauses) > 0 {
		n.handlePaces(p)
	}
	if p.GrantRequest != nil && n.Grants != nil {
		n.handleGrantRequest(p.GrantRequest, sender, now)
	}
	if p.GrantReply != nil {
		n.handleGrantReply(p.GrantReply)
	}
	if len(p.RolloutReports) > 0 || len(p.RolloutDecisions) > 0 {
		n.handleRollouts(p)
	}
	if p.Demand != nil || p.DomainDemand != nil || p.OthersDemand != nil {
		n.handleDemand(p, sender)
	}
	if len(p.Unknown) > 0 {
		n.answerMembers(sender, p.Unknown, now)
	}
}

func (r *receiver) handleDigest(p *Packet, d *Digest, sender netip.Addr, now time.Time) {
	n := r.n
	for _, m := range d.Members {
		r.handleMember(p, m, now)
	}
	n.queryMembers(sender, n.mergeHeartbeats(d.Heartbeats, now), now)
	for _, k := range d.Kinds {
		if state := k.decode(); n.lacks(k.Kind, state) {
			n.pull(sender, k.Kind, state)
		}
	}
	if isMemberReply := len(d.Kinds) == 0 && len(d.Members) > 0; !isMemberReply {
		r.handleLoads(p, d, sender)
	}
}

// handleMember merges the member entry of one daemon.
func (r *receiver) handleMember(p *Packet, m *Member, now time.Time) {
	n := r.n
	peer, ok := decodeMember(m)
	if !ok {
		return
	}
	if peer.Host == n.Self.Host {
		n.outdated(peer.Incarnation)
		return
	}
	direct := m.Host == p.Host
	if newer := n.peers.newerIncarnation(peer); direct && newer != nil {
		n.write(CauseMember, n.encode(&Packet{Digest: &Digest{Members: []*Member{newer}}}), peer.Addr)
		return
	}
	if !n.peers.merge(peer, direct, now) {
		return
	}
	n.Log.Event(btevent.PeerAlive).Str("peer", m.Host).Stringer("addr", peer.Addr).Uint64("incarnation", m.Incarnation).Send()
	if direct {
		// The peer may have just started: the digest shows it the daemons that follow
		// the store, and it has lost the suspicions, the words of upstreams and what the store
		// has lost.
		n.write(CauseDigest, n.encode(&Packet{Digest: n.digest(n.view())}), peer.Addr)
		n.sendSuspicions([]netip.Addr{peer.Addr})
		n.sendWords([]netip.Addr{peer.Addr})
		n.sendLost([]netip.Addr{peer.Addr})
		n.sendPaces([]netip.Addr{peer.Addr})
	}
}

// handleLoads applies the loads that a daemon sends to all others. A fleet with hubs
// has their tables instead.
func (r *receiver) handleLoads(p *Packet, d *Digest, sender netip.Addr) {
	n := r.n
	if n.view().large() || !r.inOrder(p) {
		return
	}
	// Ejections by daemons of other failure domains do not count: an upstream may fail
	// for the callers of one domain alone.
	sameDomain := n.peers.failureDomain(sender) == n.Self.FailureDomain
	n.Accounts.SetPeer(btaccount.Source{Host: bramleytack.HostID(p.Host)}, decodeLoads(d.Loads, sameDomain))
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
