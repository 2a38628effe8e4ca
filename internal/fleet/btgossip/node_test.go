package btgossip

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemnet"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
)

const port = 7000

// hub carries datagrams between the daemons of a test and loses some.
type hub struct {
	mu    sync.Mutex
	conns map[netip.Addr]*packetConn
	cut   map[netip.Addr]bool
	rng   *rand.Rand
	loss  float64
	// near and far count datagrams within and between failure domains, sent those
	// of each daemon.
	near, far int
	sent      map[netip.Addr]int
}

// domains is the number of failure domains of a cell.
const domains = 3

func domainOf(a netip.Addr) int { return int(a.As4()[3]-1) % domains }

func (b *hub) deliver(from, to netip.Addr, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !from.IsValid() || !to.Is4() {
		return
	}
	b.sent[from]++
	if domainOf(from) == domainOf(to) {
		b.near++
	} else {
		b.far++
	}
	c := b.conns[to]
	if c == nil || b.cut[from] || b.cut[to] || b.rng.Float64() < b.loss {
		return
	}
	select {
	case c.in <- datagram{from, append([]byte(nil), data...)}:
	default:
	}
}

func (b *hub) isolate(a netip.Addr, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut[a] = on
}

type datagram struct {
	from netip.Addr
	data []byte
}

// packetConn is one daemon's end of the hub.
type packetConn struct {
	hub  *hub
	addr netip.Addr
	in   chan datagram
	done chan struct{}
	once sync.Once
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(b, d.data), net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.from, port)), nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.hub.deliver(c.addr, to.(*net.UDPAddr).AddrPort().Addr(), b)
	return len(b), nil
}

func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

func (c *packetConn) LocalAddr() net.Addr              { return nil }
func (c *packetConn) SetDeadline(time.Time) error      { return nil }
func (c *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// codec takes any object.
type codec struct{}

func (codec) Config(_ []byte, s *bramleytack.Snapshot) error {
	s.Routes = bramleytack.NewRouteTable(nil)
	return nil
}

func (codec) Upstream(name string, _ []byte, _ time.Time) (*bramleytack.Upstream, error) {
	return &bramleytack.Upstream{ID: bramleytack.UpstreamID(name)}, nil
}

// cell is a group of daemons on one hub.
type cell struct {
	t       *testing.T
	hub     *hub
	network *btmemnet.Network
	timer   *bttimer.Service
	nodes   []*Node
	leaving []bool
	stops   []context.CancelFunc
}

// play runs a cell of n daemons in fake time. Each knows the first one's address.
func play(t *testing.T, n int, loss float64, f func(c *cell)) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := bttimer.New(seed)
				c := &cell{
					t: t, timer: timer, network: &btmemnet.Network{}, leaving: make([]bool, n),
					hub: &hub{conns: map[netip.Addr]*packetConn{}, cut: map[netip.Addr]bool{}, sent: map[netip.Addr]int{}, rng: rand.New(rand.NewPCG(seed, 1)), loss: loss},
				}
				for i := range n {
					c.nodes = append(c.nodes, nil)
					c.stops = append(c.stops, nil)
					c.start(i)
				}
				f(c)
				for _, stop := range c.stops {
					stop()
				}
				time.Sleep(time.Minute)
				timer.Close()
			})
		})
	}
}

func addrOf(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

// start starts a daemon anew.
func (c *cell) start(i int) {
	log := btevent.New(io.Discard, 0, "h")
	table := btreplica.NewTable(codec{}, c.timer, log)
	n := New(&Node{
		Self: Self{
			Host: bramleytack.HostID(fmt.Sprintf("h%02d", i)), Addr: addrOf(i), FailureDomain: bramleytack.FailureDomainID(fmt.Sprint("d", domainOf(addrOf(i)))), Port: port,
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Table: table, Accounts: &btaccount.Table{Timer: c.timer}, StoreStatus: &btreplica.StoreStatus{}, Timer: c.timer, Log: log,
		Ready: func() bool { return true }, Leaving: func() bool { return c.leaving[i] }, Seeds: []netip.Addr{addrOf(0)},
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return btmemnet.Dialer{Network: c.network, From: addrOf(i)}.DialPeer(ctx, netip.MustParseAddrPort(addr))
		},
	})
	n.Accounts.Changed = n.LoadChanged
	ctx, stop := context.WithCancel(context.Background())
	conn := &packetConn{hub: c.hub, addr: addrOf(i), in: make(chan datagram, 256), done: make(chan struct{})}
	c.hub.mu.Lock()
	c.hub.conns[addrOf(i)] = conn
	c.hub.mu.Unlock()
	n.Start(ctx, conn, c.network.Listen(netip.AddrPortFrom(addrOf(i), port)))
	c.nodes[i], c.stops[i] = n, stop
}

// checkAlive fails unless every daemon in who sees exactly want others.
func (c *cell) checkAlive(want int, who ...int) {
	c.t.Helper()
	for _, i := range who {
		assert.Equal(c.t, len(c.nodes[i].Alive()), want, "seen by %d", i)
	}
}

// Guards against daemons that do not find each other by one seed, with a tenth
// of the datagrams lost.
func TestDaemonsFindEachOther(t *testing.T) {
	for _, n := range []int{2, 8, 32} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			play(t, n, 0.1, func(c *cell) {
				time.Sleep(3 * time.Second)
				for i := range c.nodes {
					c.checkAlive(n-1, i)
				}
			})
		})
	}
}

// Guards against dead daemons that rumors keep alive, and against a restarted
// one that is taken for the dead one.
func TestDeadDaemonIsNoticed(t *testing.T) {
	play(t, 8, 0.1, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.stops[3]()
		time.Sleep(aliveFor + time.Second)
		for _, i := range []int{0, 1, 2, 4, 5, 6, 7} {
			c.checkAlive(6, i)
		}
		time.Sleep(5 * time.Second)
		c.checkAlive(6, 0, 7)
		c.start(3)
		time.Sleep(2 * time.Second)
		c.checkAlive(7, 0, 3, 7)
	})
}

// Guards against trust in others by a daemon that is cut off, and against a cut
// that leaves traces.
func TestIsolatedDaemon(t *testing.T) {
	play(t, 8, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.hub.isolate(addrOf(2), true)
		time.Sleep(aliveFor + time.Second)
		c.checkAlive(0, 2)
		c.checkAlive(6, 0)
		c.hub.isolate(addrOf(2), false)
		time.Sleep(3 * time.Second)
		c.checkAlive(7, 0, 2)
	})
}

// Guards against changes that reach only some daemons: one reads the store, the
// others learn by push or, when the datagram is lost, by a pull.
func TestChangesSpread(t *testing.T) {
	for _, loss := range []float64{0, 0.4} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			play(t, 8, loss, func(c *cell) {
				time.Sleep(2 * time.Second)
				object := func(v bramleytack.Revision) bramleytack.Object {
					return bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: v, Data: []byte("x")}
				}
				c.nodes[5].Table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: 4, Objects: []bramleytack.Object{object(4)}, FromStore: true})
				time.Sleep(time.Second)
				c.nodes[5].Table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Base: 4, Upto: 6, Objects: []bramleytack.Object{object(6)}, FromStore: true})
				time.Sleep(time.Second)
				for _, n := range c.nodes {
					assert.Equal(t, n.Table.Upto(bramleytack.KindConfig), bramleytack.Revision(6))
				}
			})
		})
	}
}

// Guards against too many readers of the store, and against none when the
// readers fail.
func TestFewDaemonsFollowTheStore(t *testing.T) {
	followers := func(c *cell, skip map[int]bool) int {
		n := 0
		for i, node := range c.nodes {
			if !skip[i] && node.Follows(bramleytack.KindConfig) {
				n++
			}
		}
		return n
	}
	play(t, 12, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		assert.Equal(t, followers(c, nil), watchers)
		dead := map[int]bool{}
		for i, node := range c.nodes {
			if node.Follows(bramleytack.KindConfig) && len(dead) < 2 {
				c.stops[i]()
				dead[i] = true
			}
		}
		time.Sleep(aliveFor + time.Second)
		assert.Equal(t, followers(c, dead), watchers)
	})
}

// Guards against answers to pulls that do not survive the way, and against ones
// that fill the reader's memory.
func TestPackedBatch(t *testing.T) {
	b := &ObjectBatch{Kind: "k", Upto: 7, Objects: []*StoredObject{{Name: "a", Data: bytes.Repeat([]byte("text "), 4000)}}}
	data, err := pack(b)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1000)
	for range 2 {
		got, err := readPacked(bufio.NewReader(bytes.NewReader(data)))
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, b))
	}
	_, err = readPacked(bufio.NewReader(bytes.NewReader(data[:len(data)-1])))
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	data, err = pack(&ObjectBatch{Objects: []*StoredObject{{Data: make([]byte, maxPull+1)}}})
	assert.NilError(t, err)
	_, err = readPacked(bufio.NewReader(bytes.NewReader(data)))
	assert.ErrorIs(t, err, errTooLarge)
}

// Guards against digests that cross failure domains more than they need to: bytes
// between domains are priced (grown Foldwell site: 177 MB a day).
func TestDigestsStayInTheDomain(t *testing.T) {
	play(t, 24, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.hub.mu.Lock()
		c.hub.near, c.hub.far = 0, 0
		c.hub.mu.Unlock()
		time.Sleep(3 * time.Second)
		c.hub.mu.Lock()
		near, far := c.hub.near, c.hub.far
		c.hub.mu.Unlock()
		assert.Assert(t, far*fanout <= (near+far)*(farFanout+1), "%d of %d datagrams cross domains", far, near+far)
		c.checkAlive(23, 0, 1, 2)
	})
}

// Guards against a lone daemon that waits for others before it reads the store.
func TestLoneDaemonFollowsSoon(t *testing.T) {
	play(t, 1, 0, func(c *cell) {
		time.Sleep(settle + settleSpan)
		assert.Assert(t, c.nodes[0].Follows(bramleytack.KindConfig))
	})
}

// storeDelay is the time that the users' stores take for an answer.
const storeDelay = 4 * time.Millisecond

// feed is a store that can be away for every daemon.
type feed struct{ away atomic.Bool }

func (f *feed) List(_ context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	time.Sleep(storeDelay)
	if f.away.Load() {
		return nil, 0, bramleytack.ErrStoreDown
	}
	o := bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: "main"}, Version: 1, Data: []byte("x")}
	return []bramleytack.Object{o}, 1, nil
}

func (f *feed) Changes(ctx context.Context, kind string, _ bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	const look = 50 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(look) {
		if f.away.Load() || ctx.Err() != nil {
			return nil, 0, bramleytack.ErrStoreDown
		}
	}
	return f.List(ctx, kind)
}

// Pattern: the store goes away for every daemon, and most of them never call it.
// Guards against daemons that do not know and wait for notices of the store
// (grown Foldwell site, trouble-3: 29 generations ended with engines whose notice
// only few daemons had asked for).
func TestAllLearnThatNobodyReadsTheStore(t *testing.T) {
	play(t, 24, 0.05, func(c *cell) {
		var f feed
		ctx, stop := context.WithCancel(context.Background())
		for _, n := range c.nodes {
			n.StoreStatus.OnDown = n.Announce
			w := &btreplica.Watcher{
				Feed: &f, Table: n.Table, Timer: c.timer, Log: n.Log, Kind: bramleytack.KindUpstreams,
				Active: n.Follows, StoreStatus: n.StoreStatus, Resync: &btreplica.Resync{},
			}
			go w.Run(ctx)
		}
		check := func(want bool) {
			for i, n := range c.nodes {
				assert.Equal(t, n.HasStoreReader(), want, "daemon %d", i)
			}
		}
		time.Sleep(4 * time.Second)
		check(true)
		f.away.Store(true)
		time.Sleep(600 * time.Millisecond)
		check(false)
		f.away.Store(false)
		time.Sleep(4 * time.Second)
		check(true)
		stop()
		time.Sleep(10 * time.Second)
	})
}

// Pattern: a generation starts. Guards against other daemons that learn of it a
// whole period later.
func TestLoadIsToldAtOnce(t *testing.T) {
	play(t, 12, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		s := &bramleytack.Snapshot{
			Services: map[string]*bramleytack.ServiceRecord{"s": {Engine: &bramleytack.EngineProfile{Slots: 24, MemoryTokens: 1 << 20}}},
			ByService: map[string][]*bramleytack.Upstream{"s": {
				{ID: "a", Service: "s"}, {ID: "b", Service: "s"},
			}},
		}
		n := btaccount.Need{Prompt: 4000, Output: 900}
		c.nodes[4].Accounts.Begin("a", n)
		time.Sleep(2 * loadPause)
		for i, node := range c.nodes {
			u, _ := node.Accounts.Pick(s, s.ByService["s"], n)
			assert.Equal(t, u.ID, bramleytack.UpstreamID("b"), "chosen by %d", i)
		}
	})
}

// Guards against decoders that fail on bytes from outside.
func FuzzPacket(f *testing.F) {
	f.Add([]byte{0x0a, 0x01, 'h', 0x1a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(*testing.T) {
			timer := bttimer.New(1)
			defer timer.Close()
			log := btevent.New(io.Discard, 0, "h")
			n := New(&Node{
				Table: btreplica.NewTable(codec{}, timer, log), Accounts: &btaccount.Table{Timer: timer}, Timer: timer, Log: log,
				StoreStatus: &btreplica.StoreStatus{}, Ready: func() bool { return true }, Leaving: func() bool { return false },
			})
			n.conn = &packetConn{hub: &hub{}}
			r := &receiver{n: n, last: map[bramleytack.HostID]position{}}
			r.receive(data, &net.UDPAddr{})
		})
	})
}
