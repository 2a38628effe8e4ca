// Package btadmission decides under overload whether a generation is sent to an engine now,
// waits at its daemon, or is rejected.
//
// A daemon decides alone, from the loads of all daemons and from what they say is waiting.
// Limits on the memory and on the unread prompt tokens of an engine take the place of a
// queue that all daemons share: they grow with the time that a request has waited, begin at
// their highest for callers that were told to come back, and are lower for less urgent
// requests, for tenants above their fair share and for requests whose target has passed.
//
// # Usage
//
//	c := btadmission.New(timers, seed)
//	v := c.Enter(request)
//	defer v.Leave()
//	for {
//		limits := calm
//		if room, overloaded := v.Overloaded(loads); overloaded {
//			d := v.Decide(room)
//			if d.Rejected {
//				return d.RetryAfter
//			}
//			limits = d.Limits
//		}
//		if engine := pick(limits); engine != nil {
//			v.Admit()
//			return engine
//		}
//		v.Wait()
//		sleep()
//	}
package btadmission
