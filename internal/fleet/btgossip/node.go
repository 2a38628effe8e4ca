package btgossip

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
)

const (
	// digestPeriod is the time between two digests. Loads lose their value once they
	// are older than the time that an engine needs to process a prompt.
	digestPeriod = 200 * time.Millisecond
	// fanout is the number of daemons that get each digest.
	fanout = 7
	// crossDomainFanout is how many of these are in other failure domains, unless
	// the sender's own domain has too few daemons. Traffic between domains costs
	// more, and the daemons of a domain forward what they receive to each other.
	crossDomainFanout = 2
	// maxPacketSize is the size in bytes up to which changes are pushed. Such a
	// datagram fits into one Ethernet frame.
	maxPacketSize = 1400
	// maxDigestMembers bounds the daemons listed in a digest, the sender included.
	maxDigestMembers = 16
	// followersPerKind is the number of daemons that follow a kind in the store on
	// behalf of all. upstreamFollowers is the number for the registrations of
	// upstreams, the kind that changes most.
	followersPerKind  = 3
	upstreamFollowers = 2
	// maxRegistered is the number of daemons that register their addresses in the
	// store, for daemons whose seeds are all down.
	maxRegistered = 5
	// minSettleTime is how long a daemon waits after its start for digests of others
	// before it decides whether to follow the store. Seeds answer within this time.
	// The wait grows with the daemon's rank by up to settleSpread: when all daemons
	// start at once, those of low rank read the store for the others. The first
	// followersPerKind of the registered daemons do not wait.
	minSettleTime = 100 * time.Millisecond
	settleSpread  = 900 * time.Millisecond
	// silentRounds is the number of rounds between two digests to addresses from which
	// no live daemon is known.
	silentRounds = 5
	// receiveBufferSize in bytes holds the largest datagram.
	receiveBufferSize = 64 << 10
)

// Self identifies this daemon to the others.
type Self struct {
	Host          bramleytack.HostID
	Addr          netip.Addr
	FailureDomain bramleytack.FailureDomainID
	// Port is the port for datagrams and pulls, the same for all daemons.
	Port uint16
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
}

// Node exchanges digests, changes and pulls with the other daemons. Its methods
// are safe for concurrent use.
type Node struct {
	Self        Self
	Table       *btreplica.Table
	Accounts    *btaccount.Table
	StoreStatus *btreplica.StoreStatus
	Timer       bramleytack.Timer
	Log         *btevent.Logger
	// Ready and Leaving return the state that digests announce to the other daemons.
	Ready   func() bool
	Leaving func() bool
	// Seeds are addresses to contact first. Their daemons may be down.
	Seeds []netip.Addr
	// Dial opens connections for pulls. Nil means net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	peers     peerTable
	heartbeat atomic.Uint64
	started   time.Time
	// registered holds the daemons registered in the store, sorted by rank.
	registered atomic.Pointer[[]RegisteredDaemon]
	conn       net.PacketConn
	// pulling holds the kinds with a pull that is queued or running.
	pulling sync.Map
	pulls   chan pull
	// digestSignal and loadSignal ask for a digest or a load report before it is due.
	digestSignal chan struct{}
	loadSignal   chan struct{}
	// round counts the calls of sendDigest.
	round int
	// sequence is the number of the last packet sent.
	sequence atomic.Uint64
}

// RegisteredDaemon is a daemon that has its address in the store.
type RegisteredDaemon struct {
	Host bramleytack.HostID
	Addr netip.Addr
}

// New prepares n for Start and returns it. All exported fields but Dial, Log and
// Seeds must be set.
func New(n *Node) *Node {
	n.pulls = make(chan pull, len(bramleytack.ReplicatedKinds))
	n.digestSignal = make(chan struct{}, 1)
	n.loadSignal = make(chan struct{}, 1)
	n.started = n.Timer.Now()
	return n
}

// Start runs the exchange in the background until the context ends, and then closes
// conn and l. The other methods may be called from then on.
func (n *Node) Start(ctx context.Context, conn net.PacketConn, l net.Listener) {
	n.conn = conn
	n.Table.OnApply(n.pushBatch)
	context.AfterFunc(ctx, func() { conn.Close(); l.Close() })
	go (&receiver{n: n, newest: map[bramleytack.HostID]packetNumber{}}).run(ctx)
	go (&puller{n}).run(ctx)
	go (&server{n: n}).run(ctx, l)
	go (&loadSender{n}).run(ctx)
	go n.loop(ctx)
}

// loop sends digests, one each period and more on TriggerDigest.
func (n *Node) loop(ctx context.Context) {
	tick := n.Timer.Every(digestPeriod, digestPeriod/10)
	defer tick.Stop()
	for {
		n.sendDigest()
		select {
		case <-tick.C():
		case <-n.digestSignal:
		case <-ctx.Done():
			return
		}
	}
}

// TriggerDigest makes the next digest due now. It never blocks.
func (n *Node) TriggerDigest() {
	select {
	case n.digestSignal <- struct{}{}:
	default:
	}
}

// Alive returns the other daemons that are alive, sorted by host.
func (n *Node) Alive() []Peer {
	now := n.Timer.Now()
	var alive []Peer
	for _, p := range n.peers.list(now) {
		if p.alive(now) {
			alive = append(alive, p)
		}
	}
	return alive
}

// Count returns the number of daemons alive, this one included.
func (n *Node) Count() int { return n.peers.countAlive(n.Timer.Now()) + 1 }

// StoreDownCount returns the number of live daemons that the store does not answer.
// It counts this daemon in any case, because only a daemon without the store asks.
func (n *Node) StoreDownCount() int {
	count := 1
	for _, p := range n.Alive() {
		if p.StoreDown {
			count++
		}
	}
	return count
}

// HasStoreReader reports whether any live daemon, this one included, reads the
// registrations of upstreams from the store and gets answers.
func (n *Node) HasStoreReader() bool {
	if n.StoreStatus.ReadsUpstreams(n.Timer.Now()) {
		return true
	}
	return slices.ContainsFunc(n.Alive(), func(p Peer) bool { return p.StoreRead })
}

// Announce sends a digest to all live daemons, for changes that cannot wait until
// periodic digests reach all of them.
func (n *Node) Announce() {
	now := n.Timer.Now()
	peers := n.peers.list(now)
	data := n.nextDigest(peers)
	for _, p := range peers {
		if p.alive(now) || n.recentlyStarted(now) {
			n.write(data, p.Addr)
		}
	}
}

// recentlyStarted reports whether this daemon started less than aliveTimeout ago. It
// has seen few heartbeats rise by then, so Announce, targets and ranksWithin treat
// every known peer as alive.
func (n *Node) recentlyStarted(now time.Time) bool { return now.Sub(n.started) < aliveTimeout }

// ResetLiveness makes all other daemons count as dead until their next heartbeat.
// It is for use after this process was suspended.
func (n *Node) ResetLiveness() { n.peers.resetLiveness(n.Timer.Now()) }

// Follows reports whether this daemon should follow a kind in the store. The live
// daemons of lowest rank do so for all others; daemons that are leaving or cannot
// reach the store are passed over.
func (n *Node) Follows(kind string) bool {
	if kind == bramleytack.KindUpstreams {
		return n.ranksWithin(upstreamFollowers)
	}
	return n.ranksWithin(followersPerKind)
}

// ShouldRegister reports whether this daemon should register its address in the
// store.
func (n *Node) ShouldRegister() bool { return n.ranksWithin(maxRegistered) }

// Join sends a digest to the first daemons registered in the store, and keeps all of
// them as addresses for later digests. When all daemons start at once, seeds may
// start last, while all daemons find the same registered ones. Join keeps the slice
// and reorders it.
func (n *Node) Join(registered []RegisteredDaemon) {
	slices.SortFunc(registered, func(a, b RegisteredDaemon) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
	n.registered.Store(&registered)
	data := n.nextDigest(n.peers.list(n.Timer.Now()))
	for _, d := range registered[:min(len(registered), fanout)] {
		if d.Host != n.Self.Host {
			n.write(data, d.Addr)
		}
	}
}

func (n *Node) registeredDaemons() []RegisteredDaemon {
	if all := n.registered.Load(); all != nil {
		return *all
	}
	return nil
}

// isDefaultFollower reports whether this daemon is among the first registered ones,
// which follow the store right after a start.
func (n *Node) isDefaultFollower() bool {
	registered := n.registeredDaemons()
	return slices.ContainsFunc(registered[:min(len(registered), followersPerKind)], func(d RegisteredDaemon) bool { return d.Host == n.Self.Host })
}

// ranksWithin reports whether fewer than limit live daemons that reach the store and
// are not leaving have a lower rank than this one. Until its settle time has passed,
// it is false unless this daemon is a default follower.
func (n *Node) ranksWithin(limit int) bool {
	ownRank := rank(n.Self.Host)
	now := n.Timer.Now()
	if now.Sub(n.started) < settleTime(ownRank) && !n.isDefaultFollower() {
		return false
	}
	lower := 0
	for _, p := range n.peers.list(now) {
		if !p.alive(now) && !n.recentlyStarted(now) {
			continue
		}
		if !p.StoreDown && !p.Leaving && rank(p.Host) < ownRank {
			lower++
		}
	}
	return lower < limit
}

// settleTime returns how long after its start a daemon of a rank waits before it may
// follow the store.
func settleTime(rank uint64) time.Duration {
	return minSettleTime + time.Duration(float64(rank)/math.MaxUint64*float64(settleSpread))
}

// rank returns the hash of a host's name. It gives the daemons the same order at every
// daemon.
func rank(h bramleytack.HostID) uint64 { return xxhash.Sum64String(string(h)) }

// sendDigest sends a digest to this round's targets.
func (n *Node) sendDigest() {
	n.round++
	peers := n.peers.list(n.Timer.Now())
	data := n.nextDigest(peers)
	for _, a := range n.targets(peers) {
		n.write(data, a)
	}
}

// nextDigest returns an encoded digest after it has raised the heartbeat.
func (n *Node) nextDigest(peers []Peer) []byte {
	n.heartbeat.Add(1)
	return n.encode(&Packet{Digest: n.digest(slices.Clone(peers))})
}

func (n *Node) encode(p *Packet) []byte {
	p.Host, p.Incarnation, p.Sequence = string(n.Self.Host), n.Self.Incarnation, n.sequence.Add(1)
	data, err := proto.Marshal(p)
	if err != nil {
		n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
	}
	return data
}

func (n *Node) write(data []byte, a netip.Addr) {
	// A datagram may be lost: the next digest makes up for it.
	_, _ = n.conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, n.Self.Port)))
}

// broadcast sends a datagram to all live daemons.
func (n *Node) broadcast(data []byte) {
	for _, p := range n.Alive() {
		n.write(data, p.Addr)
	}
}

// targets returns the addresses that get the digest of this round: a few live
// daemons and, every silentRounds rounds or if there are none, a few addresses from
// which no live daemon is known.
func (n *Node) targets(peers []Peer) []netip.Addr {
	now := n.Timer.Now()
	var sameDomain, otherDomains, silent []netip.Addr
	seen := map[netip.Addr]bool{n.Self.Addr: true}
	for _, p := range peers {
		seen[p.Addr] = true
		switch {
		case !p.alive(now) && !n.recentlyStarted(now):
			silent = append(silent, p.Addr)
		case p.FailureDomain == n.Self.FailureDomain:
			sameDomain = append(sameDomain, p.Addr)
		default:
			otherDomains = append(otherDomains, p.Addr)
		}
	}
	for _, a := range n.Seeds {
		if !seen[a] {
			seen[a] = true
			silent = append(silent, a)
		}
	}
	for _, d := range n.registeredDaemons() {
		if !seen[d.Addr] {
			seen[d.Addr] = true
			silent = append(silent, d.Addr)
		}
	}
	rand.Shuffle(len(sameDomain), func(i, j int) { sameDomain[i], sameDomain[j] = sameDomain[j], sameDomain[i] })
	rand.Shuffle(len(otherDomains), func(i, j int) { otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i] })
	crossing := min(len(otherDomains), max(crossDomainFanout, fanout-len(sameDomain)))
	chosen := append(otherDomains[:crossing], sameDomain[:min(len(sameDomain), fanout-crossing)]...)
	if len(chosen) == 0 || n.round%silentRounds == 0 {
		rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
		chosen = append(chosen, silent[:min(len(silent), fanout)]...)
	}
	return chosen
}

func (n *Node) selfMember() *Member {
	p := Peer{
		Host: n.Self.Host, Addr: n.Self.Addr, FailureDomain: n.Self.FailureDomain, Incarnation: n.Self.Incarnation,
		Heartbeat: n.heartbeat.Load(), Ready: n.Ready(), Leaving: n.Leaving(), StoreDown: n.StoreStatus.Down(),
		StoreRead: n.StoreStatus.ReadsUpstreams(n.Timer.Now()),
	}
	return p.encode()
}

// digest returns this daemon's digest. It reorders peers.
func (n *Node) digest(peers []Peer) *Digest {
	d := &Digest{Members: []*Member{n.selfMember()}}
	now := n.Timer.Now()
	// The daemons of lowest rank, which follow the store, are always listed first.
	// The others are shuffled, so that each is listed at times.
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
	rest := peers[min(followersPerKind, len(peers)):]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, p := range peers {
		if len(d.Members) >= maxDigestMembers {
			break
		}
		if !p.alive(now) {
			continue
		}
		d.Members = append(d.Members, p.encode())
	}
	for _, kind := range bramleytack.ReplicatedKinds {
		d.Kinds = append(d.Kinds, &KindRevision{Kind: kind, Content: uint64(n.Table.LastChange(kind))})
	}
	d.Loads = n.ownLoads()
	return d
}

func (n *Node) ownLoads() []*UpstreamLoad {
	var loads []*UpstreamLoad
	for id, l := range n.Accounts.OwnLoads() {
		loads = append(loads, &UpstreamLoad{
			Upstream: string(id), Running: nonNegative(l.Running), UnreadTokens: nonNegative(l.Unread),
			MemoryTokens: nonNegative(l.Memory), CopyTokens: nonNegative(l.Copies), Ejected: l.Ejections > 0,
		})
	}
	return loads
}

func nonNegative(n int) uint32 { return uint32(max(n, 0)) }
