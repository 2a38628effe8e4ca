package btentry

import (
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btaccount"
)

// lagShare is the share of a pause that the daemon has to take before it is its cause.
const lagShare = 0.5

// lateCause is why an answer was late.
type lateCause uint8

// The causes. onTime answers were not late. Waits, retries and upstreams make whole answers and
// first events late, the others make a stream pause too long.
const (
	onTime lateCause = iota
	lateWait
	lateRetry
	lateUpstream
	latePrompt
	latePace
	lateBatch
	lateHandover
	lateDaemon
)

var lateNames = [...]string{"", "wait", "retry", "upstream", "prompt", "pace", "batch", "handover", "daemon"}

// String returns the name of the cause in logs and metrics, empty for onTime.
func (c lateCause) String() string { return lateNames[c] }

// delay is how the time to an answer or to a first event divides.
type delay struct {
	// wait is the time until the request was first sent, retry that of the sends before the last
	// one, and upstream the rest.
	wait     time.Duration
	retry    time.Duration
	upstream time.Duration
}

// cause returns what took most of the time.
func (d delay) cause() lateCause {
	switch max(d.wait, d.retry, d.upstream) {
	case d.upstream:
		return lateUpstream
	case d.wait:
		return lateWait
	}
	return lateRetry
}

// delay returns how the time from the arrival of the request until a time divides.
func (req *activeRequest) delay(until time.Time) delay {
	first, last := req.execution.sentAt()
	if first.IsZero() {
		return delay{wait: until.Sub(req.received)}
	}
	return delay{wait: first.Sub(req.received), retry: last.Sub(first), upstream: until.Sub(last)}
}

// gap is a pause between two events of a stream, and what is known of it.
type gap struct {
	length   time.Duration
	upstream bramleytack.UpstreamID
	// event is the id of the event that ended it, at a time.
	event uint64
	at    time.Time
	// held is how long the daemon had the event. handover is set if the stream went on
	// at another engine, beside if the engine was reading a prompt.
	held     time.Duration
	handover bool
	beside   bool
	// full is set if the engine has no free place.
	full bool
	// load is that of the engine, lasting its pace.
	load    btaccount.Load
	lasting float64
	// role is what the engine is for where engines are divided, disturbed is set if others slow it
	// down.
	role      string
	disturbed bool
}

// cause returns what the gap came with.
func (g gap) cause() lateCause {
	switch {
	case g.held > time.Duration(lagShare*float64(g.length)):
		return lateDaemon
	case g.handover:
		return lateHandover
	case g.beside:
		return latePrompt
	case g.full:
		return lateBatch
	}
	return latePace
}

// notePause records a pause between two events of the stream, the second of which arrived at
// a time, if it is the longest.
func (s *relay) notePause(seg *segment, pause time.Duration, arrived time.Time) {
	if pause <= s.longest.length {
		return
	}
	h, now := s.req.h, s.req.h.Timer.Now()
	g := gap{
		length: pause, upstream: seg.upstream.ID, event: s.lastEventID, at: now, held: now.Sub(arrived),
		handover: seg.origin != fromStart && seg.eventCount == 1, beside: seg.beside,
	}
	if bound := s.req.route.MaxPause; bound > 0 && pause > bound {
		profile := s.req.snapshot.Engine(s.req.service)
		g.full = profile != nil && h.Accounts.Wait(s.req.snapshot, seg.upstream, time.Second) > 0
		g.load, g.lasting = h.Accounts.Load(seg.upstream.ID), h.Paces.Lasting(seg.upstream)
		g.role, g.disturbed = h.Accounts.Role(s.req.snapshot, seg.upstream), h.Paces.Disturbed(seg.upstream)
	}
	s.longest = g
}

// late returns why a complete stream was late, or onTime.
func (s *relay) late() lateCause {
	r := s.req.route
	switch {
	case r.MaxPause > 0 && s.longest.length > r.MaxPause:
		return s.longest.cause()
	case r.TargetLatency > 0 && s.firstEventLatency > r.TargetLatency:
		return s.firstDelay.cause()
	}
	return onTime
}

// reportLate logs and counts a complete stream that was late.
func (s *relay) reportLate() {
	c := s.late()
	if c == onTime {
		return
	}
	req, g, r := s.req, s.longest, s.req.route
	line := s.firstDelay.logTo(req.log(btevent.AnswerLate).Stringer("cause", c)).Dur("first", s.firstEventLatency).Dur("target", r.TargetLatency)
	if g.length > r.MaxPause {
		line = line.Dur("pause", g.length).Dur("bound", r.MaxPause).Str("upstream", string(g.upstream)).Uint64("eventId", g.event).
			Dur("pauseEnded", g.at.Sub(req.received)).Dur("held", g.held).Float64("lasting", g.lasting).
			Bool("disturbed", g.disturbed).Str("role", g.role).Int("running", g.load.Running).Int("streams", g.load.Streams).Int("unread", g.load.Unread)
	}
	line.Send()
	req.h.Metrics.answeredLate("stream", c)
}

// reportLate logs and counts a whole answer that was late.
func (req *activeRequest) reportLate(u *bramleytack.Upstream) {
	now := req.h.Timer.Now()
	target := req.route.TargetLatency
	if target <= 0 || now.Sub(req.received) <= target {
		return
	}
	d := req.delay(now)
	d.logTo(req.log(btevent.AnswerLate).Stringer("cause", d.cause())).Dur("target", target).Str("upstream", string(u.ID)).
		Float64("lasting", req.h.Paces.Lasting(u)).Int("running", req.h.Accounts.Load(u.ID).Running).Send()
	req.h.Metrics.answeredLate("call", d.cause())
}

// logTo adds the parts of the delay to a log entry.
func (d delay) logTo(line *logEvent) *logEvent {
	return line.Dur("wait", d.wait).Dur("retry", d.retry).Dur("atUpstream", d.upstream)
}

// answeredLate counts a late answer of a kind.
func (m *Metrics) answeredLate(kind string, c lateCause) {
	if m != nil {
		m.late.WithLabelValues(kind, c.String()).Inc()
	}
}
