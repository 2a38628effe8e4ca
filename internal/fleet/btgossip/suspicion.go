package btgossip

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
	"bramleytack/internal/route/btsuspect"
)

const (
	// maxSuspicions is the number of suspicions in one datagram, which then stays within
	// maxPacketSize unless their crashes are many.
	maxSuspicions = 16
	// suspicionRounds is the number of digest rounds between two datagrams with the
	// suspicions that a restarted or cut-off daemon lacks.
	suspicionRounds = 5
)

// ShareSuspicions sends records of suspects to all live daemons, through the hubs of
// their failure domains if there are any. A record that is lost arrives with a later one
// or with the periodic records.
func (n *Node) ShareSuspicions(records []btsuspect.Record) {
	v := n.view()
	for part := range slices.Chunk(records, maxSuspicions) {
		n.spread(CauseSuspicion, &Packet{Suspicions: encodeSuspicions(part)}, v, addrsOf(v.usable))
	}
}

// sendSuspicions sends the suspicions that concern all daemons to some of them.
func (n *Node) sendSuspicions(to []netip.Addr) {
	records := n.Suspects.Records(maxSuspicions)
	if len(records) == 0 {
		return
	}
	n.writeAll(CauseSuspicion, n.encode(&Packet{Suspicions: encodeSuspicions(records)}), to)
}

// handleSuspicions merges the suspicions of another daemon, and passes news on if that
// was asked for.
func (n *Node) handleSuspicions(p *Packet) {
	if n.Suspects.Merge(decodeSuspicions(p.Suspicions)) && p.Forward {
		n.writeAll(CauseSuspicion, n.encode(&Packet{Suspicions: p.Suspicions}), addrsOf(n.view().near))
	}
}

// Elected reports whether this daemon is the one of all live daemons that a key selects.
// Daemons that know of different ones may both be selected.
func (n *Node) Elected(key btsuspect.Key) bool {
	weight := func(h bramleytack.HostID) uint64 { return xxhash.Sum64String(key.String() + string(h)) }
	own := weight(n.Self.Host)
	for _, p := range n.view().alive {
		if !p.Leaving && weight(p.Host) > own {
			return false
		}
	}
	return true
}

func encodeSuspicions(records []btsuspect.Record) []*Suspicion {
	out := make([]*Suspicion, len(records))
	for i, r := range records {
		out[i] = &Suspicion{
			Key: uint64(r.Key), Crashes: convert[uint64](r.Crashes), Cleared: convert[uint64](r.Cleared), Companions: convert[uint64](r.Companions),
			AgeMillis: uint64(max(r.Age.Milliseconds(), 0)), Trials: uint32(r.Trials),
		}
	}
	return out
}

func decodeSuspicions(list []*Suspicion) []btsuspect.Record {
	records := make([]btsuspect.Record, len(list))
	for i, s := range list {
		records[i] = btsuspect.Record{
			Key: btsuspect.Key(s.Key), Crashes: convert[btsuspect.Crash](s.Crashes), Cleared: convert[btsuspect.Crash](s.Cleared),
			Companions: convert[btsuspect.Key](s.Companions), Trials: int(min(s.Trials, math.MaxInt16)), Age: time.Duration(min(s.AgeMillis, math.MaxInt32)) * time.Millisecond,
		}
	}
	return records
}

// convert returns a list with its elements converted.
func convert[T, F ~uint64](list []F) []T {
	out := make([]T, len(list))
	for i, v := range list {
		out[i] = T(v)
	}
	return out
}
