package btview

import (
	"context"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btlease"
	"bramleytack/btpeer"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemnet"
	"bramleytack/internal/btmemstore"
)

// Guards against a cell that works over direct calls but not over links, and
// against silent links that remove members from the view.
func TestOverLinks(t *testing.T) {
	// yamux pools timers. The garbage collector empties the pool, since a timer of
	// one synctest bubble must not be used in another.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		timers, store, network := bttimer.New(1), btmemstore.New(), &btmemnet.Network{}
		defer timers.Close()
		var running sync.WaitGroup
		var cells []*Cell
		var nodes []*btpeer.Node
		for _, host := range []bramleytack.HostID{"h0", "h1", "h2"} {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host[1]}), 7)
			mux := &btpeer.Mux{}
			n := &btpeer.Node{
				Host: host, Timer: timers, Mux: mux, AllowPlaintext: true,
				Dialer: btmemnet.Dialer{Network: network, From: addr.Addr()},
			}
			l := &btlease.Lease{Store: store, Timer: timers, Cell: "c", Host: host, PeerAddr: addr}
			c := &Cell{
				Name: "c", Self: Member{Host: host, Incarnation: 1, PeerAddr: addr},
				Lease: l, Store: store, Timer: timers, Transport: PeerTransport{n},
			}
			Register(mux, c)
			listener := network.Listen(addr)
			running.Go(func() { _ = n.Serve(ctx, listener) })
			running.Go(func() { l.Run(ctx) })
			running.Go(func() { c.Run(ctx) })
			cells, nodes = append(cells, c), append(nodes, n)
		}
		defer func() {
			cancel()
			running.Wait()
			for _, n := range nodes {
				n.Close()
			}
		}()
		time.Sleep(10 * time.Second)
		number := cells[0].View().Number
		assert.Equal(t, len(cells[0].View().Members), 3)
		for i, c := range cells {
			network.Silence(c.Self.PeerAddr.Addr(), cells[(i+1)%3].Self.PeerAddr.Addr())
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			owner, _ := cells[0].Owner("u")
			for _, c := range cells {
				assert.Equal(t, c.MayGrant("u").Mode == Full, c.Self.Host == owner)
			}
		}
		assert.Equal(t, cells[1].View().Number, number)
	})
}
