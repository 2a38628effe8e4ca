// Package btowner admits requests to the upstreams that a daemon owns.
//
// Only the owner counts the requests that an upstream runs. An Upstream holds
// the reservations of one upstream. It admits another one if the upstream is
// below its warm-up limit, the forecast memory use fits, and headroom is left
// for higher priorities. A Table holds the upstreams that a daemon owns and
// implements bramleytack.Owner for them.
//
// The number of running requests comes from two sources. Reservations are
// exact, but can outlive their request when an entry daemon dies. Load reports
// show what really runs, but lag. A report is therefore compared with the
// reservations that existed when it was made. Requests in the report without a
// reservation are counted too. A reservation that is not released is dropped
// only when a report shows that its request has ended or when its deadline has
// passed.
//
// A reservation outlives its grant's validity, since the entry daemon may have
// written the first byte in time. An entry daemon that does not use a grant
// releases it with outcome NotRun.
//
// # Usage
//
//	table := btowner.NewTable(btowner.Config{Lengths: lengths}, timers)
//	table.Own(record)
//	table.Report(record.ID, loadReport)
//	grant, err := table.Reserve(ctx, reservation)
//	err = table.Release(ctx, release)
package btowner
