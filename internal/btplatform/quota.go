package btplatform

import (
	"sync"
	"time"
)

// quota counts calls in whole seconds. A limit of zero sets no bound.
type quota struct {
	mu      sync.Mutex
	limit   int
	second  time.Time
	used    int
	standby int
	refused int
}

// take counts a call and says whether it is within the limit.
func (q *quota) take(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := now.Truncate(time.Second); !s.Equal(q.second) {
		q.second, q.used = s, q.standby
	}
	if q.limit > 0 && q.used >= q.limit {
		q.refused++
		return false
	}
	q.used++
	return true
}

// hold changes the number of calls that count in each second.
func (q *quota) hold(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.standby += n
}

func (q *quota) refusals() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refused
}
