package bthost

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

var (
	addrA = netip.MustParseAddr("10.0.0.1")
	addrB = netip.MustParseAddr("10.0.0.2")
)

type fixed struct{ s *bramleytack.Snapshot }

func (f fixed) Snapshot() *bramleytack.Snapshot { return f.s }

// Guards against new work on an upstream whose host is leaving, while the list
// lags, goes back in time or can't be read.
func TestOverlay(t *testing.T) {
	cases := []struct {
		name string
		act  func(store *btmemstore.Store, w *Watcher)
		want bool
	}{
		{"host stays", func(*btmemstore.Store, *Watcher) {}, true},
		{"host leaves", func(s *btmemstore.Store, _ *Watcher) { list(s, 2, true) }, false},
		{"host comes back", func(s *btmemstore.Store, _ *Watcher) { list(s, 2, true); wait(); list(s, 3, false) }, true},
		{"older list after a newer one", func(s *btmemstore.Store, _ *Watcher) { list(s, 2, true); wait(); list(s, 1, false) }, false},
		{"platform goes away", func(s *btmemstore.Store, _ *Watcher) {
			list(s, 2, true)
			wait()
			s.SetFault(btmemstore.Fault{Down: true})
			time.Sleep(time.Hour)
		}, false},
		{"peer saw it first", func(s *btmemstore.Store, w *Watcher) {
			s.SetFault(btmemstore.Fault{Down: true})
			w.MergePeerReport([]netip.Addr{addrA})
		}, false},
		{"own newer list contradicts a peer", func(s *btmemstore.Store, w *Watcher) {
			w.MergePeerReport([]netip.Addr{addrA})
			list(s, 2, false)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := bttimer.New(1)
				defer timers.Close()
				store := btmemstore.New()
				list(store, 1, false)
				w := &Watcher{Store: store, Timer: timers}
				go w.Run(t.Context())
				wait()
				o := &Overlay{Config: fixed{snapshot()}, Hosts: w}
				c.act(store, w)
				wait()
				assert.Equal(t, o.Snapshot().Accepts("a"), c.want)
				assert.Assert(t, o.Snapshot().Accepts("b"))
				assert.Assert(t, o.Snapshot() == o.Snapshot(), "snapshot is computed anew without a change")
			})
		})
	}
}

func wait() {
	time.Sleep(2 * DefaultPeriod)
	synctest.Wait()
}

// list stores a host list of a time in seconds in which host A may be leaving.
func list(s *btmemstore.Store, second int64, leaving bool) {
	s.SetHosts(bramleytack.HostList{At: time.Unix(second, 0), Hosts: []bramleytack.HostState{
		{Addr: addrA, Leaving: leaving}, {Addr: addrB},
	}})
}

func snapshot() *bramleytack.Snapshot {
	return &bramleytack.Snapshot{
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{"d": {Name: "d", State: bramleytack.DomainActive}},
		Upstreams: map[bramleytack.UpstreamID]*bramleytack.Upstream{
			"a": {ID: "a", FailureDomain: "d", Addr: netip.AddrPortFrom(addrA, 1), State: bramleytack.UpstreamActive},
			"b": {ID: "b", FailureDomain: "d", Addr: netip.AddrPortFrom(addrB, 1), State: bramleytack.UpstreamActive},
		},
	}
}
