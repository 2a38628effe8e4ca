// Package btqueue lets requests wait for capacity in a fair order.
//
// A Schedule orders waiting requests: by priority, and within a priority by
// start-time fair queueing over workspaces, with the forecast tokens of a
// request as its cost and the workspace's weight. A class that has waited long
// gets a bounded share ahead of the higher ones, so that batch work is not
// starved.
//
// A Filter keeps one Schedule per model or service. It passes requests on as
// long as none is refused for lack of room. After a refusal, requests wait and
// are tried one for each event that may have made room: a request of this
// entry was granted a place or ended, or a digest shows room. A request that
// cannot start before its deadline is refused at once. All refusals are NotRun.
//
// # Usage
//
//	queue := &btqueue.Filter{Timer: timers, Snapshots: config}
//	route := &btroute.Filter{Granted: queue.Granted}
//	path := bramleytack.Chain(dispatch, queue, route)
//
//	queue.Wake(model, places) // a digest shows room
//	queue.Tick()              // every quarter of a second
package btqueue
