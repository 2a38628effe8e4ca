package btentry

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btgrant"
)

const (
	// moveTimeout bounds one move, whose transfer queues behind others on the
	// engines' links. An engine seldom runs longer after it starts leaving.
	moveTimeout = 4 * time.Second
	// probeTimeout is how long an engine may take to accept a connection before it
	// counts as unreachable and not just busy. It is several round trips between
	// failure domains.
	probeTimeout = 50 * time.Millisecond
	// fullBackupSilence is how long an engine is silent until its generation goes on at one
	// that has no free place.
	fullBackupSilence = time.Second
	// handoverWait is how long a generation waits for permission of a limited engine to go
	// on there.
	handoverWait = 100 * time.Millisecond
	// enterPeriod is how long after its choice an engine that has begun to leave meanwhile may be
	// entered. Deployments allow requests to a leaving engine for two seconds or more.
	enterPeriod = time.Second
	// fullPeriod is how long a copy still counts at an engine that had no room for it, so that
	// others look elsewhere. An engine whose memory is full ends about one generation in it.
	fullPeriod = time.Second
	// unusedFactor is the factor from the time for which engines keep unused copies to the one
	// for which they count: engines keep them well longer than they say.
	unusedFactor = 2
)

// errStalled ends a segment whose engine sent no event for too long.
var errStalled = errors.New("btentry: engine sends no events")

// errTargetLeft ends a move whose target no longer accepts work. The generation goes on
// at its source.
var errTargetLeft = errors.New("btentry: target of the move accepts no work")

// errReplaced is the cause of a move whose generation has gone on elsewhere. Its copy is used
// only if that fails.
var errReplaced = errors.New("btentry: generation went on elsewhere during the move")

// moveResult is how a move ended.
type moveResult struct {
	move *move
	copy bramleytack.EngineCopy
	err  error
}

// checkLeaving hands the stream over if the current engine is leaving, or its version is: to the
// backup engine if its copy is complete, and by a move otherwise.
func (s *relay) checkLeaving() {
	s.req.snapshot = s.req.h.Table.Snapshot()
	if s.moving != nil || s.next != nil || !s.mayReplaceCurrent() || s.cur.eventCount == 0 || !isLeaving(s.req.snapshot, s.cur.upstream) && !s.req.h.Rollouts.Vacates(s.cur.upstream) {
		return
	}
	if s.req.need.MaxOutput < minBackupOutput {
		return
	}
	if s.cur.backup != nil && s.req.h.Timer.Now().Sub(s.cur.firstEventAt) >= backupReadyAfter {
		s.probe(s.cur.backup)
		return
	}
	s.move()
}

// isLeaving reports whether an upstream is leaving or no longer registered.
func isLeaving(snapshot *bramleytack.Snapshot, u *bramleytack.Upstream) bool {
	current, ok := snapshot.Upstreams[u.ID]
	return !ok || current.State == bramleytack.UpstreamLeaving
}

// checkSilence acts on a current engine that sends nothing. After the first event
// it is probed; before that, a resumable stream is sent to another engine too.
func (s *relay) checkSilence() {
	if s.next != nil {
		return
	}
	silent := s.req.h.Timer.Now().Sub(s.cur.lastEventAt)
	if silent >= s.stallLimit() && s.cur.cancel != nil {
		s.segmentBroken(s.cur, errStalled)
		return
	}
	if s.headSent {
		if silent >= s.silenceLimit() {
			s.probe(s.cur.upstream)
		}
		return
	}
	limit := max(time.Duration(firstEventShare*float64(s.req.route.TargetLatency)), lateDelayFactor*s.req.expectedDelay)
	if s.req.route.Resumable && limit > 0 && silent >= limit && s.cur.origin == fromStart {
		s.resume("no first event")
	}
}

// probe starts a check whether u accepts connections. The current engine is
// checked when it is silent, since it may be live and have preempted the generation
// or be reading long prompts. The backup engine is checked before the current
// segment is ended in favor of the copy. Without a backup, probe does nothing.
func (s *relay) probe(u *bramleytack.Upstream) {
	if s.probing || s.cur.backup == nil && s.stopping == nil || s.cur.cancel == nil {
		return
	}
	s.probing = true
	p := &probe{relay: s, segment: s.cur, upstream: u, eventCount: s.cur.eventCount}
	if u == s.cur.upstream {
		p.control = s.cur.backup
	}
	go p.run()
}

// probe is one check whether an engine accepts connections.
type probe struct {
	relay    *relay
	segment  *segment
	upstream *bramleytack.Upstream
	// control is an engine that is checked at the same time, or nil. If it does not answer either,
	// the daemon itself may be late, or its link full.
	control *bramleytack.Upstream
	// eventCount is that of the segment when the check began.
	eventCount int
}

func (p *probe) run() {
	s := p.relay
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	controlled := make(chan error, 1)
	if p.control != nil {
		go (&controlCheck{p, controlled}).run(ctx)
	} else {
		controlled <- nil
	}
	err := s.req.h.Pool.Check(ctx, p.upstream.Addr)
	silent := err != nil && ctx.Err() != nil && s.ctx.Err() == nil && <-controlled == nil
	s.probeResults <- probeResult{segment: p.segment, upstream: p.upstream, eventCount: p.eventCount, err: err, silent: silent}
}

// controlCheck is the check of a probe's control.
type controlCheck struct {
	probe  *probe
	result chan<- error
}

func (c *controlCheck) run(ctx context.Context) {
	c.result <- c.probe.relay.req.h.Pool.Check(ctx, c.probe.control.Addr)
}

// probeResult is the result of a probe.
type probeResult struct {
	segment  *segment
	upstream *bramleytack.Upstream
	// eventCount is that of the segment when the probe began.
	eventCount int
	err        error
	// silent is set if the engine did not answer within probeTimeout, while the control did.
	silent bool
}

// handleProbe continues from the copy if the current engine did not answer, or if
// the backup engine accepted the connection. If the backup engine cannot be used,
// it moves the generation. A current engine that answers in time, even by refusing
// the connection, keeps the stream. So does one whose stream has ended: what is
// known of its end decides.
func (s *relay) handleProbe(r probeResult) {
	s.probing = false
	if r.segment != s.cur || s.cur.cancel == nil || s.next != nil || s.cur.arrived.Load() {
		return
	}
	switch {
	case r.upstream == s.cur.upstream && r.silent && s.cur.eventCount == r.eventCount && len(s.cur.items) == 0:
		if s.stopping != nil {
			s.begin(*s.stopping.then)
		} else if n := s.backupSuccessor("silent"); n != nil && s.givenUp() {
			s.begin(*n)
		}
	case r.upstream == s.cur.upstream || s.stopping != nil:
	case r.err != nil || !s.continueFromBackup("leaving"):
		s.cur.backup = nil
		s.move()
	}
}

// givenUp reports whether the current engine, which is silent and does not answer, is worth no
// further wait. It may be busy or cut off for a moment. Where the copy would wait for a place,
// the pause is long either way.
func (s *relay) givenUp() bool {
	u := s.cur.backup
	if u == nil || s.req.h.Accounts.Wait(s.req.h.Table.Snapshot(), u, s.req.route.TargetLatency) == 0 {
		return true
	}
	return s.req.h.Timer.Now().Sub(s.cur.lastEventAt) >= fullBackupSilence
}

// continueFromBackup starts a segment from the copy at the backup engine. It reports false if there
// is no backup or it accepts no work.
func (s *relay) continueFromBackup(reason string) bool {
	n := s.backupSuccessor(reason)
	if n == nil {
		return false
	}
	s.startNext(*n)
	return true
}

// backupSuccessor returns what goes on from the copy at the backup engine, or nil if there is no
// backup or it accepts no work.
func (s *relay) backupSuccessor(reason string) *successor {
	if s.cur.backup == nil {
		return nil
	}
	s.req.snapshot = s.req.h.Table.Snapshot()
	u := s.req.snapshot.Upstreams[s.cur.backup.ID]
	if u == nil || !s.req.mayHandOver(u) || s.req.daemonFinishes() {
		return nil
	}
	name := bramleytack.EngineCopy{Holder: u.Addr, Handle: s.req.id}.String()
	return &successor{upstream: u, origin: fromCopy, copyName: name, reason: reason, fromBackup: true}
}

// mayHandOver reports whether an upstream now takes a generation from another one.
func (req *activeRequest) mayHandOver(u *bramleytack.Upstream) bool {
	return req.h.Table.Snapshot().Accepts(u.ID) && !req.h.Accounts.Paused(u) && req.h.Rollouts.Admits(u)
}

// successor describes the segment that is to go on with a request at another engine.
type successor struct {
	upstream *bramleytack.Upstream
	origin   origin
	// copyName is empty unless the segment continues from a copy, fromBackup set if that is the
	// backup of the current segment.
	copyName   string
	fromBackup bool
	reason     string
	// retried is the rejected segment that it repeats, or nil.
	retried *segment
}

// startNext makes another engine go on with the request. If the current engine sends a stream that
// the other one is to continue, it is stopped first.
func (s *relay) startNext(n successor) {
	if s.cur.running() && (n.origin == fromCopy || s.headSent) {
		s.stopCurrent(n)
		return
	}
	s.begin(n)
}

// begin starts the next segment, although the current engine may not have stopped: it does not
// answer, or its connection has broken. Orders to stop go on until it answers. The current segment
// is closed, unless both run the request from the start, and so is a next one: nothing else sets it.
func (s *relay) begin(n successor) {
	ordered := s.stopping != nil
	s.stopping = nil
	s.replace(s.next)
	if n.fromBackup {
		// A copy can be used once.
		s.cur.backup = nil
	}
	if n.origin == fromCopy || s.headSent {
		if ordered {
			s.cur.close(btaccount.Abandoned)
		}
		if s.cur.running() && s.headSent {
			// Its stream may have ended already.
			s.unseen = s.cur
		}
		s.replace(s.cur)
	}
	s.next = s.newSegment(n.upstream, n.origin, n.copyName)
	s.next.terms = btgrant.Terms{Wait: handoverWait, Urgent: s.headSent}
	if n.origin == fromCopy {
		s.next.enterUntil = s.req.h.Timer.Now().Add(enterPeriod)
	}
	if n.retried != nil {
		s.next.enterUntil, s.next.retries = n.retried.enterUntil, n.retried.retries+1
	}
	s.launch(s.next)
	s.req.log(btevent.HandoverStarted).Str("from", string(s.cur.upstream.ID)).Str("to", string(n.upstream.ID)).Stringer("origin", n.origin).
		Str("reason", n.reason).Uint64("lastEvent", s.lastEventID).Str("backup", s.next.backupName()).Send()
}

// resume sends a resumable request to another engine, to continue after the last
// event. It reports false if the route, its attempt limit or the retry budget does
// not allow it, or if no engine is left.
func (s *relay) resume(reason string) bool {
	if !s.req.route.Resumable || s.req.attempts+1 >= s.req.route.MaxAttempts {
		return false
	}
	u := s.req.pickUpstream(s.tried)
	if u == nil || s.req.outlastsDaemon(u) || !s.req.h.Budget.Retry(s.req.service) {
		return false
	}
	s.tried[u.ID] = true
	s.req.attempts++
	s.startNext(successor{upstream: u, origin: fromEvent, reason: reason})
	return true
}

// recoverStream continues the stream after the current segment failed, or ends the
// request if it cannot.
func (s *relay) recoverStream(err error) {
	if s.moving != nil || s.next != nil {
		// The next segment has already started, or handleMove starts it or recovers the
		// stream.
		return
	}
	reason := "broken"
	if err != nil {
		reason = err.Error()
	}
	if s.req.mayRepeat() && (s.continueFromGivenUp(reason) || s.continueFromBackup(reason) || s.resume(reason)) {
		return
	}
	if !s.awaitsAnswer() {
		s.fail()
	}
}

// continueFromGivenUp goes on with the hand-over that was given up because the engine of the current
// segment sent on. It reports false if there is none or its engine accepts no work.
func (s *relay) continueFromGivenUp(reason string) bool {
	n := s.cur.successor
	s.cur.successor = nil
	if n == nil || !s.req.mayHandOver(n.upstream) || s.req.daemonFinishes() {
		return false
	}
	again := *n
	again.reason = reason
	s.begin(again)
	return true
}

// nextFailed handles a next segment that failed. The current segment may still run
// if the next one was to resume the stream, but not if it was to continue from a
// copy, which requires that the generation has ended. Without another way on,
// a generation that is being moved waits for handleMove.
func (s *relay) nextFailed() {
	if s.cur.cancel != nil {
		return
	}
	if s.req.mayRepeat() && (s.continueFromMove() || s.continueFromBackup("handover failed, using backup copy") || s.resume("handover failed")) {
		return
	}
	if s.moving == nil && !s.awaitsAnswer() {
		s.fail()
	}
}

// move starts to copy the generation's memory to another engine while it runs.
// That engine recomputes the tokens produced since the copy was taken, which takes
// less time than a second copy that queues behind those of other generations.
func (s *relay) move() {
	if s.moving != nil || !s.canMove() {
		return
	}
	target := s.req.h.Accounts.PickTarget(s.req.snapshot, s.cur.upstream, s.remainingNeed())
	if target == nil {
		return
	}
	s.moveTo(target)
}

// moveTo starts the move to an engine.
func (s *relay) moveTo(target *bramleytack.Upstream) {
	s.moving = &move{relay: s, source: s.cur, target: target}
	s.moving.lease = s.req.h.Accounts.BeginCopy(target.ID, s.remainingNeed())
	s.moving.copyLife = s.req.copyLife()
	s.req.log(btevent.MoveStarted).Str("from", string(s.cur.upstream.ID)).Str("to", string(target.ID)).Uint64("lastEvent", s.lastEventID).Send()
	go s.moving.run()
}

// move is one transfer of a running generation's memory.
type move struct {
	relay  *relay
	source *segment
	target *bramleytack.Upstream
	// lease counts the copy at the target.
	lease    *btaccount.CopyLease
	copyLife time.Duration
}

func (m *move) run() {
	s := m.relay
	r := moveResult{move: m}
	// The call outlasts the request: a copy can be freed only if its name is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), moveTimeout)
	defer cancel()
	r.copy, r.err = s.req.h.Mover.Move(ctx, m.source.upstream.Addr, m.target.Addr, s.req.id)
	if r.err != nil && ctx.Err() == nil && s.ctx.Err() == nil {
		// The target has less room than the loads tell, and all daemons learn of it.
		m.lease.Keep(min(fullPeriod, m.copyLife))
	} else {
		// A copy that came too late stays there, and so does one that is not used.
		m.lease.Keep(unusedFactor * m.copyLife)
	}
	select {
	case s.moveResults <- r:
	case <-s.ctx.Done():
		s.req.log(btevent.MoveEnded).Str("from", string(m.source.upstream.ID)).Str("to", string(m.target.ID)).
			Bool("unused", true).AnErr("cause", r.err).Send()
		if r.err == nil {
			m.free(r.copy)
		}
	}
}

// free frees the copy of a move that nobody will use. Where that fails, it takes room until its
// time has passed.
func (m *move) free(c bramleytack.EngineCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if m.relay.req.h.Mover.Free(ctx, c) == nil {
		m.lease.End()
	}
}

// dropMoved frees the copy of the last move, which is not used.
func (s *relay) dropMoved() {
	if s.moved != nil {
		go s.moved.move.free(s.moved.copy)
		s.moved = nil
	}
}

// handleMove continues the stream from the copy that a move made. If the generation has
// gone on elsewhere since, the copy is kept until that succeeds or fails.
func (s *relay) handleMove(r moveResult) {
	m, made := r.move, r.err == nil
	switch {
	case r.err != nil:
	case m != s.moving || s.next != nil:
		r.err = errReplaced
	case !s.req.mayHandOver(m.target):
		r.err = errTargetLeft
	}
	s.req.log(btevent.MoveEnded).Str("from", string(m.source.upstream.ID)).Str("to", string(m.target.ID)).
		AnErr("cause", r.err).Send()
	if m == s.moving && (r.err == nil || errors.Is(r.err, errReplaced)) {
		s.moved = &r
	} else if made {
		go m.free(r.copy)
	}
	if m != s.moving {
		return
	}
	s.moving = nil
	if s.next != nil || s.continueFromMove() || s.cur.cancel != nil {
		return
	}
	s.recoverStream(r.err)
}

// continueFromMove continues the current segment's generation from the copy of its move.
// It reports false if there is no copy or its engine accepts no work.
func (s *relay) continueFromMove() bool {
	r := s.moved
	if r == nil || !s.req.mayHandOver(r.move.target) {
		s.dropMoved()
		return false
	}
	s.moved = nil
	r.move.lease.End()
	s.startNext(successor{upstream: r.move.target, origin: fromCopy, copyName: r.copy.String(), reason: "moved"})
	return true
}

// retryCopy repeats a handover to a copy that was rejected unexecuted or not reached: the
// copy can be used only after the previous engine has noticed the end of the generation, and
// the way to it may be lost for a moment. It reports whether the handover was repeated.
func (s *relay) retryCopy(seg *segment, r *attemptResult) bool {
	if seg.origin != fromCopy || r.outcome != bramleytack.NotRun || r.limited || seg.retries >= copyRetries || s.req.h.Accounts.Paused(seg.upstream) {
		return false
	}
	if r.unsent && (errors.Is(r.err, errLeft) || errors.Is(r.err, errRejected) || errors.Is(r.err, syscall.ECONNREFUSED)) {
		return false
	}
	if !r.unsent && seg.retries >= freeCopyRetries && !s.req.h.Budget.Retry(s.req.service) {
		return false
	}
	if s.req.h.Timer.Sleep(s.ctx, copyRetryPause) != nil {
		return false
	}
	s.startNext(successor{upstream: seg.upstream, origin: fromCopy, copyName: seg.copyName, reason: "previous attempt rejected", retried: seg})
	return true
}
