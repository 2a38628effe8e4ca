package btview

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btlease"
	"bramleytack/bttimer"
	"bramleytack/btwire"
	"bramleytack/internal/btmemstore"
)

// path is one direction between two hosts, or between a host and storeHost.
type path struct{ from, to bramleytack.HostID }

const storeHost bramleytack.HostID = "store"

// network connects cells by direct calls. It can delay messages, block paths and
// pause hosts.
type network struct {
	mu      sync.Mutex
	cells   map[bramleytack.HostID]*Cell
	blocked map[path]bool
	paused  map[bramleytack.HostID]chan struct{}
	delay   time.Duration
}

// deliver simulates the way of one message. It waits while the sender is paused.
// If the path is blocked or the receiver stays paused, it returns when ctx ends.
func (n *network) deliver(ctx context.Context, from, to bramleytack.HostID) error {
	n.waitWhilePaused(from)
	n.mu.Lock()
	blocked, delay := n.blocked[path{from, to}], n.delay
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if blocked {
		<-ctx.Done()
	}
	n.mu.Lock()
	paused := n.paused[to]
	n.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (n *network) waitWhilePaused(host bramleytack.HostID) {
	n.mu.Lock()
	c := n.paused[host]
	n.mu.Unlock()
	if c != nil {
		<-c
	}
}

func (n *network) pause(host bramleytack.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

func (n *network) resume(host bramleytack.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.paused[host]; c != nil {
		close(c)
		delete(n.paused, host)
	}
}

func (n *network) block(from, to bramleytack.HostID, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[path{from, to}] = on
}

func (n *network) cell(host bramleytack.HostID) *Cell {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cells[host]
}

// simTransport is a host's Transport.
type simTransport struct {
	*network
	host bramleytack.HostID
}

func exchange[Req, Resp any](
	ctx context.Context, p simTransport, to bramleytack.HostID, r *Req,
	f func(*Cell) func(context.Context, bramleytack.HostID, *Req) (*Resp, error),
) (*Resp, error) {
	if err := p.deliver(ctx, p.host, to); err != nil {
		return nil, err
	}
	c := p.cell(to)
	if c == nil {
		return nil, bramleytack.ErrNotFound
	}
	resp, err := f(c)(ctx, p.host, r)
	if err := p.deliver(ctx, to, p.host); err != nil {
		return nil, err
	}
	return resp, err
}

func (p simTransport) Heartbeat(ctx context.Context, to bramleytack.HostID, m *btwire.Heartbeat) (*btwire.HeartbeatReply, error) {
	return exchange(ctx, p, to, m, func(c *Cell) func(context.Context, bramleytack.HostID, *btwire.Heartbeat) (*btwire.HeartbeatReply, error) {
		return c.HandleHeartbeat
	})
}

func (p simTransport) Push(ctx context.Context, to bramleytack.HostID, m *btwire.ViewPush) (*btwire.ViewAck, error) {
	return exchange(ctx, p, to, m, func(c *Cell) func(context.Context, bramleytack.HostID, *btwire.ViewPush) (*btwire.ViewAck, error) {
		return c.HandlePush
	})
}

func (p simTransport) AnnounceLeaving(ctx context.Context, to bramleytack.HostID, m *btwire.EntryState) (*btwire.EntryStateReply, error) {
	return exchange(ctx, p, to, m, func(c *Cell) func(context.Context, bramleytack.HostID, *btwire.EntryState) (*btwire.EntryStateReply, error) {
		return c.HandleLeaving
	})
}

func (simTransport) SetPeer(bramleytack.HostID, netip.AddrPort) {}

func (simTransport) RemovePeer(bramleytack.HostID) {}

func (simTransport) Redial(bramleytack.HostID) {}

// simStore is the store as one host reaches it over the network.
type simStore struct {
	*btmemstore.Store
	simTransport
}

func (s simStore) Get(ctx context.Context, k bramleytack.Key) (bramleytack.Object, error) {
	if s.deliver(ctx, s.host, storeHost) != nil {
		return bramleytack.Object{}, bramleytack.ErrStoreDown
	}
	o, err := s.Store.Get(ctx, k)
	if s.deliver(ctx, storeHost, s.host) != nil {
		return bramleytack.Object{}, bramleytack.ErrStoreDown
	}
	return o, err
}

func (s simStore) Put(ctx context.Context, o bramleytack.Object, v bramleytack.Revision) (bramleytack.Revision, error) {
	if s.deliver(ctx, s.host, storeHost) != nil {
		return 0, bramleytack.ErrStoreDown
	}
	rev, err := s.Store.Put(ctx, o, v)
	if s.deliver(ctx, storeHost, s.host) != nil {
		return 0, bramleytack.ErrStoreUnknown
	}
	return rev, err
}

// lastGrant is when, and in which view, a host could last grant an upstream.
type lastGrant struct {
	at   time.Time
	view uint64
}

type sim struct {
	t          *testing.T
	store      *btmemstore.Store
	network    *network
	timers     *bttimer.Service
	hosts      []bramleytack.HostID
	stops      map[bramleytack.HostID]func()
	upstreams  []bramleytack.UpstreamID
	lastGrants map[bramleytack.UpstreamID]map[bramleytack.HostID]lastGrant
	// ackedView is the newest view that a host had installed. It is kept when the
	// host stops.
	ackedView map[bramleytack.HostID]uint64
	// staleReads allows one owner to be Full and another HalfWithheld; see faults.
	staleReads   bool
	incarnations uint64
	// ownerless is for how long an upstream has had no owner that may grant it.
	// longestOwnerless is the longest such time so far.
	ownerless, longestOwnerless map[bramleytack.UpstreamID]time.Duration
}

func newSim(t *testing.T, hosts, upstreams int, seed uint64) *sim {
	s := &sim{
		t: t, store: btmemstore.New(), timers: bttimer.New(seed),
		network: &network{
			cells: map[bramleytack.HostID]*Cell{}, blocked: map[path]bool{},
			paused: map[bramleytack.HostID]chan struct{}{},
		},
		stops:            map[bramleytack.HostID]func(){},
		lastGrants:       map[bramleytack.UpstreamID]map[bramleytack.HostID]lastGrant{},
		ackedView:        map[bramleytack.HostID]uint64{},
		ownerless:        map[bramleytack.UpstreamID]time.Duration{},
		longestOwnerless: map[bramleytack.UpstreamID]time.Duration{},
	}
	for i := range upstreams {
		id := bramleytack.UpstreamID(fmt.Sprintf("u%d", i))
		s.upstreams = append(s.upstreams, id)
		s.lastGrants[id] = map[bramleytack.HostID]lastGrant{}
	}
	for i := range hosts {
		h := bramleytack.HostID(fmt.Sprintf("h%d", i))
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	t.Cleanup(s.close)
	return s
}

func (s *sim) close() {
	s.store.SetFault(btmemstore.Fault{})
	for _, h := range s.hosts {
		s.network.resume(h)
	}
	for _, h := range s.hosts {
		s.stop(h)
	}
	s.timers.Close()
}

func (s *sim) start(h bramleytack.HostID) {
	if s.stops[h] != nil {
		return
	}
	s.incarnations++
	ctx, cancel := context.WithCancel(context.Background())
	p := simTransport{s.network, h}
	st := simStore{s.store, p}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, h[1]}), 7)
	l := &btlease.Lease{Store: st, Timer: s.timers, Cell: "c", Host: h, PeerAddr: addr}
	c := &Cell{
		Name: "c", Self: Member{Host: h, Incarnation: s.incarnations, PeerAddr: addr},
		Lease: l, Store: st, Timer: s.timers, Transport: p,
	}
	s.network.mu.Lock()
	s.network.cells[h] = c
	s.network.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { l.Run(ctx) })
	running.Go(func() { c.Run(ctx) })
	s.stops[h] = func() {
		cancel()
		running.Wait()
	}
}

// stop ends a daemon, which does not leave the cell first.
func (s *sim) stop(h bramleytack.HostID) {
	stop := s.stops[h]
	if stop == nil {
		return
	}
	delete(s.stops, h)
	s.network.mu.Lock()
	delete(s.network.cells, h)
	s.network.mu.Unlock()
	s.network.resume(h)
	stop()
}

// holder returns the host that holds the lease, or an empty id.
func (s *sim) holder() bramleytack.HostID {
	for _, h := range s.hosts {
		if c := s.network.cell(h); c != nil {
			if _, _, ok := c.Lease.Held(); ok {
				return h
			}
		}
	}
	return ""
}

const sampleInterval = 50 * time.Millisecond

// watch checks the permissions of all hosts every sampleInterval for a duration.
func (s *sim) watch(d time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sampleInterval) {
		// Once all goroutines are blocked, the permissions are of the same moment.
		synctest.Wait()
		for _, h := range s.hosts {
			if c := s.network.cell(h); c != nil && c.View() != nil {
				s.ackedView[h] = max(s.ackedView[h], c.View().Number)
			}
		}
		for _, id := range s.upstreams {
			s.check(id)
		}
	}
}

// check fails the test if two hosts may grant an upstream, apart from Fallback
// mode. It also fails the test if a host may grant while another's grants are
// valid and the other has not installed a view later than that of its grants.
func (s *sim) check(id bramleytack.UpstreamID) {
	s.t.Helper()
	now := time.Now()
	var granting bramleytack.HostID
	for _, h := range s.hosts {
		c := s.network.cell(h)
		if c == nil {
			continue
		}
		p := c.MayGrant(id)
		if p.Mode != Full && (p.Mode != HalfWithheld || s.staleReads) {
			continue
		}
		if granting != "" {
			s.t.Fatalf("%s: %s and %s may grant at the same instant", id, granting, h)
		}
		granting = h
		s.checkGrantsExpired(id, h, p, now)
		s.lastGrants[id][h] = lastGrant{now, p.ViewNumber}
	}
	if granting != "" {
		s.ownerless[id] = 0
		return
	}
	s.ownerless[id] += sampleInterval
	s.longestOwnerless[id] = max(s.longestOwnerless[id], s.ownerless[id])
}

// checkGrantsExpired fails the test if another host than h may still have valid
// grants of an upstream, unless it has installed a later view since.
func (s *sim) checkGrantsExpired(id bramleytack.UpstreamID, h bramleytack.HostID, p Permission, now time.Time) {
	s.t.Helper()
	for other, g := range s.lastGrants[id] {
		if other != h && now.Sub(g.at) < GrantValidity && s.ackedView[other] <= g.view {
			s.t.Fatalf("%s: %s may grant in view %d while grants of %s are in use", id, h, p.ViewNumber, other)
		}
	}
}

// assertRecovered checks that all hosts are members of the same view and that each
// upstream has an owner in Full mode.
func (s *sim) assertRecovered() {
	s.t.Helper()
	var number uint64
	for _, h := range s.hosts {
		v := s.network.cell(h).View()
		assert.Assert(s.t, v != nil, "%s has no view", h)
		assert.Equal(s.t, len(v.Members), len(s.hosts), "%s: %+v", h, s.network.cell(h).Dump())
		if number == 0 {
			number = v.Number
		}
		assert.Equal(s.t, v.Number, number)
	}
	for _, id := range s.upstreams {
		owner, _ := s.network.cell(s.hosts[0]).Owner(id)
		assert.Equal(s.t, s.network.cell(owner).MayGrant(id).Mode, Full, "%s at %s", id, owner)
	}
}
