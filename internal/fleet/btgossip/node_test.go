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
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/route/btsuspect"
)

const port = 7000

// lan carries datagrams between the daemons of a test.
type lan struct {
	mu       sync.Mutex
	conns    map[netip.Addr]*packetConn
	isolated map[netip.Addr]bool
	rng      *rand.Rand
	// loss is the probability that a datagram is dropped.
	loss float64
	// sameDomain and crossDomain count datagrams within and between failure domains,
	// sent those of each daemon.
	sameDomain, crossDomain int
	sent                    map[netip.Addr]int
	// largest is the size of the largest datagram.
	largest int
	// deaf holds daemons that receive nothing.
	deaf map[netip.Addr]bool
}

// domains is the number of failure domains of a cell.
const domains = 3

func domainOf(a netip.Addr) int { return int(a.As4()[3]-1) % domains }

func (h *lan) deliver(from, to netip.Addr, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !from.IsValid() || !to.Is4() {
		return
	}
	h.sent[from]++
	h.largest = max(h.largest, len(data))
	if domainOf(from) == domainOf(to) {
		h.sameDomain++
	} else {
		h.crossDomain++
	}
	c := h.conns[to]
	if c == nil || h.isolated[from] || h.isolated[to] || h.deaf[to] || h.rng.Float64() < h.loss {
		return
	}
	select {
	case c.in <- datagram{from, append([]byte(nil), data...)}:
	default:
	}
}

// isolate sets whether a daemon's datagrams are dropped in both directions.
func (h *lan) isolate(a netip.Addr, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated[a] = on
}

// deafen sets whether a daemon receives nothing.
func (h *lan) deafen(a netip.Addr, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deaf[a] = on
}

type datagram struct {
	from netip.Addr
	data []byte
}

// packetConn connects one daemon to the lan.
type packetConn struct {
	lan  *lan
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
	c.lan.deliver(c.addr, to.(*net.UDPAddr).AddrPort().Addr(), b)
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

// codec decodes any object. The version of a configuration is its first byte.
type codec struct{}

func (codec) Config(data []byte, s *bramleytack.Snapshot) error {
	if len(data) > 0 {
		s.Version = uint64(data[0])
	}
	s.Routes = bramleytack.NewRouteTable(nil)
	return nil
}

func (codec) Upstream(name string, _ []byte, _ time.Time) (*bramleytack.Upstream, error) {
	return &bramleytack.Upstream{ID: bramleytack.UpstreamID(name)}, nil
}

// cell is a group of daemons that share a lan.
type cell struct {
	t       *testing.T
	lan     *lan
	network *btmemnet.Network
	timer   *bttimer.Service
	nodes   []*Node
	leaving []bool
	stops   []context.CancelFunc
	// directFleet is Node.DirectFleet, processor a daemon's Self.Processor.
	directFleet int
	processor   func(i int) uint32
	// clockOffset is the difference of the clock that later incarnations start with.
	clockOffset time.Duration
}

// runCell calls f with a running cell of n daemons in fake time, once for each of three
// random seeds. All daemons have the address of the first one as Node.Seeds.
func runCell(t *testing.T, n int, loss float64, f func(c *cell)) {
	runFleet(t, &cell{directFleet: n + 1, processor: func(int) uint32 { return 0 }}, n, loss, f)
}

// runHubs is runCell for a fleet with hubs: daemons 0 to 5, two in each failure domain,
// have more processor time than the others.
func runHubs(t *testing.T, n int, loss float64, f func(c *cell)) {
	processor := func(i int) uint32 {
		if i < domains*hubsPerDomain {
			return 800
		}
		return 192
	}
	runFleet(t, &cell{directFleet: 8, processor: processor}, n, loss, f)
}

// runFleet calls f with a copy of like for each seed.
func runFleet(t *testing.T, like *cell, n int, loss float64, f func(c *cell)) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := bttimer.New(seed)
				c := &cell{
					t: t, timer: timer, network: &btmemnet.Network{}, leaving: make([]bool, n), directFleet: like.directFleet, processor: like.processor,
					lan: &lan{conns: map[netip.Addr]*packetConn{}, isolated: map[netip.Addr]bool{}, deaf: map[netip.Addr]bool{}, sent: map[netip.Addr]int{}, rng: rand.New(rand.NewPCG(seed, 1)), loss: loss},
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

// start starts a daemon, for the first time or again.
func (c *cell) start(i int) {
	log := btevent.New(io.Discard, 0, "h")
	table := btreplica.NewTable(codec{}, c.timer, log)
	n := New(&Node{
		Self: Self{
			Host: bramleytack.HostID(fmt.Sprintf("h%02d", i)), Addr: addrOf(i), FailureDomain: bramleytack.FailureDomainID(fmt.Sprint("d", domainOf(addrOf(i)))), Port: port,
			Incarnation: uint64(time.Now().Add(c.clockOffset).UnixMilli()), Processor: c.processor(i),
		},
		DirectFleet: c.directFleet,
		Table:       table, Accounts: &btaccount.Table{Timer: c.timer}, StoreStatus: &btreplica.StoreStatus{}, Timer: c.timer, Log: log,
		Ready: func() bool { return true }, Leaving: func() bool { return c.leaving[i] }, Seeds: []netip.Addr{addrOf(0)},
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return btmemnet.Dialer{Network: c.network, From: addrOf(i)}.DialPeer(ctx, netip.MustParseAddrPort(addr))
		},
	})
	n.Accounts.Changed = n.LoadChanged
	n.Suspects = btsuspect.New(&btsuspect.Table{Timer: c.timer, Log: log, Share: n.ShareSuspicions, Elected: n.Elected})
	n.Grants = &btgrant.Table{Timer: c.timer, Log: log, Ask: n.AskGrant, Share: n.ShareWords, Part: n.GrantPart, Daemons: n.Count}
	n.Rollouts = newRollouts(n)
	n.Admission = btadmission.New(c.timer, uint64(i))
	n.Admission.Alone = n.DemandUnknown
	ctx, stop := context.WithCancel(context.Background())
	conn := &packetConn{lan: c.lan, addr: addrOf(i), in: make(chan datagram, 256), done: make(chan struct{})}
	c.lan.mu.Lock()
	c.lan.conns[addrOf(i)] = conn
	c.lan.mu.Unlock()
	go n.Suspects.Run(ctx)
	n.Start(ctx, conn, c.network.Listen(netip.AddrPortFrom(addrOf(i), port)))
	c.nodes[i], c.stops[i] = n, stop
}

// checkAlive fails unless each of the observers counts exactly want others as alive.
func (c *cell) checkAlive(want int, observers ...int) {
	c.t.Helper()
	for _, i := range observers {
		assert.Equal(c.t, len(c.nodes[i].Alive()), want, "alive as seen by daemon %d", i)
	}
}

// Guards against daemons that do not find each other through one seed while a tenth of
// the datagrams is lost.
func TestDaemonsFindEachOther(t *testing.T) {
	for _, n := range []int{2, 8, 32} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCell(t, n, 0.1, func(c *cell) {
				time.Sleep(3 * time.Second)
				for i := range c.nodes {
					c.checkAlive(n-1, i)
				}
			})
		})
	}
}

// Guards against dead daemons that count as alive because others still report them, and
// against a restarted daemon that is mistaken for its dead incarnation.
func TestDeadDaemonDetected(t *testing.T) {
	runCell(t, 8, 0.1, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.stops[3]()
		time.Sleep(aliveTimeout + time.Second)
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

// Guards against an isolated daemon that still counts others as alive, and against
// daemons that stay dead to each other after the isolation ends.
func TestIsolatedDaemon(t *testing.T) {
	runCell(t, 8, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.lan.isolate(addrOf(2), true)
		time.Sleep(aliveTimeout + time.Second)
		c.checkAlive(0, 2)
		c.checkAlive(6, 0)
		c.lan.isolate(addrOf(2), false)
		time.Sleep(3 * time.Second)
		c.checkAlive(7, 0, 2)
	})
}

// Guards against changes that reach only some daemons. One reads the store; the others
// get a change pushed or, if the datagram is lost, pull it.
func TestChangesSpread(t *testing.T) {
	for _, loss := range []float64{0, 0.4} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			runCell(t, 8, loss, func(c *cell) {
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

// Guards against too many daemons that follow the store, and against too few after
// followers died.
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
	runCell(t, 12, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		assert.Equal(t, followers(c, nil), followersPerKind)
		dead := map[int]bool{}
		for i, node := range c.nodes {
			if node.Follows(bramleytack.KindConfig) && len(dead) < 2 {
				c.stops[i]()
				dead[i] = true
			}
		}
		time.Sleep(aliveTimeout + time.Second)
		assert.Equal(t, followers(c, dead), followersPerKind)
	})
}

// Guards against replies to pulls that are decoded wrongly, and against replies that
// exhaust the memory of the daemon that reads them.
func TestReplyEncoding(t *testing.T) {
	b := &ObjectBatch{Kind: "k", Upto: 7, Objects: []*StoredObject{{Name: "a", Data: bytes.Repeat([]byte("text "), 4000)}}}
	data, err := encodeReply(b)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 1000)
	for range 2 {
		got, err := readReply(bufio.NewReader(bytes.NewReader(data)), nil)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, b))
	}
	_, err = readReply(bufio.NewReader(bytes.NewReader(data[:len(data)-1])), nil)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	data, err = encodeReply(&ObjectBatch{Objects: []*StoredObject{{Data: make([]byte, maxReplySize+1)}}})
	assert.NilError(t, err)
	_, err = readReply(bufio.NewReader(bytes.NewReader(data)), nil)
	assert.ErrorIs(t, err, errReplyTooLarge)
}

// Guards against more digests between failure domains than needed, because that traffic
// is charged for. It was 177 MB a day on the grown Foldwell site.
func TestDigestsStayInTheDomain(t *testing.T) {
	runCell(t, 24, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		c.lan.mu.Lock()
		c.lan.sameDomain, c.lan.crossDomain = 0, 0
		c.lan.mu.Unlock()
		time.Sleep(3 * time.Second)
		c.lan.mu.Lock()
		same, cross := c.lan.sameDomain, c.lan.crossDomain
		c.lan.mu.Unlock()
		assert.Assert(t, cross*fanout <= (same+cross)*(crossDomainFanout+1), "%d of %d datagrams cross domains", cross, same+cross)
		c.checkAlive(23, 0, 1, 2)
	})
}

// Guards against a daemon without peers that waits for them before it follows the store.
func TestLoneDaemonFollowsSoon(t *testing.T) {
	runCell(t, 1, 0, func(c *cell) {
		time.Sleep(minSettleTime + settleSpread)
		assert.Assert(t, c.nodes[0].Follows(bramleytack.KindConfig))
	})
}

// storeDelay is how long the platforms' stores take to answer.
const storeDelay = 4 * time.Millisecond

// fakeFeed is a store that can be down for all daemons.
type fakeFeed struct{ down atomic.Bool }

func (f *fakeFeed) List(_ context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	time.Sleep(storeDelay)
	if f.down.Load() {
		return nil, 0, bramleytack.ErrStoreDown
	}
	o := bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: "main"}, Version: 1, Data: []byte("x")}
	return []bramleytack.Object{o}, 1, nil
}

func (f *fakeFeed) Changes(ctx context.Context, kind string, _ bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	const checkInterval = 50 * time.Millisecond
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(checkInterval) {
		if f.down.Load() || ctx.Err() != nil {
			return nil, 0, bramleytack.ErrStoreDown
		}
	}
	return f.List(ctx, kind)
}

// The store goes down for every daemon, and most of them never call it. Guards against
// daemons that keep waiting for the store to report engines that leave. On the grown
// Foldwell site, trouble-3, 29 generations ended with their engines, because few daemons
// had asked those engines themselves.
func TestStoreOutageReachesAllDaemons(t *testing.T) {
	runCell(t, 24, 0.05, func(c *cell) {
		var f fakeFeed
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
		f.down.Store(true)
		time.Sleep(600 * time.Millisecond)
		check(false)
		f.down.Store(false)
		time.Sleep(4 * time.Second)
		check(true)
		stop()
		time.Sleep(10 * time.Second)
	})
}

// A generation starts. Guards against other daemons that get the new load with the next
// digest only.
func TestLoadReportedAtOnce(t *testing.T) {
	runCell(t, 12, 0, func(c *cell) {
		time.Sleep(3 * time.Second)
		s := &bramleytack.Snapshot{
			Services: map[string]*bramleytack.ServiceRecord{"s": {Engine: &bramleytack.EngineProfile{Slots: 24, MemoryTokens: 1 << 20}}},
			ByService: map[string][]*bramleytack.Upstream{"s": {
				{ID: "a", Service: "s"}, {ID: "b", Service: "s"},
			}},
		}
		n := btaccount.Need{Prompt: 4000, Output: 900}
		c.nodes[4].Accounts.Begin("a", n)
		time.Sleep(2 * minLoadInterval)
		for i, node := range c.nodes {
			u, _ := node.Accounts.Pick(s, s.ByService["s"], n)
			assert.Equal(t, u.ID, bramleytack.UpstreamID("b"), "chosen by %d", i)
		}
	})
}

// Guards against panics on datagrams with arbitrary content.
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
			n.conn = &packetConn{lan: &lan{}}
			r := &receiver{n: n, newest: map[bramleytack.HostID]packetNumber{}}
			r.handleDatagram(data, &net.UDPAddr{})
		})
	})
}
