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
	// readTimeout bounds one read of the list.
	readTimeout = time.Second
	// DefaultPeriod is the time between two reads of one host.
	DefaultPeriod = 2 * time.Second
	// newsValidity is how long the news of a peer holds without an own list
	// that confirms it.
	newsValidity = 30 * time.Second
)

// Leaving is the set of leaving hosts. It is immutable.
type Leaving struct {
	// Number rises with each change of the set.
	Number uint64
	addrs  map[netip.Addr]struct{}
}

// Has says whether a host is leaving.
func (l *Leaving) Has(a netip.Addr) bool {
	_, ok := l.addrs[a]
	return ok
}

// Len returns the number of leaving hosts.
func (l *Leaving) Len() int { return len(l.addrs) }

// Watcher reads the host list. Store and Timer are required.
type Watcher struct {
	Store bramleytack.Store
	Timer bramleytack.Timer
	// Period returns the time to the next read. Nil takes DefaultPeriod.
	Period func() time.Duration
	// OnChange is called when the set changes. It may be nil.
	OnChange func(*Leaving)

	mu sync.Mutex
	// listed are the leaving hosts of the last list, and at its time by the
	// platform's clock.
	listed map[netip.Addr]struct{}
	at     time.Time
	// news are the hosts that peers reported, with the end of validity.
	news    map[netip.Addr]time.Time
	current atomic.Pointer[Leaving]
}

// Run reads the list until the context ends.
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

// Leaving returns the current set.
func (w *Watcher) Leaving() *Leaving {
	if l := w.current.Load(); l != nil {
		return l
	}
	return &Leaving{}
}

// ListedLeaving returns the leaving hosts of the last list, to tell peers.
func (w *Watcher) ListedLeaving() []netip.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]netip.Addr, 0, len(w.listed))
	for a := range w.listed {
		list = append(list, a)
	}
	slices.SortFunc(list, netip.Addr.Compare)
	return list
}

// MergePeerReport takes leaving hosts from a peer.
func (w *Watcher) MergePeerReport(addrs []netip.Addr) {
	if len(addrs) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.news == nil {
		w.news = map[netip.Addr]time.Time{}
	}
	until := w.Timer.Now().Add(newsValidity)
	for _, a := range addrs {
		w.news[a] = until
	}
	w.publish()
}

func (w *Watcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := w.Store.Hosts(ctx)
	if err != nil {
		// The last list stays in force while the platform is away.
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.At.Before(w.at) {
		return
	}
	w.at = list.At
	w.listed = map[netip.Addr]struct{}{}
	for _, h := range list.Hosts {
		if h.Leaving {
			w.listed[h.Addr] = struct{}{}
		} else {
			delete(w.news, h.Addr)
		}
	}
	w.publish()
}

// publish makes a new set if it differs from the current one. The caller holds
// mu.
func (w *Watcher) publish() {
	now := w.Timer.Now()
	addrs := map[netip.Addr]struct{}{}
	for a := range w.listed {
		addrs[a] = struct{}{}
	}
	for a, until := range w.news {
		if now.Before(until) {
			addrs[a] = struct{}{}
		} else {
			delete(w.news, a)
		}
	}
	old := w.Leaving()
	if same(old.addrs, addrs) {
		return
	}
	next := &Leaving{Number: old.Number + 1, addrs: addrs}
	w.current.Store(next)
	if w.OnChange != nil {
		w.OnChange(next)
	}
}

func same(a, b map[netip.Addr]struct{}) bool {
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
