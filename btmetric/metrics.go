package btmetric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// firstTokenBuckets are bounds in seconds around the target of 0.62 s.
var firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.45, 0.62, 0.9, 1.3, 2, 4, 8, 16, 32}

// tokenGapBuckets are bounds in seconds around the target of 70 ms.
var tokenGapBuckets = []float64{0.01, 0.02, 0.035, 0.05, 0.07, 0.1, 0.2, 0.5, 1, 2, 5}

// Metrics holds the metrics of one daemon. Filter updates the exported fields;
// other metrics are registered with functions that read their values.
type Metrics struct {
	registry   *prometheus.Registry
	Requests   *prometheus.CounterVec
	Tokens     prometheus.Counter
	InFlight   prometheus.Gauge
	FirstToken prometheus.Histogram
	TokenGap   prometheus.Histogram
}

// New returns metrics in a new registry, with those of the Go runtime and the
// process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bramleytack_requests_total", Help: "Requests by kind, error code and outcome.",
		}, []string{"kind", "code", "outcome"}),
		Tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bramleytack_tokens_total", Help: "Tokens sent to callers.",
		}),
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bramleytack_requests_in_flight", Help: "Requests that are being handled.",
		}),
		FirstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramleytack_first_token_seconds", Help: "Time from receipt to the first token.", Buckets: firstTokenBuckets,
		}),
		TokenGap: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bramleytack_token_gap_seconds", Help: "Time between two tokens of a stream.", Buckets: tokenGapBuckets,
		}),
	}
	m.registry.MustRegister(
		m.Requests, m.Tokens, m.InFlight, m.FirstToken, m.TokenGap,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Gauge registers a gauge that is read when it is scraped. The name gets the prefix
// "bramleytack_". It panics if the name is registered.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_" + name, Help: help}, read))
}

// Counter registers a counter, otherwise as Gauge does.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_" + name, Help: help}, read))
}

// Sample is the value of a counter for one set of label values.
type Sample struct {
	Labels []string
	Value  float64
}

// Counters registers a counter with labels, otherwise as Gauge does. Each sample
// has the values of the labels in their order.
func (m *Metrics) Counters(name, help string, labels []string, read func() []Sample) {
	m.registry.MustRegister(&readCounters{
		desc: prometheus.NewDesc("bramleytack_"+name, help, labels, nil), read: read,
	})
}

// readCounters implements prometheus.Collector.
type readCounters struct {
	desc *prometheus.Desc
	read func() []Sample
}

// Describe implements prometheus.Collector.
func (c *readCounters) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// Collect implements prometheus.Collector.
func (c *readCounters) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range c.read() {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, s.Value, s.Labels...)
	}
}

// Handler serves the metrics in the Prometheus exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
