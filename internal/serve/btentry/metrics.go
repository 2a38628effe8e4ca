package btentry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleytack/internal/route/btgrant"
)

type logEvent = zerolog.Event

// latencyBuckets are in seconds, around the target latencies of calls and of first
// events.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.8, 3, 6, 12, 40}

// gapBuckets are in seconds, around the maximum pause of 180 ms between events.
var gapBuckets = []float64{0.02, 0.04, 0.06, 0.09, 0.12, 0.18, 0.25, 0.5, 1, 2}

// Metrics counts and times responses to callers. A nil *Metrics records nothing.
type Metrics struct {
	answers           *prometheus.CounterVec
	rejections        *prometheus.CounterVec
	brokenStreams     prometheus.Counter
	limits            *prometheus.CounterVec
	breaks            *prometheus.CounterVec
	panics            prometheus.Counter
	latency           *prometheus.HistogramVec
	firstEventLatency prometheus.Histogram
	eventGaps         prometheus.Histogram
	handoverPauses    prometheus.Histogram
	memoryWaits       prometheus.Histogram
	limitedSends      *prometheus.CounterVec
	waiting           waitingMetrics
	late              *prometheus.CounterVec
	admissions        *prometheus.CounterVec
	admissionWaits    *prometheus.HistogramVec
}

// NewMetrics registers the metrics with r. It panics if r has them already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_answers_total", Help: "Responses of upstreams that were passed on."}, []string{"status"}),
		rejections:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_rejections_total", Help: "Responses of the daemon itself."}, []string{"status", "reason"}),
		brokenStreams:     prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleytack_streams_broken_total", Help: "Streams that ended before their end."}),
		limits:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_response_limits_total", Help: "Responses of upstreams that exceeded a limit."}, []string{"limit"}),
		breaks:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_upstream_breaks_total", Help: "Checks of upstreams after a connection broke."}, []string{"verdict"}),
		panics:            prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleytack_request_panics_total", Help: "Requests that ended by a panic of the daemon."}),
		latency:           prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bramleytack_answer_seconds", Help: "Time to the whole response.", Buckets: latencyBuckets}, []string{"kind"}),
		firstEventLatency: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_first_event_seconds", Help: "Time to the first event.", Buckets: latencyBuckets}),
		eventGaps:         prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_event_gap_seconds", Help: "Time between events.", Buckets: gapBuckets}),
		handoverPauses:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_handover_pause_seconds", Help: "Pause of a stream that went on at another engine.", Buckets: gapBuckets}),
		memoryWaits:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_room_wait_seconds", Help: "Time until an engine had room for a generation.", Buckets: latencyBuckets}),
		limitedSends:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_limited_sends_total", Help: "Requests for permission to send to a limited upstream."}, []string{"result"}),
		late:              prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_late_answers_total", Help: "Complete answers that were late, by kind and cause."}, []string{"kind", "cause"}),
	}
	m.waiting = newWaitingMetrics(r)
	m.admissions, m.admissionWaits = newAdmissionMetrics()
	r.MustRegister(m.late, m.admissions, m.admissionWaits, m.limitedSends, m.answers, m.rejections, m.brokenStreams, m.limits, m.breaks, m.panics, m.latency, m.firstEventLatency, m.eventGaps, m.handoverPauses, m.memoryWaits)
	return m
}

func (m *Metrics) rejected(status int, reason string) {
	if m != nil {
		m.rejections.WithLabelValues(strconv.Itoa(status), reason).Inc()
	}
}

func (m *Metrics) responded(req *activeRequest, status int) {
	if m == nil {
		return
	}
	kind := "call"
	if req.route.Streaming {
		kind = "stream"
	}
	if status < http.StatusOK {
		return
	}
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(kind).Observe(req.h.Timer.Now().Sub(req.received).Seconds())
}

// limitedSend counts a decision of a limited upstream's rate.
func (m *Metrics) limitedSend(d btgrant.Decision) {
	if m == nil {
		return
	}
	result := "granted"
	if !d.Granted {
		result = "denied"
	}
	m.limitedSends.WithLabelValues(result).Inc()
}

func (m *Metrics) streamBroken() {
	if m != nil {
		m.brokenStreams.Inc()
	}
}

func (m *Metrics) panicked() {
	if m != nil {
		m.panics.Inc()
	}
}

func (m *Metrics) limitExceeded(name string) {
	if m != nil {
		m.limits.WithLabelValues(name).Inc()
	}
}

func (m *Metrics) inspected(v verdict) {
	if m != nil {
		m.breaks.WithLabelValues(v.String()).Inc()
	}
}

func (m *Metrics) firstEvent(d time.Duration) {
	if m != nil {
		m.firstEventLatency.Observe(d.Seconds())
	}
}

func (m *Metrics) memoryWait(d time.Duration) {
	if m != nil {
		m.memoryWaits.Observe(d.Seconds())
	}
}

func (m *Metrics) event(gap time.Duration, handover bool) {
	if m == nil {
		return
	}
	m.eventGaps.Observe(gap.Seconds())
	if handover {
		m.handoverPauses.Observe(gap.Seconds())
	}
}
