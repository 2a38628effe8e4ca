// Package btretry decides whether and when a failed attempt is repeated.
//
// A Budget limits repeats to a share of recent requests, per workspace or per
// model, plus a small minimum. When a failure domain fails, all callers want to
// repeat at once; the budget keeps the extra load at that share. Backoff
// spreads the repeats over time with exponential, jittered waits and gives up
// when a repeat could not end before the deadline.
//
// Neither knows outcomes: the caller decides whether a request may be repeated
// at all.
//
// # Usage
//
//	retries := &btretry.Retrier{
//		Budget:  &btretry.Budget{Timer: timers},
//		Backoff: &btretry.Backoff{Timer: timers, Seed: seed},
//	}
//	retries.Budget.Request(model)
//	for attempt := 1; ; attempt++ {
//		if err = try(); err == nil {
//			return nil
//		}
//		wait, ok := retries.Next(model, attempt, deadline)
//		if !ok || timers.Sleep(ctx, wait) != nil {
//			return err
//		}
//	}
package btretry
