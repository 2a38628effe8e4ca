// Package btbench measures the decisions of the product against simulated
// engines in simulated time.
//
// A Run plays one workload mix under one Policy. It is a discrete-event
// simulation on one goroutine: each request is a coroutine that goes through
// the product's own limit, queue and route filters and the owners' tables.
// The package replaces only what lies behind their interfaces: the timer, the
// messages between entries and owners, and the engines, which are
// btengine.Core. All random draws come from the seed, and the workload is the
// same for all policies with the same seed.
//
// The simple baselines are plain proxies: they route by a simple policy, skip
// engines that are down or out of service, and try again elsewhere after a
// refusal. They have neither reservations nor a queue, so that requests wait
// in the engines.
//
// # Usage
//
//	r := btbench.Run(btbench.Foldwell(), btbench.Ours(), 1)
//	fmt.Println(r.StallP99, r.Preemptions)
package btbench
