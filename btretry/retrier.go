package btretry

import "time"

// Retrier combines a budget with a backoff.
type Retrier struct {
	Budget  *Budget
	Backoff *Backoff
}

// Next returns the wait before the attempt after the given one, or false if the
// request must not be repeated. It takes from the budget only if the backoff
// allows a repeat.
func (r *Retrier) Next(key string, attempt int, deadline time.Time) (time.Duration, bool) {
	wait, ok := r.Backoff.Next(attempt, deadline)
	if !ok || !r.Budget.Retry(key) {
		return 0, false
	}
	return wait, true
}
