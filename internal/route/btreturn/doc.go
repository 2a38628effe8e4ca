// Package btreturn remembers the callers that daemons have told to come back, so that they
// come before new ones when they do.
//
// A caller is recognized by a hash of what its attempts have in common, at any daemon: daemons
// send each other the keys. A key counts once, from shortly before the end of its Retry-After
// to a while after it. Neither is a proof: a request that is like another one may come in its
// place, which costs that one its turn and nothing else.
//
// # Usage
//
//	callers.Tell(btreturn.Told{Key: key, After: retryAfter}, 0, now)
//	send(callers.Untold(32, now))
//	...
//	if callers.Len() > 0 && callers.Take(btreturn.KeyOf(workspace, method, target, body), now) {
//		ticket.Returned = true
//	}
package btreturn
