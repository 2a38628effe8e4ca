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
	// period is the time between two digests. Loads are worth little once they
	// are older than a prompt takes to read.
	period = 200 * time.Millisecond
	// fanout is the number of daemons that get each digest.
	fanout = 7
	// farFanout is the number of these in other failure domains if there are many
	// daemons. Bytes between domains cost more, and daemons of one domain tell
	// each other.
	farFanout = 2
	// maxPacket keeps datagrams within one frame.
	maxPacket = 1400
	// membersPerDigest bounds the members in a digest.
	membersPerDigest = 16
	// watchers is the number of daemons that follow a kind in the store for all,
	// busyWatchers the one for the kind that changes most.
	watchers     = 3
	busyWatchers = 2
	// maxBeacons is the number of daemons whose addresses lie in the store, for
	// daemons that find all of their seeds down.
	maxBeacons = 5
	// settle is the time after the start in which a daemon listens for others
	// before it decides whether to follow the store. Seeds answer within it. The
	// last of the daemons in the order of their ranks waits for settleSpan more:
	// when all start at once, the first ones read the store for them. Daemons that
	// find their own address in the store do not wait.
	settle     = 100 * time.Millisecond
	settleSpan = 900 * time.Millisecond
	// seedEvery is the number of periods between digests to silent addresses.
	seedEvery = 5
	// receiveBuffer holds the largest datagram.
	receiveBuffer = 64 << 10
)

// Self is what a daemon tells of itself.
type Self struct {
	Host          bramleytack.HostID
	Addr          netip.Addr
	FailureDomain bramleytack.FailureDomainID
	// Port is the peer port, the same at all daemons.
	Port uint16
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
}

// Node is one daemon's part in the exchange.
type Node struct {
	Self        Self
	Table       *btreplica.Table
	Accounts    *btaccount.Table
	StoreStatus *btreplica.StoreStatus
	Timer       bramleytack.Timer
	Log         *btevent.Logger
	// Ready and Leaving are told to the other daemons.
	Ready   func() bool
	Leaving func() bool
	// Seeds are addresses of daemons that may be down.
	Seeds []netip.Addr
	// Dial opens connections to daemons. Nil dials TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	members members
	beat    atomic.Uint64
	started time.Time
	// known are the daemons whose addresses lie in the store.
	known atomic.Pointer[[]RegisteredDaemon]
	conn  net.PacketConn
	// pulling holds the kinds that are being pulled.
	pulling sync.Map
	pulls   chan pull
	nudge   chan struct{}
	loads   chan struct{}
	round   int
	// sequence numbers the packets.
	sequence atomic.Uint64
}

// RegisteredDaemon is a daemon whose address lies in the store.
type RegisteredDaemon struct {
	Host bramleytack.HostID
	Addr netip.Addr
}

// New returns the part of a daemon that n describes.
func New(n *Node) *Node {
	n.pulls = make(chan pull, len(bramleytack.ReplicatedKinds))
	n.nudge = make(chan struct{}, 1)
	n.loads = make(chan struct{}, 1)
	n.started = n.Timer.Now()
	return n
}

// Start exchanges digests until the context ends. The other methods may be called
// from then on.
func (n *Node) Start(ctx context.Context, conn net.PacketConn, l net.Listener) {
	n.conn = conn
	n.Table.Listen(n.push)
	context.AfterFunc(ctx, func() { conn.Close(); l.Close() })
	go (&receiver{n: n, last: map[bramleytack.HostID]position{}}).run(ctx)
	go (&puller{n}).run(ctx)
	go (&server{n: n}).run(ctx, l)
	go (&loadSender{n}).run(ctx)
	go n.loop(ctx)
}

// loop sends a digest each period.
func (n *Node) loop(ctx context.Context) {
	tick := n.Timer.Every(period, period/10)
	defer tick.Stop()
	for {
		n.send()
		select {
		case <-tick.C():
		case <-n.nudge:
		case <-ctx.Done():
			return
		}
	}
}

// TriggerDigest sends a digest now.
func (n *Node) TriggerDigest() {
	select {
	case n.nudge <- struct{}{}:
	default:
	}
}

// Alive returns the other daemons that are alive.
func (n *Node) Alive() []Peer {
	now := n.Timer.Now()
	var alive []Peer
	for _, p := range n.members.list(now) {
		if p.alive(now) {
			alive = append(alive, p)
		}
	}
	return alive
}

// Count returns the number of daemons alive, this one included.
func (n *Node) Count() int { return n.members.alive(n.Timer.Now()) + 1 }

// StoreDownCount returns the number of daemons alive that the store does not answer, this
// one counted in.
func (n *Node) StoreDownCount() int {
	cut := 1
	for _, p := range n.Alive() {
		if p.StoreDown {
			cut++
		}
	}
	return cut
}

// HasStoreReader says whether some daemon alive reads what upstreams register.
func (n *Node) HasStoreReader() bool {
	if n.StoreStatus.ReadsUpstreams(n.Timer.Now()) {
		return true
	}
	return slices.ContainsFunc(n.Alive(), func(p Peer) bool { return p.StoreRead })
}

// Announce tells all daemons alive what this one knows. It is for news that
// cannot wait for the digests to come around.
func (n *Node) Announce() {
	now := n.Timer.Now()
	peers := n.members.list(now)
	data := n.news(peers)
	for _, p := range peers {
		if p.alive(now) || n.young(now) {
			n.write(data, p.Addr)
		}
	}
}

// young says whether this daemon has only rumors of most others, all of them
// recent.
func (n *Node) young(now time.Time) bool { return now.Sub(n.started) < aliveFor }

// ResetLiveness forgets what is believed of other daemons, after a suspension.
func (n *Node) ResetLiveness() { n.members.distrust(n.Timer.Now()) }

// Follows says whether this daemon should follow a kind in the store. A few
// daemons do it for all; those that cannot reach the store do not count.
func (n *Node) Follows(kind string) bool {
	if kind == bramleytack.KindUpstreams {
		return n.leads(busyWatchers)
	}
	return n.leads(watchers)
}

// ShouldRegister says whether this daemon's address should lie in the store.
func (n *Node) ShouldRegister() bool { return n.leads(maxBeacons) }

// Join takes the daemons whose addresses lie in the store and tells them of this
// one. When all daemons start at once, seeds may be the last, and these are known
// to all.
func (n *Node) Join(all []RegisteredDaemon) {
	slices.SortFunc(all, func(a, b RegisteredDaemon) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
	n.known.Store(&all)
	data := n.news(n.members.list(n.Timer.Now()))
	for _, b := range all[:min(len(all), fanout)] {
		if b.Host != n.Self.Host {
			n.write(data, b.Addr)
		}
	}
}

func (n *Node) beacons() []RegisteredDaemon {
	if all := n.known.Load(); all != nil {
		return *all
	}
	return nil
}

// designated says whether this daemon is one of those that the others look to
// after a start.
func (n *Node) designated() bool {
	all := n.beacons()
	return slices.ContainsFunc(all[:min(len(all), watchers)], func(b RegisteredDaemon) bool { return b.Host == n.Self.Host })
}

// leads says whether this daemon is among the first few of those alive.
func (n *Node) leads(few int) bool {
	mine := rank(n.Self.Host)
	now := n.Timer.Now()
	if now.Sub(n.started) < settleTime(mine) && !n.designated() {
		return false
	}
	better := 0
	for _, p := range n.members.list(now) {
		if !p.alive(now) && !n.young(now) {
			continue
		}
		if !p.StoreDown && !p.Leaving && rank(p.Host) < mine {
			better++
		}
	}
	return better < few
}

// settleTime returns how long a daemon of a rank waits before it follows the
// store.
func settleTime(rank uint64) time.Duration {
	return settle + time.Duration(float64(rank)/math.MaxUint64*float64(settleSpan))
}

func rank(h bramleytack.HostID) uint64 { return xxhash.Sum64String(string(h)) }

// send tells a few daemons what this one knows.
func (n *Node) send() {
	n.round++
	peers := n.members.list(n.Timer.Now())
	data := n.news(peers)
	for _, a := range n.targets(peers) {
		n.write(data, a)
	}
}

// news returns a digest with a new beat.
func (n *Node) news(peers []Peer) []byte {
	n.beat.Add(1)
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
	// A lost datagram is made good by the next digest.
	_, _ = n.conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, n.Self.Port)))
}

// broadcast sends to all daemons alive.
func (n *Node) broadcast(data []byte) {
	for _, p := range n.Alive() {
		n.write(data, p.Addr)
	}
}

// targets returns the addresses that get the digest: a few daemons that are
// alive, and at times those that are not.
func (n *Node) targets(peers []Peer) []netip.Addr {
	now := n.Timer.Now()
	var near, far, silent []netip.Addr
	seen := map[netip.Addr]bool{n.Self.Addr: true}
	for _, p := range peers {
		seen[p.Addr] = true
		switch {
		case !p.alive(now) && !n.young(now):
			silent = append(silent, p.Addr)
		case p.FailureDomain == n.Self.FailureDomain:
			near = append(near, p.Addr)
		default:
			far = append(far, p.Addr)
		}
	}
	for _, a := range n.Seeds {
		if !seen[a] {
			seen[a] = true
			silent = append(silent, a)
		}
	}
	for _, b := range n.beacons() {
		if !seen[b.Addr] {
			seen[b.Addr] = true
			silent = append(silent, b.Addr)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	first := min(len(far), max(farFanout, fanout-len(near)))
	alive := append(far[:first], near[:min(len(near), fanout-first)]...)
	if len(alive) == 0 || n.round%seedEvery == 0 {
		rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
		alive = append(alive, silent[:min(len(silent), fanout)]...)
	}
	return alive
}

func (n *Node) self() *Member {
	p := Peer{
		Host: n.Self.Host, Addr: n.Self.Addr, FailureDomain: n.Self.FailureDomain, Incarnation: n.Self.Incarnation,
		Beat: n.beat.Load(), Ready: n.Ready(), Leaving: n.Leaving(), StoreDown: n.StoreStatus.Down(),
		StoreRead: n.StoreStatus.ReadsUpstreams(n.Timer.Now()),
	}
	return p.encode()
}

func (n *Node) digest(peers []Peer) *Digest {
	d := &Digest{Members: []*Member{n.self()}}
	now := n.Timer.Now()
	// The followers of the store come first, the others as chance has it.
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(rank(a.Host), rank(b.Host)) })
	rest := peers[min(watchers, len(peers)):]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, p := range peers {
		if len(d.Members) >= membersPerDigest {
			break
		}
		if !p.alive(now) {
			continue
		}
		d.Members = append(d.Members, p.encode())
	}
	for _, kind := range bramleytack.ReplicatedKinds {
		d.Kinds = append(d.Kinds, &KindRevision{Kind: kind, Content: uint64(n.Table.Content(kind))})
	}
	d.Loads = n.ownLoads()
	return d
}

func (n *Node) ownLoads() []*UpstreamLoad {
	var loads []*UpstreamLoad
	for id, l := range n.Accounts.OwnLoads() {
		loads = append(loads, &UpstreamLoad{
			Upstream: string(id), Running: count(l.Running), UnreadTokens: count(l.Unread),
			MemoryTokens: count(l.Memory), CopyTokens: count(l.Copies), Ejected: l.Ejections > 0,
		})
	}
	return loads
}

func count(n int) uint32 { return uint32(max(n, 0)) }
