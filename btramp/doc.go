// Package btramp limits the work that a started upstream gets until it has
// proved that it is warm.
//
// A Ramp starts at the upstream's cold limit, its base. The concurrency limit
// doubles after enough requests succeeded at the current level, up to the warm
// limit. Below the warm limit, the prompt tokens per second are limited too.
// A new instance id, a burst of failures, first-token latency like that of a
// cold start, or a return with the failure domain take the ramp back to base.
//
// Two modes lower the limit while ownership is in doubt. In Fallback, an owner
// without a view lease gives a cold upstream half of its base. In ReserveHalf,
// a new owner leaves that half to an old owner that did not acknowledge the
// takeover. Together they stay within the base.
//
// A Ramp holds no lock and reads no clock; the caller passes the time.
//
// # Usage
//
//	r := btramp.New(btramp.Config{ColdLimit: u.ColdLimit, WarmLimit: u.WarmLimit})
//	r.ObserveInstance(now, report.Instance)
//	if a, ok := r.Admit(now, running, promptTokens); ok {
//		// run the request
//		r.End(now, a, btramp.Result{OK: true, FirstToken: d})
//	}
package btramp
