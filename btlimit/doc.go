// Package btlimit limits the request rate and the concurrency of each workspace
// over all entry daemons together.
//
// Each entry daemon enforces its share of a limit without asking the others.
// Entry daemons exchange their demands, and each computes the same shares from
// the same demands. One that receives no demands uses the equal share, and the
// others leave that share to it. A smaller share takes effect at once, a larger
// one only when all others must have received the demands behind it. While entry
// daemons cannot reach each other, a limit can be exceeded by the shares that have
// changed, until the old demands expire. A burst is at most one second of the
// share, and at least one request.
//
// # Usage
//
//	limiter := &btlimit.Limiter{Self: host}
//	limiter.SetMembers(hosts)
//	path := bramleytack.Chain(last, &btlimit.Filter{Limiter: limiter, Snapshots: config, Timer: timers})
//
//	// every second
//	send(limiter.Demands(now))
//	limiter.Refresh(now, snapshot.Workspaces)
//	// on receipt
//	limiter.Receive(now, from, demands)
package btlimit
