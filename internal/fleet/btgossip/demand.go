package btgossip

import (
	"context"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btreturn"
)

// demandPeriod is the time between two messages about what waits at this daemon. Queues that
// matter are longer than it.
const demandPeriod = 200 * time.Millisecond

// demandSender tells all daemons what waits at this one, while anything does. Fleets with
// hubs do not exchange it.
type demandSender struct{ n *Node }

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
		if d, ok := n.Admission.Demand(); ok && !v.large() {
			n.writeAll(CauseDemand, n.encode(&Packet{Demand: encodeDemand(d)}), addrsOf(v.alive))
		}
	}
}

// handleDemand takes the demand of another daemon.
func (n *Node) handleDemand(p *Packet) {
	if n.Admission != nil {
		n.Admission.SetPeer(bramleytack.HostID(p.Host), p.Demand.decode())
	}
}

func encodeDemand(d btadmission.Demand) *Demand {
	out := &Demand{}
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
	var out btadmission.Demand
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
