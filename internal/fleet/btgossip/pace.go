package btgossip

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btpace"
)

const (
	// maxPaces is the number of paces in one datagram, which then stays within
	// maxPacketSize.
	maxPaces = 28
	// paceRounds is the number of digest rounds between two datagrams with the paces that a
	// daemon may have missed. Paces seldom change.
	paceRounds = 40
	// paceUnit is the pace that is sent as 1.
	paceUnit = 0.001
)

// SharePaces sends what was learned of the pace of upstreams to all live daemons, through the
// hubs of their failure domains if there are any.
func (n *Node) SharePaces(news btpace.News) {
	v := n.view()
	for _, p := range packPaces(news) {
		n.spread(CausePace, p, v, addrsOf(v.usable))
	}
}

// sendPaces sends all paces to some daemons, for those that lack them after a start, a cut
// or a lost datagram.
func (n *Node) sendPaces(to []netip.Addr) {
	for _, p := range packPaces(n.Paces.All()) {
		n.writeAll(CausePace, n.encode(p), to)
	}
}

// packPaces divides news into packets.
func packPaces(news btpace.News) []*Packet {
	var packets []*Packet
	for part := range slices.Chunk(encodePaces(news.Records), maxPaces) {
		packets = append(packets, &Packet{Paces: part})
	}
	for part := range slices.Chunk(encodePauses(news.Pauses), maxPaces) {
		packets = append(packets, &Packet{Pauses: part})
	}
	return packets
}

// handlePaces merges the paces of another daemon, and passes news on if that was asked for.
func (n *Node) handlePaces(p *Packet) {
	news := n.Paces.Merge(decodePaces(p.Paces))
	news = n.Paces.MergePauses(decodePauses(p.Pauses)) || news
	if news && p.Forward {
		n.writeAll(CausePace, n.encode(&Packet{Paces: p.Paces, Pauses: p.Pauses}), addrsOf(n.view().near))
	}
}

func encodePauses(all []btpace.Pauses) []*Pauses {
	out := make([]*Pauses, len(all))
	for i, p := range all {
		out[i] = &Pauses{Service: p.Service, AloneMicros: uint32(p.Alone.Microseconds()), BesideMicros: uint32(p.Beside.Microseconds())}
	}
	return out
}

func decodePauses(all []*Pauses) []btpace.Pauses {
	out := make([]btpace.Pauses, len(all))
	for i, p := range all {
		out[i] = btpace.Pauses{
			Service: p.GetService(), Alone: time.Duration(p.GetAloneMicros()) * time.Microsecond, Beside: time.Duration(p.GetBesideMicros()) * time.Microsecond,
		}
	}
	return out
}

func encodePaces(records []btpace.Record) []*Pace {
	out := make([]*Pace, len(records))
	for i, r := range records {
		out[i] = &Pace{
			Upstream: string(r.Upstream), Started: r.Started.UnixMilli(), Raised: r.Raised,
			Lasting: uint32(math.Round(r.Lasting / paceUnit)), Worst: uint32(math.Round(r.Worst / paceUnit)),
			Moment: uint32(math.Round(r.Moment / paceUnit)), MomentAgeMillis: uint32(r.MomentAge.Milliseconds()),
		}
	}
	return out
}

func decodePaces(paces []*Pace) []btpace.Record {
	var out []btpace.Record
	for _, p := range paces {
		if p.GetUpstream() != "" {
			out = append(out, btpace.Record{
				Upstream: bramleytack.UpstreamID(p.Upstream), Started: time.UnixMilli(p.Started), Raised: p.Raised,
				Lasting: float64(p.Lasting) * paceUnit, Worst: float64(p.Worst) * paceUnit,
				Moment: float64(p.Moment) * paceUnit, MomentAge: time.Duration(p.MomentAgeMillis) * time.Millisecond,
			})
		}
	}
	return out
}
