// Package btowner admits requests to the upstreams that a daemon owns.
//
// The owner is the only place that counts what an upstream runs. An Upstream
// holds the reservations of one upstream and decides whether another fits:
// below the warm-up limit, within the forecast of its memory, and with
// headroom for higher priorities. A Table holds the upstreams of a daemon and
// implements bramleytack.Owner for them.
//
// Two sources tell what runs. Reservations are exact but can outlive their
// request when an entry dies. Load reports show what really runs but lag. A
// report is therefore compared with the reservations that existed at its time:
// requests that no reservation explains are counted too, and a reservation is
// dropped without a release only when a report shows that its request is gone
// or when its deadline has passed.
//
// A grant that expires keeps its place until then, since its entry may have
// written the first byte in time. An entry that did not use a grant releases
// it with outcome NotRun.
//
// # Usage
//
//	table := btowner.NewTable(btowner.Config{Lengths: lengths}, timers)
//	table.Own(record)
//	table.Report(record.ID, loadReport)
//	grant, err := table.Reserve(ctx, reservation)
//	err = table.Release(ctx, release)
package btowner
