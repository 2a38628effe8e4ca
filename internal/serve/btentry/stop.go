package btentry

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btsuspect"
)

const (
	// The time between two orders to an engine that has not confirmed the first one doubles from
	// stopRetryPause to maxStopRetryPause, which leaves most of the 400 ms of the rule TWICE.
	stopRetryPause    = 25 * time.Millisecond
	maxStopRetryPause = 100 * time.Millisecond
	// stopTimeout bounds the orders to one engine. Paths that are lost for longer have taken the
	// engine's connections with them.
	stopTimeout = 4 * time.Second
	// stopSettle is how long a stream may take to end once its engine has confirmed the order. It
	// is several round trips between failure domains.
	stopSettle = 100 * time.Millisecond
	// freeTimeout bounds the call that frees what an engine keeps.
	freeTimeout = time.Second
)

// stop is an order to an engine to end a generation that goes on at another one
// (docs/design/handovers.md). The close of a connection is no such order: not every engine notices it.
type stop struct {
	req    *activeRequest
	source *bramleytack.Upstream
	// target is the engine that goes on with the generation.
	target *bramleytack.Upstream
	// then is started once the source has stopped. It is nil if another segment runs already.
	then *successor
	// confirmedAt is when the source has said that it has stopped.
	confirmedAt time.Time
	cancel      context.CancelFunc
}

// stopResult is the result of an order to stop.
type stopResult struct {
	stop *stop
	// kept is what the source keeps of the generation. Its Handle may be empty.
	kept bramleytack.EngineCopy
	err  error
}

// order tells an engine to stop. The order outlasts the request and ends if the generation comes
// back to the source.
func (s *relay) order(source, target *bramleytack.Upstream, then *successor) *stop {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), stopTimeout)
	if earlier := s.orders[source.ID]; earlier != nil {
		earlier.cancel()
	}
	o := &stop{req: s.req, source: source, target: target, then: then, cancel: cancel}
	s.orders[source.ID] = o
	s.req.stops.begin(source.ID)
	go o.run(ctx, s)
	return o
}

// run gives the order and reports the result to the relay, or frees what the source keeps if the
// request has ended.
func (o *stop) run(ctx context.Context, s *relay) {
	defer o.cancel()
	r := stopResult{stop: o}
	r.kept, r.err = o.untilStopped(ctx)
	o.req.stops.end(o.source.ID)
	o.confirmedAt = o.req.h.Timer.Now()
	o.req.log(btevent.GenerationStopped).Str("from", string(o.source.ID)).Str("to", string(o.target.ID)).Bool("kept", r.kept.Handle != "").AnErr("cause", r.err).Send()
	if o.then != nil && r.err == nil {
		// The stream has the time to end.
		_ = o.req.h.Timer.Sleep(s.ctx, stopSettle)
	}
	select {
	case s.stopResults <- r:
	case <-s.ctx.Done():
		o.req.free(r.kept)
	}
}

// untilStopped gives the order until the source confirms it, has nothing to stop or has gone, and
// returns what the source keeps. An error means that the source may still work on the generation.
func (o *stop) untilStopped(ctx context.Context) (kept bramleytack.EngineCopy, err error) {
	h := o.req.h
	for pause := stopRetryPause; !h.crashes.known(btsuspect.CrashOf(o.source), h.Timer.Now()); pause = min(2*pause, maxStopRetryPause) {
		kept, err = h.Mover.Stop(ctx, o.source.Addr, o.target.Addr, o.req.id)
		o.req.stops.answered(o.source.ID, err, h.Timer.Now())
		if err == nil || errors.IsAny(err, bramleytack.ErrNoGeneration, syscall.ECONNREFUSED) {
			return kept, nil
		}
		if h.Timer.Sleep(ctx, pause) != nil {
			return kept, err
		}
	}
	return kept, nil
}

// free ends what an engine keeps of a generation that it was told to stop: the generation goes on
// from a copy, and what is left takes room until its time has passed.
func (req *activeRequest) free(c bramleytack.EngineCopy) {
	if c.Handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	// What is not freed ends by itself.
	_ = req.h.Mover.Free(ctx, c)
}

// freeKept frees what engines keep, once the generation goes on elsewhere or has ended.
func (s *relay) freeKept() {
	for _, c := range s.kept {
		go s.req.free(c)
	}
	s.kept = nil
}

// canMove reports whether engines move generations, and take the order to stop one.
func (s *relay) canMove() bool {
	profile := s.req.snapshot.Engine(s.req.service)
	return profile != nil && profile.Moves && s.req.h.Mover != nil
}

// mayReplaceCurrent reports whether the running current segment may be handed over to another
// engine.
func (s *relay) mayReplaceCurrent() bool {
	return s.cur.running() && !s.cur.arrived.Load() && s.stopping == nil && !s.cur.unstoppable && s.canMove()
}

// stopCurrent starts n once the engine of the current segment has stopped. What the engine still
// sends until then reaches the caller.
func (s *relay) stopCurrent(n successor) {
	s.stopping = s.order(s.cur.upstream, n.upstream, &n)
}

// handleStop starts the successor of the current segment if its engine has stopped although its
// stream has not ended. An engine that sends on has not stopped, whatever it says, and keeps the
// generation.
func (s *relay) handleStop(r stopResult) {
	o := r.stop
	if r.kept.Handle != "" {
		s.kept = append(s.kept, r.kept)
	}
	if s.orders[o.source.ID] == o {
		delete(s.orders, o.source.ID)
	}
	if o != s.stopping {
		if s.doubted != nil && !s.awaitsAnswer() {
			s.resolveDoubt()
		}
		if s.next == nil {
			s.freeKept()
		}
		return
	}
	if r.err == nil && !s.cur.lastEventAt.After(o.confirmedAt) {
		if !s.cur.arrived.Load() {
			s.begin(*o.then)
		}
		// Otherwise the item with the end decides, which comes soon.
		return
	}
	s.stopping = nil
	s.cur.unstoppable, s.cur.successor = true, o.then
	s.req.log(btevent.HandoverGivenUp).Str("from", string(o.source.ID)).Str("to", string(o.target.ID)).AnErr("cause", r.err).Send()
}

// resolveDoubt decides about a stream that ended with its connection, once its engine has answered
// the order to stop. The stream is complete if the order stopped nothing. Otherwise the request
// ends if nothing goes on with it.
func (s *relay) resolveDoubt() {
	seg := s.doubted
	switch {
	case !s.req.stops.mayHaveStopped(seg.upstream.ID, seg.started):
		s.doubted = nil
		s.replace(s.next)
		s.next = nil
		s.stopOthers(seg.upstream)
		s.complete(seg)
	case !s.cur.running() && s.next == nil && s.moving == nil:
		s.fail()
	}
}

// confirmsEnd reports whether the end of a segment shows that the stream was whole whose end is in
// doubt: where the generation went on, it had no event left.
func (s *relay) confirmsEnd(seg *segment, err error) bool {
	if seg != s.next || !errors.Is(err, errEndEmpty) {
		return false
	}
	return s.doubted != nil || s.unseen != nil && s.endedAlive(s.unseen.upstream)
}

// endedAlive reports whether an engine that could not be reached at the end of its stream runs on.
func (s *relay) endedAlive(u *bramleytack.Upstream) bool {
	h := s.req.h
	return !h.crashes.known(btsuspect.CrashOf(u), h.Timer.Now()) && h.presence(s.ctx, u) == present && !h.replaced(u)
}

// awaitsAnswer reports whether the stream may turn out to be complete when an engine answers the
// order to stop.
func (s *relay) awaitsAnswer() bool {
	return s.doubted != nil && s.orders[s.doubted.upstream.ID] != nil
}

// replace closes a segment whose request goes on at another engine.
func (s *relay) replace(seg *segment) {
	if seg.running() {
		seg.close(btaccount.Abandoned)
		s.unstopped = append(s.unstopped, seg.upstream)
	}
}

// stopOthers tells the engines of segments that have ended for the daemon only to stop, since the
// request goes on at an engine.
func (s *relay) stopOthers(at *bramleytack.Upstream) {
	for _, u := range s.unstopped {
		if u.ID != at.ID && s.canMove() {
			s.order(u, at, nil)
		}
	}
	s.unstopped = nil
}

// launch starts a segment. Every segment is started here, so that no engine before goes on with the
// request and no order meets the segment itself.
func (s *relay) launch(seg *segment) {
	if o := s.orders[seg.upstream.ID]; o != nil {
		o.cancel()
	}
	s.stopOthers(seg.upstream)
	seg.start(s.ctx)
}
