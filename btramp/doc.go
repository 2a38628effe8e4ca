// Package btramp limits the load of an upstream that has started until its
// successes show that it is warm.
//
// A Ramp starts at the upstream's cold limit, its base. The concurrency limit
// doubles after enough requests succeeded at the current level, up to the warm
// limit. Below the warm limit, the prompt tokens per second are limited too. The
// ramp goes back to base on a new instance id, on several failures within a short
// time, on first tokens or decoding steps as slow as those of a cold upstream,
// and when the failure domain returns to service.
//
// Two modes lower the limit while two daemons may act as owner. In Fallback, an
// owner without a view lease allows half of the base while the upstream is cold.
// In ReserveHalf, a new owner leaves that half to an old owner that did not
// acknowledge the takeover. While the upstream is at its base, both owners together
// stay within the base.
//
// A Ramp has no lock and does not read the clock: the time is an argument.
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
