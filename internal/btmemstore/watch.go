package btmemstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// SilenceLimit is how long a watch waits without a change while the store's
// watches are silent, before it reports bramleytack.ErrWatchSilent. The
// platform sends a heartbeat each second, so 1.5 s without one is silence.
const SilenceLimit = 1500 * time.Millisecond

// ErrClosed is returned by a closed watch.
var ErrClosed = errors.New("btmemstore: watch is closed")

type watch struct {
	store  *Store
	kind   string
	after  bramleytack.Revision
	once   sync.Once
	closed chan struct{}
}

// Next implements bramleytack.Watch.
func (w *watch) Next(ctx context.Context) (bramleytack.Object, error) {
	for {
		o, ok, silent, changed := w.poll()
		if ok {
			w.after = o.Version
			return o, nil
		}
		if err := w.wait(ctx, silent, changed); err != nil {
			return bramleytack.Object{}, err
		}
	}
}

// Close implements bramleytack.Watch.
func (w *watch) Close() error {
	w.once.Do(func() { close(w.closed) })
	return nil
}

// poll returns the next change if there is one, whether watches are silent
// and a channel that is closed at the next change of the store.
func (w *watch) poll() (o bramleytack.Object, ok, silent bool, changed <-chan struct{}) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.store.fault.SilentWatches {
		return o, false, true, w.store.changed
	}
	i, _ := slices.BinarySearchFunc(w.store.changes, w.after+1, func(o bramleytack.Object, rev bramleytack.Revision) int {
		return int(int64(o.Version) - int64(rev))
	})
	for _, c := range w.store.changes[i:] {
		if c.Kind == w.kind {
			return clone(c), true, false, nil
		}
	}
	return o, false, false, w.store.changed
}

func (w *watch) wait(ctx context.Context, silent bool, changed <-chan struct{}) error {
	var silence <-chan time.Time
	if silent {
		t := time.NewTimer(SilenceLimit)
		defer t.Stop()
		silence = t.C
	}
	select {
	case <-changed:
		return nil
	case <-silence:
		return bramleytack.ErrWatchSilent
	case <-w.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}
