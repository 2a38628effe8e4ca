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
	// pollTimeout is the greatest length of a long poll. A poll that gets no answer fails
	// within a second after it.
	pollTimeout = 2400 * time.Millisecond
	// firstListTimeout bounds the first list while there is no configuration. Callers wait
	// for it, and a connection on which the store went silent stays silent after the store
	// is back. It exceeds the answers of a store that is 60 times slower than usual. After
	// shortLists failures it doubles with each one, up to maxListDoublings times, since a
	// large configuration takes longer over a slow link.
	firstListTimeout = 600 * time.Millisecond
	shortLists       = 4
	maxListDoublings = 4
	// minBackoff and maxBackoff bound the pause after a failed call. Rejected calls
	// count against the store's rate limit, too.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// probeInterval is the mean time between the calls that all daemons together
	// make to a store that is down.
	probeInterval = 50 * time.Millisecond
	// inactiveInterval is the time between two checks of whether to call the store.
	inactiveInterval = 100 * time.Millisecond
	// noConfigInterval replaces inactiveInterval while there is no configuration,
	// because callers wait for it.
	noConfigInterval = 10 * time.Millisecond
	// followOverlap is how long a daemon keeps following a kind after others took
	// over. It is longer than the time after which an unanswered poll fails.
	followOverlap = 3500 * time.Millisecond
	// probeWait is the length of a poll of a store that is down. A probe fails soon after
	// it, so that none outlasts an outage for long.
	probeWait = 10 * time.Millisecond
)

// Watcher follows one kind of objects in the store: it lists the kind, then reads
// changes by long polls, and applies both to Table.
type Watcher struct {
	Feed  bramleytack.Feed
	Table *Table
	Timer bramleytack.Timer
	Log   *btevent.Logger
	Kind  string
	// Active reports whether this daemon should follow a kind now. Nil means always.
	Active func(kind string) bool
	// StoreDownCount returns the number of daemons that the store does not answer, this
	// one included. With it, their calls are probeInterval apart on average. Nil means
	// that there are no others.
	StoreDownCount func() int
	// Pause returns the time between an answer and the next poll. Changes during the
	// pause come in one answer. Nil means no pause.
	Pause func() time.Duration
	// StoreStatus records answers and failures of the store. It is shared by the
	// watchers of all kinds.
	StoreStatus *StoreStatus
	// Resync is shared by the watchers of all kinds.
	Resync *Resync

	following bool
	// firstLists counts the lists that were begun without a configuration.
	firstLists int
	// activeAt is when Active last returned true.
	activeAt time.Time
}

// updateFollowing reports whether this daemon should call the store now, and logs when
// that changes. A daemon keeps following for followOverlap after others took over,
// because polls that they began before a network failure may still hang.
func (w *Watcher) updateFollowing() bool {
	now := w.Timer.Now()
	active := w.Active == nil || w.Active(w.Kind)
	if active {
		w.activeAt = now
	}
	following := active || !w.activeAt.IsZero() && now.Sub(w.activeAt) < followOverlap
	if following != w.following {
		w.following = following
		event := btevent.WatchEnded
		if following {
			event = btevent.WatchStarted
		}
		w.Log.Event(event).Str("kind", w.Kind).Stringer("upto", w.Table.Upto(w.Kind)).Send()
	}
	return following
}

// Run follows the kind, while Active allows it, until the context ends.
func (w *Watcher) Run(ctx context.Context) { w.loop(ctx) }

func (w *Watcher) loop(ctx context.Context) {
	backoff := minBackoff
	relist, failed, gone := true, false, false
	for ctx.Err() == nil {
		w.StoreStatus.observe(w.Timer.Now())
		if !w.updateFollowing() {
			w.StoreStatus.release(w)
			w.sleep(ctx, w.inactiveDelay())
			continue
		}
		if !w.StoreStatus.mayCall(w) {
			w.sleep(ctx, inactiveInterval)
			continue
		}
		pollCtx, cancel, stale := w.Resync.begin(ctx, w)
		probe := !gone && (failed || w.StoreStatus.Down()) && w.Table.Upto(w.Kind) > 0
		err := w.poll(pollCtx, relist || stale, probe)
		cancel()
		switch {
		case err == nil:
			relist, failed, gone = probe && (relist || stale), false, false
			backoff = minBackoff
			w.StoreStatus.recordSuccess(w, w.Timer.Now())
			if w.Pause != nil {
				w.sleep(ctx, w.Pause())
			}
		case ctx.Err() != nil:
			return
		case w.Resync.interrupted(w):
			continue
		case errors.Is(err, bramleytack.ErrHistoryGone):
			relist, gone = true, true
			w.Resync.All(w)
			w.Log.Event(btevent.HistoryGone).Str("kind", w.Kind).Stringer("revision", w.Table.Upto(w.Kind)).Send()
		default:
			if w.StoreStatus.recordFailure(w.Log, w.Timer.Now(), err) {
				w.Resync.All(w)
			}
			relist, failed, gone = relist || stale, true, false
			w.sleep(ctx, max(backoff, w.probeDelay())+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// poll lists the kind or waits for changes, and applies the result to the table. As a
// probe it only asks for changes and does not wait for them.
func (w *Watcher) poll(ctx context.Context, relist, probe bool) error {
	base := w.Table.Upto(w.Kind)
	if !probe && (relist || base == 0) {
		if w.Table.Snapshot() == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, firstListTimeout<<min(max(w.firstLists-shortLists+1, 0), maxListDoublings))
			defer cancel()
			w.firstLists++
		}
		w.expectAnswer(ctx, 0)
		objects, upto, err := w.Feed.List(ctx, w.Kind)
		if err != nil {
			return err
		}
		w.Table.Apply(Batch{Kind: w.Kind, Full: true, Upto: upto, Objects: objects, FromStore: true, AfterOutage: w.StoreStatus.Returned(w.Timer.Now())})
		return nil
	}
	wait := probeWait
	if !probe {
		wait = w.StoreStatus.spacedWait(w, w.Timer.Now())
	}
	w.expectAnswer(ctx, wait)
	objects, upto, err := w.Feed.Changes(ctx, w.Kind, base, wait)
	if err != nil {
		return err
	}
	w.Table.Apply(Batch{Kind: w.Kind, Base: base, Upto: upto, Objects: objects, FromStore: true, AfterOutage: w.StoreStatus.Returned(w.Timer.Now())})
	return nil
}

// expectAnswer makes the daemon count as one without the store if the answer of a call,
// which is due after wait, is late and no other call is answered instead. It lasts until
// the context ends. The first lists of a start may be slow and take no part.
func (w *Watcher) expectAnswer(ctx context.Context, wait time.Duration) {
	if w.Table.Snapshot() == nil {
		return
	}
	due := w.Timer.Now().Add(wait)
	go (&lateAnswer{w: w, due: due, margin: w.StoreStatus.expect(w, due)}).run(ctx)
}

// lateAnswer notes that an answer is late.
type lateAnswer struct {
	w      *Watcher
	due    time.Time
	margin time.Duration
}

func (l *lateAnswer) run(ctx context.Context) {
	if l.w.Timer.Sleep(ctx, l.due.Add(l.margin).Sub(l.w.Timer.Now())) == nil {
		l.w.StoreStatus.recordLate(l.w.Log, l.due)
	}
}

// inactiveDelay returns the time until the next check of whether to follow the kind.
func (w *Watcher) inactiveDelay() time.Duration {
	if w.Table.Snapshot() == nil {
		return noConfigInterval
	}
	return inactiveInterval
}

// probeDelay returns the pause after a failed call with which the calls of all daemons
// without the store are probeInterval apart on average.
func (w *Watcher) probeDelay() time.Duration {
	if w.StoreDownCount == nil {
		return 0
	}
	return time.Duration(w.StoreDownCount()) * probeInterval
}

// sleep waits for d or until the context ends, whichever is first.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) { _ = w.Timer.Sleep(ctx, d) }
