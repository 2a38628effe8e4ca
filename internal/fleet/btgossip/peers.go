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
	// StoreDown is set if the daemon's latest call to the store failed.
	StoreDown bool
	// StoreRead is set if the daemon reads the registrations of upstreams from the
	// store and gets answers.
	StoreRead bool
	// HeartbeatAt is when this daemon received the newest heartbeat, or an earlier time
	// if the peer must not count as alive before its next one.
	HeartbeatAt time.Time `json:"RiseAt"`
}

func (p *Peer) alive(now time.Time) bool { return now.Sub(p.HeartbeatAt) < aliveTimeout }

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
		Host: string(p.Host), Address: a[:], Incarnation: p.Incarnation, Beat: p.Heartbeat,
		Ready: p.Ready, Leaving: p.Leaving, StoreDown: p.StoreDown, StoreRead: p.StoreRead, FailureDomain: string(p.FailureDomain),
	}
}

// peerTable holds the state of each peer. It is safe for concurrent use.
type peerTable struct {
	mu     sync.Mutex
	byHost map[bramleytack.HostID]*Peer
}

// merge adds the state p of a peer unless it is outdated, and reports whether the peer
// has become alive by it. direct means that the peer itself sent p. An unknown peer
// that is reported by another one counts as alive only once its heartbeat rises again,
// because the report may be of a dead daemon.
func (t *peerTable) merge(p Peer, direct bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost == nil {
		t.byHost = map[bramleytack.HostID]*Peer{}
	}
	old, ok := t.byHost[p.Host]
	switch {
	case !ok && direct:
		p.HeartbeatAt = now
	case !ok:
		p.HeartbeatAt = now.Add(-aliveTimeout)
	case old.olderThan(&p):
		wasAlive := old.alive(now)
		p.HeartbeatAt = now
		t.byHost[p.Host] = &p
		return !wasAlive
	default:
		return false
	}
	t.byHost[p.Host] = &p
	return direct
}

// list returns all peers, dead ones included, sorted by host. It drops those without a
// new heartbeat for forgetAfter.
func (t *peerTable) list(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Peer, 0, len(t.byHost))
	for h, p := range t.byHost {
		if now.Sub(p.HeartbeatAt) > forgetAfter {
			delete(t.byHost, h)
			continue
		}
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

// countAlive returns the number of peers alive. Requests call it, so it does not copy
// the table.
func (t *peerTable) countAlive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.byHost {
		if p.alive(now) {
			n++
		}
	}
	return n
}

// failureDomain returns the failure domain of a peer, or "" for an unknown one.
func (t *peerTable) failureDomain(h bramleytack.HostID) bramleytack.FailureDomainID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.byHost[h]; ok {
		return p.FailureDomain
	}
	return ""
}

// resetLiveness makes every peer count as dead until its heartbeat rises again.
func (t *peerTable) resetLiveness(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byHost {
		p.HeartbeatAt = now.Add(-aliveTimeout)
	}
}
