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

type fixedSnapshots struct{ s *bramleytack.Snapshot }

func (f fixedSnapshots) Snapshot() *bramleytack.Snapshot { return f.s }

// Guards against new work on an upstream whose host is leaving, also if an older
// list follows a newer one or the list can't be read.
func TestOverlay(t *testing.T) {
	cases := []struct {
		name  string
		apply func(store *btmemstore.Store, w *Watcher)
		want  bool
	}{
		{"host is live", func(*btmemstore.Store, *Watcher) {}, true},
		{"host is leaving", func(s *btmemstore.Store, _ *Watcher) { setHosts(s, 2, true) }, false},
		{"host is live again", func(s *btmemstore.Store, _ *Watcher) { setHosts(s, 2, true); waitForReads(); setHosts(s, 3, false) }, true},
		{"older list after a newer one", func(s *btmemstore.Store, _ *Watcher) { setHosts(s, 2, true); waitForReads(); setHosts(s, 1, false) }, false},
		{"platform becomes unavailable", func(s *btmemstore.Store, _ *Watcher) {
			setHosts(s, 2, true)
			waitForReads()
			s.SetFault(btmemstore.Fault{Down: true})
			time.Sleep(time.Hour)
		}, false},
		{"only a peer has read the list", func(s *btmemstore.Store, w *Watcher) {
			s.SetFault(btmemstore.Fault{Down: true})
			w.MergePeerReport([]netip.Addr{addrA})
		}, false},
		{"later own list contradicts a peer", func(s *btmemstore.Store, w *Watcher) {
			w.MergePeerReport([]netip.Addr{addrA})
			setHosts(s, 2, false)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timers := bttimer.New(1)
				defer timers.Close()
				store := btmemstore.New()
				setHosts(store, 1, false)
				w := &Watcher{Store: store, Timer: timers}
				go w.Run(t.Context())
				waitForReads()
				o := &Overlay{Config: fixedSnapshots{snapshot()}, Hosts: w}
				c.apply(store, w)
				waitForReads()
				assert.Equal(t, o.Snapshot().Accepts("a"), c.want)
				assert.Assert(t, o.Snapshot().Accepts("b"))
				assert.Assert(t, o.Snapshot() == o.Snapshot(), "snapshot is recomputed without a change")
			})
		})
	}
}

func waitForReads() {
	time.Sleep(2 * DefaultPeriod)
	synctest.Wait()
}

// setHosts stores a host list with hosts A and B and the given time in seconds.
// leaving applies to host A.
func setHosts(s *btmemstore.Store, second int64, leaving bool) {
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
