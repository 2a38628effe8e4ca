package btentry

import (
	"context"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
)

const (
	// moveTimeout bounds one move of a generation's memory, which queues behind
	// others on the links. An engine seldom stays longer after its notice.
	moveTimeout = 4 * time.Second
	// probeTimeout bounds the connection that tells a dead engine from a busy
	// one. It is several round trips between failure domains.
	probeTimeout = 50 * time.Millisecond
)

// moveResult is the end of a move.
type moveResult struct {
	source *segment
	target *bramleytack.Upstream
	copy   bramleytack.EngineCopy
	err    error
}

// checkLeaving acts on the current engine's leaving.
func (s *relay) checkLeaving() {
	s.j.s = s.j.h.Table.Snapshot()
	if s.moving || s.next != nil || s.cur.cancel == nil || s.cur.events == 0 || !leaving(s.j.s, s.cur.upstream) {
		return
	}
	if s.j.need.MaxOutput < backupOutput {
		return
	}
	if s.cur.backup != nil && s.j.h.Timer.Now().Sub(s.cur.firstAt) >= copyAge {
		s.probe(s.cur.backup)
		return
	}
	s.move()
}

// leaving says whether an upstream will end soon.
func leaving(s *bramleytack.Snapshot, u *bramleytack.Upstream) bool {
	now, ok := s.Upstreams[u.ID]
	return !ok || now.State == bramleytack.UpstreamLeaving
}

// checkSilence acts on an engine that sends nothing.
func (s *relay) checkSilence() {
	now := s.j.h.Timer.Now()
	if s.next != nil {
		s.checkOverlap(now)
		return
	}
	quiet := now.Sub(s.cur.eventAt)
	if s.headSent {
		if quiet >= s.silence() {
			s.probe(s.cur.upstream)
		}
		return
	}
	limit := max(time.Duration(firstEventShare*float64(s.j.route.TargetLatency)), lateFactor*s.j.expected)
	if s.j.route.Resumable && limit > 0 && quiet >= limit && s.cur.origin == fromStart {
		s.runAgain("no first event")
	}
}

// probe finds out whether an engine takes connections: the current one that is
// silent, which may have preempted the generation or read long prompts, or the
// one with the copy, before the current one is ended.
func (s *relay) probe(u *bramleytack.Upstream) {
	if s.probing || s.cur.backup == nil || s.cur.cancel == nil {
		return
	}
	s.probing = true
	go (&probe{relay: s, segment: s.cur, upstream: u}).run()
}

// probe is one test of an engine.
type probe struct {
	relay    *relay
	segment  *segment
	upstream *bramleytack.Upstream
}

func (p *probe) run() {
	s := p.relay
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	err := s.j.h.Pool.Check(ctx, p.upstream.Addr)
	s.probed <- probeResult{segment: p.segment, upstream: p.upstream, err: err, silent: ctx.Err() != nil && s.ctx.Err() == nil}
}

// probeResult is what a probe found.
type probeResult struct {
	segment  *segment
	upstream *bramleytack.Upstream
	err      error
	// silent is set if nothing answered in time.
	silent bool
}

func (s *relay) takeProbe(r probeResult) {
	s.probing = false
	if r.segment != s.cur || s.cur.cancel == nil || s.next != nil {
		return
	}
	switch {
	case r.upstream == s.cur.upstream && r.err != nil && r.silent:
		s.goOnFromBackup("silent")
	case r.upstream == s.cur.upstream:
	case r.err != nil || !s.goOnFromBackup("leaving"):
		s.cur.backup = nil
		s.move()
	}
}

// checkOverlap ends the time in which two engines hold the generation.
func (s *relay) checkOverlap(now time.Time) {
	if now.Sub(s.next.started) < overlap || s.next.origin == fromEvent && !s.headSent {
		return
	}
	if s.cur.cancel == nil {
		return
	}
	if s.cur.eventAt.After(s.next.started) {
		s.next.close(btaccount.Abandoned)
		s.next = nil
		return
	}
	s.cur.close(btaccount.Failed)
}

// goOnFromBackup starts the segment that goes on from the copy at the backup
// engine, and says whether there is one.
func (s *relay) goOnFromBackup(reason string) bool {
	g := s.cur
	if g.backup == nil {
		return false
	}
	s.j.s = s.j.h.Table.Snapshot()
	u := s.j.s.Upstreams[g.backup.ID]
	if !s.j.s.Accepts(g.backup.ID) {
		return false
	}
	// A copy can be used once, and only after its generation has stopped.
	g.backup = nil
	g.close(btaccount.Abandoned)
	name := bramleytack.EngineCopy{Holder: u.Addr, Handle: s.j.id}.String()
	s.startNext(u, fromCopy, name, reason)
	return true
}

func (s *relay) startNext(u *bramleytack.Upstream, from origin, copyName, reason string) {
	s.next = s.segment(u, from, copyName)
	s.next.start(s.ctx)
	s.j.log(btevent.HandoverStarted).Str("from", string(s.cur.upstream.ID)).Str("to", string(u.ID)).Stringer("origin", from).
		Str("reason", reason).Uint64("lastEvent", s.last).Str("backup", s.next.backupName()).Send()
}

// runAgain sends a resumable stream to another engine.
func (s *relay) runAgain(reason string) bool {
	if !s.j.route.Resumable || s.j.sends+1 >= s.j.route.MaxAttempts || !s.j.h.Budget.Retry(s.j.service) {
		return false
	}
	u := s.j.pick(s.tried)
	if u == nil {
		return false
	}
	s.tried[u.ID] = true
	s.j.sends++
	s.startNext(u, fromEvent, "", reason)
	return true
}

// recoverFrom goes on after the current segment broke.
func (s *relay) recoverFrom(g *segment, err error) {
	if s.moving {
		// The move's result decides.
		return
	}
	if s.next != nil {
		// The segment that takes over is already on its way.
		return
	}
	if !s.headSent {
		// The engine may have run the request, whatever the next one says.
		s.verdict = &reply{upstream: g.upstream, outcome: bramleytack.Unknown, err: err}
	}
	reason := "broken"
	if err != nil {
		reason = err.Error()
	}
	if s.goOnFromBackup(reason) || s.runAgain(reason) {
		return
	}
	s.giveUp()
}

// nextFailed handles a take-over that failed. The current engine still runs
// only if the next one was to run the stream again: a copy needs its end.
func (s *relay) nextFailed() {
	if s.cur.cancel != nil {
		return
	}
	if s.goOnFromBackup("second copy") || s.runAgain("take-over failed") {
		return
	}
	s.giveUp()
}

// move copies the generation's memory to another engine while it runs. The
// other engine reads the tokens that the copy lacks again: that takes less time
// than a second copy, which would queue behind those of other generations.
func (s *relay) move() {
	profile := s.j.s.Engine(s.j.service)
	if s.moving || profile == nil || !profile.Moves || s.j.h.Mover == nil {
		return
	}
	target := s.j.h.Accounts.PickTarget(s.j.s, s.cur.upstream, s.need())
	if target == nil {
		return
	}
	s.moving = true
	m := &move{relay: s, source: s.cur, target: target, need: s.need()}
	s.j.log(btevent.MoveStarted).Str("from", string(s.cur.upstream.ID)).Str("to", string(target.ID)).Uint64("lastEvent", s.last).Send()
	go m.run()
}

// move copies a generation's memory.
type move struct {
	relay  *relay
	source *segment
	target *bramleytack.Upstream
	need   btaccount.Need
}

func (m *move) run() {
	s := m.relay
	r := moveResult{source: m.source, target: m.target}
	held := s.j.h.Accounts.BeginCopy(m.target.ID, m.need)
	defer held.End()
	ctx, cancel := context.WithTimeout(s.ctx, moveTimeout)
	defer cancel()
	r.copy, r.err = s.j.h.Mover.Move(ctx, m.source.upstream.Addr, m.target.Addr, s.j.id, false)
	s.moved <- r
}

// takeMove goes on from the copy that a move made.
func (s *relay) takeMove(m moveResult) {
	s.moving = false
	s.j.log(btevent.MoveEnded).Str("from", string(m.source.upstream.ID)).Str("to", string(m.target.ID)).
		AnErr("cause", m.err).Send()
	if s.done || m.source != s.cur {
		return
	}
	if m.err == nil {
		s.cur.close(btaccount.Abandoned)
		s.startNext(m.target, fromCopy, m.copy.String(), "moved")
		return
	}
	if s.cur.cancel == nil {
		s.recoverFrom(s.cur, m.err)
	}
}

// tryCopyAgain repeats a take-over that was refused: the copy can be used only
// once the engine before has noticed the end of its generation.
func (s *relay) tryCopyAgain(g *segment, r *reply) bool {
	if g.origin != fromCopy || r.outcome != bramleytack.NotRun || r.unsent || g.retries >= copyRetries {
		return false
	}
	if s.j.h.Timer.Sleep(s.ctx, copyRetryPause) != nil {
		return false
	}
	s.startNext(g.upstream, fromCopy, g.copyName, "refused before")
	s.next.retries = g.retries + 1
	return true
}
