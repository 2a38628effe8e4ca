// Package btprobe polls the load reports of upstreams.
//
// One goroutine per probed upstream reads its report each period. After
// MissedLimit failed reads in a row the upstream counts as failed until a read
// succeeds. The set of probed upstreams follows the snapshot and a filter, such
// as the upstreams that this daemon owns.
//
// # Usage
//
//	probes := &btprobe.Prober{Snapshots: config, Upstreams: pool, Timer: timers, OnReport: report}
//	go probes.Run(ctx)
package btprobe
