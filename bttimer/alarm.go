package bttimer

import "time"

// alarm is one subscription. The service's mutex guards all but c.
type alarm struct {
	service *Service
	c       chan time.Time
	due     time.Time
	period  time.Duration
	jitter  time.Duration
	index   int
}

// C receives the time of each firing.
func (a *alarm) C() <-chan time.Time { return a.c }

// Stop ends the subscription.
func (a *alarm) Stop() { a.service.remove(a) }

func (a *alarm) send(now time.Time) {
	select {
	case a.c <- now:
	default:
	}
}

// alarmHeap orders alarms by due time for container/heap.
type alarmHeap []*alarm

func (h alarmHeap) Len() int           { return len(h) }
func (h alarmHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h alarmHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an alarm for container/heap.
func (h *alarmHeap) Push(x any) {
	a := x.(*alarm)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop removes the last alarm for container/heap.
func (h *alarmHeap) Pop() any {
	old := *h
	n := len(old) - 1
	a := old[n]
	old[n] = nil
	a.index = -1
	*h = old[:n]
	return a
}
