// Package btmetric holds the metrics of a daemon for client_golang.
//
// Labels have few values: outcomes, codes, kinds and models, never request or
// workspace names.
//
// # Usage
//
//	metrics := btmetric.New()
//	mux.Handle("GET /metrics", metrics.Handler())
//	path := bramleytack.Chain(last, &btmetric.Filter{Metrics: metrics, Timer: timers})
package btmetric
