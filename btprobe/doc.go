// Package btprobe reads the load reports of upstreams.
//
// One goroutine per probed upstream reads its report each period. A report that
// does not arrive is counted: after MissedLimit of them in a row the upstream
// is taken for failed until it answers again. The set of probed upstreams
// follows the snapshot and a filter, such as the upstreams that this host owns.
//
// # Usage
//
//	probes := &btprobe.Prober{Snapshots: config, Upstreams: pool, Timer: timers, OnReport: report}
//	go probes.Run(ctx)
//	probes.Update(ctx)
package btprobe
