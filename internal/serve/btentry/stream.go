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
)

const (
	// backupOutput is the bound of output tokens from which a generation gets a
	// copy. Shorter ones end before most failures could strike.
	backupOutput = 60
	// copyAge is the time after the first event at which the copy of a prompt
	// has arrived at the backup engine.
	copyAge = 1200 * time.Millisecond
	// copyRetries and copyRetryPause bound the repeats of a take-over that was
	// refused because the engine before had not noticed its end.
	copyRetries    = 1
	copyRetryPause = 15 * time.Millisecond
	// silenceShare is the share of the route's longest pause after which an
	// engine that sends nothing is probed. The rest is left for the probe and
	// the first event from the copy.
	silenceShare = 0.5
	// leastSilence keeps engines with slow steps from being probed.
	leastSilence = 80 * time.Millisecond
	// overlap bounds the time in which two engines hold the same generation.
	overlap = 300 * time.Millisecond
	// firstEventShare is the share of the target latency after which a resumable
	// stream without any event is sent to another engine, if the engine is also
	// late by lateFactor of what was expected of it.
	firstEventShare = 0.8
	lateFactor      = 3
	// growEvents is the number of events between two notes of a generation's size.
	growEvents = 12
)

// relay is a stream on its way to the caller.
type relay struct {
	j       *job
	ctx     context.Context
	flusher http.Flusher
	// cur is the segment that the caller reads, next the one that takes over.
	cur  *segment
	next *segment
	// head is the head of the first segment, sent with the first event.
	head     *reply
	headSent bool
	last     uint64
	eventAt  time.Time
	tried    map[bramleytack.UpstreamID]bool
	moved    chan moveResult
	moving   bool
	probed   chan probeResult
	probing  bool
	// firstAfter and longestPause describe what the caller sees.
	firstAfter   time.Duration
	longestPause time.Duration
	// verdict is the last reply that can answer a caller who got no event.
	verdict *reply
	done    bool
}

// stream serves a request whose response is an event stream.
func (j *job) stream(ctx context.Context) {
	flusher, _ := j.w.(http.Flusher)
	s := &relay{j: j, ctx: ctx, flusher: flusher, tried: map[bramleytack.UpstreamID]bool{}, moved: make(chan moveResult, 1), probed: make(chan probeResult, 1)}
	if v, err := strconv.ParseUint(j.header.Get(j.h.Dialect.LastEvent), 10, 64); err == nil {
		s.last = v
	}
	defer s.close()
	if !s.begin() {
		s.giveUp()
		return
	}
	s.run()
}

// run relays until the stream has ended or failed.
func (s *relay) run() {
	alarm := s.j.h.Timer.After(s.silence())
	defer func() { alarm.Stop() }()
	_, changed := s.j.h.Table.Current()
	for !s.done {
		select {
		case i := <-s.cur.items:
			s.take(s.cur, i)
		case i := <-s.nextItems():
			s.take(s.next, i)
		case m := <-s.moved:
			s.takeMove(m)
		case r := <-s.probed:
			s.takeProbe(r)
		case <-changed:
			_, changed = s.j.h.Table.Current()
			s.checkLeaving()
		case <-alarm.C():
			s.checkLeaving()
			s.checkSilence()
			alarm = s.j.h.Timer.After(s.silence())
		case <-s.ctx.Done():
			s.giveUp()
		}
	}
}

func (s *relay) nextItems() <-chan item {
	if s.next == nil {
		return nil
	}
	return s.next.items
}

// begin sends the first segment, and says whether there is an engine for it.
func (s *relay) begin() bool {
	started := s.j.h.Timer.Now()
	u := s.j.awaitRoom(s.ctx, s.tried)
	if u == nil {
		return false
	}
	waited := s.j.h.Timer.Now().Sub(started)
	s.j.h.Metrics.waited(waited)
	s.tried[u.ID] = true
	s.cur = s.segment(u, fromStart, "")
	s.cur.start(s.ctx)
	s.j.log(btevent.AttemptStarted).Str("upstream", string(u.ID)).Int("prompt", s.j.need.Prompt).
		Int("output", s.j.need.Output).Str("backup", s.cur.backupName()).Dur("expected", s.j.expected).Dur("waited", waited).Uint64("version", s.j.s.Version).Send()
	return true
}

func (g *segment) backupName() string {
	if g.backup == nil {
		return ""
	}
	return string(g.backup.ID)
}

// segment prepares a request for an engine. The copy is empty unless the
// segment goes on from one.
func (s *relay) segment(u *bramleytack.Upstream, from origin, copyName string) *segment {
	j, d := s.j, s.j.h.Dialect
	g := &segment{job: j, upstream: u, origin: from, need: s.need(), copyName: copyName, request: j.request(u)}
	g.need.Copied = from == fromCopy
	if from != fromStart && (s.headSent || s.last > 0) {
		g.request.Header.Set(d.LastEvent, strconv.FormatUint(s.last, 10))
	}
	if copyName != "" {
		g.request.Header.Set(d.From, copyName)
	}
	profile := j.s.Engine(j.service)
	if profile != nil && profile.Backups && j.need.MaxOutput >= backupOutput {
		if g.backup = j.h.Accounts.PickBackup(j.s, u, g.need); g.backup != nil {
			g.request.Header.Set(d.Backup, g.backup.Addr.String())
		}
	}
	return g
}

// need returns what the rest of the stream takes of an engine.
func (s *relay) need() btaccount.Need {
	n := s.j.need
	n.Generated = s.made()
	return n
}

// made returns the tokens that the caller has.
func (s *relay) made() int {
	if p := s.j.s.Engine(s.j.service); p != nil {
		return int(s.last) * p.TokensPerEvent
	}
	return 0
}

// take handles an item of a segment.
func (s *relay) take(g *segment, i item) {
	if g.cancel == nil {
		// Left over from a segment that was closed.
		return
	}
	switch {
	case i.head != nil && i.ended:
		s.headFailed(g, i.head)
	case i.head != nil:
		if s.head == nil {
			s.head = i.head
		}
	case i.ended && i.err == nil:
		s.complete(g)
	case i.ended:
		s.broken(g, i.err)
	default:
		s.deliver(g, i)
	}
}

// deliver sends an event to the caller. The first event of the segment that
// takes over ends the one before it.
func (s *relay) deliver(g *segment, i item) {
	now := s.j.h.Timer.Now()
	g.eventAt = now
	g.events++
	if g.events == 1 {
		g.lease.PrefillDone()
		g.firstAt = now
	}
	if g == s.next {
		s.promote()
	}
	if i.event.HasID {
		if s.headSent && i.event.ID <= s.last {
			return
		}
		s.last = i.event.ID
	}
	if g.events%growEvents == 0 {
		g.lease.Grow(s.made())
	}
	s.sendHead()
	if _, err := s.j.w.Write(i.event.Raw); err != nil {
		s.j.log(btevent.CallerLeft).Err(err).Uint64("lastEvent", s.last).Send()
		s.done = true
		return
	}
	s.flusher.Flush()
	pause := now.Sub(s.eventAt)
	s.longestPause = max(s.longestPause, pause)
	s.j.h.Metrics.event(pause, g.origin != fromStart && g.events == 1)
	s.eventAt = now
}

func (s *relay) sendHead() {
	if s.headSent {
		return
	}
	s.headSent = true
	s.eventAt = s.j.h.Timer.Now()
	copyHeader(s.j.w.Header(), s.head.header)
	s.j.w.WriteHeader(s.head.status)
	s.firstAfter = s.eventAt.Sub(s.j.received)
	s.j.h.Metrics.firstEvent(s.firstAfter)
}

// promote lets the next segment take over.
func (s *relay) promote() {
	old := s.cur
	s.cur, s.next = s.next, nil
	s.moving = false
	old.close(btaccount.Abandoned)
	s.j.log(btevent.StreamMoved).Str("from", string(old.upstream.ID)).Str("to", string(s.cur.upstream.ID)).
		Stringer("origin", s.cur.origin).Uint64("lastEvent", s.last).Dur("pause", s.j.h.Timer.Now().Sub(s.eventAt)).Send()
}

// complete ends the response.
func (s *relay) complete(g *segment) {
	if g == s.next {
		s.promote()
	}
	s.sendHead()
	s.done = true
	g.close(btaccount.Served)
	s.learn()
	s.j.log(btevent.RequestAnswered).Str("upstream", string(g.upstream.ID)).Int("status", s.head.status).
		Uint64("lastEvent", s.last).Dur("first", s.firstAfter).Dur("longestPause", s.longestPause).Send()
	s.j.h.Metrics.answered(s.j, s.head.status)
}

// learn takes the length of a whole generation into the forecast.
func (s *relay) learn() {
	if s.j.need.MaxOutput > 0 && s.made() > 0 {
		s.j.h.Lengths.Learn(s.j.route.Name, s.made())
	}
}

// headFailed handles a segment that brought no stream.
func (s *relay) headFailed(g *segment, r *reply) {
	s.j.logAttempt(r, g.started)
	g.close(s.j.health(r))
	if g == s.next {
		s.next = nil
		if !s.tryCopyAgain(g, r) {
			s.nextFailed()
		}
		return
	}
	if g.origin == fromStart {
		s.startFailed(r)
		return
	}
	s.recoverFrom(g, r.err)
}

// startFailed handles a first segment that brought no stream.
func (s *relay) startFailed(r *reply) {
	if !r.unsent && !r.misdirected {
		s.j.sends++
		s.verdict = better(s.verdict, r)
	}
	may := r.unsent && s.j.mayTryMore(len(s.tried))
	if !r.unsent && len(s.tried) < maxUnsent && (r.misdirected || s.j.again(r)) {
		may = s.j.h.Budget.Retry(s.j.service)
	}
	if may && s.begin() {
		return
	}
	s.giveUp()
}

// broken handles a stream that broke off.
func (s *relay) broken(g *segment, err error) {
	if g == s.next {
		g.close(btaccount.Failed)
		s.next = nil
		s.nextFailed()
		return
	}
	g.close(btaccount.Failed)
	s.recoverFrom(g, err)
}

// giveUp ends the request without a whole response.
func (s *relay) giveUp() {
	s.done = true
	j := s.j
	switch {
	case errors.Is(context.Cause(s.ctx), context.Canceled):
		j.log(btevent.CallerLeft).Uint64("lastEvent", s.last).Send()
	case s.headSent:
		j.log(btevent.StreamBroken).Uint64("lastEvent", s.last).Dur("left", j.left()).Send()
		j.h.Metrics.broken()
		s.close()
		// Closes the connection without the end of the response.
		panic(http.ErrAbortHandler)
	case s.cur != nil && s.cur.cancel != nil:
		j.refuse(http.StatusGatewayTimeout, 0, "timeout")
	default:
		j.finishCall(s.ctx, s.verdict)
	}
}

func (s *relay) close() {
	s.cur.close(btaccount.Abandoned)
	s.next.close(btaccount.Abandoned)
}

// silence returns the pause after which the current engine is checked.
func (s *relay) silence() time.Duration {
	return max(time.Duration(silenceShare*float64(s.j.route.MaxPause)), leastSilence)
}
