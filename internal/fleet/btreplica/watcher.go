package btreplica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// watchWait is the length of a long poll. A watch that went silent is
	// noticed a second after it.
	watchWait = 2 * time.Second
	// firstPause and maxPause bound the pause after a failed call. Each call
	// counts against the store's rate, also a refused one.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// probeSpacing is the mean time between the calls that all daemons together
	// make to find out whether the store is back.
	probeSpacing = 50 * time.Millisecond
	// inactivePause is the time between two looks whether to follow.
	inactivePause = 50 * time.Millisecond
	// emptyPause is the same while there is no configuration: callers wait.
	emptyPause = 10 * time.Millisecond
	// overlap is how long a daemon goes on following after others took over. It
	// is longer than a poll and its margin.
	overlap = 3 * time.Second
	// outageEcho is how long after an outage missing registrations may return.
	outageEcho = 3 * time.Second
)

// Watcher follows one kind of objects in the store.
type Watcher struct {
	Feed  bramleytack.Feed
	Table *Table
	Timer bramleytack.Timer
	Log   *btevent.Logger
	Kind  string
	// Active says whether this daemon should ask the store for a kind now. Nil
	// means always.
	Active func(kind string) bool
	// StoreDownCount returns the number of daemons that the store does not answer, this one
	// included. Nil means that there are no others.
	StoreDownCount func() int
	// Pause is the time between an answer and the next poll. Changes within it
	// come in one answer.
	Pause time.Duration
	// StoreStatus is told of each answer and each failure of the store.
	StoreStatus *StoreStatus
	// Resync is shared by the watchers of all kinds.
	Resync *Resync

	following bool
	// wantedAt is when Active last said so.
	wantedAt time.Time
}

// follows says whether this daemon should ask the store now. It goes on for a
// while after others took over: a poll of theirs may hang since before a cut.
func (w *Watcher) follows() bool {
	now := w.Timer.Now()
	active := w.Active == nil || w.Active(w.Kind)
	if active {
		w.wantedAt = now
	}
	following := active || !w.wantedAt.IsZero() && now.Sub(w.wantedAt) < overlap
	if following != w.following {
		w.following = following
		event := btevent.FollowEnded
		if following {
			event = btevent.FollowBegan
		}
		w.Log.Event(event).Str("kind", w.Kind).Uint64("upto", uint64(w.Table.Upto(w.Kind))).Send()
	}
	return following
}

// Run follows the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) { w.loop(ctx) }

func (w *Watcher) loop(ctx context.Context) {
	pause := firstPause
	relist := true
	for ctx.Err() == nil {
		if !w.follows() {
			w.StoreStatus.release(w)
			w.sleep(ctx, w.inactive())
			continue
		}
		if !w.StoreStatus.mayCall(w) {
			w.sleep(ctx, inactivePause)
			continue
		}
		poll, cancel, stale := w.Resync.begin(ctx, w)
		err := w.step(poll, relist || stale)
		cancel()
		switch {
		case err == nil:
			relist = false
			pause = firstPause
			w.StoreStatus.answered(w.Log, w.Kind, w.Timer.Now())
			if w.Pause > 0 {
				w.sleep(ctx, w.Pause)
			}
		case ctx.Err() != nil:
			return
		case w.Resync.interrupted(w):
			continue
		case errors.Is(err, bramleytack.ErrHistoryGone):
			relist = true
			w.Resync.All(w)
			w.Log.Event(btevent.HistoryGone).Str("kind", w.Kind).Uint64("revision", uint64(w.Table.Upto(w.Kind))).Send()
		default:
			if w.StoreStatus.failed(w.Log, w.Timer.Now(), err) {
				w.Resync.All(w)
			}
			relist = relist || stale
			w.sleep(ctx, max(pause, w.share())+rand.N(pause))
			pause = min(2*pause, maxPause)
		}
	}
}

func (w *Watcher) step(ctx context.Context, relist bool) error {
	base := w.Table.Upto(w.Kind)
	if relist || base == 0 {
		objects, upto, err := w.Feed.List(ctx, w.Kind)
		if err != nil {
			return err
		}
		w.Table.Apply(Batch{Kind: w.Kind, Full: true, Upto: upto, Objects: objects, FromStore: true, AfterOutage: w.StoreStatus.Disturbed(w.Timer.Now())})
		return nil
	}
	objects, upto, err := w.Feed.Changes(ctx, w.Kind, base, watchWait)
	if err != nil {
		return err
	}
	w.Table.Apply(Batch{Kind: w.Kind, Base: base, Upto: upto, Objects: objects, FromStore: true, AfterOutage: w.StoreStatus.Disturbed(w.Timer.Now())})
	return nil
}

// inactive returns the time until the next look whether to follow.
func (w *Watcher) inactive() time.Duration {
	if w.Table.Snapshot() == nil {
		return emptyPause
	}
	return inactivePause
}

// share returns the pause that spreads the calls of all daemons without the
// store.
func (w *Watcher) share() time.Duration {
	if w.StoreDownCount == nil {
		return 0
	}
	return time.Duration(w.StoreDownCount()) * probeSpacing
}

// sleep waits for d or until the context ends.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) { _ = w.Timer.Sleep(ctx, d) }
