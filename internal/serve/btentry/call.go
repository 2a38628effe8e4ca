package btentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// patience is how many target latencies an idempotent call waits for an
	// upstream before it goes to another one.
	patience = 3
	// leastPatience keeps short targets from abandoning calls too early.
	leastPatience = 250 * time.Millisecond
	// maxUnsent bounds the upstreams that are tried without sending anything. A
	// refused connection takes a round trip; while the store is away half of the
	// registered upstreams may have ended.
	maxUnsent = 16
	// maxUnsentTime bounds the time spent on them. An upstream that does not
	// answer at all takes 400 ms.
	maxUnsentTime = 1600 * time.Millisecond
	// retryPause is the middle of the advice to callers whose request found no
	// upstream; retryShare is the most of their time left.
	retryPause = 250 * time.Millisecond
	retryShare = 0.3
)

// call serves a plain call.
func (j *job) call(ctx context.Context) {
	tried := map[bramleytack.UpstreamID]bool{}
	var last *reply
	var failing []*bramleytack.Upstream
	unsent, arrived := 0, 0
	for ctx.Err() == nil {
		u := j.pick(tried)
		if u == nil {
			break
		}
		tried[u.ID] = true
		if arrived > 0 && !j.h.Budget.Retry(j.service) {
			j.log(btevent.BudgetSpent).Str("service", j.service).Send()
			break
		}
		r := j.attempt(ctx, u, j.patience())
		if !r.unsent {
			arrived++
		}
		if r.unsent || r.misdirected {
			if unsent++; !j.mayTryMore(unsent) {
				break
			}
			continue
		}
		j.sends++
		if r.unjudged {
			failing = append(failing, r.upstream)
		}
		last = better(last, r)
		if !j.again(r) {
			break
		}
	}
	if len(failing) == 1 && j.sends > 1 {
		// It did better at another upstream.
		j.h.Accounts.RecordFailure(failing[0].ID)
	}
	j.finishCall(ctx, last)
}

// mayTryMore says whether one more upstream is tried after some that took
// nothing.
func (j *job) mayTryMore(unsent int) bool {
	return unsent < maxUnsent && j.h.Timer.Now().Sub(j.received) < maxUnsentTime
}

// better returns the reply that says more to the caller.
func better(a, b *reply) *reply {
	if a == nil || b.usable() || b.outcome != bramleytack.NotRun && !a.usable() {
		return b
	}
	return a
}

// pick returns the next upstream of the service, or nil.
func (j *job) pick(tried map[bramleytack.UpstreamID]bool) *bramleytack.Upstream {
	j.s = j.h.Table.Snapshot()
	var u *bramleytack.Upstream
	u, j.expected = j.h.Accounts.Pick(j.s, j.h.Accounts.Eligible(j.s, j.service, tried), j.need)
	return u
}

// again says whether the call may go to one more upstream.
func (j *job) again(r *reply) bool {
	if j.sends >= j.route.MaxAttempts {
		return false
	}
	if r.outcome == bramleytack.NotRun {
		return true
	}
	return j.route.Repeatable() && (r.err != nil || r.status >= http.StatusInternalServerError)
}

// patience returns how long one attempt may take.
func (j *job) patience() time.Duration {
	left := j.left()
	if !j.route.Repeatable() || j.sends+1 >= j.route.MaxAttempts {
		return left
	}
	return min(left, j.usualPatience())
}

// usualPatience returns the time after which an upstream counts as late.
func (j *job) usualPatience() time.Duration {
	return max(patience*j.route.TargetLatency, leastPatience)
}

// finishCall answers the caller.
func (j *job) finishCall(ctx context.Context, r *reply) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		j.log(btevent.CallerLeft).Int("sends", j.sends).Send()
	case r == nil:
		j.refuse(http.StatusServiceUnavailable, j.retryAfter(), "no upstream available")
	case r.usable():
		j.pass(r)
	case r.outcome == bramleytack.NotRun:
		j.refuse(http.StatusServiceUnavailable, j.retryAfter(), "upstreams are full")
	case ctx.Err() != nil || j.left() <= 0:
		j.refuse(http.StatusGatewayTimeout, 0, "timeout")
	default:
		j.refuse(http.StatusBadGateway, 0, "upstream failed")
	}
}

// pass sends an upstream's response unchanged.
func (j *job) pass(r *reply) {
	copyHeader(j.w.Header(), r.header)
	if j.method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	j.w.WriteHeader(r.status)
	_, err := j.w.Write(r.body)
	j.log(btevent.RequestAnswered).Str("upstream", string(r.upstream.ID)).Int("status", r.status).AnErr("cause", err).Send()
	j.h.Metrics.answered(j, r.status)
}

// retryAfter spreads the return of refused callers over their time left.
func (j *job) retryAfter() time.Duration {
	d := time.Duration((0.5 + rand.Float64()) * float64(retryPause))
	return max(min(d, time.Duration(retryShare*float64(j.left()))), 0)
}
