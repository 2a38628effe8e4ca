package btremote

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"
	"bramleytack/btclaim"
	"bramleytack/btconfig"
	"bramleytack/bthost"
	"bramleytack/btlease"
	"bramleytack/btlimit"
	"bramleytack/btowner"
	"bramleytack/btpeer"
	"bramleytack/btquarantine"
	"bramleytack/btroute"
	"bramleytack/bttimer"
	"bramleytack/btview"
	"bramleytack/internal/btmemnet"
	"bramleytack/internal/btmemstore"
)

// settleTime is enough for a cell to find its members and for new owners to start
// granting.
const settleTime = 8 * time.Second

// storeLink is a member's connection to the store. While it is down, Get, List and
// Put fail; while it is muted, watches deliver no changes.
type storeLink struct {
	*btmemstore.Store
	down, muted atomic.Bool
}

func (u *storeLink) err() error {
	if u.down.Load() {
		return bramleytack.ErrStoreDown
	}
	return nil
}

func (u *storeLink) Get(ctx context.Context, key bramleytack.Key) (bramleytack.Object, error) {
	if err := u.err(); err != nil {
		return bramleytack.Object{}, err
	}
	return u.Store.Get(ctx, key)
}

func (u *storeLink) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	if err := u.err(); err != nil {
		return nil, 0, err
	}
	return u.Store.List(ctx, kind)
}

func (u *storeLink) Put(ctx context.Context, o bramleytack.Object, expected bramleytack.Revision) (bramleytack.Revision, error) {
	if err := u.err(); err != nil {
		return 0, err
	}
	return u.Store.Put(ctx, o, expected)
}

func (u *storeLink) Watch(ctx context.Context, kind string, after bramleytack.Revision) (bramleytack.Watch, error) {
	w, err := u.Store.Watch(ctx, kind, after)
	return &mutedWatch{Watch: w, link: u}, err
}

// mutedWatch withholds all changes, without an error, while its link is muted.
type mutedWatch struct {
	bramleytack.Watch
	link *storeLink
}

func (w *mutedWatch) Next(ctx context.Context) (bramleytack.Object, error) {
	o, err := w.Watch.Next(ctx)
	if err == nil && w.link.muted.Load() {
		<-ctx.Done()
		return o, ctx.Err()
	}
	return o, err
}

// member is a daemon without its HTTP servers.
type member struct {
	host       bramleytack.HostID
	addr       netip.AddrPort
	store      *storeLink
	node       *btpeer.Node
	cell       *btview.Cell
	table      *btowner.Table
	owners     *Owners
	claims     *Claims
	config     *btconfig.Config
	spread     *ConfigSync
	exchange   *Exchange
	suspects   *Suspects
	quarantine *btquarantine.Table
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// sim is a cell in one process, over an in-memory network and store.
type sim struct {
	t         *testing.T
	timers    *bttimer.Service
	store     *btmemstore.Store
	network   *btmemnet.Network
	mu        sync.Mutex
	members   []*member
	upstreams []*bramleytack.Upstream
}

// withCell runs f in fake time, after the members have found each other.
func withCell(t *testing.T, members int, seed uint64, upstreams []*bramleytack.Upstream, f func(s *sim)) {
	t.Helper()
	// yamux pools timers, which must not pass from one bubble to the next.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		s := &sim{t: t, timers: bttimer.New(seed), store: btmemstore.New(), network: &btmemnet.Network{}, upstreams: upstreams}
		defer s.timers.Close()
		for i := range members {
			s.members = append(s.members, s.startMember(i))
		}
		defer func() {
			for _, m := range s.members {
				m.stop()
			}
		}()
		time.Sleep(settleTime)
		f(s)
	})
}

// startMember starts the member with an index.
func (s *sim) startMember(i int) *member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7)
	m := &member{host: bramleytack.HostID("h" + string(rune('0'+i))), addr: addr, store: &storeLink{Store: s.store}, config: btconfig.New()}
	m.ctx, m.cancel = context.WithCancel(s.t.Context())
	mux := &btpeer.Mux{}
	m.node = &btpeer.Node{
		Host: m.host, Timer: s.timers, Mux: mux, AllowPlaintext: true,
		Dialer: btmemnet.Dialer{Network: s.network, From: addr.Addr()},
	}
	lease := &btlease.Lease{Store: m.store, Timer: s.timers, Cell: "c", Host: m.host, PeerAddr: addr}
	m.cell = &btview.Cell{
		Name: "c", Self: btview.Member{Host: m.host, Incarnation: uint64(time.Now().UnixNano()), PeerAddr: addr},
		Lease: lease, Store: m.store, Timer: s.timers, Transport: btview.PeerTransport{Node: m.node},
		OnView:         func(v *btview.View) { s.onView(m, v) },
		ConfigRevision: func() bramleytack.Revision { return m.config.Digest().Revision },
	}
	m.compose(s, mux)
	listener := s.network.Listen(addr)
	watcher := &btconfig.Watcher{Store: m.store, Config: m.config, Timer: s.timers, Seed: uint64(i)}
	for _, f := range []func(){
		func() { _ = m.node.Serve(m.ctx, listener) },
		func() { lease.Run(m.ctx) },
		func() { m.cell.Run(m.ctx) },
		func() { m.claims.Shards[0].Run(m.ctx) },
		func() { m.spread.Run(m.ctx) },
		func() { m.exchange.Run(m.ctx) },
		func() { m.suspects.Run(m.ctx) },
		func() { m.watch(s, watcher) },
	} {
		m.running.Go(f)
	}
	return m
}

func (m *member) compose(s *sim, mux *btpeer.Mux) {
	loads := &btroute.Loads{}
	m.table = btowner.NewTable(btowner.Config{}, s.timers)
	m.owners = &Owners{Self: m.host, Node: m.node, Cell: m.cell, Table: m.table, Loads: loads, Timer: s.timers}
	m.table.Ownership = m.owners
	m.claims = &Claims{Self: m.host, Node: m.node, Cell: m.cell, Shards: []*btclaim.Shard{{Store: m.store, Timer: s.timers, Cell: "c"}}}
	m.spread = &ConfigSync{Self: m.host, Node: m.node, Cell: m.cell, Config: m.config, Timer: s.timers}
	m.cell.OnConfigRevision = m.spread.ObserveRevision
	m.exchange = &Exchange{
		Self: m.host, Node: m.node, Cell: m.cell, Timer: s.timers, Table: m.table, Loads: loads, ConfigSync: m.spread,
		Limiter: &btlimit.Limiter{Self: m.host}, Hosts: &bthost.Watcher{Store: m.store, Timer: s.timers},
		OwnState: func() State { return State{Host: m.host, Config: m.config.Digest()} },
	}
	m.quarantine = &btquarantine.Table{Store: m.store, Timer: s.timers, Snapshots: m.config}
	m.suspects = &Suspects{Self: m.host, Node: m.node, Cell: m.cell, Table: m.quarantine}
	m.quarantine.Notify = m.suspects.Notify
	btview.Register(mux, m.cell)
	m.owners.Register(mux)
	m.claims.Register(mux)
	m.spread.Register(mux)
	m.exchange.Register(mux)
	m.suspects.Register(mux)
}

// onView applies a view like the daemon does.
func (s *sim) onView(m *member, v *btview.View) {
	for _, other := range m.exchange.States() {
		if _, ok := v.Member(other.Host); !ok {
			m.table.EntryGone(other.Host)
		}
	}
	m.exchange.Forget(v)
	for _, u := range s.upstreams {
		if owner, _ := m.cell.Owner(u.ID); owner == m.host {
			m.table.Own(u)
		} else {
			m.table.Disown(u.ID)
		}
	}
	m.owners.ReportReservations(m.ctx)
}

// watch watches the store while the member is one of the cell's watchers.
func (m *member) watch(s *sim, w *btconfig.Watcher) {
	for m.ctx.Err() == nil {
		if v := m.cell.View(); v == nil || slices.Contains(v.Watchers(), m.host) {
			_ = w.Run(m.ctx)
		}
		_ = s.timers.Sleep(m.ctx, 250*time.Millisecond)
	}
}

func (m *member) stop() {
	m.cancel()
	m.running.Wait()
	m.node.Close()
}

// restart stops a member and starts it again after a time, with a new incarnation.
func (s *sim) restart(i int, after time.Duration) {
	s.members[i].stop()
	time.Sleep(after)
	m := s.startMember(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[i] = m
}

// member returns a member. Another goroutine may restart it meanwhile.
func (s *sim) member(i int) *member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[i]
}

// block sets whether messages to and from all other members are lost. If neither
// direction is blocked, it also cuts the connections, so that they are replaced.
func (s *sim) block(i int, in, out bool) {
	a := s.members[i].addr.Addr()
	for _, m := range s.members {
		if m.host != s.members[i].host {
			s.network.Block(a, m.addr.Addr(), out)
			s.network.Block(m.addr.Addr(), a, in)
			if !in && !out {
				s.network.Cut(a, m.addr.Addr())
			}
		}
	}
}

// owner returns the index of the member that owns a name, by the view of member 0.
func (s *sim) owner(id bramleytack.UpstreamID) int {
	host, _ := s.members[0].cell.Owner(id)
	return slices.IndexFunc(s.members, func(m *member) bool { return m.host == host })
}

func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
