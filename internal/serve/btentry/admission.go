package btentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btadmission"
)

// admissionLogInterval is the least time between two log lines of a daemon about requests
// that were rejected by admission. All are counted.
const admissionLogInterval = 200 * time.Millisecond

// admittedByLoad reports whether admission decides about the request: the first attempt at a
// generation of a known size, whose route has a target. One that was admitted and not sent, since
// its engine limits its requests, does not wait again.
func (req *activeRequest) admittedByLoad(tried map[bramleytack.UpstreamID]bool) bool {
	return req.h.Admission != nil && req.visit == nil && len(tried) == 0 && req.need.Prompt > 0 && req.route.TargetLatency > 0 && req.snapshot.Engine(req.service) != nil
}

// admissionRequest describes the request for admission.
func (req *activeRequest) admissionRequest() btadmission.Request {
	r := btadmission.Request{
		Service: req.service, Rank: req.rank(), Tenant: req.workspace, Arrived: req.received, Deadline: req.deadline,
		Target: req.received.Add(req.route.TargetLatency), End: req.received.Add(stallLimit(req.route)),
		Prompt: req.need.Prompt, Memory: req.need.Prompt + req.need.Output, Short: req.need.MaxOutput < minBackupOutput,
		Key: req.returnKey,
	}
	expected, _ := req.durations()
	if end := req.deadline.Add(req.route.TargetLatency - expected); end.Before(r.End) {
		// The generation itself takes what durations adds to the target.
		r.End = end
	}
	r.ReadTarget, r.LessUrgent = req.h.ranks.of(req.snapshot, req.service).least(r.Rank, req.route.TargetLatency)
	return r
}

// admitEngine returns an engine for a generation, or nil if there is none. Without overload it
// chooses as awaitEngine does by itself. Under overload, the generation gets an engine once one
// is within the limits of admission. The caller admits the visit and ends it.
func (req *activeRequest) admitEngine(ctx context.Context, tried map[bramleytack.UpstreamID]bool) *bramleytack.Upstream {
	started := req.h.Timer.Now()
	req.visit = req.h.Admission.Enter(req.admissionRequest())
	for {
		req.snapshot = req.h.Table.Snapshot()
		room, overloaded := req.visit.Overloaded(req.room)
		var u *bramleytack.Upstream
		var d btadmission.Decision
		var wait bool
		if overloaded {
			if d = req.visit.Decide(room); d.Rejected {
				req.rejectedBy(d, room)
				return nil
			}
			u, wait = req.pickWithin(d.Limits)
		} else {
			u, wait = req.pickOrWait(tried, req.h.Timer.Now().Sub(started))
		}
		if u != nil {
			req.unreadAhead = req.h.Accounts.UnreadBefore(u, req.need.Prompt)
			req.h.Metrics.admitted(req.h.Timer.Now().Sub(req.received), d)
		}
		if !wait {
			return u
		}
		req.visit.Wait()
		if req.h.Timer.Sleep(ctx, memoryPollInterval/2+rand.N(memoryPollInterval)) != nil || overloaded && !req.accepted(0) {
			return nil
		}
	}
}

// room returns the load of the service's engines for admission.
func (req *activeRequest) room() btadmission.Room {
	load := req.h.Accounts.ServiceLoad(req.snapshot, req.service)
	return btadmission.Room{Engines: load.Engines, Memory: load.Memory, Capacity: load.Capacity, Unread: load.Unread, Readers: load.Readers}
}

// pickWithin returns an engine within the limits of admission, or reports that the generation
// has to wait for one.
func (req *activeRequest) pickWithin(l btadmission.Limits) (u *bramleytack.Upstream, wait bool) {
	candidates := req.eligible(nil)
	within := slices.DeleteFunc(req.h.Accounts.WithUnread(candidates, l.Unread, req.need.Prompt), func(u *bramleytack.Upstream) bool { return !req.h.Admission.Offered(u.ID) })
	u, expected, full := req.h.Accounts.PickWithMemoryLimit(req.snapshot, within, req.need, l.Memory)
	if u != nil {
		req.expectedDelay = expected
		return u, false
	}
	// Otherwise no engine accepts work at all.
	return nil, full || len(within) < len(candidates)
}

// rejectedBy notes why admission rejects the request.
func (req *activeRequest) rejectedBy(d btadmission.Decision, room btadmission.Room) {
	req.refusal = &d
	req.h.Metrics.admissionRejected(d)
	if !req.h.admissionLogged.Due(req.h.Timer.Now(), admissionLogInterval) {
		return
	}
	req.log(btevent.AdmissionRejected).Str("service", req.service).Str("reason", d.Reason).Int("rank", req.rank()).Str("workspace", string(req.workspace)).
		Dur("forecast", d.Forecast).Dur("retryAfter", d.RetryAfter).Int("ahead", d.Ahead).Int("engines", room.Engines).Int("memory", room.Memory).
		Int("capacity", room.Capacity).Int("unread", room.Unread).Bool("late", d.Late).Bool("returned", d.Returned).Dur("left", req.remaining()).Send()
}

// answerRefusal answers a request that admission rejects. It reports false if there is none.
func (req *activeRequest) answerRefusal() bool {
	if req.refusal == nil {
		return false
	}
	req.reject(http.StatusServiceUnavailable, req.refusal.RetryAfter, "no room in time")
	return true
}

func newAdmissionMetrics() (*prometheus.CounterVec, *prometheus.HistogramVec) {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_admissions_total", Help: "Decisions of admission about generations."}, []string{"result"}),
		prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bramleytack_admission_wait_seconds", Help: "Time until a generation was sent.", Buckets: latencyBuckets}, []string{"standing"})
}

// admitted counts a generation that is sent after a wait.
func (m *Metrics) admitted(waited time.Duration, d btadmission.Decision) {
	if m == nil {
		return
	}
	standing := "new"
	switch {
	case d.Returned:
		standing = "returned"
	case d.Late:
		standing = "late"
	}
	m.admissions.WithLabelValues("admitted").Inc()
	m.admissionWaits.WithLabelValues(standing).Observe(waited.Seconds())
}

func (m *Metrics) admissionRejected(d btadmission.Decision) {
	if m != nil {
		m.admissions.WithLabelValues(d.Reason).Inc()
	}
}
