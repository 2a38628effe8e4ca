package btsuspect

import (
	"sync/atomic"
	"time"

	"bramleytack"
)

const (
	// partEvents is the number of events after which an upstream has survived the parts of a
	// prompt: it has long begun to write the answer.
	partEvents = 64
	// A request on trial clears nothing before it has got trialEvents more than trialFactor times
	// as many events as any that a crash ended.
	trialEvents = 4
	trialFactor = 2
)

// Run is a request that an upstream has begun to answer with events. Its methods are safe for
// concurrent use and do nothing for a nil *Run.
type Run struct {
	table   *Table
	request bramleytack.RequestID
	// keys are those of the request.
	keys   []Key
	trial  bool
	events atomic.Int64
	// advanced is when the newest event came, in Unix nanoseconds.
	advanced atomic.Int64
}

// Begin adds a run to those that the table watches until End. The first key is that of the whole
// request, the others are those of parts of its prompt. A nil table returns nil.
func (t *Table) Begin(request bramleytack.RequestID, keys []Key) *Run {
	if t == nil {
		return nil
	}
	r := &Run{table: t, request: request, keys: keys}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.control.add(r)
	for _, key := range keys {
		if t.runs[key] == nil {
			t.runs[key] = map[*Run]struct{}{}
		}
		t.runs[key][r] = struct{}{}
		if s := t.suspects[key]; s != nil && s.trial == request {
			r.trial = true
		}
	}
	return r
}

// wholeAnswer returns the run of a request that was answered without events.
func wholeAnswer(keys []Key, now time.Time) *Run {
	r := &Run{keys: keys}
	r.events.Store(int64(beyond(0)))
	r.advanced.Store(now.UnixNano())
	return r
}

// Advance reports the number of events that the run has got, which clears the crashes that it has got
// further than.
func (r *Run) Advance(events int) {
	if r == nil {
		return
	}
	t := r.table
	r.events.Store(int64(events))
	r.advanced.Store(t.Timer.Now().UnixNano())
	survived := events == partEvents+1
	if t.Len() == 0 && !survived {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	for _, key := range r.keys[1:] {
		if survived {
			t.clear(key, beyond(partEvents), now)
		}
	}
	for _, key := range r.keys {
		s := t.suspects[key]
		if s == nil {
			continue
		}
		if s.trial == r.request {
			// The trial goes on.
			s.trialAt = now
		}
		r.speakFor(key, s, now)
	}
}

// speakFor clears the crashes of a suspect that the run has got further than. The caller holds the
// table's lock.
func (r *Run) speakFor(key Key, s *suspect, now time.Time) {
	events := int(r.events.Load())
	if s.whole() {
		return
	}
	if !r.trial || events >= trialEvents+trialFactor*s.furthest() {
		r.table.outlive(key, s, events, now)
	}
}

// Complete reports that the run has ended well, and ends the watch.
func (r *Run) Complete() {
	if r == nil {
		return
	}
	events := int(r.events.Load())
	r.events.Store(int64(beyond(events)))
	r.table.ReportExecuted(events, r.keys...)
	r.End()
}

// End ends the watch, however the run has ended.
func (r *Run) End() {
	if r == nil {
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range r.keys {
		delete(t.runs[key], r)
		if len(t.runs[key]) == 0 {
			delete(t.runs, key)
		}
	}
}
