package btentry

import (
	"github.com/prometheus/client_golang/prometheus"

	"bramleytack/internal/route/btwaiting"
)

// waitingMetrics are about calls that wait for a place of a full service.
type waitingMetrics struct {
	waiting prometheus.Gauge
	results *prometheus.CounterVec
	returns *prometheus.CounterVec
	waited  prometheus.Histogram
}

func newWaitingMetrics(r prometheus.Registerer) waitingMetrics {
	m := waitingMetrics{
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{Name: "bramleytack_calls_waiting", Help: "Calls that wait for a place of a full service."}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_call_waits_total", Help: "Calls that waited for a place of a full service, or were rejected there."}, []string{"result"}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bramleytack_returned_call_waits_total", Help: "Those of them whose callers came back when they were told to."}, []string{"result"}),
		waited:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bramleytack_call_wait_seconds", Help: "Time until a waiting call got a place.", Buckets: latencyBuckets}),
	}
	r.MustRegister(m.waiting, m.results, m.returns, m.waited)
	return m
}

func (m *Metrics) waitBegins() {
	if m != nil {
		m.waiting.waiting.Inc()
	}
}

func (m *Metrics) waitEnded(r btwaiting.Result, returned bool) {
	if m == nil {
		return
	}
	m.waiting.waiting.Dec()
	m.waiting.results.WithLabelValues(r.Verdict.String()).Inc()
	if returned {
		m.waiting.returns.WithLabelValues(r.Verdict.String()).Inc()
	}
	if r.Verdict == btwaiting.Admitted {
		m.waiting.waited.Observe(r.Waited.Seconds())
	}
}
