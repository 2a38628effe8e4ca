package btretry

import "time"

// Retrier combines a budget with a backoff. Both must be set.
type Retrier struct {
	Budget  *Budget
	Backoff *Backoff
}

// Next returns the wait after the given attempt, counted from 1, or false if the
// request must not be retried. It takes a retry from the key's budget only if the
// backoff allows one.
func (r *Retrier) Next(key string, attempt int, deadline time.Time) (time.Duration, bool) {
	wait, ok := r.Backoff.Next(attempt, deadline)
	if !ok || !r.Budget.Retry(key) {
		return 0, false
	}
	return wait, true
}
