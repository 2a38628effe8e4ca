package btgossip

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bramleytack"
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
	// largeFanout replaces fanout in a fleet with hubs, in which digests carry heartbeats
	// but neither loads nor, as a rule, changes.
	largeFanout = 4
	// crossDomainSenders is the mean number of daemons of a failure domain that send
	// digests to other domains in one round, in a fleet with hubs.
	crossDomainSenders = 8
	// maxDigestMembers is the number of daemons, the sender included, up to which a
	// digest holds the member entries of all. In a larger fleet it holds those of the
	// daemons that follow the store, and heartbeats of the others.
	maxDigestMembers = 16
	// maxHeartbeats and minRemoteHeartbeats bound the daemons in the heartbeats of a
	// digest, and those of other failure domains if there are more than fit. A digest
	// then stays within maxPacketSize.
	maxHeartbeats       = 100
	minRemoteHeartbeats = 30
	// memberQueryInterval is the least time between two queries for member entries, and
	// maxQueriedMembers bounds the entries of one reply.
	memberQueryInterval = 50 * time.Millisecond
	maxQueriedMembers   = 16
	// silentRounds is the number of rounds between two digests to addresses from which
	// no live daemon is known.
	silentRounds = 5
)

// sendDigest sends a digest to this round's targets.
func (n *Node) sendDigest() {
	n.round++
	v := n.view()
	data := n.nextDigest(v)
	targets := n.targets(v)
	n.writeAll(CauseDigest, data, targets)
	if n.round%suspicionRounds == 0 {
		n.sendSuspicions(targets)
		n.sendWords(targets)
		n.sendLost(targets)
	}
	if n.round%paceRounds == 0 {
		n.sendPaces(targets)
	}
}

// nextDigest returns an encoded digest after it has raised the heartbeat.
func (n *Node) nextDigest(v *view) []byte {
	n.heartbeat.Add(1)
	return n.encode(&Packet{Digest: n.digest(v)})
}

// digest returns this daemon's digest.
func (n *Node) digest(v *view) *Digest {
	self := n.self()
	d := &Digest{Members: []*Member{self.encode()}}
	followers, rest := splitFollowers(v.alive)
	for _, p := range followers {
		d.Members = append(d.Members, p.encode())
	}
	if len(d.Members)+len(rest) <= maxDigestMembers {
		for _, p := range rest {
			d.Members = append(d.Members, p.encode())
		}
	} else {
		d.Heartbeats = encodeHeartbeats(n.sampleHeartbeats(rest))
	}
	for _, kind := range bramleytack.ReplicatedKinds {
		d.Kinds = append(d.Kinds, &KindRevision{Kind: kind, Content: uint64(n.Table.LastChange(kind)), Version: n.configVersion(kind)})
	}
	for _, kind := range bramleytack.OptionalKinds {
		if content := n.Table.LastChange(kind); content > 0 {
			d.Kinds = append(d.Kinds, &KindRevision{Kind: kind, Content: uint64(content)})
		}
	}
	if !v.large() {
		d.Loads = encodeLoads(n.Accounts.OwnLoads())
	}
	return d
}

// configVersion returns the operator's version if kind is that of the configuration, otherwise 0.
func (n *Node) configVersion(kind string) uint64 {
	if kind != bramleytack.KindConfig {
		return 0
	}
	return n.Table.ConfigVersion()
}

// splitFollowers returns the daemons of the lowest ranks, which follow the store, and
// the others. Every digest lists the former.
func splitFollowers(peers []Peer) (followers, rest []*Peer) {
	for i := range peers {
		p := &peers[i]
		at := slices.IndexFunc(followers, func(f *Peer) bool { return p.rank < f.rank })
		if at < 0 {
			at = len(followers)
		}
		followers = slices.Insert(followers, at, p)
		if len(followers) > followersPerKind {
			rest = append(rest, followers[followersPerKind])
			followers = followers[:followersPerKind]
		}
	}
	return followers, rest
}

// sampleHeartbeats returns at most maxHeartbeats of the peers, chosen at random. Those
// of this failure domain come first, but leave minRemoteHeartbeats to the others. It
// reorders peers.
func (n *Node) sampleHeartbeats(peers []*Peer) []*Peer {
	if len(peers) <= maxHeartbeats {
		return peers
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var near, remote []*Peer
	for _, p := range peers {
		if p.FailureDomain == n.Self.FailureDomain {
			near = append(near, p)
		} else {
			remote = append(remote, p)
		}
	}
	near = near[:min(len(near), maxHeartbeats-min(len(remote), minRemoteHeartbeats))]
	return append(near, remote[:min(len(remote), maxHeartbeats-len(near))]...)
}

func encodeHeartbeats(peers []*Peer) *Heartbeats {
	h := &Heartbeats{
		Addresses: make([]uint32, len(peers)), Starts: make([]uint32, len(peers)), Beats: make([]uint64, len(peers)), Flags: make([]byte, len(peers)),
	}
	for i, p := range peers {
		h.Addresses[i], h.Starts[i], h.Beats[i], h.Flags[i] = encodeAddr(p.Addr), uint32(p.Incarnation), p.Heartbeat, p.flags()
	}
	return h
}

func encodeAddr(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func decodeAddr(v uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], v)
	return netip.AddrFrom4(b)
}

// mergeHeartbeats updates the known daemons and returns the addresses of those whose
// member entries are missing.
func (n *Node) mergeHeartbeats(h *Heartbeats, now time.Time) (missing []uint32) {
	if h == nil || len(h.Starts) != len(h.Addresses) || len(h.Beats) != len(h.Addresses) || len(h.Flags) != len(h.Addresses) {
		return nil
	}
	for i, a := range h.Addresses {
		addr := decodeAddr(a)
		if addr != n.Self.Addr && n.peers.mergeHeartbeat(addr, h.Starts[i], h.Beats[i], h.Flags[i], now) {
			missing = append(missing, a)
		}
	}
	return missing
}

// queryMembers asks a daemon for missing member entries, unless it has asked one a
// moment ago. What is still missing then is asked of the sender of a later digest.
func (n *Node) queryMembers(from netip.Addr, missing []uint32, now time.Time) {
	if len(missing) == 0 || !n.memberQuery.allow(now) {
		return
	}
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	missing = missing[:min(len(missing), maxQueriedMembers)]
	n.write(CauseMember, n.encode(&Packet{Unknown: missing}), from)
}

// answerMembers sends the queried member entries of daemons that are alive.
func (n *Node) answerMembers(to netip.Addr, unknown []uint32, now time.Time) {
	addrs := make([]netip.Addr, 0, maxQueriedMembers)
	for _, a := range unknown[:min(len(unknown), maxQueriedMembers)] {
		addrs = append(addrs, decodeAddr(a))
	}
	if members := n.peers.members(addrs, now); len(members) > 0 {
		n.write(CauseMember, n.encode(&Packet{Digest: &Digest{Members: members}}), to)
	}
}

// pace allows one event each memberQueryInterval. The zero value is ready to use.
type pace struct {
	mu   sync.Mutex
	last time.Time
}

func (p *pace) allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) < memberQueryInterval {
		return false
	}
	p.last = now
	return true
}

// targets returns the addresses that get the digest of this round: a few usable
// daemons and, every silentRounds rounds or if there are none, a few addresses from
// which no live daemon is known.
func (n *Node) targets(v *view) []netip.Addr {
	var near, remote, silent []netip.Addr
	seen := map[netip.Addr]bool{n.Self.Addr: true}
	for _, p := range v.usable {
		seen[p.Addr] = true
		if p.FailureDomain == n.Self.FailureDomain {
			near = append(near, p.Addr)
		} else {
			remote = append(remote, p.Addr)
		}
	}
	for _, p := range v.silent {
		seen[p.Addr] = true
		silent = append(silent, p.Addr)
	}
	for _, a := range n.otherAddrs() {
		if !seen[a] {
			seen[a] = true
			silent = append(silent, a)
		}
	}
	count := fanout
	if v.large() {
		count = largeFanout
	}
	crossing := min(len(remote), max(crossDomainFanout, count-len(near)))
	if v.large() && len(near) >= count && rand.IntN(len(near)+1) >= crossDomainSenders {
		crossing = 0
	}
	chosen := append(sample(remote, crossing), sample(near, count-crossing)...)
	if len(chosen) == 0 || n.round%silentRounds == 0 {
		chosen = append(chosen, sample(silent, count)...)
	}
	return chosen
}

// otherAddrs returns the seeds and the addresses of the registered daemons.
func (n *Node) otherAddrs() []netip.Addr {
	addrs := append([]netip.Addr(nil), n.Seeds...)
	for _, d := range n.registeredDaemons() {
		addrs = append(addrs, d.Addr)
	}
	return addrs
}

// sample returns up to count elements of list, chosen at random. It reorders list.
func sample(list []netip.Addr, count int) []netip.Addr {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), count)]
}
