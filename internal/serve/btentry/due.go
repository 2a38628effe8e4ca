package btentry

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// leaveMargin is how long before its caller leaves a request without a byte for it is
	// answered, since a caller that has left gets nothing. It is the time in which an event is to
	// reach its caller in the deployments with the longest ways: it covers the way of the request
	// and of the answer, and what a busy daemon is late. Answers that upstreams make in it are lost.
	leaveMargin = 200 * time.Millisecond
	// leaveShare bounds the margin by a share of the caller's time, so that callers with little
	// time keep nearly all of it: 20 ms of 300 ms, for ways of 3 ms and a daemon that is 10 ms late.
	leaveShare = 15
)

// dueBefore returns when a request that arrived at a time has to be answered whose caller leaves
// at another one. The margin is in whole milliseconds, as upstreams are told their time in them:
// otherwise those that are silent to the end would fail just before.
func dueBefore(leaves, arrived time.Time) time.Time {
	return leaves.Add(-min(leaveMargin, max(leaves.Sub(arrived), 0)/leaveShare).Truncate(time.Millisecond))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// setDeadline sets the times until which the request may go on. The timeout of the route is the
// one in force when it came. A caller does not leave at that, so that it needs no margin.
func (req *activeRequest) setDeadline(r *http.Request) {
	req.deadline = req.received.Add(req.route.Timeout)
	req.callerDeadline = req.deadline
	ms, err := strconv.ParseInt(r.Header.Get(req.h.Dialect.DeadlineMillis), 10, 64)
	named := err == nil && ms >= 0
	if named {
		req.callerDeadline = req.received.Add(time.Duration(ms) * time.Millisecond)
		if req.route.Timeout <= 0 {
			req.deadline = req.callerDeadline
		}
	}
	req.beginBy = req.deadline
	if named {
		req.deadline = earlier(req.deadline, req.callerDeadline)
		req.beginBy = earlier(req.beginBy, dueBefore(req.callerDeadline, req.received))
	}
	if req.route.Streaming {
		req.beginBy = earlier(req.beginBy, dueBefore(req.received.Add(stallLimit(req.route)), req.received))
	} else {
		// Its caller gets the whole answer at once.
		req.deadline = req.beginBy
	}
}

// beginOverdue ends a stream whose caller has got no byte and is about to leave.
func (req *activeRequest) beginOverdue() { req.finish(errDeadline) }
