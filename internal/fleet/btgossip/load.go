package btgossip

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/bthub"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btwaiting"
)

const (
	// minLoadInterval is the minimum time between two load reports. Changes that come
	// together, such as those of a leaving engine, share one report.
	minLoadInterval = 15 * time.Millisecond
	// repeatAfter is the time after which a changed report to the hubs is repeated if
	// there is no newer one, in place of bthub.ReportPeriod. A table with the load then
	// arrives within three table periods although one report was lost.
	repeatAfter = 60 * time.Millisecond
	// tablePeriod is the time between two tables of a hub. Within it a failure domain
	// starts few generations, less than one for each of its engines.
	tablePeriod = 50 * time.Millisecond
	// remoteTableRounds is the number of table periods between two tables that a hub
	// sends to other failure domains, and passes on from them. Their engines are second
	// choice.
	remoteTableRounds = 5
	// tableBytes is the size from which on a table is sent in a datagram of its own.
	tableBytes = 1000
)

// LoadChanged schedules a report of this daemon's load at each upstream. It never
// blocks.
func (n *Node) LoadChanged() {
	select {
	case n.loadSignal <- struct{}{}:
	default:
	}
}

// loadSender reports changed loads without waiting for the next digest: to all live
// daemons, or to the hubs if there are any. With loads that are a digest period old,
// many daemons would choose the same engine.
type loadSender struct{ n *Node }

func (s *loadSender) run(ctx context.Context) {
	n := s.n
	wait := bthub.ReportPeriod
	for {
		refresh := n.Timer.After(wait - time.Duration(rand.Int64N(int64(wait/10))))
		changed := true
		select {
		case <-n.loadSignal:
			wait = repeatAfter
		case <-refresh.C():
			changed = false
			wait = bthub.ReportPeriod
		case <-ctx.Done():
			refresh.Stop()
			return
		}
		refresh.Stop()
		switch v := n.view(); {
		case v.large():
			n.reportToHubs(v)
		case changed:
			data := n.encode(&Packet{Digest: &Digest{Loads: encodeLoads(n.Accounts.OwnLoads())}})
			for _, p := range v.alive {
				n.write(CauseLoad, data, p.Addr)
			}
		default:
			continue
		}
		if n.Timer.Sleep(ctx, minLoadInterval) != nil {
			return
		}
	}
}

// reportToHubs sends this daemon's load to the hubs of its failure domain. It
// subscribes to one of them, a hub to itself.
func (n *Node) reportToHubs(v *view) {
	now := n.Timer.Now()
	hubs := n.ownHubs(v)
	hosts := make([]bramleytack.HostID, len(hubs))
	for i, h := range hubs {
		hosts[i] = h.Host
	}
	if n.isHub(v) {
		hosts = []bramleytack.HostID{n.Self.Host}
	}
	own := n.Accounts.OwnLoads()
	subscribed := n.client.Subscribe(hosts, rank(n.Self.Host), now)
	number := n.client.Record(own, now)
	loads := encodeLoads(own)
	for _, h := range hubs {
		if h.Host == n.Self.Host {
			n.hub.Add(bthub.Report{Host: h.Host, Incarnation: n.incarnation.Load(), Number: number, Loads: own, Subscribe: true}, now)
			continue
		}
		n.write(CauseLoad, n.encode(&Packet{Report: &LoadReport{Number: number, Loads: loads, Subscribe: h.Host == subscribed}}), h.Addr)
	}
}

// hubSender sends the tables of a daemon that is a hub.
type hubSender struct {
	n     *Node
	round int
}

func (s *hubSender) run(ctx context.Context) {
	for {
		wait := bthub.ReportPeriod
		if v := s.n.view(); v.large() && s.n.isHub(v) {
			s.sendTables(v)
			wait = tablePeriod
		}
		if s.n.Timer.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// sendTables sends the load of this failure domain to all subscribers and, every
// remoteTableRounds rounds, to the hubs of the other domains. In the same rounds the
// subscribers get the newest tables of the other domains.
func (s *hubSender) sendTables(v *view) {
	n := s.n
	now := n.Timer.Now()
	total := n.hub.Total(now)
	own := &LoadTable{FailureDomain: string(n.Self.FailureDomain), Loads: encodeLoads(total)}
	packets := [][]*LoadTable{{own}}
	if s.round++; s.round%remoteTableRounds == 0 {
		data := n.encode(&Packet{Tables: []*LoadTable{own}})
		for _, a := range n.remoteHubs(v) {
			n.write(CauseTable, data, a)
		}
		packets = append(packets, n.remoteTables.pack(now)...)
	}
	n.sendPackets(v, packets, total, now)
}

// sendPackets sends tables to all subscribers, each with the number of its newest
// report.
func (n *Node) sendPackets(v *view, packets [][]*LoadTable, total bthub.Loads, now time.Time) {
	shared := make([][]byte, len(packets))
	for i, tables := range packets {
		shared[i] = n.encode(&Packet{Tables: tables})
	}
	addrs := make(map[bramleytack.HostID]netip.Addr, len(v.near))
	for _, p := range v.near {
		addrs[p.Host] = p.Addr
	}
	for _, sub := range n.hub.Subscribers(now) {
		if sub.Host == n.Self.Host {
			n.applyTotal(n.Self.Host, total, sub.Ack, now)
			continue
		}
		a, ok := addrs[sub.Host]
		if !ok {
			continue
		}
		// Two encoded messages in a row decode as one with the fields of both.
		ack, err := proto.Marshal(&Packet{Ack: sub.Ack, AckIncarnation: sub.Incarnation})
		if err != nil {
			n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
			continue
		}
		for _, data := range shared {
			n.write(CauseTable, slices.Concat(data, ack), a)
		}
	}
}

// handleReport adds another daemon's report to the totals of this hub.
func (n *Node) handleReport(p *Packet, r *LoadReport, now time.Time) {
	n.hub.Add(bthub.Report{
		Host: bramleytack.HostID(p.Host), Incarnation: p.Incarnation, Number: r.Number,
		Loads: decodeLoads(r.Loads, true), Subscribe: r.Subscribe,
	}, now)
}

// handleTables applies the tables of a hub.
func (n *Node) handleTables(p *Packet, now time.Time) {
	v := n.view()
	if !v.large() {
		return
	}
	fromOwnHub := p.AckIncarnation == n.incarnation.Load()
	for _, t := range p.Tables {
		domain := bramleytack.FailureDomainID(t.FailureDomain)
		switch {
		case domain == n.Self.FailureDomain:
			if fromOwnHub {
				n.applyTotal(bramleytack.HostID(p.Host), decodeLoads(t.Loads, true), p.Ack, now)
			}
		case fromOwnHub || n.isHub(v):
			// Ejections by daemons of other failure domains do not count: an upstream may
			// fail for the callers of one domain alone.
			n.remoteTables.set(domain, t, now)
			n.Accounts.SetPeer(btaccount.Source{Domain: domain}, decodeLoads(t.Loads, false))
		}
	}
}

// applyTotal replaces the load of this failure domain's other daemons.
func (n *Node) applyTotal(hub bramleytack.HostID, total bthub.Loads, ack uint64, now time.Time) {
	if others, ok := n.client.Others(hub, total, ack, now); ok {
		n.Accounts.SetPeer(btaccount.Source{Domain: n.Self.FailureDomain}, others)
	}
}

// ValidSource returns a function that reports whether loads from a source still count.
func (n *Node) ValidSource() func(btaccount.Source) bool {
	v, now := n.view(), n.Timer.Now()
	if v.large() {
		return func(s btaccount.Source) bool {
			if s.Domain == n.Self.FailureDomain {
				return n.client.Fresh(now)
			}
			return s.Domain != "" && n.remoteTables.fresh(s.Domain, now)
		}
	}
	return func(s btaccount.Source) bool {
		_, found := slices.BinarySearchFunc(v.alive, s.Host, func(p Peer, h bramleytack.HostID) int { return cmp.Compare(p.Host, h) })
		return found && s.Domain == ""
	}
}

func encodeLoads(loads bthub.Loads) []*UpstreamLoad {
	out := make([]*UpstreamLoad, 0, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		l := loads[id]
		load := &UpstreamLoad{
			Upstream: string(id), Running: nonNegative(l.Running), UnreadTokens: nonNegative(l.Unread),
			MemoryTokens: nonNegative(l.Memory), CopyTokens: nonNegative(l.Copies), Ejections: nonNegative(l.Ejections),
			Waiting: nonNegative(l.Waiting),
			Streams: nonNegative(l.Streams),
		}
		if l.Calls != nil {
			for _, c := range *l.Calls {
				load.Workspaces, load.WorkspaceCalls = append(load.Workspaces, uint32(c.Workspace)), append(load.WorkspaceCalls, nonNegative(c.Calls))
			}
		}
		out = append(out, load)
	}
	return out
}

func decodeLoads(loads []*UpstreamLoad, ejections bool) bthub.Loads {
	out := make(bthub.Loads, len(loads))
	for _, l := range loads {
		load := btaccount.Load{
			Running: int(l.Running), Unread: int(l.UnreadTokens), Memory: int(l.MemoryTokens), Copies: int(l.CopyTokens),
			Waiting: int(l.Waiting),
			Streams: int(l.Streams),
		}
		for i, w := range l.Workspaces[:min(len(l.Workspaces), len(l.WorkspaceCalls))] {
			load.Calls = load.Calls.Add(btwaiting.WorkspaceKey(w), int(l.WorkspaceCalls[i]))
		}
		if ejections {
			load.Ejections = int(l.Ejections)
		}
		out[bramleytack.UpstreamID(l.Upstream)] = load
	}
	return out
}

func nonNegative(n int) uint32 { return uint32(max(n, 0)) }
