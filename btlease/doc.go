// Package btlease keeps the lease of a cell in the platform's store.
//
// There is one lease object per cell. It is acquired and renewed by
// conditional update, and the version of the acquisition is the fencing token.
// A holder counts the lease from the moment before it sent the renewal. A
// candidate waits the whole lease time plus a margin for clock drift, by its
// own clock, from when it first saw the current version. Both use only the
// monotonic clock, so the clocks of hosts need not agree. On Linux this clock
// goes on while a process is stopped, so a paused holder finds its lease
// expired at the first call of Held after it resumes. The clock does not count
// the time for which a whole host is suspended.
//
// A write whose outcome is unknown is read back and recognized by its change
// id. As long as the object is unchanged the write is repeated with the same
// id, and the lease counts from its first sending.
//
// The protocol depends on conditional updates alone. A stale read delays an
// acquisition or makes it fail.
//
// # Usage
//
//	lease := &btlease.Lease{Store: store, Timer: timers, Cell: "qld-1", Host: "h1", PeerAddr: addr}
//	go lease.Run(ctx)
//	if fence, left, ok := lease.Held(); ok && left > timeout {
//		send(fence)
//	}
//
// Call Held where its answer is used and keep no copy of it.
package btlease
