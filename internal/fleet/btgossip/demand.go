package btgossip

import (
	"context"
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btreturn"
)

// demandPeriod is the time between two messages about what waits at this daemon. Queues that
// matter are longer than it.
const demandPeriod = 200 * time.Millisecond

// demandSender tells all daemons what waits at this one, while anything does. In a fleet with
// hubs it tells those of its failure domain, which pass on sums.
type demandSender struct {
	n *Node
	// hubRounds is the number of rounds for which this daemon has been a hub.
	hubRounds int
}

// quietRounds is the number of rounds in which a new hub passes nothing on. The daemons of its
// failure domain have reported to it by then, however old their views are.
const quietRounds = 4

func (s *demandSender) run(ctx context.Context) {
	n := s.n
	if n.Admission == nil {
		return
	}
	tick := n.Timer.Every(demandPeriod, demandPeriod/10)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		v := n.view()
		d, ok := n.Admission.Demand()
		if !v.large() {
			if ok {
				n.writeAll(CauseDemand, n.encode(&Packet{Demand: encodeDemand(d)}), addrsOf(v.alive))
			}
			continue
		}
		if ok {
			n.reportDemand(v, d)
		}
		if !n.isHub(v) {
			s.hubRounds = 0
			continue
		}
		if s.hubRounds++; s.hubRounds > quietRounds {
			n.relayDemand(v)
		}
	}
}

// reportDemand tells the hubs of this failure domain the demand of this daemon.
func (n *Node) reportDemand(v *view, d btadmission.Demand) {
	data := n.encode(&Packet{Demand: encodeDemand(d)})
	for _, h := range n.ownHubs(v) {
		if h.Host == n.Self.Host {
			n.demands.SetReport(h.Host, d, n.Timer.Now())
			continue
		}
		n.write(CauseDemand, data, h.Addr)
	}
}

// relayDemand tells the hubs of other failure domains the demand of this one, and each daemon
// of this one the demand of all others. Both hubs of a domain do, so that either may fail.
func (n *Node) relayDemand(v *view) {
	if d, ok := n.demands.Total(n.Timer.Now()); ok {
		n.writeAll(CauseDemand, n.encode(&Packet{DomainDemand: encodeDemand(d)}), n.remoteHubs(v))
	}
	hosts := make([]bramleytack.HostID, 0, len(v.near)+1)
	for _, p := range v.near {
		hosts = append(hosts, p.Host)
	}
	others := n.demands.Others(append(hosts, n.Self.Host), n.Timer.Now())
	for _, p := range v.near {
		if d, ok := others[p.Host]; ok {
			n.write(CauseDemand, n.encode(&Packet{OthersDemand: encodeDemand(d)}), p.Addr)
		}
	}
	if d, ok := others[n.Self.Host]; ok {
		n.setOthersDemand(n.Self.Host, d)
	}
}

func (n *Node) setOthersDemand(hub bramleytack.HostID, d btadmission.Demand) {
	n.demandHeard.Store(n.Timer.Now().UnixNano())
	n.Admission.SetOthers(hub, d)
}

// maxDemandAge is the time after the last message of a hub from which a daemon does not know the
// demand of others.
const maxDemandAge = 5 * demandPeriod

// DemandUnknown reports whether this daemon does not learn the demand of others: the fleet has
// hubs, and none of them has told it lately.
func (n *Node) DemandUnknown() bool {
	return n.HasHubs() && n.Timer.Now().Sub(time.Unix(0, n.demandHeard.Load())) > maxDemandAge
}

// handleDemand takes the demand of other daemons.
func (n *Node) handleDemand(p *Packet, sender netip.Addr) {
	if n.Admission == nil {
		return
	}
	v := n.view()
	switch {
	case p.OthersDemand != nil && v.large():
		n.setOthersDemand(bramleytack.HostID(p.Host), p.OthersDemand.decode())
	case p.DomainDemand != nil && v.large():
		if d := n.peers.failureDomain(sender); d != "" && d != n.Self.FailureDomain {
			n.demands.SetDomain(d, bramleytack.HostID(p.Host), p.DomainDemand.decode(), n.Timer.Now())
		}
	case p.Demand != nil && v.large():
		n.demands.SetReport(bramleytack.HostID(p.Host), p.Demand.decode(), n.Timer.Now())
	case p.Demand != nil:
		n.Admission.SetPeer(bramleytack.HostID(p.Host), p.Demand.decode())
	}
}

func encodeDemand(d btadmission.Demand) *Demand {
	out := &Demand{Daemons: nonNegative(d.Daemons)}
	for _, w := range d.Waiting {
		out.Waiting = append(out.Waiting, &WaitingLoad{Service: w.Service, Rank: int32(w.Rank), MemoryTokens: nonNegative(w.Memory), PromptTokens: nonNegative(w.Prompt)})
	}
	for _, t := range d.Tenants {
		out.Tenants, out.TenantTokens = append(out.Tenants, t.Tenant), append(out.TenantTokens, nonNegative(t.Memory))
	}
	for _, t := range d.Told {
		out.Told, out.ToldMillis = append(out.Told, uint32(t.Key)), append(out.ToldMillis, uint32(max(t.After.Milliseconds(), 0)))
	}
	return out
}

func (d *Demand) decode() btadmission.Demand {
	out := btadmission.Demand{Daemons: int(d.Daemons)}
	for _, w := range d.Waiting {
		out.Waiting = append(out.Waiting, btadmission.Waiting{Service: w.Service, Rank: int(w.Rank), Memory: int(w.MemoryTokens), Prompt: int(w.PromptTokens)})
	}
	for i, t := range d.Tenants[:min(len(d.Tenants), len(d.TenantTokens))] {
		out.Tenants = append(out.Tenants, btadmission.TenantUse{Tenant: t, Memory: int(d.TenantTokens[i])})
	}
	for i, k := range d.Told[:min(len(d.Told), len(d.ToldMillis))] {
		out.Told = append(out.Told, btreturn.Told{Key: btreturn.Key(k), After: time.Duration(d.ToldMillis[i]) * time.Millisecond})
	}
	return out
}
