package btentry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

type zerologEvent = zerolog.Event

// latencyBuckets are in seconds around the targets of calls and first events.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 1.8, 3, 6, 12, 40}

// gapBuckets are in seconds around the longest pause of 180 ms.
var gapBuckets = []float64{0.02, 0.04, 0.06, 0.09, 0.12, 0.18, 0.25, 0.5, 1, 2}

// Metrics count what callers get.
type Metrics struct {
	answers    *prometheus.CounterVec
	rejections *prometheus.CounterVec
	brokenOff  prometheus.Counter
	latency    *prometheus.HistogramVec
	first      prometheus.Histogram
	gaps       prometheus.Histogram
	handovers  prometheus.Histogram
	roomWaits  prometheus.Histogram
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_answers_total", Help: "Responses of upstreams that were passed on."}, []string{"status"}),
		rejections: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_rejections_total", Help: "Responses of the daemon itself."}, []string{"status", "reason"}),
		brokenOff:  prometheus.NewCounter(prometheus.CounterOpts{Name: "bramleytack_streams_broken_total", Help: "Streams that ended before their end."}),
		latency:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bramleytack_answer_seconds", Help: "Time to the whole response.", Buckets: latencyBuckets}, []string{"kind"}),
		first:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_first_event_seconds", Help: "Time to the first event.", Buckets: latencyBuckets}),
		gaps:       prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_event_gap_seconds", Help: "Time between events.", Buckets: gapBuckets}),
		handovers:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_handover_pause_seconds", Help: "Pause of a stream that went on at another engine.", Buckets: gapBuckets}),
		roomWaits:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_room_wait_seconds", Help: "Time until an engine had room for a generation.", Buckets: latencyBuckets}),
	}
	r.MustRegister(m.answers, m.rejections, m.brokenOff, m.latency, m.first, m.gaps, m.handovers, m.roomWaits)
	return m
}

func (m *Metrics) rejected(status int, reason string) {
	if m != nil {
		m.rejections.WithLabelValues(strconv.Itoa(status), reason).Inc()
	}
}

func (m *Metrics) answered(j *job, status int) {
	if m == nil {
		return
	}
	kind := "call"
	if j.route.Streaming {
		kind = "stream"
	}
	if status < http.StatusOK {
		return
	}
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(kind).Observe(j.h.Timer.Now().Sub(j.received).Seconds())
}

func (m *Metrics) broken() {
	if m != nil {
		m.brokenOff.Inc()
	}
}

func (m *Metrics) firstEvent(d time.Duration) {
	if m != nil {
		m.first.Observe(d.Seconds())
	}
}

func (m *Metrics) waited(d time.Duration) {
	if m != nil {
		m.roomWaits.Observe(d.Seconds())
	}
}

func (m *Metrics) event(gap time.Duration, handover bool) {
	if m == nil {
		return
	}
	m.gaps.Observe(gap.Seconds())
	if handover {
		m.handovers.Observe(gap.Seconds())
	}
}
