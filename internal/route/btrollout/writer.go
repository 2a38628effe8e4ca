package btrollout

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// writeRetry is the time after which a failed write is repeated. One without an answer may
	// have taken effect: the replica shows it by then.
	writeRetry = 1500 * time.Millisecond
	// standIn is how long a status is wrong before judges that are not the first by rank write.
	standIn = 1500 * time.Millisecond
)

// writerState is what a daemon knows of its writes for an order.
type writerState struct {
	// wrongSince is when the status in the store was first seen to be wrong, zero if it is right.
	wrongSince time.Time
	notBefore  time.Time
}

// Writer keeps the status of orders in the store. Its fields are set before Run.
type Writer struct {
	Table *Table
	Store bramleytack.StatusWriter
	Codec bramleytack.RolloutCodec
	Timer bramleytack.Timer
	// Writes reports whether this daemon is the first by rank of those that reach the store.
	Writes func() bool
}

// Run writes what is due until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for w.Timer.Sleep(ctx, TickPeriod) == nil {
		w.sync(ctx)
	}
}

// sync writes each status that is wrong in the store. A status is as of its write: writes to a slow
// store take longer than decisions.
func (w *Writer) sync(ctx context.Context) {
	for _, s := range w.Table.due(w.Writes()) {
		d, ok := w.Table.dueOf(s.service, w.Writes())
		if !ok {
			continue
		}
		data, err := w.Codec.RolloutStatus(d.status)
		if err == nil {
			_, err = w.Store.PutStatus(ctx, bramleytack.Key{Kind: bramleytack.KindRollouts, Name: d.service}, data, d.revision)
		}
		w.Table.written(d, err)
	}
}

// dueStatus is a status to be written over a revision.
type dueStatus struct {
	service  string
	order    uint64
	status   bramleytack.RolloutStatus
	revision bramleytack.Revision
}

// due returns the statuses that this daemon should write now.
func (t *Table) due(first bool) (list []dueStatus) {
	if t == nil || t.active.Load() == 0 || !t.Judges() {
		return nil
	}
	t.mu.Lock()
	services := slices.Sorted(maps.Keys(t.orders))
	t.mu.Unlock()
	for _, service := range services {
		if d, ok := t.dueOf(service, first); ok {
			list = append(list, d)
		}
	}
	return list
}

// dueOf returns the status of one service if this daemon should write it now.
func (t *Table) dueOf(service string, first bool) (dueStatus, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[service]
	if o == nil {
		return dueStatus{}, false
	}
	now := t.Timer.Now()
	s := o.status(t.storable(service), now)
	if o.stored(s) {
		o.writer.wrongSince = time.Time{}
		return dueStatus{}, false
	}
	if o.writer.wrongSince.IsZero() {
		o.writer.wrongSince = now
	}
	if now.Before(o.writer.notBefore) || !first && now.Sub(o.writer.wrongSince) < standIn {
		return dueStatus{}, false
	}
	return dueStatus{service, o.id, s, o.rollout.Revision}, true
}

// status returns what the status of an order should say.
func (o *order) status(withdrawn []string, now time.Time) bramleytack.RolloutStatus {
	s := bramleytack.RolloutStatus{
		State: bramleytack.RolloutRunning, Target: o.rollout.Target, Order: o.id, Stage: int(o.stage), Elapsed: now.Sub(o.began), Written: now, Withdrawn: withdrawn,
	}
	switch {
	case o.rejected:
		s.State = bramleytack.RolloutRolledBack
	case o.complete || o.completing:
		s.State = bramleytack.RolloutComplete
	}
	return s
}

// stored reports whether the store has a status already, apart from its times.
func (o *order) stored(s bramleytack.RolloutStatus) bool {
	held := o.rollout.Status
	if held.State != s.State || held.Target != s.Target || held.Order != s.Order {
		return held.State.Final() && held.State == s.State && held.Target == s.Target && held.Order == 0
	}
	return s.State.Final() || held.Stage >= s.Stage && slices.Equal(held.Withdrawn, s.Withdrawn)
}

// written notes the result of a write. What the store holds comes with the replica.
func (t *Table) written(d dueStatus, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	o := t.orders[d.service]
	if o != nil && o.id == d.order {
		o.writer.notBefore = now.Add(writeRetry)
		if errors.Is(err, bramleytack.ErrConflict) {
			o.writer.notBefore = now.Add(TickPeriod)
		}
	}
	t.Log.Event(btevent.RolloutStored).Str("service", d.service).Str("target", d.status.Target).Str("state", string(d.status.State)).
		Int("stage", d.status.Stage).Dur("elapsed", d.status.Elapsed).Stringer("over", d.revision).AnErr("cause", err).Send()
}
