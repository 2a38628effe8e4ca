package btconfig

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

const (
	baseBackoff = 50 * time.Millisecond
	// maxBackoff spreads the lists of all watchers after an outage of the store.
	// In a large deployment they then take at most a quarter of the platform's
	// reads.
	maxBackoff = 2 * time.Second
	// maxSilentBackoff is the limit after a silent watch. With the silence limit
	// of 1.5 s it makes changes arrive within 3 s while all watches are silent.
	maxSilentBackoff = time.Second
)

// WatchStats counts the lists and watches of a Watcher.
type WatchStats struct {
	// ListedKinds is the number of kinds that were listed since Run began.
	// OpenWatches is the number of kinds with an open watch.
	ListedKinds int `json:"listed"`
	OpenWatches int `json:"following"`
	// Reopened counts watches that ended with bramleytack.ErrWatchSilent,
	// Failures all other errors of a list or a watch.
	Reopened uint64 `json:"reopened"`
	Failures uint64 `json:"failures"`
	// LastContact is the time of the last list or change.
	LastContact time.Time `json:"lastContact"`
}

// Watcher lists and watches the configuration in the store and applies the
// objects to a Config. While the store is down, the Config stays as it is. Set
// Store, Config and Timer before use.
type Watcher struct {
	Store  bramleytack.Store
	Config *Config
	Timer  bramleytack.Timer
	// Seed is the seed of the random part of the backoff.
	Seed uint64
	// OnError, if set, is called with the error that ended a list or a watch of
	// a kind. Calls for different kinds may be concurrent.
	OnError func(kind string, err error)

	mu     sync.Mutex
	rng    *rand.Rand
	listed map[string]bool
	stats  WatchStats
}

// Run follows all kinds until the context ends and returns the context's error.
// A Watcher can run again afterwards.
func (w *Watcher) Run(ctx context.Context) error {
	w.mu.Lock()
	w.rng = rand.New(rand.NewPCG(w.Seed, w.Seed))
	w.listed = map[string]bool{}
	w.mu.Unlock()
	var running sync.WaitGroup
	for _, kind := range Kinds() {
		running.Go(func() { w.followWithRetry(ctx, kind) })
	}
	running.Wait()
	return ctx.Err()
}

// Stats returns the current counts.
func (w *Watcher) Stats() WatchStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.ListedKinds = len(w.listed)
	return s
}

// Synced reports whether all kinds were listed since Run began.
func (w *Watcher) Synced() bool { return w.Stats().ListedKinds == len(configKinds) }

func (w *Watcher) followWithRetry(ctx context.Context, kind string) {
	retries := 0
	for ctx.Err() == nil {
		progress, err := w.follow(ctx, kind)
		if ctx.Err() != nil {
			return
		}
		if progress {
			retries = 0
		}
		w.recordFailure(kind, err)
		limit := maxBackoff
		if errors.Is(err, bramleytack.ErrWatchSilent) {
			limit = maxSilentBackoff
		}
		if w.Timer.Sleep(ctx, w.backoff(retries, limit)) != nil {
			return
		}
		retries++
	}
}

// follow lists a kind and watches it until an error occurs. progress reports
// whether the watch delivered a change.
func (w *Watcher) follow(ctx context.Context, kind string) (progress bool, err error) {
	objects, rev, err := w.Store.List(ctx, kind)
	if err != nil {
		return false, err
	}
	after, _ := w.Config.ApplyList(kind, objects, rev)
	w.recordContact(kind)
	changes, err := w.Store.Watch(ctx, kind, after)
	if err != nil {
		return false, err
	}
	defer changes.Close()
	w.addOpenWatches(1)
	defer w.addOpenWatches(-1)
	for {
		o, err := changes.Next(ctx)
		if err != nil {
			return progress, err
		}
		w.Config.Apply([]bramleytack.Object{o})
		w.recordContact(kind)
		progress = true
	}
}

// backoff returns a pause between half and all of a delay that doubles with
// each retry.
func (w *Watcher) backoff(retries int, limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := limit
	// The shift is bounded, since a large one would overflow.
	const maxShift = 10
	if retries < maxShift {
		d = min(baseBackoff<<retries, limit)
	}
	return d/2 + time.Duration(w.rng.Int64N(int64(d/2)))
}

func (w *Watcher) recordContact(kind string) {
	now := w.Timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed[kind] = true
	w.stats.LastContact = now
}

func (w *Watcher) addOpenWatches(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.OpenWatches += n
}

func (w *Watcher) recordFailure(kind string, err error) {
	w.mu.Lock()
	if errors.Is(err, bramleytack.ErrWatchSilent) {
		w.stats.Reopened++
	} else {
		w.stats.Failures++
	}
	w.mu.Unlock()
	if w.OnError != nil {
		w.OnError(kind, err)
	}
}
