package btentry

import (
	"strconv"
	"strings"
	"time"

	"bramleytack"
)

const (
	// usualPace is the figure of an upstream whose work takes as long as usual.
	usualPace = 100.0
	// paceField is the position of that figure in the load header.
	paceField = 3
	// maxPaceMoves bounds the moves of one generation for the pace of engines, those that
	// find no free memory included.
	maxPaceMoves = 6
	// maxCopyLife bounds the time for which an unused copy counts, whatever the configuration says.
	maxCopyLife = 30 * time.Second
	// lagShare is the share of a pause that the daemon has to take before it is its cause.
	lagShare = 0.5
)

// lateCause is why a stream was late.
type lateCause uint8

// The causes. onTime streams were not late.
const (
	onTime lateCause = iota
	lateFirst
	latePrompt
	latePace
	lateBatch
	lateHandover
	lateDaemon
)

var lateNames = [...]string{"", "firstEvent", "prompt", "pace", "batch", "handover", "daemon"}

// String returns the name of the cause in logs and metrics, empty for onTime.
func (c lateCause) String() string { return lateNames[c] }

// observePace takes the pace in the fields of an upstream's load header, if it tells one.
func (req *activeRequest) observePace(u *bramleytack.Upstream, fields []string) {
	if len(fields) <= paceField {
		return
	}
	if v, err := strconv.ParseFloat(strings.TrimSpace(fields[paceField]), 64); err == nil {
		req.h.Paces.Observe(u, v/usualPace)
	}
}

// learnPace learns from the time since the segment's last event.
func (seg *segment) learnPace(now time.Time) {
	h := seg.req.h
	if h.Paces == nil {
		return
	}
	beside := h.Accounts.Reading(seg.upstream)
	if seg.eventCount > 0 && beside == seg.beside {
		h.Paces.Learn(seg.upstream, now.Sub(seg.lastEventAt), beside)
	}
	seg.beside = beside
}

// notePause records a pause between two events of the stream, the second of which arrived at
// a time, and its cause if it is the longest.
func (s *relay) notePause(seg *segment, pause time.Duration, arrived time.Time) {
	if pause <= s.longestPause {
		return
	}
	s.longestPause = pause
	h := s.req.h
	profile := s.req.snapshot.Engine(s.req.service)
	switch {
	case h.Timer.Now().Sub(arrived) > time.Duration(lagShare*float64(pause)):
		s.pauseCause = lateDaemon
	case seg.origin != fromStart && seg.eventCount == 1:
		s.pauseCause = lateHandover
	case seg.beside:
		s.pauseCause = latePrompt
	case profile != nil && h.Accounts.Wait(s.req.snapshot, seg.upstream, time.Second) > 0:
		s.pauseCause = lateBatch
	default:
		s.pauseCause = latePace
	}
}

// late returns why a complete stream was late, or onTime.
func (s *relay) late() lateCause {
	r := s.req.route
	switch {
	case r.MaxPause > 0 && s.longestPause > r.MaxPause:
		return s.pauseCause
	case r.TargetLatency > 0 && s.firstEventLatency > r.TargetLatency:
		return lateFirst
	}
	return onTime
}

// checkPace moves the generation to an engine that holds streams, if the current one makes it
// pause too long. It is called after each event and acts on the first one and then as
// often as sizes are reported.
func (s *relay) checkPace() {
	if s.moving != nil || s.next != nil || s.cur.cancel == nil || s.paceMoves >= maxPaceMoves || s.req.daemonFinishes() {
		return
	}
	if s.cur.eventCount != 1 && s.cur.eventCount%growthReportEvents != 0 {
		return
	}
	profile := s.req.snapshot.Engine(s.req.service)
	if profile == nil || !profile.Moves || s.req.h.Mover == nil || isLeaving(s.req.snapshot, s.cur.upstream) {
		return
	}
	s.req.snapshot = s.req.h.Table.Snapshot()
	target := s.req.h.Accounts.PickHolder(s.req.snapshot, s.cur.upstream, s.remainingNeed())
	if target == nil {
		return
	}
	s.paceMoves++
	s.moveTo(target)
}

// answeredLate counts a late stream.
func (m *Metrics) answeredLate(c lateCause) {
	if m != nil && c != onTime {
		m.late.WithLabelValues(c.String()).Inc()
	}
}

// copyLife returns how long an engine keeps a copy that is not used, zero if that need not count:
// only where engines are divided do many generations leave copies behind.
func (req *activeRequest) copyLife() time.Duration {
	if profile := req.snapshot.Engine(req.service); profile != nil && req.h.Accounts.Divided(req.snapshot, req.service) {
		return min(profile.CopyLife, maxCopyLife)
	}
	return 0
}
