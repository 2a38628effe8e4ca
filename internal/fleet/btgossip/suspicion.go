package btgossip

import (
	"net/netip"
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
	for len(records) > 0 {
		part := records[:min(len(records), maxSuspicions)]
		records = records[len(part):]
		p := &Packet{Suspicions: encodeSuspicions(part)}
		if !v.large() {
			n.writeAll(CauseSuspicion, n.encode(p), addrsOf(v.usable))
			continue
		}
		n.writeAll(CauseSuspicion, n.encode(p), addrsOf(v.near))
		p.Forward = true
		n.writeAll(CauseSuspicion, n.encode(p), n.remoteHubs(v))
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
func (n *Node) Elected(key bramleytack.Fingerprint) bool {
	weight := func(h bramleytack.HostID) uint64 { return xxhash.Sum64String(string(key[:]) + string(h)) }
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
			Key: r.Key[:], Crashes: encodeCrashes(r.Crashes), Cleared: encodeCrashes(r.Cleared),
			AgeMillis: uint64(max(r.Age.Milliseconds(), 0)),
		}
	}
	return out
}

// decodeSuspicions leaves out records whose key has another size.
func decodeSuspicions(list []*Suspicion) []btsuspect.Record {
	records := make([]btsuspect.Record, 0, len(list))
	for _, s := range list {
		r := btsuspect.Record{Crashes: decodeCrashes(s.Crashes), Cleared: decodeCrashes(s.Cleared), Age: time.Duration(s.AgeMillis) * time.Millisecond}
		if len(s.Key) == len(r.Key) {
			copy(r.Key[:], s.Key)
			records = append(records, r)
		}
	}
	return records
}

func encodeCrashes(list []btsuspect.Crash) []uint64 {
	out := make([]uint64, len(list))
	for i, c := range list {
		out[i] = uint64(c)
	}
	return out
}

func decodeCrashes(list []uint64) []btsuspect.Crash {
	out := make([]btsuspect.Crash, len(list))
	for i, c := range list {
		out[i] = btsuspect.Crash(c)
	}
	return out
}
