// Package btqueue lets requests wait for capacity in a fair order.
//
// A Schedule orders waiting requests: by priority, and within a priority by
// start-time fair queueing over workspaces, with the forecast tokens of a
// request as its cost and the workspace's weight. Requests that have waited long
// get a bounded share ahead of higher priorities, so that batch work does not
// starve.
//
// A Filter keeps one Schedule per model or service. It passes requests on until
// one is rejected for lack of capacity. From then on requests wait, and one is
// tried after each event that may mean free capacity: a request of this entry
// daemon got a grant or ended, or a digest shows free capacity. A request that
// is not expected to start before its deadline is rejected at once. All
// rejections have the outcome NotRun.
//
// # Usage
//
//	queue := &btqueue.Filter{Timer: timers, Snapshots: config}
//	route := &btroute.Filter{Granted: queue.Granted}
//	path := bramleytack.Chain(dispatch, queue, route)
//
//	queue.Wake(model, free) // a digest shows free capacity
//	queue.Tick()              // every quarter of a second
package btqueue
