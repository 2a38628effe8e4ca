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
	// aliveFor is how long a daemon counts as alive after its beat rose.
	aliveFor = 1500 * time.Millisecond
	// forgetAfter drops a daemon that has been silent for long.
	forgetAfter = time.Minute
)

// Peer is what is known of a daemon.
type Peer struct {
	Host          bramleytack.HostID
	Addr          netip.Addr
	FailureDomain bramleytack.FailureDomainID
	Incarnation   uint64
	Beat          uint64
	Ready         bool
	Leaving       bool
	StoreDown     bool
	// StoreRead says that the daemon reads the store's registrations of upstreams.
	StoreRead bool
	// RiseAt is when the beat last rose as far as this daemon knows.
	RiseAt time.Time
}

func (p *Peer) alive(now time.Time) bool { return now.Sub(p.RiseAt) < aliveFor }

// newer says whether other is later news of the same daemon.
func (p *Peer) newer(other *Peer) bool {
	if other.Incarnation != p.Incarnation {
		return other.Incarnation > p.Incarnation
	}
	return other.Beat > p.Beat
}

func (p *Peer) encode() *Member {
	a := p.Addr.As4()
	return &Member{
		Host: string(p.Host), Address: a[:], Incarnation: p.Incarnation, Beat: p.Beat,
		Ready: p.Ready, Leaving: p.Leaving, StoreDown: p.StoreDown, StoreRead: p.StoreRead, FailureDomain: string(p.FailureDomain),
	}
}

// members is the table of the other daemons.
type members struct {
	mu    sync.Mutex
	peers map[bramleytack.HostID]*Peer
}

// merge takes news of a daemon. Direct news comes from the daemon itself; a
// rumor of an unknown daemon proves nothing until its beat rises again. It says
// whether the daemon was not alive before and is now.
func (m *members) merge(p Peer, direct bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[bramleytack.HostID]*Peer{}
	}
	old, ok := m.peers[p.Host]
	switch {
	case !ok && direct:
		p.RiseAt = now
	case !ok:
		p.RiseAt = now.Add(-aliveFor)
	case old.newer(&p):
		was := old.alive(now)
		p.RiseAt = now
		m.peers[p.Host] = &p
		return !was
	default:
		return false
	}
	m.peers[p.Host] = &p
	return direct
}

// list returns the daemons in the order of their names and forgets those that
// have been silent for long.
func (m *members) list(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Peer, 0, len(m.peers))
	for h, p := range m.peers {
		if now.Sub(p.RiseAt) > forgetAfter {
			delete(m.peers, h)
			continue
		}
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

// alive counts the daemons that are alive. It is on the path of requests.
func (m *members) alive(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.peers {
		if p.alive(now) {
			n++
		}
	}
	return n
}

// domain returns the failure domain of a daemon, or nothing if it is unknown.
func (m *members) domain(h bramleytack.HostID) bramleytack.FailureDomainID {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[h]; ok {
		return p.FailureDomain
	}
	return ""
}

// distrust takes all daemons for dead until they are heard from again.
func (m *members) distrust(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.RiseAt = now.Add(-aliveFor)
	}
}
