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
		out[i] = encodeSuspicion(r)
	}
	return out
}

func encodeSuspicion(r btsuspect.Record) *Suspicion {
	s := &Suspicion{Key: uint64(r.Key), Companions: convert[uint64](r.Companions), AgeMillis: millis(r.Age), Trials: uint32(r.Trials), Apart: uint32(r.Apart)}
	for _, c := range r.Crashes {
		s.Crashes = append(s.Crashes, uint64(c.Crash))
		s.CrashEvents = append(s.CrashEvents, uint32(c.Events))
		s.CrashAgeMillis = append(s.CrashAgeMillis, millis(c.Age))
	}
	for _, l := range r.Cleared {
		s.Cleared = append(s.Cleared, uint64(l.Crash))
		s.ClearedEvents = append(s.ClearedEvents, uint32(l.Events))
	}
	return s
}

// millis returns a duration in milliseconds, zero for a negative one.
func millis(d time.Duration) uint64 { return uint64(max(d.Milliseconds(), 0)) }

func decodeSuspicions(list []*Suspicion) []btsuspect.Record {
	records := make([]btsuspect.Record, len(list))
	for i, s := range list {
		records[i] = decodeSuspicion(s)
	}
	return records
}

// decodeSuspicion returns a record. Daemons of earlier versions tell neither events nor times.
func decodeSuspicion(s *Suspicion) btsuspect.Record {
	age := func(millis uint64) time.Duration { return time.Duration(min(millis, math.MaxInt32)) * time.Millisecond }
	r := btsuspect.Record{
		Key: btsuspect.Key(s.Key), Companions: convert[btsuspect.Key](s.Companions), Trials: int(min(s.Trials, math.MaxInt16)), Age: age(s.AgeMillis),
		Apart: events(s.Apart),
	}
	if len(s.CrashAgeMillis) < len(s.Crashes) {
		r.Apart = btsuspect.AllEvents
	}
	for i, c := range s.Crashes {
		counted := btsuspect.CountedCrash{Crash: btsuspect.Crash(c), Age: btsuspect.AgeOfUntimed(i, r.Age)}
		if i < len(s.CrashEvents) {
			counted.Events = events(s.CrashEvents[i])
		}
		if i < len(s.CrashAgeMillis) {
			counted.Age = age(s.CrashAgeMillis[i])
		}
		r.Crashes = append(r.Crashes, counted)
	}
	for i, c := range s.Cleared {
		l := btsuspect.Clearing{Crash: btsuspect.Crash(c), Events: btsuspect.AllEvents}
		if i < len(s.ClearedEvents) {
			l.Events = events(s.ClearedEvents[i])
		}
		r.Cleared = append(r.Cleared, l)
	}
	return r
}

// events returns a number of events within the bounds of the table.
func events(n uint32) int { return int(min(n, btsuspect.AllEvents)) }

// convert returns a list with its elements converted.
func convert[T, F ~uint64](list []F) []T {
	out := make([]T, len(list))
	for i, v := range list {
		out[i] = T(v)
	}
	return out
}
