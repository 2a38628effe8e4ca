// Package btgrant keeps the rates of upstreams that limit the requests of all daemons
// together.
//
// An upstream names its limit in its answers. The newest answer of an instance counts: it
// changes the limit or ends it, and the limit ends with the instance. Daemons tell each
// other what they hear, with its age.
//
// One daemon grants the sends to a limited upstream, one whole token for each request. It
// is chosen by the caller of this package, the same at every daemon. Each send needs a
// token, whatever it is for: first attempts, retries, resumed streams, hand-overs. A
// daemon that gets none stops to ask until the time that the granting daemon named, and
// uses other upstreams meanwhile. Nothing is granted by a share of the limit for each
// daemon: shares are lost where callers are uneven, and their bursts add up.
//
// The return of an upstream from a pause is limited in the same way: the daemons that were
// asked for the pause bound their requests by a rate that rises for some time.
//
// # Failures
//
// A token that is lost on the way is not replaced. A granting daemon begins with an empty
// bucket. It grants nothing soon after its start, and the part of the limit that belongs
// to the daemons it reaches, so that the parts of a divided fleet together keep the limit.
// While it is silent, nothing is sent to its upstreams until the daemons agree on another.
//
// # Usage
//
//	t := &btgrant.Table{Timer: timers, Ask: ask, Share: share, Part: part}
//	t.Observe(upstream, btgrant.Limit{Named: true, PerSecond: 5}) // for each answer
//	if d := t.Acquire(ctx, upstream, btgrant.Terms{Wait: wait}); d.Granted { send() }
//	reply := t.Grant(request)                                     // at the granting daemon
package btgrant
