package btentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btgrant"
)

const (
	// lateLatencyFactor is the number of target latencies after which an upstream
	// is late and a repeatable call is sent to another one.
	lateLatencyFactor = 3
	// minLateThreshold keeps calls of routes with a short target latency from being
	// abandoned too early.
	minLateThreshold = 250 * time.Millisecond
	// maxSkipped bounds the upstreams that a request skips because they are
	// unreachable or another instance has their address. A refused connection costs
	// one round trip. During an outage of the store, half of the registered
	// upstreams may no longer exist.
	maxSkipped = 16
	// maxSkipTime is the time since the request's arrival after which it skips no
	// further upstream. Dialing one that does not answer takes 400 ms.
	maxSkipTime = 1600 * time.Millisecond
	// meanRetryAfter is the mean Retry-After of requests that no upstream took.
	// maxRetryAfterShare bounds it by a share of the time until their deadline.
	meanRetryAfter     = 250 * time.Millisecond
	maxRetryAfterShare = 0.3
)

// call serves a request of a route without streaming. The caller gets the
// response once it is complete.
func (req *activeRequest) call(ctx context.Context) {
	tried := map[bramleytack.UpstreamID]bool{}
	var last *attemptResult
	var unattributed []*bramleytack.Upstream
	skipped, sent := 0, 0
	req.returned = req.takeReturn()
	for ctx.Err() == nil {
		u, at := req.awaitPlace(ctx, tried)
		terms := btgrant.Terms{}
		if u == nil && !req.turnedAway && req.attempts < max(req.route.MaxAttempts, 1) {
			u, terms = req.pickHeld(tried)
		}
		if u == nil {
			break
		}
		if req.outlastsDaemon(u) || sent > 0 && !req.maySendAgain() {
			at.giveBack()
			break
		}
		tried[u.ID] = true
		req.place = at
		started := req.h.Timer.Now()
		r := req.attempt(ctx, u, terms, req.attemptTimeout(tried))
		at.leave(r, req.h.Timer.Now().Sub(started))
		req.noteLimited(r, terms, tried)
		if !r.unsent {
			sent++
		}
		if r.unsent || r.misdirected {
			req.noteMissed(r)
			if skipped++; !req.maySkip(skipped) {
				break
			}
			continue
		}
		req.attempts++
		if r.unattributed {
			unattributed = append(unattributed, r.upstream)
		}
		last = betterResult(last, r)
		if !req.mayRetry(r) {
			break
		}
	}
	if len(unattributed) == 1 && req.attempts > 1 {
		// No other upstream answered with a server error, so the request is not the
		// cause.
		req.h.Accounts.RecordFailure(unattributed[0].ID)
	}
	req.respond(ctx, last)
}

// maySendAgain reports whether a call that was sent before may be sent once more. It draws on
// the retry budget.
func (req *activeRequest) maySendAgain() bool {
	if !req.mayRepeat() {
		return false
	}
	if !req.h.Budget.Retry(req.service) {
		req.log(btevent.RetryBudgetExhausted).Str("service", req.service).Send()
		return false
	}
	return true
}

// maySkip reports whether the request may try another upstream after it skipped
// the given number.
func (req *activeRequest) maySkip(skipped int) bool {
	return skipped < maxSkipped && req.h.Timer.Now().Sub(req.received) < maxSkipTime
}

// betterResult returns the result to answer the caller with. A usable result
// comes first, then one whose outcome is unknown: it must not be hidden by a later
// attempt that did not run. a may be nil.
func betterResult(a, b *attemptResult) *attemptResult {
	if a == nil || b.usable() || b.outcome != bramleytack.NotRun && !a.usable() {
		return b
	}
	return a
}

// pickUpstream returns an upstream of the service that is not in tried, or nil if
// there is none.
func (req *activeRequest) pickUpstream(tried map[bramleytack.UpstreamID]bool) *bramleytack.Upstream {
	req.snapshot = req.h.Table.Snapshot()
	var u *bramleytack.Upstream
	u, req.expectedDelay = req.h.Accounts.Pick(req.snapshot, req.eligible(tried), req.need)
	return u
}

// mayRetry reports whether the request may be sent to one more upstream after r.
func (req *activeRequest) mayRetry(r *attemptResult) bool {
	if req.noteFull(r) {
		return true
	}
	if req.attempts >= req.route.MaxAttempts {
		return false
	}
	if r.outcome == bramleytack.NotRun {
		return true
	}
	return req.route.Repeatable() && (r.outcome == bramleytack.Unknown || r.status >= http.StatusInternalServerError)
}

// attemptTimeout returns how long the next attempt may take. Without an upstream that is not
// in tried, it may take all the time that is left.
func (req *activeRequest) attemptTimeout(tried map[bramleytack.UpstreamID]bool) time.Duration {
	remaining := req.remaining()
	if !req.route.Repeatable() || req.attempts+1 >= req.route.MaxAttempts ||
		len(req.eligible(tried)) == 0 {
		return remaining
	}
	return min(remaining, req.lateThreshold())
}

// lateThreshold returns the response time from which an upstream is late.
func (req *activeRequest) lateThreshold() time.Duration {
	return max(lateLatencyFactor*req.route.TargetLatency, minLateThreshold)
}

// respond answers the caller with the result r, which is nil if no attempt could be made. If
// r is no response to forward, all sends decide whether the request is rejected as not run.
func (req *activeRequest) respond(ctx context.Context, r *attemptResult) {
	ran := req.execution.mayHaveRun()
	switch {
	case r != nil && r.usable():
		req.forward(r)
	case callerLeft(ctx):
		req.log(btevent.CallerDisconnected).Int("sends", req.attempts).Send()
		// A caller that has closed only its side of the connection still reads.
		req.writeError(http.StatusBadGateway, 0, "caller has disconnected")
	case req.quarantined():
		req.rejectQuarantined()
	case (endedByDaemon(ctx) || req.outlasts || !req.accepted(0)) && !ran:
		req.rejectLeaving()
	case endedByDaemon(ctx):
		req.reject(http.StatusBadGateway, 0, "daemon ends before the response")
	case !ran && req.turnedAway:
		req.rejectForReturn("no place in time")
	case !ran && r == nil && req.limitedSends > 0:
		req.rejectForReturn("upstreams limit their requests")
	case !ran && r == nil:
		req.rejectForReturn("no upstream available")
	case !ran:
		req.rejectForReturn("upstreams are full")
	case ctx.Err() != nil || req.remaining() <= 0 || r != nil && r.window.over(req.h.Timer.Now()):
		req.reject(http.StatusGatewayTimeout, 0, "timeout")
	case r != nil && r.outcome == bramleytack.Unknown && r.err == nil:
		req.reject(http.StatusBadGateway, 0, "upstream rejected the request without saying that it did not run")
	default:
		req.reject(http.StatusBadGateway, 0, "upstream failed")
	}
}

// forward sends an upstream's response to the caller unchanged.
func (req *activeRequest) forward(r *attemptResult) {
	req.h.Suspects.ReportExecuted(0, req.keys()...)
	copyHeader(req.w.Header(), r.header)
	if req.method != http.MethodHead {
		req.w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	req.writeHead(r.status)
	_, err := req.w.Write(r.body)
	req.noteUnread(r.upstream)
	req.execution.logTo(req.log(btevent.RequestAnswered)).Str("upstream", string(r.upstream.ID)).Int("status", r.status).AnErr("cause", err).Send()
	req.h.Metrics.responded(req, r.status)
	if r.status < http.StatusBadRequest {
		req.reportLate(r.upstream)
	}
}

// retryAfter returns a random Retry-After, so that rejected callers do not return
// all at once. It is not less than the time for which all upstreams are paused, until
// their limits allow the request, or until a place is expected to be free.
func (req *activeRequest) retryAfter() time.Duration {
	d := time.Duration((0.5 + rand.Float64()) * float64(meanRetryAfter))
	s := req.h.Table.Snapshot()
	var accepting []*bramleytack.Upstream
	for _, u := range s.ByService[req.service] {
		if s.Accepts(u.ID) {
			accepting = append(accepting, u)
		}
	}
	d += max(req.h.Accounts.PauseLeft(s, req.service), req.h.Grants.ReturnAfter(req.service, accepting), req.returnIn)
	return max(min(d, req.maxRetryAfter()), 0)
}

// maxRetryAfter returns the longest Retry-After that leaves the caller time for another
// attempt. The route's timeout bounds one attempt only: a call that has waited for most of it comes
// back later than at once if its caller has the time.
func (req *activeRequest) maxRetryAfter() time.Duration {
	return time.Duration(maxRetryAfterShare * float64(req.callerDeadline.Sub(req.h.Timer.Now())))
}
