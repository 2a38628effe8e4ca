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
	// maxBackoff keeps the lists of all watchers of a large deployment to a
	// quarter of the platform's reads when it comes back from an outage.
	maxBackoff = 2 * time.Second
	// maxSilentBackoff together with the silence limit of 1.5 s keeps changes
	// within 3 s while all watches are silent.
	maxSilentBackoff = time.Second
)

// WatchStats is the state of a Watcher.
type WatchStats struct {
	// ListedKinds is the number of kinds that were listed at least once.
	// OpenWatches is the number of kinds with an open watch.
	ListedKinds int `json:"listed"`
	OpenWatches int `json:"following"`
	// Reopened counts silent watches, Failures all other ends of a watch or list.
	Reopened uint64 `json:"reopened"`
	Failures uint64 `json:"failures"`
	// LastContact is the time of the last list or change.
	LastContact time.Time `json:"lastContact"`
}

// Watcher follows the store and applies what it sees to a Config. While the
// store is down, the Config stays as it is.
type Watcher struct {
	Store  bramleytack.Store
	Config *Config
	Timer  bramleytack.Timer
	// Seed feeds the jitter of the backoff.
	Seed uint64
	// OnError, if set, is told why a list or a watch of a kind ended.
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
		running.Go(func() { w.loop(ctx, kind) })
	}
	running.Wait()
	return ctx.Err()
}

// Stats returns the current state.
func (w *Watcher) Stats() WatchStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.ListedKinds = len(w.listed)
	return s
}

// Synced says whether all kinds were listed since Run began.
func (w *Watcher) Synced() bool { return w.Stats().ListedKinds == len(configKinds) }

func (w *Watcher) loop(ctx context.Context, kind string) {
	attempt := 0
	for ctx.Err() == nil {
		progress, err := w.follow(ctx, kind)
		if ctx.Err() != nil {
			return
		}
		if progress {
			attempt = 0
		}
		w.failed(kind, err)
		limit := maxBackoff
		if errors.Is(err, bramleytack.ErrWatchSilent) {
			limit = maxSilentBackoff
		}
		if w.Timer.Sleep(ctx, w.backoff(attempt, limit)) != nil {
			return
		}
		attempt++
	}
}

// follow lists a kind and watches it until something fails. progress says
// whether the watch delivered a change.
func (w *Watcher) follow(ctx context.Context, kind string) (progress bool, err error) {
	objects, rev, err := w.Store.List(ctx, kind)
	if err != nil {
		return false, err
	}
	after, _ := w.Config.ApplyList(kind, objects, rev)
	w.contact(kind)
	changes, err := w.Store.Watch(ctx, kind, after)
	if err != nil {
		return false, err
	}
	defer changes.Close()
	w.following(1)
	defer w.following(-1)
	for {
		o, err := changes.Next(ctx)
		if err != nil {
			return progress, err
		}
		w.Config.Apply([]bramleytack.Object{o})
		w.contact(kind)
		progress = true
	}
}

// backoff returns a pause between half and all of a delay that doubles with
// each attempt.
func (w *Watcher) backoff(attempt int, limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := limit
	// The shift stays small, so that it cannot overflow.
	const maxShift = 10
	if attempt < maxShift {
		d = min(baseBackoff<<attempt, limit)
	}
	return d/2 + time.Duration(w.rng.Int64N(int64(d/2)))
}

func (w *Watcher) contact(kind string) {
	now := w.Timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed[kind] = true
	w.stats.LastContact = now
}

func (w *Watcher) following(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.OpenWatches += n
}

func (w *Watcher) failed(kind string, err error) {
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
