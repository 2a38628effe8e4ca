// Package btlimit holds the rate and the concurrency of a workspace over all
// entries together within its limits.
//
// Each entry enforces a share of a limit without asking anybody. Entries send
// each other their demands, and each computes the same shares from the same
// demands. An entry that hears nothing uses the equal share, and the others
// leave that share to it. A smaller share is used at once, a larger one only
// after the time in which the others have heard of it. While entries do not
// hear of each other, a limit can be exceeded by what moved, until the news
// has expired. A burst is at most one second of the share, and at least one
// request.
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
