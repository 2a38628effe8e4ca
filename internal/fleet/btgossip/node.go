package btgossip

import (
	"cmp"
	"context"
	"math"
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
	"bramleytack/internal/fleet/bthub"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/route/btpace"
	"bramleytack/internal/route/btrollout"
	"bramleytack/internal/route/btsuspect"
)

const (
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
	// Incarnation is the start of this process in Unix milliseconds. Node raises its
	// copy if the other daemons have seen a higher one.
	Incarnation uint64
	// Processor is the processor share in thousandths of a core, zero if unknown.
	Processor uint32
}

// Node exchanges digests, changes and pulls with the other daemons. Its methods
// are safe for concurrent use.
type Node struct {
	Self        Self
	Table       *btreplica.Table
	Accounts    *btaccount.Table
	StoreStatus *btreplica.StoreStatus
	// Suspects, Grants, Admission, Rollouts and Paces may be nil.
	Suspects  *btsuspect.Table
	Grants    *btgrant.Table
	Admission *btadmission.Controller
	Rollouts  *btrollout.Table
	Paces     *btpace.Table
	Timer     bramleytack.Timer
	Log       *btevent.Logger
	// Ready and Leaving return the state that digests announce to the other daemons.
	Ready   func() bool
	Leaving func() bool
	// Seeds are addresses to contact first. Their daemons may be down.
	Seeds []netip.Addr
	// Dial opens connections for pulls. Nil means net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Memory bounds the replies to pulls. It may be nil.
	Memory *btmemory.Budget
	// DirectFleet is the number of daemons up to which a fleet has no hubs. Zero means
	// the default of 96.
	DirectFleet int
	// Traffic counts the datagrams sent.
	Traffic Traffic

	peers       peerTable
	cachedView  atomic.Pointer[view]
	memberQuery pace
	// hub and client are used in a fleet with hubs.
	hub     bthub.Hub
	client  bthub.Client
	demands btadmission.Relay
	// demandHeard is the Unix time in nanoseconds at which a hub last told the demand of others.
	demandHeard  atomic.Int64
	remoteTables remoteTables
	heartbeat    atomic.Uint64
	// incarnation is Self.Incarnation, or a higher one after outdated.
	incarnation atomic.Uint64
	started     time.Time
	// resumed is the time of the last ResetLiveness.
	resumed atomic.Pointer[time.Time]
	// grantReplies holds a channel for each grant request that waits for its reply, by
	// number. grantNumber is the number of the last request.
	grantReplies sync.Map
	grantNumber  atomic.Uint64
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

// New prepares n for Start and returns it. All exported fields but Dial, Memory,
// Log and Seeds must be set.
func New(n *Node) *Node {
	n.pulls = make(chan pull, len(bramleytack.ReplicatedKinds)+len(bramleytack.OptionalKinds))
	n.digestSignal = make(chan struct{}, 1)
	n.loadSignal = make(chan struct{}, 1)
	n.started = n.Timer.Now()
	n.peers.domain = n.Self.FailureDomain
	n.incarnation.Store(n.Self.Incarnation)
	n.grantNumber.Store(n.Self.Incarnation << grantNumberBits)
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
	go (&hubSender{n: n}).run(ctx)
	go (&demandSender{n: n}).run(ctx)
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

// Alive returns the other daemons that are alive, sorted by host. The caller must not
// change the slice.
func (n *Node) Alive() []Peer { return n.view().alive }

// Count returns the number of daemons alive, this one included.
func (n *Node) Count() int { return len(n.view().alive) + 1 }

// StoreDownCount returns the number of live daemons that the store does not answer.
// It counts this daemon in any case, because only a daemon without the store asks.
func (n *Node) StoreDownCount() int { return n.view().storeDown + 1 }

// HasStoreReader reports whether any live daemon, this one included, reads the
// registrations of upstreams from the store and gets answers.
func (n *Node) HasStoreReader() bool {
	return n.StoreStatus.ReadsUpstreams(n.Timer.Now()) || n.view().storeRead
}

// PeerReadsStore reports whether another live daemon reads the registrations of upstreams
// from the store and gets answers.
func (n *Node) PeerReadsStore() bool { return n.view().storeRead }

// Announce sends a digest to all live daemons, for changes that cannot wait until
// periodic digests reach all of them. In a fleet with hubs it goes to this failure
// domain and the hubs of the others.
func (n *Node) Announce() {
	v := n.view()
	data := n.nextDigest(v)
	if v.large() {
		n.writeAll(CauseDigest, data, n.remoteHubs(v))
		n.writeAll(CauseDigest, data, addrsOf(v.near))
		return
	}
	n.writeAll(CauseDigest, data, addrsOf(v.usable))
}

// recentlyStarted reports whether this daemon started less than aliveTimeout ago. It
// has seen few heartbeats rise by then, so every known peer is usable.
func (n *Node) recentlyStarted(now time.Time) bool { return now.Sub(n.started) < aliveTimeout }

// ResetLiveness makes all other daemons count as dead until their next heartbeat.
// It is for use after this process was suspended.
func (n *Node) ResetLiveness() {
	now := n.Timer.Now()
	n.resumed.Store(&now)
	n.peers.resetLiveness(now)
	n.client.Reset()
}

// recentlyResumed reports whether this process was suspended until less than aliveTimeout
// ago.
func (n *Node) recentlyResumed(now time.Time) bool {
	resumed := n.resumed.Load()
	return resumed != nil && now.Sub(*resumed) < aliveTimeout
}

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

// ReadsArchive reports whether this daemon should read what daemons keep in the store
// for a restart of all.
func (n *Node) ReadsArchive() bool { return n.ranksWithin(followersPerKind) }

// WritesArchive reports whether this daemon should write it. Daemons that know of
// different ones may both write.
func (n *Node) WritesArchive() bool { return !n.Leaving() && !n.StoreStatus.Down() && n.ranksWithin(1) }

// Join sends a digest to the first daemons registered in the store, and keeps all of
// them as addresses for later digests. When all daemons start at once, seeds may
// start last, while all daemons find the same registered ones. Join keeps the slice
// and reorders it.
func (n *Node) Join(registered []RegisteredDaemon) {
	slices.SortFunc(registered, func(a, b RegisteredDaemon) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
	n.registered.Store(&registered)
	data := n.nextDigest(n.view())
	for _, d := range registered[:min(len(registered), fanout)] {
		if d.Host != n.Self.Host {
			n.write(CauseDigest, data, d.Addr)
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
	if n.Timer.Now().Sub(n.started) < settleTime(rank(n.Self.Host)) && !n.isDefaultFollower() {
		return false
	}
	return n.view().lowerRanks < limit
}

// settleTime returns how long after its start a daemon of a rank waits before it may
// follow the store.
func settleTime(rank uint64) time.Duration {
	return minSettleTime + time.Duration(float64(rank)/math.MaxUint64*float64(settleSpread))
}

// rank returns the hash of a host's name. It gives the daemons the same order at every
// daemon.
func rank(h bramleytack.HostID) uint64 { return xxhash.Sum64String(string(h)) }

func (n *Node) encode(p *Packet) []byte {
	p.Host, p.Incarnation, p.Sequence = string(n.Self.Host), n.incarnation.Load(), n.sequence.Add(1)
	data, err := proto.Marshal(p)
	if err != nil {
		n.Log.Event(btevent.PeerPacketDropped).Err(err).Send()
	}
	return data
}

func (n *Node) write(c Cause, data []byte, a netip.Addr) {
	n.Traffic.add(c, len(data), n.peers.failureDomain(a) != n.Self.FailureDomain)
	// A datagram may be lost: the next digest or report makes up for it.
	_, _ = n.conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, n.Self.Port)))
}

// outdated raises this daemon's incarnation above one that others have seen of it. The
// clock of an earlier process of this daemon may have been ahead; the others would
// ignore this one.
func (n *Node) outdated(seen uint64) {
	if own := n.incarnation.Load(); seen > own && n.incarnation.CompareAndSwap(own, seen+1) {
		n.TriggerDigest()
	}
}

// self returns this daemon's own state.
func (n *Node) self() Peer {
	return Peer{
		Host: n.Self.Host, Addr: n.Self.Addr, FailureDomain: n.Self.FailureDomain, Incarnation: n.incarnation.Load(), Processor: n.Self.Processor,
		Heartbeat: n.heartbeat.Load(), Ready: n.Ready(), Leaving: n.Leaving(), StoreDown: n.StoreStatus.Unanswered(),
		StoreRead: n.StoreStatus.ReadsUpstreams(n.Timer.Now()), rank: rank(n.Self.Host),
	}
}
