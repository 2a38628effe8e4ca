// Package btlease implements the lease of a cell, which is kept in the
// platform's store. At most one host holds the lease at a time.
//
// There is one lease object per cell. It is acquired and renewed by
// conditional update, and the version of the acquisition is the fencing token.
// A holder counts the lease from just before it sent the renewal. A candidate
// waits for the whole duration of the lease plus a margin for clock drift, by
// its own clock, from when it first saw the current version. Both use only the
// monotonic clock, so the clocks of hosts need not agree. On Linux this clock
// advances while a process is stopped, so a paused holder finds its lease
// expired at the first call of Held after it resumes. It does not advance
// while the whole host is suspended.
//
// After a write with an unknown outcome the object is read; the change id shows
// whether it was that write. If the object is unchanged, the write is sent
// again with the same id, and the lease counts from the first attempt.
//
// The protocol relies on conditional updates only, not on fresh reads. A stale
// read delays an acquisition or makes it fail.
//
// # Usage
//
//	lease := &btlease.Lease{Store: store, Timer: timers, Cell: "qld-1", Host: "h1", PeerAddr: addr}
//	go lease.Run(ctx)
//	if fence, left, ok := lease.Held(); ok && left > timeout {
//		send(fence)
//	}
//
// Call Held each time its result is needed; a stored result becomes outdated.
package btlease
