package btgossip

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bramleytack"
)

const (
	// aliveTimeout is how long a peer counts as alive after its heartbeat rose.
	aliveTimeout = 1500 * time.Millisecond
	// remoteAliveTimeout replaces aliveTimeout for peers in other failure domains of a
	// fleet with hubs. Their heartbeats arrive through a few daemons and each digest
	// lists only a part of them.
	remoteAliveTimeout = 3 * time.Second
	// forgetAfter is how long a peer stays in the table after its heartbeat rose.
	forgetAfter = time.Minute
)

// Peer is the newest state that this daemon has of another one. The tags keep the
// names in the state dump.
type Peer struct {
	Host          bramleytack.HostID
	Addr          netip.Addr
	FailureDomain bramleytack.FailureDomainID
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation uint64
	// Heartbeat is a counter that rises while the process runs.
	Heartbeat uint64 `json:"Beat"`
	Ready     bool
	Leaving   bool
	// StoreDown is set if the daemon's latest call to the store failed or its answer is
	// late.
	StoreDown bool
	// StoreRead is set if the daemon reads the registrations of upstreams from the
	// store and gets answers.
	StoreRead bool
	// Processor is the daemon's processor share in thousandths of a core.
	Processor uint32
	// HeartbeatAt is when this daemon received the newest heartbeat, or an earlier time
	// if the peer must not count as alive before its next one.
	HeartbeatAt time.Time `json:"RiseAt"`

	rank uint64
}

// olderThan reports whether other is a newer state of the same daemon.
func (p *Peer) olderThan(other *Peer) bool {
	if other.Incarnation != p.Incarnation {
		return other.Incarnation > p.Incarnation
	}
	return other.Heartbeat > p.Heartbeat
}

func (p *Peer) encode() *Member {
	a := p.Addr.As4()
	return &Member{
		Host: string(p.Host), Address: a[:], Incarnation: p.Incarnation, Beat: p.Heartbeat, Processor: p.Processor,
		Ready: p.Ready, Leaving: p.Leaving, StoreDown: p.StoreDown, StoreRead: p.StoreRead, FailureDomain: string(p.FailureDomain),
	}
}

// decodeMember returns the peer of a member entry. It reports false if the address is
// invalid.
func decodeMember(m *Member) (Peer, bool) {
	addr, ok := netip.AddrFromSlice(m.Address)
	if !ok || !addr.Is4() {
		return Peer{}, false
	}
	host := bramleytack.HostID(m.Host)
	return Peer{
		Host: host, Addr: addr, FailureDomain: bramleytack.FailureDomainID(m.FailureDomain), Processor: m.Processor, rank: rank(host),
		Incarnation: m.Incarnation, Heartbeat: m.Beat, Ready: m.Ready, Leaving: m.Leaving, StoreDown: m.StoreDown, StoreRead: m.StoreRead,
	}, true
}

// Flags of a daemon in Heartbeats.
const (
	flagReady = 1 << iota
	flagLeaving
	flagStoreDown
	flagStoreRead
)

func (p *Peer) flags() byte {
	var f byte
	for _, b := range []struct {
		set  bool
		flag byte
	}{{p.Ready, flagReady}, {p.Leaving, flagLeaving}, {p.StoreDown, flagStoreDown}, {p.StoreRead, flagStoreRead}} {
		if b.set {
			f |= b.flag
		}
	}
	return f
}

func (p *Peer) setFlags(f byte) {
	p.Ready, p.Leaving = f&flagReady != 0, f&flagLeaving != 0
	p.StoreDown, p.StoreRead = f&flagStoreDown != 0, f&flagStoreRead != 0
}

// peerTable holds the state of each peer. It is safe for concurrent use.
type peerTable struct {
	// domain is the failure domain of this daemon.
	domain bramleytack.FailureDomainID

	mu     sync.Mutex
	byHost map[bramleytack.HostID]*Peer
	byAddr map[netip.Addr]*Peer
	// sorted holds all peers, sorted by host.
	sorted []*Peer
	// version rises when a peer becomes alive or changes more than its heartbeat.
	version uint64
	// hubs is set while the fleet is large enough for hubs.
	hubs bool
}

// alive reports whether a peer's heartbeat rose recently. The caller holds the lock.
func (t *peerTable) alive(p *Peer, now time.Time) bool {
	if t.hubs && p.FailureDomain != t.domain {
		return now.Sub(p.HeartbeatAt) < remoteAliveTimeout
	}
	return now.Sub(p.HeartbeatAt) < aliveTimeout
}

// merge adds the state p of a peer unless it is outdated, and reports whether the peer
// has become alive by it, or has itself told of its restart. direct means that the peer
// itself sent p. An unknown peer that is reported by another one counts as alive only once
// its heartbeat rises again, because the report may be of a dead daemon.
func (t *peerTable) merge(p Peer, direct bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost == nil {
		t.byHost, t.byAddr = map[bramleytack.HostID]*Peer{}, map[netip.Addr]*Peer{}
	}
	old, ok := t.byHost[p.Host]
	becameAlive := direct
	switch {
	case !ok && direct:
		p.HeartbeatAt = now
	case !ok:
		p.HeartbeatAt = now.Add(-remoteAliveTimeout)
	case old.olderThan(&p):
		becameAlive = !t.alive(old, now) || direct && p.Incarnation != old.Incarnation
		p.HeartbeatAt = now
	default:
		return false
	}
	if !ok || becameAlive || p.flags() != old.flags() || p.Incarnation != old.Incarnation {
		t.version++
	}
	if ok && old.Addr != p.Addr && t.byAddr[old.Addr] == old {
		delete(t.byAddr, old.Addr)
	}
	t.byHost[p.Host], t.byAddr[p.Addr] = &p, &p
	i, _ := slices.BinarySearchFunc(t.sorted, p.Host, func(o *Peer, h bramleytack.HostID) int { return cmp.Compare(o.Host, h) })
	if ok {
		t.sorted[i] = &p
	} else {
		t.sorted = slices.Insert(t.sorted, i, &p)
	}
	return becameAlive
}

// newerIncarnation returns the known member entry of a daemon if it is of a later
// incarnation than p, and nil otherwise.
func (t *peerTable) newerIncarnation(p Peer) *Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.byHost[p.Host]; known != nil && known.Incarnation > p.Incarnation {
		return known.encode()
	}
	return nil
}

// mergeHeartbeat updates the peer at an address. start is the lower half of its
// incarnation. It reports whether the peer's member entry is missing or belongs to an
// earlier incarnation.
func (t *peerTable) mergeHeartbeat(addr netip.Addr, start uint32, beat uint64, flags byte, now time.Time) (missing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.byAddr[addr]
	switch {
	case p == nil:
		return true
	case uint32(p.Incarnation) != start:
		return int32(start-uint32(p.Incarnation)) > 0
	case beat <= p.Heartbeat:
		return false
	}
	if !t.alive(p, now) || p.flags() != flags {
		t.version++
	}
	p.Heartbeat, p.HeartbeatAt = beat, now
	p.setFlags(flags)
	return false
}

// members returns the member entries of the peers at some addresses that are alive.
func (t *peerTable) members(addrs []netip.Addr, now time.Time) []*Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []*Member
	for _, a := range addrs {
		if p := t.byAddr[a]; p != nil && t.alive(p, now) {
			all = append(all, p.encode())
		}
	}
	return all
}

// list returns the peers that are alive and the others, both sorted by host. It drops
// those without a new heartbeat for forgetAfter.
func (t *peerTable) list(now time.Time) (alive, silent []Peer, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sorted = slices.DeleteFunc(t.sorted, func(p *Peer) bool {
		if now.Sub(p.HeartbeatAt) <= forgetAfter {
			return false
		}
		delete(t.byHost, p.Host)
		if t.byAddr[p.Addr] == p {
			delete(t.byAddr, p.Addr)
		}
		return true
	})
	alive = make([]Peer, 0, len(t.sorted))
	for _, p := range t.sorted {
		if t.alive(p, now) {
			alive = append(alive, *p)
		} else {
			silent = append(silent, *p)
		}
	}
	return alive, silent, t.version
}

// current returns the version of the table.
func (t *peerTable) current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// setHubs sets whether the fleet has hubs.
func (t *peerTable) setHubs(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hubs = on
}

// failureDomain returns the failure domain of the daemon at an address, or "" if it is
// unknown.
func (t *peerTable) failureDomain(a netip.Addr) bramleytack.FailureDomainID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.byAddr[a]; p != nil {
		return p.FailureDomain
	}
	return ""
}

// resetLiveness makes every peer count as dead until its heartbeat rises again.
func (t *peerTable) resetLiveness(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	for _, p := range t.byHost {
		p.HeartbeatAt = now.Add(-remoteAliveTimeout)
	}
}
