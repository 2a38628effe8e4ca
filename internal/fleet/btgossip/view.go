package btgossip

import (
	"net/netip"
	"slices"
	"time"

	"bramleytack"
)

const (
	// directFleet is the number of daemons up to which each one sends its load and the
	// changes of the store to all others. The messages of such a fleet grow with the
	// square of its daemons; a larger one has hubs.
	directFleet = 96
	// hubsPerDomain is the number of hubs of a failure domain. Each daemon reports to
	// all of them, so that any one can replace another at once.
	hubsPerDomain = 2
	// viewPeriod is how long a view is used if no peer has changed, and largeViewPeriod
	// that in a fleet with hubs, where a view costs more. A peer that dies stays in the
	// view for that long.
	viewPeriod      = 100 * time.Millisecond
	largeViewPeriod = 400 * time.Millisecond
)

// view is what this daemon derives from the states of all peers. It is immutable.
type view struct {
	builtAt time.Time
	version uint64
	// alive holds the other daemons that are alive, sorted by host.
	alive []Peer
	// usable holds the daemons that get messages: those in alive and, soon after a
	// start, all that are known. silent holds the other known ones.
	usable, silent []Peer
	// lowerRanks is the number of usable daemons of a lower rank that reach the store
	// and are not leaving.
	lowerRanks int
	// missing is the number of daemons that fell silent less than missingRetention ago and
	// had not announced that they leave.
	missing   int
	storeDown int
	storeRead bool
	// near holds the other usable daemons of this failure domain.
	near []Peer
	// hubs holds the hubs of each failure domain, this daemon included, if the fleet
	// has hubs.
	hubs map[bramleytack.FailureDomainID][]Peer
}

// large reports whether the fleet has hubs.
func (v *view) large() bool { return v.hubs != nil }

func (v *view) period() time.Duration {
	if v.large() {
		return largeViewPeriod
	}
	return viewPeriod
}

// HasHubs reports whether the fleet is large enough for hubs. Loads of other failure
// domains then arrive later than those of this one.
func (n *Node) HasHubs() bool { return n.view().large() }

// view returns the current view.
func (n *Node) view() *view {
	now := n.Timer.Now()
	if v := n.cachedView.Load(); v != nil && now.Sub(v.builtAt) < v.period() && v.version == n.peers.current() {
		return v
	}
	v := n.buildView(now)
	n.cachedView.Store(v)
	return v
}

func (n *Node) buildView(now time.Time) *view {
	v := &view{builtAt: now}
	v.alive, v.silent, v.version = n.peers.list(now)
	for i := range v.silent {
		if p := &v.silent[i]; !p.Leaving && now.Sub(p.HeartbeatAt) < missingRetention {
			v.missing++
		}
	}
	v.usable = v.alive
	if n.recentlyStarted(now) {
		v.usable = slices.Concat(v.alive, v.silent)
		v.silent = nil
	}
	ownRank := rank(n.Self.Host)
	for i := range v.usable {
		p := &v.usable[i]
		if !p.StoreDown && !p.Leaving && p.rank < ownRank {
			v.lowerRanks++
		}
		if p.FailureDomain == n.Self.FailureDomain {
			v.near = append(v.near, *p)
		}
	}
	for i := range v.alive {
		p := &v.alive[i]
		if p.StoreDown {
			v.storeDown++
		}
		v.storeRead = v.storeRead || p.StoreRead
	}
	if len(v.usable) >= n.directFleet() {
		v.hubs = n.chooseHubs(v.usable)
	}
	n.peers.setHubs(v.large())
	return v
}

func (n *Node) directFleet() int {
	if n.DirectFleet > 0 {
		return n.DirectFleet
	}
	return directFleet
}

// chooseHubs returns the hubs of each failure domain: the daemons with the most
// processor time, and by rank among equals. Daemons that are leaving are no hubs.
func (n *Node) chooseHubs(peers []Peer) map[bramleytack.FailureDomainID][]Peer {
	hubs := map[bramleytack.FailureDomainID][]Peer{}
	add := func(p *Peer) {
		if p.Leaving {
			return
		}
		best := hubs[p.FailureDomain]
		i := slices.IndexFunc(best, func(o Peer) bool { return p.beforeAsHub(&o) })
		if i < 0 {
			i = len(best)
		}
		if i < hubsPerDomain {
			best = slices.Insert(best, i, *p)
			hubs[p.FailureDomain] = best[:min(len(best), hubsPerDomain)]
		}
	}
	self := n.self()
	add(&self)
	for i := range peers {
		add(&peers[i])
	}
	return hubs
}

// beforeAsHub reports whether p is a better hub than o.
func (p *Peer) beforeAsHub(o *Peer) bool {
	if p.Processor != o.Processor {
		return p.Processor > o.Processor
	}
	return p.rank < o.rank
}

// ownHubs returns the hubs of this daemon's failure domain.
func (n *Node) ownHubs(v *view) []Peer { return v.hubs[n.Self.FailureDomain] }

// remoteHubs returns the addresses of the hubs of all other failure domains.
func (n *Node) remoteHubs(v *view) []netip.Addr {
	var addrs []netip.Addr
	for d, hubs := range v.hubs {
		if d != n.Self.FailureDomain {
			addrs = append(addrs, addrsOf(hubs)...)
		}
	}
	return addrs
}

// isHub reports whether this daemon is a hub.
func (n *Node) isHub(v *view) bool {
	return slices.ContainsFunc(n.ownHubs(v), func(p Peer) bool { return p.Host == n.Self.Host })
}

func addrsOf(peers []Peer) []netip.Addr {
	addrs := make([]netip.Addr, len(peers))
	for i, p := range peers {
		addrs[i] = p.Addr
	}
	return addrs
}
