package btentry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/serve/btstream"
)

const (
	// minBackupOutput is the maximum of output tokens from which a generation gets a
	// backup copy and is moved from a leaving engine. Shorter generations usually
	// end before a failure can affect them.
	minBackupOutput = 60
	// backupReadyAfter is the time from the first event until the copy is assumed to
	// be complete at the backup engine.
	backupReadyAfter = 1200 * time.Millisecond
	// copyRetries bounds the repeats of a handover to a copy that was not reached, or rejected
	// because the previous engine had not yet noticed the end of the generation.
	// Those beyond freeCopyRetries count in the retry budget, since engines of a deployment may
	// reject many copies at once.
	copyRetries     = 3
	freeCopyRetries = 1
	copyRetryPause  = 15 * time.Millisecond
	// silenceShare is the share of the route's maximum pause between events after
	// which an engine that sends nothing is probed. The rest is for the probe and
	// the first event from the copy.
	silenceShare = 0.5
	// minSilence keeps engines with long intervals between events from being
	// probed.
	minSilence = 80 * time.Millisecond
	// A stream that has begun and whose engine sends no event ends after the longest of minStall,
	// and stallTargets and stallPauses times the route's target latency and maximum pause.
	// Callers abandon a stream then. Bytes that are no event do not count.
	minStall     = 2 * time.Second
	stallTargets = 4
	stallPauses  = 8
	// A resumable stream without any event is sent to another engine after this
	// share of the target latency, but not before lateDelayFactor times the expected
	// delay of its engine.
	firstEventShare = 0.8
	lateDelayFactor = 3
	// growthReportEvents is the number of events between two updates of a
	// generation's size in the engine's account.
	growthReportEvents = 12
)

// relay forwards an event stream to its caller, segment by segment. Only the
// request's goroutine changes it; probes and moves report through channels.
type relay struct {
	req     *activeRequest
	ctx     context.Context
	flusher http.Flusher
	// cur is the segment whose events the caller gets. next is the one that replaces
	// it with its first event, or nil.
	cur      *segment
	next     *segment
	headSent bool
	// delivered is the number of events that the caller has got.
	delivered   int
	lastEventID uint64
	lastEventAt time.Time
	tried       map[bramleytack.UpstreamID]bool
	moveResults chan moveResult
	// moving is the move of the current segment's generation that is in flight, or nil.
	// moved is one that ended while the generation went on elsewhere, or nil: its copy
	// is used if that fails.
	moving       *move
	moved        *moveResult
	probeResults chan probeResult
	probing      bool
	// stopping is the order to the current engine to stop, before another one goes on, or nil.
	stopping    *stop
	stopResults chan stopResult
	// unstopped are the engines of closed segments that may still work on the request.
	unstopped []*bramleytack.Upstream
	// orders are the last orders to stop by their engines, as long as they are not answered.
	orders map[bramleytack.UpstreamID]*stop
	// doubted is the current segment if its stream has ended with its connection and it is not
	// known whether an order to stop was the cause, or nil.
	doubted *segment
	// unseen is the current segment if its stream has ended with its connection and its engine could
	// not be reached since, or was given up before its end was seen because the engine was silent, or nil.
	unseen *segment
	// kept is what engines keep that have stopped, until the generation goes on.
	kept []bramleytack.EngineCopy
	// firstEventLatency, with its parts, and the longest gap are measured as the caller sees them.
	firstEventLatency time.Duration
	firstDelay        delay
	longest           gap
	// broken is set once a segment has broken off.
	broken bool
	// paceMoves counts the moves for the pace of engines.
	paceMoves int
	// finalResult is the result to answer with if the caller gets no event.
	finalResult *attemptResult
	done        bool
}

// stream serves a request whose response is an event stream.
func (req *activeRequest) stream(ctx context.Context) {
	flusher, _ := req.w.(http.Flusher)
	s := &relay{
		req: req, ctx: ctx, flusher: flusher, tried: map[bramleytack.UpstreamID]bool{}, moveResults: make(chan moveResult), probeResults: make(chan probeResult, 1),
		stopResults: make(chan stopResult), orders: map[bramleytack.UpstreamID]*stop{},
	}
	if v, err := strconv.ParseUint(req.header.Get(req.h.Dialect.LastEvent), 10, 64); err == nil {
		s.lastEventID = v
	}
	defer func() { req.visit.Leave() }()
	defer s.close()
	if !s.startFirst() {
		if req.answerRefusal() {
			return
		}
		s.fail()
		return
	}
	s.run()
}

// run forwards events until the stream has ended or failed.
func (s *relay) run() {
	timer := s.req.h.Timer.After(s.silenceLimit())
	defer func() { timer.Stop() }()
	_, changed := s.req.h.Table.Current()
	for !s.done {
		select {
		case i := <-s.cur.items:
			s.handleItem(s.cur, i)
		case i := <-s.nextItems():
			s.handleItem(s.next, i)
		case m := <-s.moveResults:
			s.handleMove(m)
		case r := <-s.probeResults:
			s.handleProbe(r)
		case r := <-s.stopResults:
			s.handleStop(r)
		case <-changed:
			_, changed = s.req.h.Table.Current()
			s.checkLeaving()
		case <-timer.C():
			s.checkLeaving()
			s.cur.version.overdue()
			s.checkSilence()
			s.checkQuarantine()
			timer = s.req.h.Timer.After(s.silenceLimit())
		case <-s.ctx.Done():
			s.fail()
		}
	}
}

func (s *relay) nextItems() <-chan item {
	if s.next == nil {
		return nil
	}
	return s.next.items
}

// startFirst starts the first segment. It reports false if there is no engine for
// it.
func (s *relay) startFirst() bool {
	started := s.req.h.Timer.Now()
	u, terms := s.req.awaitEngine(s.ctx, s.tried), btgrant.Terms{}
	if u == nil && s.req.refusal == nil {
		u, terms = s.req.pickHeld(s.tried)
	}
	if u == nil || s.req.quarantined() || s.req.outlastsDaemon(u) {
		return false
	}
	s.req.visit.Admit()
	waited := s.req.h.Timer.Now().Sub(started)
	s.req.h.Metrics.memoryWait(waited)
	s.tried[u.ID] = true
	s.cur = s.newSegment(u, fromStart, "")
	s.cur.terms = terms
	s.launch(s.cur)
	s.req.log(btevent.AttemptStarted).Str("upstream", string(u.ID)).Int("prompt", s.req.need.Prompt).
		Int("output", s.req.need.Output).Str("backup", s.cur.backupName()).Dur("expected", s.req.expectedDelay).Dur("waited", waited).Uint64("version", s.req.snapshot.Version).Send()
	return true
}

// handleItem handles an item of a segment.
func (s *relay) handleItem(seg *segment, i item) {
	defer seg.handled(i.event)
	if seg.cancel == nil {
		// The item was read before the segment was closed.
		return
	}
	if s.ctx.Err() != nil {
		// run ends the request. The item may be due to that.
		return
	}
	switch {
	case i.head != nil && i.ended:
		s.headFailed(seg, i.head)
	case i.head != nil:
		if seg.head == nil {
			seg.head = i.head
		}
	case i.ended && (i.err == nil || s.confirmsEnd(seg, i.err)):
		s.complete(seg)
	case i.ended:
		s.segmentBroken(seg, i.err)
	default:
		s.deliver(seg, i)
	}
}

// mayFollow reports whether the caller may get events of a segment after those that it has
// got: the segment goes on with their run, or began with the last of them.
func (s *relay) mayFollow(seg *segment) bool {
	return seg.origin == fromCopy || seg.after == s.delivered
}

// deliver sends an event to the caller unless the caller has it already. The first
// event of the next segment ends the current one. The first one of the current segment
// ends a next one that began without it.
func (s *relay) deliver(seg *segment, i item) {
	now := s.req.h.Timer.Now()
	if !i.event.HasData {
		// A comment is no progress of the generation.
		if seg == s.cur && s.headSent {
			s.forwardEvent(i.event)
		}
		return
	}
	seg.learnPace(now)
	seg.lastEventAt = now
	seg.eventCount++
	if seg.eventCount == 1 {
		seg.lease.PrefillDone()
		seg.firstEventAt = now
		seg.watched = s.req.h.Suspects.Begin(bramleytack.RequestID(s.req.id), s.req.keys())
		if seg.origin == fromStart {
			s.req.visit.FirstEvent(s.req.unreadAhead, seg.started)
		}
	}
	seg.watched.Advance(seg.eventCount)
	seg.version.event(seg, now)
	if !s.headSent && !s.req.mayBegin() {
		s.req.daemonEnds()
		s.fail()
		return
	}
	if seg == s.next {
		s.promote()
	}
	if i.event.HasID {
		if s.headSent && i.event.ID <= s.lastEventID {
			return
		}
		s.lastEventID = i.event.ID
	}
	s.delivered++
	if s.next != nil && !s.mayFollow(s.next) {
		s.replace(s.next)
		s.next = nil
		s.stopOthers(s.cur.upstream)
	}
	if seg.eventCount%growthReportEvents == 0 {
		seg.lease.Grow(s.tokensSent())
	}
	s.sendHead()
	if !s.forwardEvent(i.event) {
		return
	}
	pause := now.Sub(s.lastEventAt)
	s.notePause(seg, pause, i.at)
	s.req.h.Metrics.event(pause, seg.origin != fromStart && seg.eventCount == 1)
	s.lastEventAt = now
	s.checkPace()
}

// forwardEvent sends an event to the caller. It reports false if the caller is gone.
func (s *relay) forwardEvent(e btstream.Event) bool {
	if _, err := s.req.w.Write(e.Raw); err != nil {
		s.req.log(btevent.CallerDisconnected).Err(err).Uint64("lastEvent", s.lastEventID).Send()
		s.req.noteUnread(s.cur.upstream)
		s.done = true
		return false
	}
	s.flusher.Flush()
	s.req.progress.forwarded(s.lastEventID, s.req.h.Timer.Now())
	return true
}

// sendHead sends the response header if it has not been sent.
func (s *relay) sendHead() {
	if s.headSent {
		return
	}
	s.headSent = true
	s.lastEventAt = s.req.h.Timer.Now()
	copyHeader(s.req.w.Header(), s.cur.head.header)
	s.req.writeHead(s.cur.head.status)
	s.firstEventLatency, s.firstDelay = s.lastEventAt.Sub(s.req.received), s.req.delay(s.lastEventAt)
	s.req.h.Metrics.firstEvent(s.firstEventLatency)
}

// promote makes the next segment the current one.
func (s *relay) promote() {
	old := s.cur
	s.cur, s.next = s.next, nil
	s.dropMoved()
	s.moving, s.doubted, s.unseen = nil, nil, nil
	s.replace(old)
	s.stopOthers(s.cur.upstream)
	s.freeKept()
	s.req.log(btevent.StreamMoved).Str("from", string(old.upstream.ID)).Str("to", string(s.cur.upstream.ID)).
		Stringer("origin", s.cur.origin).Uint64("lastEvent", s.lastEventID).Dur("pause", s.req.h.Timer.Now().Sub(s.lastEventAt)).Send()
}

// complete ends a response whose stream is complete.
func (s *relay) complete(seg *segment) {
	if !s.headSent && !s.req.begin() {
		s.fail()
		return
	}
	if seg == s.next {
		s.promote()
	}
	s.sendHead()
	s.done = true
	seg.watched.Complete()
	seg.close(btaccount.Served)
	s.learnLength()
	if seg.eventCount == 0 {
		s.req.h.Suspects.ReportExecuted(0, s.req.keys()...)
	}
	s.req.execution.logTo(s.req.log(btevent.RequestAnswered)).Str("upstream", string(seg.upstream.ID)).Int("status", seg.head.status).
		Uint64("lastEvent", s.lastEventID).Dur("first", s.firstEventLatency).Dur("longestPause", s.longest.length).
		Stringer("late", s.late()).Int("paceMoves", s.paceMoves).Send()
	s.req.h.Metrics.responded(s.req, seg.head.status)
	s.reportLate()
}

// learnLength adds the length and the pace of a complete generation to the forecasts.
func (s *relay) learnLength() {
	if s.req.need.MaxOutput > 0 && s.tokensSent() > 0 {
		s.req.h.Lengths.Learn(s.req.route.Name, s.tokensSent())
		s.req.h.pace.Learn(s.tokensSent(), s.lastEventAt.Sub(s.req.received.Add(s.firstEventLatency)))
	}
}

// headFailed handles a segment whose upstream did not open a stream.
func (s *relay) headFailed(seg *segment, r *attemptResult) {
	s.req.logAttempt(r, seg.started)
	health := s.req.health(r)
	atEnd := !r.unsent && !r.misdirected && r.window.over(s.req.h.Timer.Now())
	if atEnd {
		// The engine has kept the time that it was told.
		health = btaccount.Abandoned
	}
	seg.close(health)
	if r.outcome == bramleytack.Unknown && r.err != nil {
		s.unstopped = append(s.unstopped, seg.upstream)
	}
	seg.version.ended(r, health)
	if r.err != nil && !r.unsent && !atEnd {
		s.inspectBreak(seg, r.err)
	}
	if !r.unsent && !r.misdirected {
		s.noteResult(r)
	}
	if seg == s.next {
		s.next = nil
		if !s.retryCopy(seg, r) {
			s.nextFailed()
		}
		return
	}
	s.firstFailed(r)
}

// noteResult adds the result of a segment to what the request is answered with if the
// caller gets no event.
func (s *relay) noteResult(r *attemptResult) {
	if !s.headSent {
		s.finalResult = betterResult(s.finalResult, r)
	}
}

// firstFailed tries another engine after the first segment opened no stream, and
// ends the request if it may not. A request that runs elsewhere already goes on there.
func (s *relay) firstFailed(r *attemptResult) {
	s.req.noteLimited(r, s.cur.terms, s.tried)
	if s.next != nil {
		return
	}
	if !r.unsent && !r.misdirected {
		s.req.attempts++
	}
	if !s.req.mayRepeat() {
		s.fail()
		return
	}
	retry := r.unsent && s.req.maySkip(len(s.tried))
	if !r.unsent && len(s.tried) < maxSkipped && (r.misdirected || s.req.mayRetry(r)) {
		retry = s.req.h.Budget.Retry(s.req.service)
	}
	if retry && s.startFirst() {
		return
	}
	s.fail()
}

// segmentBroken handles a segment that ended before its stream was complete.
func (s *relay) segmentBroken(seg *segment, err error) {
	ordered := errors.Is(err, errEndOrdered)
	if ordered && seg == s.cur {
		s.doubted = seg
	}
	if errors.Is(err, errEndUnseen) && seg == s.cur {
		s.unseen = seg
	}
	if seg == s.cur && s.stopping != nil {
		s.begin(*s.stopping.then)
		return
	}
	s.unstopped = append(s.unstopped, seg.upstream)
	s.req.noteLimit(seg.upstream, err)
	// The engine may have run the request, even if a later attempt does not run.
	s.noteResult(&attemptResult{upstream: seg.upstream, outcome: bramleytack.Unknown, err: err, window: seg.window})
	if ordered || seg.window.over(s.req.h.Timer.Now()) {
		seg.close(btaccount.Abandoned)
	} else {
		seg.close(btaccount.Failed)
		seg.version.broken()
		s.inspectBreak(seg, err)
	}
	if seg == s.next {
		s.next = nil
		s.nextFailed()
		return
	}
	s.recoverStream(err)
}

// fail ends the request without a complete stream. If the caller has got an event, it
// panics with http.ErrAbortHandler.
func (s *relay) fail() {
	s.done = true
	req := s.req
	switch {
	case s.headSent:
		if callerLeft(s.ctx) {
			req.log(btevent.CallerDisconnected).Uint64("lastEvent", s.lastEventID).Send()
		} else {
			req.log(btevent.StreamBroken).Uint64("lastEvent", s.lastEventID).Dur("left", req.remaining()).Send()
			req.h.Metrics.streamBroken()
		}
		s.close()
		// net/http closes the connection without ending the response.
		panic(http.ErrAbortHandler)
	case endedByDaemon(s.ctx):
		s.settle()
		req.respond(s.ctx, s.finalResult)
	case (s.cur.running() || s.next.running()) && !callerLeft(s.ctx):
		req.reject(http.StatusGatewayTimeout, 0, "timeout")
	default:
		req.respond(s.ctx, s.finalResult)
	}
}

// settle ends the segments and adds to the final result what becomes of their requests.
func (s *relay) settle() {
	for _, seg := range []*segment{s.cur, s.next} {
		if !seg.running() {
			continue
		}
		seg.close(btaccount.Abandoned)
		s.finalResult = betterResult(s.finalResult, seg.settle())
	}
}

func (s *relay) close() {
	s.cur.close(btaccount.Abandoned)
	s.next.close(btaccount.Abandoned)
	s.freeKept()
	s.dropMoved()
}

// silenceLimit returns the time without events after which an engine is probed.
func (s *relay) silenceLimit() time.Duration {
	return max(time.Duration(silenceShare*float64(s.req.route.MaxPause)), minSilence)
}

// stallLimit returns the time without events after which a segment ends.
func (s *relay) stallLimit() time.Duration { return stallLimit(s.req.route) }

// stallLimit returns the time without events after which callers of a route abandon a stream.
func stallLimit(r *bramleytack.Route) time.Duration {
	return max(minStall, stallTargets*r.TargetLatency, stallPauses*r.MaxPause)
}
