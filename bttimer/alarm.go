package bttimer

import "time"

// alarm is a pending or stopped alarm. The service's mutex guards due, period and
// index; index is -1 once the alarm has left the heap.
type alarm struct {
	service *Service
	c       chan time.Time
	due     time.Time
	period  time.Duration
	jitter  time.Duration
	index   int
}

// C returns the channel that receives the time of each firing. It is never closed.
func (a *alarm) C() <-chan time.Time { return a.c }

// Stop removes the alarm. A firing that is already in the channel stays there.
// Further calls do nothing.
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
