package btgossip

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
)

// sharedStore is a store with one object of each kind that all daemons of a cell call.
// It can be silent for some of them.
type sharedStore struct {
	mu       sync.Mutex
	revision bramleytack.Revision
	// versions holds the revision of each object by kind.
	versions map[string]bramleytack.Revision
	silent   map[*Node]bool
	changed  chan struct{}
	calls    int
}

// change changes the object of a kind.
func (s *sharedStore) change(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.versions[kind] = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// set changes the store while daemons call it.
func (s *sharedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// storeClient is the client of one daemon.
type storeClient struct {
	store *sharedStore
	node  *Node
}

// read returns the object if it is newer than after, and a channel that is closed with
// the next change. It waits for timeout if the store is silent.
func (c *storeClient) read(ctx context.Context, kind string, after bramleytack.Revision, timeout time.Duration) ([]bramleytack.Object, bramleytack.Revision, <-chan struct{}, error) {
	time.Sleep(storeDelay)
	c.store.mu.Lock()
	version, revision, silent, changed := c.store.versions[kind], c.store.revision, c.store.silent[c.node], c.store.changed
	c.store.mu.Unlock()
	if silent {
		select {
		case <-time.After(timeout):
		case <-ctx.Done():
		}
		return nil, 0, nil, bramleytack.ErrStoreDown
	}
	var objects []bramleytack.Object
	if version > after {
		objects = append(objects, bramleytack.Object{Key: bramleytack.Key{Kind: kind, Name: "main"}, Version: version, Data: []byte("x")})
	}
	return objects, revision, changed, nil
}

func (c *storeClient) List(ctx context.Context, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	c.store.set(func() { c.store.calls++ })
	objects, revision, _, err := c.read(ctx, kind, 0, 2*time.Second)
	return objects, revision, err
}

func (c *storeClient) Changes(ctx context.Context, kind string, after bramleytack.Revision, wait time.Duration) ([]bramleytack.Object, bramleytack.Revision, error) {
	c.store.set(func() { c.store.calls++ })
	const margin = 700 * time.Millisecond
	for end := time.Now().Add(wait); ; {
		objects, revision, changed, err := c.read(ctx, kind, after, time.Until(end)+margin)
		if err != nil || len(objects) > 0 || time.Until(end) <= 0 {
			return objects, revision, err
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// runWithStore runs a cell of n daemons that watch a store, and calls f when they have
// been running for some time.
func runWithStore(t *testing.T, n int, f func(t *testing.T, c *cell, s *sharedStore)) {
	runCell(t, n, 0, func(c *cell) {
		s := &sharedStore{revision: 1, versions: map[string]bramleytack.Revision{}, silent: map[*Node]bool{}, changed: make(chan struct{})}
		ctx, stop := context.WithCancel(context.Background())
		for _, kind := range bramleytack.ReplicatedKinds {
			s.change(kind)
		}
		for _, node := range c.nodes {
			node.StoreStatus.OnDown, node.StoreStatus.PeerReads = node.Announce, node.PeerReadsStore
			resync := &btreplica.Resync{}
			for _, kind := range bramleytack.ReplicatedKinds {
				w := &btreplica.Watcher{
					Feed: &storeClient{s, node}, Table: node.Table, Timer: c.timer, Log: node.Log, Kind: kind,
					Active: node.Follows, StoreDownCount: node.StoreDownCount, StoreStatus: node.StoreStatus, Resync: resync,
				}
				if kind == bramleytack.KindUpstreams {
					w.Pause = func() time.Duration { return 60 * time.Millisecond }
				}
				go w.Run(ctx)
			}
		}
		time.Sleep(5 * time.Second)
		f(c.t, c, s)
		stop()
		time.Sleep(5 * time.Second)
	})
}

// byRank returns the daemons of a cell, those that read the store first.
func byRank(c *cell) []*Node {
	nodes := slices.Clone(c.nodes)
	slices.SortFunc(nodes, func(a, b *Node) int {
		if rank(a.Self.Host) < rank(b.Self.Host) {
			return -1
		}
		return 1
	})
	return nodes
}

// The store falls silent for the daemons that read it for all, right after a change of
// each kind, and changes again. Guards against daemons that learn of it only when the
// readers' polls have failed.
func TestSilenceForReadersIsNoticed(t *testing.T) {
	for _, c := range []struct {
		silent int
		bound  time.Duration
	}{{2, 1600 * time.Millisecond}, {3, 1600 * time.Millisecond}, {4, 1900 * time.Millisecond}} {
		runWithStore(t, 9, func(t *testing.T, fleet *cell, s *sharedStore) {
			kinds := []string{bramleytack.KindConfig, bramleytack.KindUpstreams}
			for _, kind := range bramleytack.ReplicatedKinds {
				s.change(kind)
			}
			time.Sleep(150 * time.Millisecond)
			nodes := byRank(fleet)
			s.set(func() {
				for _, n := range nodes[:c.silent] {
					s.silent[n] = true
				}
			})
			for _, kind := range kinds {
				s.change(kind)
			}
			time.Sleep(c.bound)
			for i, n := range nodes {
				for _, kind := range kinds {
					assert.Assert(t, n.Table.Upto(kind) >= s.versions[kind], "daemon of rank %d, %s, %d silent", i, kind, c.silent)
				}
			}
		})
	}
}

// Nothing happens. Guards against more calls to the store than the polls of two and of
// three daemons for each kind need.
func TestCallsInCalm(t *testing.T) {
	runWithStore(t, 9, func(t *testing.T, _ *cell, s *sharedStore) {
		s.set(func() { s.calls = 0 })
		const duration = 20 * time.Second
		time.Sleep(duration)
		// 2 s is the length of a poll.
		most := int(duration/(2*time.Second)) * (upstreamFollowers + 2*followersPerKind)
		s.set(func() { assert.Assert(t, s.calls <= most, "%d calls, at most %d", s.calls, most) })
	})
}
