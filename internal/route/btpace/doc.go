// Package btpace estimates how fast upstreams work.
//
// Upstreams may say in their responses how long work takes on their machine at this
// moment, as a multiple of the usual time. Two things are learned of each instance: the
// lasting pace, which is that of its machine without disturbance, and the worst one seen,
// while others use the machine. Disturbances are assumed to be alike for all upstreams of
// a service, so that an instance that was seen only undisturbed is expected to be as much
// slower at times as most of the others. Daemons tell each other what they learn: one
// daemon hears too little of each upstream.
//
// From the streams of its own callers a daemon learns the time between two events of a
// stream per unit of pace, while the engine reads a prompt beside the stream and while
// it doesn't. Both together give the longest pause that a stream has to expect at an
// engine.
//
// # Failures
//
// Values that are no positive number are ignored and extreme ones bounded. An upstream that says nothing is
// of the usual pace and never has a pause to expect. An upstream that lies is treated as a
// slow or fast one: it gets more or less of the work, nothing else depends on it. Records
// need no order and may be lost or come twice.
//
// # Usage
//
//	t := &btpace.Table{Share: share}
//	t.Observe(upstream, 1.2)                       // for each response that tells a pace
//	t.Learn(upstream, 40*time.Millisecond, false)  // for each pause between events
//	pause, ok := t.Pause(upstream, true)           // beside a prompt that is read
package btpace
