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
)

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

// checkPace moves the generation to an engine that holds streams, if the current one makes it
// pause too long. It is called after each event and acts on the first one and then as
// often as sizes are reported.
func (s *relay) checkPace() {
	if s.moving != nil || s.next != nil || s.paceMoves >= maxPaceMoves || s.req.daemonFinishes() {
		return
	}
	if s.cur.eventCount != 1 && s.cur.eventCount%growthReportEvents != 0 {
		return
	}
	if !s.mayReplaceCurrent() || isLeaving(s.req.snapshot, s.cur.upstream) {
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

// copyLife returns how long an engine keeps a copy that is not used. Engines that start while
// others leave get many copies, and look empty if those do not count.
func (req *activeRequest) copyLife() time.Duration {
	if profile := req.snapshot.Engine(req.service); profile != nil {
		return min(profile.CopyLife, maxCopyLife)
	}
	return 0
}
