// Package btmetric provides the Prometheus metrics of a daemon.
//
// To limit the number of time series, labels have few values, such as outcomes,
// codes, kinds and models, and never request or workspace names.
//
// # Usage
//
//	metrics := btmetric.New()
//	mux.Handle("GET /metrics", metrics.Handler())
//	path := bramleytack.Chain(last, &btmetric.Filter{Metrics: metrics, Timer: timers})
package btmetric
