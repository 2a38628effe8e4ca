package bthost

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
)

const (
	// readTimeout bounds one read of the host list.
	readTimeout = time.Second
	// DefaultPeriod is the time between two reads of the list by one daemon.
	DefaultPeriod = 2 * time.Second
	// peerReportValidity is how long a peer's report counts if no list read here
	// confirms or contradicts it.
	peerReportValidity = 30 * time.Second
)

// Leaving is the set of leaving hosts. It is immutable.
type Leaving struct {
	// Number increases by one with each change of the set.
	Number uint64
	addrs  map[netip.Addr]struct{}
}

// Has reports whether a host is leaving.
func (l *Leaving) Has(a netip.Addr) bool {
	_, ok := l.addrs[a]
	return ok
}

// Len returns the number of leaving hosts.
func (l *Leaving) Len() int { return len(l.addrs) }

// Watcher polls the host list. Store and Timer are required. Its methods are safe
// for concurrent use.
type Watcher struct {
	Store bramleytack.Store
	Timer bramleytack.Timer
	// Period returns the time to the next read. Nil takes DefaultPeriod.
	Period func() time.Duration
	// OnChange is called when the set changes, with the lock held: it must not
	// call ListedLeaving or MergePeerReport. It may be nil.
	OnChange func(*Leaving)

	mu sync.Mutex
	// listedLeaving holds the leaving hosts of the last list, and listedAt the
	// time of that list by the platform's clock.
	listedLeaving map[netip.Addr]struct{}
	listedAt      time.Time
	// peerReports holds the leaving hosts that peers reported, and when each
	// report expires.
	peerReports map[netip.Addr]time.Time
	current     atomic.Pointer[Leaving]
}

// Run polls the list until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		w.read(ctx)
		period := DefaultPeriod
		if w.Period != nil {
			period = w.Period()
		}
		if w.Timer.Sleep(ctx, period) != nil {
			return
		}
	}
}

// Leaving returns the leaving hosts by the last list and by reports of peers.
func (w *Watcher) Leaving() *Leaving {
	if l := w.current.Load(); l != nil {
		return l
	}
	return &Leaving{}
}

// ListedLeaving returns the leaving hosts of the last list, sorted, without those
// that only peers have reported. It is what this daemon reports to its peers.
func (w *Watcher) ListedLeaving() []netip.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]netip.Addr, 0, len(w.listedLeaving))
	for a := range w.listedLeaving {
		list = append(list, a)
	}
	slices.SortFunc(list, netip.Addr.Compare)
	return list
}

// MergePeerReport adds the leaving hosts that a peer has read.
func (w *Watcher) MergePeerReport(addrs []netip.Addr) {
	if len(addrs) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peerReports == nil {
		w.peerReports = map[netip.Addr]time.Time{}
	}
	until := w.Timer.Now().Add(peerReportValidity)
	for _, a := range addrs {
		w.peerReports[a] = until
	}
	w.publish()
}

func (w *Watcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := w.Store.Hosts(ctx)
	if err != nil {
		// The last list remains in use while the platform is unavailable.
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.At.Before(w.listedAt) {
		return
	}
	w.listedAt = list.At
	w.listedLeaving = map[netip.Addr]struct{}{}
	for _, h := range list.Hosts {
		if h.Leaving {
			w.listedLeaving[h.Addr] = struct{}{}
		} else {
			delete(w.peerReports, h.Addr)
		}
	}
	w.publish()
}

// publish stores a new set if it differs from the current one, and drops expired
// reports of peers. The caller holds mu.
func (w *Watcher) publish() {
	now := w.Timer.Now()
	addrs := map[netip.Addr]struct{}{}
	for a := range w.listedLeaving {
		addrs[a] = struct{}{}
	}
	for a, until := range w.peerReports {
		if now.Before(until) {
			addrs[a] = struct{}{}
		} else {
			delete(w.peerReports, a)
		}
	}
	old := w.Leaving()
	if sameAddrs(old.addrs, addrs) {
		return
	}
	next := &Leaving{Number: old.Number + 1, addrs: addrs}
	w.current.Store(next)
	if w.OnChange != nil {
		w.OnChange(next)
	}
}

func sameAddrs(a, b map[netip.Addr]struct{}) bool {
	if len(a) != len(b) {
		return false
	}
	for addr := range a {
		if _, ok := b[addr]; !ok {
			return false
		}
	}
	return true
}
