// Package btaccount keeps what a daemon knows of the load and the health of
// each upstream, and chooses upstreams by it.
//
// The account of an upstream adds up the requests of this daemon, those that
// other daemons report, and the figures that upstreams put into their responses.
// For model engines it counts tokens: prompts that are still to be read, and the
// memory that running generations are expected to reach, copies included.
//
// An upstream that fails more often than its peers is ejected for a while, as
// long as enough others remain. It returns by single trial requests.
//
// # Usage
//
//	table := &btaccount.Table{Timer: timers}
//	u := table.Pick(candidates, btaccount.Need{Prompt: 3000, Output: 900})
//	lease := table.Begin(u, need)
//	defer lease.End(btaccount.Served)
package btaccount
