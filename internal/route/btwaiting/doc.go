// Package btwaiting decides which requests wait in a daemon for a full service, in which
// order they go on, and how much of the service one daemon uses.
//
// A Room orders the requests that wait. A request waits as long as it can still be answered
// in time. One that cannot is rejected at once, with the time after which to return. More
// urgent ranks go first, but a bounded part of the places goes to the others. Within a rank,
// requests of workspaces that are above their share come last. Of the others, those come
// first whose callers were told to return, then the workspaces that have had least, then
// those with the least time left.
//
// A Share bounds what one daemon sends while a service is full, by its part of the requests
// of all daemons. No daemon asks another one: each needs only the sum of all requests, which
// changes slowly, and not who holds which place at the moment. A place that a daemon may use
// for a part of the time only rests after each use, in proportion to how long the use took.
// A daemon that knows of no other one uses the whole service.
//
// Both work without a network. A Room calls try functions with its lock held.
//
// # Usage
//
//	share := &btwaiting.Share{Timer: timer}
//	room := &btwaiting.Room{Timer: timer}
//	try := func() btwaiting.Look {
//		if !share.Enter(occupancy()) {
//			return btwaiting.NoPlace
//		}
//		return btwaiting.Taken
//	}
//	if !room.Enter(try) {
//		result := room.Wait(ctx, btwaiting.Ticket{Rank: 2, Deadline: deadline, Run: run}, try)
//		if result.Verdict != btwaiting.Admitted {
//			return reject(result.RetryAfter)
//		}
//	}
//	defer share.Leave(took, rejected)
package btwaiting
