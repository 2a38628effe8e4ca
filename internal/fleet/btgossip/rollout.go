package btgossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btrollout"
)

// judgeCount is the number of daemons that judge roll-outs.
const judgeCount = 3

// JudgesRollouts reports whether this daemon judges roll-outs. Daemons that know of different ones
// may choose others.
func (n *Node) JudgesRollouts() bool {
	return !n.Leaving() && slices.ContainsFunc(n.judges(n.view()), func(p Peer) bool { return p.Host == n.Self.Host })
}

// judges returns the daemons that judge: those of the lowest rank that are not leaving.
func (n *Node) judges(v *view) []Peer {
	judges := make([]Peer, 0, len(v.alive)+1)
	for i := range v.alive {
		if !v.alive[i].Leaving {
			judges = append(judges, v.alive[i])
		}
	}
	if !n.Leaving() {
		judges = append(judges, n.self())
	}
	slices.SortFunc(judges, func(a, b Peer) int { return cmp.Compare(a.rank, b.rank) })
	return judges[:min(len(judges), judgeCount)]
}

// AliveHost reports whether another daemon is alive.
func (n *Node) AliveHost(host bramleytack.HostID) bool {
	_, found := slices.BinarySearchFunc(n.Alive(), host, func(p Peer, h bramleytack.HostID) int { return cmp.Compare(p.Host, h) })
	return found
}

// SendRollouts sends reports to the judges and decisions to all daemons alive.
func (n *Node) SendRollouts(reports []btrollout.Report, decisions []btrollout.Decision) {
	v := n.view()
	for _, r := range reports {
		data := n.encode(&Packet{RolloutReports: []*RolloutReport{encodeRolloutReport(r)}})
		for _, p := range n.judges(v) {
			if p.Host != n.Self.Host {
				n.write(CauseRollout, data, p.Addr)
			}
		}
	}
	if len(decisions) > 0 {
		p := &Packet{}
		for _, d := range decisions {
			p.RolloutDecisions = append(p.RolloutDecisions, encodeRolloutDecision(d))
		}
		n.writeAll(CauseRollout, n.encode(p), addrsOf(v.alive))
	}
}

// handleRollouts takes the reports and decisions of another daemon.
func (n *Node) handleRollouts(p *Packet) {
	for _, r := range p.RolloutReports {
		n.Rollouts.Merge(bramleytack.HostID(p.Host), p.Incarnation, decodeRolloutReport(r))
	}
	for _, d := range p.RolloutDecisions {
		n.Rollouts.Follow(decodeRolloutDecision(d))
	}
}

func encodeRolloutReport(r btrollout.Report) *RolloutReport {
	out := &RolloutReport{
		Service: r.Service, Order: r.Order, Number: r.Number, Stage: uint32(r.Stage), OldRunning: nonNegative(r.OldRunning), Sent: r.Sent, Exposed: r.Exposed,
	}
	for _, k := range slices.SortedFunc(maps.Keys(r.Counts), btrollout.Key.Compare) {
		c := r.Counts[k]
		e := &RolloutCount{Route: k.Route, Load: uint32(k.Load), Group: uint32(k.Group), Answers: c.Answers, Failures: c.Failures, Broken: c.Broken}
		e.FirstFrom, e.First = encodeHistogram(&c.First)
		e.GapsFrom, e.Gaps = encodeHistogram(&c.Gaps)
		out.Counts = append(out.Counts, e)
	}
	return out
}

func decodeRolloutReport(r *RolloutReport) btrollout.Report {
	out := btrollout.Report{
		Service: r.Service, Order: r.Order, Number: r.Number, Stage: btrollout.Stage(min(r.Stage, math.MaxUint8)), OldRunning: int(r.OldRunning),
		Sent: r.Sent, Exposed: r.Exposed, Counts: map[btrollout.Key]*btrollout.Count{},
	}
	for _, e := range r.Counts {
		c := &btrollout.Count{Answers: e.Answers, Failures: e.Failures, Broken: e.Broken}
		decodeHistogram(e.FirstFrom, e.First, &c.First)
		decodeHistogram(e.GapsFrom, e.Gaps, &c.Gaps)
		k := btrollout.Key{Route: e.Route, Load: uint8(min(e.Load, math.MaxUint8)), Group: uint8(min(e.Group, math.MaxUint8))}
		if k.Valid() {
			out.Counts[k] = c
		}
	}
	return out
}

// encodeHistogram returns the counts from the first to the last class that has any.
func encodeHistogram(h *btrollout.Histogram) (from uint32, counts []uint32) {
	first, last := -1, -1
	for i, v := range h {
		if v > 0 {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return 0, nil
	}
	return uint32(first), h[first : last+1]
}

func decodeHistogram(from uint32, counts []uint32, h *btrollout.Histogram) {
	if int64(from) < int64(len(h)) {
		copy(h[from:], counts)
	}
}

func encodeRolloutDecision(d btrollout.Decision) *RolloutDecision {
	return &RolloutDecision{
		Service: d.Service, Order: d.Order, Stage: uint32(d.Stage), ShareMillionths: uint32(min(max(d.Share, 0), 1) * 1e6), Rejected: d.Rejected, Complete: d.Complete,
		AgeMillis: uint64(max(d.Age.Milliseconds(), 0)), TrialMillis: uint64(max(d.Trial.Milliseconds(), 0)),
	}
}

func decodeRolloutDecision(d *RolloutDecision) btrollout.Decision {
	duration := func(ms uint64) time.Duration { return time.Duration(min(ms, math.MaxInt32)) * time.Millisecond }
	return btrollout.Decision{
		Service: d.Service, Order: d.Order, Stage: btrollout.Stage(min(d.Stage, uint32(btrollout.Full))), Share: float64(d.ShareMillionths) / 1e6, Rejected: d.Rejected, Complete: d.Complete,
		Age: duration(d.AgeMillis), Trial: duration(d.TrialMillis),
	}
}
