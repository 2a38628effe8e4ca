// Package btaccount tracks the load and health of each upstream as seen by one
// daemon, and chooses upstreams by them.
//
// The load of an upstream is the sum of this daemon's requests and of those that
// other daemons report, corrected by the request counts that upstreams put into
// their responses. For model engines it also counts tokens: prompt tokens that
// are still to be processed, and the memory that running generations and stored
// copies are expected to reach.
//
// An upstream that fails more often than the others of its service is ejected
// for a while, unless no others remain.
//
// # Usage
//
//	table := &btaccount.Table{Timer: timers}
//	u := table.Pick(candidates, btaccount.Need{Prompt: 3000, Output: 900})
//	lease := table.Begin(u, need)
//	defer lease.End(btaccount.Served)
package btaccount
