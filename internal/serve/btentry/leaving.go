package btentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

const (
	// finishMargin is the time between the end of an upstream's time for a request of a leaving
	// daemon and Handler.Finish. The upstream's rejection arrives in it.
	finishMargin = 100 * time.Millisecond
	// leavingRetryAfter is the Retry-After value of a daemon that is leaving. Other
	// daemons can take the request at once.
	leavingRetryAfter = 20 * time.Millisecond
	// durationMargin is the factor from the expected length of a generation to one that
	// few generations exceed.
	durationMargin = 1.5
)

// errDaemonEnds is the cancellation cause of a request whose caller has got no byte when the
// daemon is about to end.
var errDaemonEnds = errors.New("btentry: daemon ends")

// daemonEnds ends a request without a byte for its caller.
func (req *activeRequest) daemonEnds() { req.finish(errDaemonEnds) }

// begin lets a request go on until its deadline and until the daemon has ended, because its
// caller gets a first byte. It reports false if the request has been ended for want of one
// already.
func (req *activeRequest) begin() bool {
	req.begun.Store(true)
	if req.release != nil && !req.release() {
		req.daemonEnds()
		return false
	}
	if req.beginTimer != nil && !req.beginTimer.Stop() {
		req.beginOverdue()
		return false
	}
	return true
}

// endedByDaemon reports whether the daemon is about to end and the caller has got no byte.
func endedByDaemon(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errDaemonEnds) }

// callerLeft reports whether the caller has disconnected.
func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

// endsInTime rejects a request that may outlast this daemon. Another daemon can take it at
// once, while nobody knows what became of one that is cut.
func (req *activeRequest) endsInTime() bool {
	if req.accepted(0) {
		return true
	}
	req.rejectLeaving()
	return false
}

// accepted reports whether a request that waits at an upstream first should end before this
// daemon does.
func (req *activeRequest) accepted(wait time.Duration) bool {
	if req.h.Accepts == nil {
		return true
	}
	expected, longest := req.durations()
	left := req.remaining()
	return req.h.Accepts(req.received, min(wait+expected, left), min(wait+longest, left))
}

// outlastsDaemon reports whether a request would not end before a leaving daemon if it were
// sent to u now, and notes that.
func (req *activeRequest) outlastsDaemon(u *bramleytack.Upstream) bool {
	if req.accepted(req.remaining()) {
		// It ends in time even if it waits until its deadline.
		return false
	}
	expected, _ := req.durations()
	req.outlasts = !req.accepted(req.h.Accounts.Wait(req.snapshot, u, expected))
	return req.outlasts
}

// mayBegin reports whether a stream whose first event has come may begin. One that was taken
// because it had to end before a leaving daemon does, and no longer can, is better answered
// than cut. One that was taken because it was expected to end may still do so.
func (req *activeRequest) mayBegin() bool {
	_, longest := req.durations()
	run := max(longest-req.route.TargetLatency, 0)
	return (req.h.Accepts == nil || req.h.Accepts(req.received, 0, run)) && req.begin()
}

// daemonFinishes reports whether a leaving daemon is about to end, so that nothing that is
// sent to an upstream now comes back in time.
func (req *activeRequest) daemonFinishes() bool {
	if req.h.FinishAt == nil {
		return false
	}
	at, leaving := req.h.FinishAt()
	// Upstreams end shortened windows a little early.
	return leaving && !req.h.Timer.Now().Before(at.Add(-2*finishMargin))
}

// window returns the time that an upstream gets for the request from now on: until its
// deadline or, where it is expected to wait for a place first, until shortly before a leaving
// daemon ends. A request that still waits then is rejected by the upstream, and known not to
// have run.
func (req *activeRequest) window(u *bramleytack.Upstream) window {
	w := window{start: req.h.Timer.Now(), end: req.deadline}
	if req.h.FinishAt == nil || req.begun.Load() {
		return w
	}
	at, leaving := req.h.FinishAt()
	expected, _ := req.durations()
	if at = at.Add(-finishMargin); leaving && at.Before(w.end) && req.h.Accounts.Wait(req.h.Table.Snapshot(), u, expected) > 0 {
		w.end, w.shortened = at, true
	}
	return w
}

// rejectLeaving answers a request that has not run and will not, since the daemon ends.
func (req *activeRequest) rejectLeaving() {
	req.reject(http.StatusServiceUnavailable, max(min(leavingRetryAfter, req.maxRetryAfter()), 0), "daemon ends before the request")
}

// durations returns a time that few requests of this kind and size exceed, and the longest
// time that this one may take: until its deadline or, for a generation of a limited length,
// until it has reached that length at an ordinary pace.
func (req *activeRequest) durations() (expected, longest time.Duration) {
	left := req.remaining()
	if !req.route.Streaming {
		return min(req.lateThreshold(), left), left
	}
	if req.need.MaxOutput == 0 {
		return left, left
	}
	generation := func(tokens int) time.Duration {
		return min(req.route.TargetLatency+time.Duration(durationMargin*float64(req.h.pace.Duration(tokens))), left)
	}
	return generation(req.need.Output), generation(req.need.MaxOutput)
}
