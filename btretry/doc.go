// Package btretry decides whether and when a failed attempt is retried.
//
// A Budget limits retries to a share of recent requests, per workspace or per
// model, plus a small minimum. When a failure domain fails, many requests are
// retried at once, and the budget bounds this extra load. A Backoff spreads the
// retries over time with exponential, jittered waits. It allows no retry that
// could not end before the deadline.
//
// Neither looks at outcomes: the code that calls them decides whether a request
// may be retried at all.
//
// # Usage
//
//	retrier := &btretry.Retrier{
//		Budget:  &btretry.Budget{Timer: timers},
//		Backoff: &btretry.Backoff{Timer: timers, Seed: seed},
//	}
//	retrier.Budget.Request(model)
//	for attempt := 1; ; attempt++ {
//		if err = try(); err == nil {
//			return nil
//		}
//		wait, ok := retrier.Next(model, attempt, deadline)
//		if !ok || timers.Sleep(ctx, wait) != nil {
//			return err
//		}
//	}
package btretry
