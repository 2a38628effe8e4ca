package btqueue

import (
	"container/heap"
	"time"

	"bramleytack"
)

const (
	// agingStep is the wait that raises the priority of a request by one.
	agingStep = 10 * time.Second
	// agingInterval is the number of requests of which at most one is taken ahead
	// of a higher priority because of its age.
	agingInterval = 8
	// maxIdleWorkspaces is the number of workspaces above which a class forgets
	// idle ones.
	maxIdleWorkspaces = 4096
)

// Item is a waiting request.
type Item struct {
	Workspace bramleytack.WorkspaceID
	Priority  bramleytack.Priority
	// Weight is the workspace's share. Zero counts as 1.
	Weight float64
	// Cost is the request's forecast prompt and output in tokens.
	Cost float64
	// Bytes is the memory that the request uses while it waits.
	Bytes   int
	Arrived time.Time

	// start and finish are the tags of start-time fair queueing, in tokens
	// divided by weight.
	start  float64
	finish float64
	// index is the position in the class's heap, or -1.
	index int
}

// Schedule orders items. Its zero value is empty. It is not safe for concurrent
// use.
type Schedule struct {
	classes [bramleytack.Priorities]class
	len     int
	bytes   int
	// popsSinceAged counts the items taken since the last one that was taken
	// because of its age.
	popsSinceAged int
}

// class is a start-time fair queue over the workspaces of one priority.
type class struct {
	items itemHeap
	// virtualTime is the largest start tag of the items taken so far.
	virtualTime float64
	// lastFinish holds the finish tag of each workspace's last item.
	lastFinish map[bramleytack.WorkspaceID]float64
}

// Len returns the number of waiting items.
func (s *Schedule) Len() int { return s.len }

// Bytes returns the size of the waiting items.
func (s *Schedule) Bytes() int { return s.bytes }

func (s *Schedule) class(i *Item) *class {
	return &s.classes[min(int(i.Priority), len(s.classes)-1)]
}

// AssignTags sets an item's start and finish tags, which order it within its
// class. It is called once for each item, whether the item has to wait or not.
func (s *Schedule) AssignTags(i *Item) {
	c := s.class(i)
	if c.lastFinish == nil {
		c.lastFinish = make(map[bramleytack.WorkspaceID]float64)
	}
	if len(c.lastFinish) > maxIdleWorkspaces {
		c.forgetIdle()
	}
	weight := i.Weight
	if weight <= 0 {
		weight = 1
	}
	i.index = -1
	i.start = max(c.virtualTime, c.lastFinish[i.Workspace])
	i.finish = i.start + max(i.Cost, 1)/weight
	c.lastFinish[i.Workspace] = i.finish
}

// forgetIdle forgets workspaces whose last item would not delay a new one.
func (c *class) forgetIdle() {
	for w, finish := range c.lastFinish {
		if finish <= c.virtualTime {
			delete(c.lastFinish, w)
		}
	}
}

// Push adds an item that has its tags. An item that was taken may be pushed again
// and keeps its tags.
func (s *Schedule) Push(i *Item) {
	heap.Push(&s.class(i).items, i)
	s.len++
	s.bytes += i.Bytes
}

// AdvanceVirtualTime records that an item was taken. Pop calls it; for an item
// that does not wait, the caller does.
func (s *Schedule) AdvanceVirtualTime(i *Item) {
	c := s.class(i)
	c.virtualTime = max(c.virtualTime, i.start)
}

// Pop removes and returns the next item. It returns nil if none waits.
func (s *Schedule) Pop(now time.Time) *Item {
	top := s.top()
	if top == nil {
		return nil
	}
	best := top
	if s.popsSinceAged++; s.popsSinceAged >= agingInterval {
		best = s.firstAged(now, top)
	}
	if best != top {
		s.popsSinceAged = 0
	}
	s.remove(best)
	s.AdvanceVirtualTime(best)
	return best
}

// top returns the first item of the highest class that has one, or nil.
func (s *Schedule) top() *Item {
	for p := len(s.classes) - 1; p >= 0; p-- {
		if items := s.classes[p].items; len(items) > 0 {
			return items[0]
		}
	}
	return nil
}

// firstAged returns the first item of a lower class whose age has raised it to the
// priority of top, the oldest of several, or top if there is none.
func (s *Schedule) firstAged(now time.Time, top *Item) *Item {
	best := top
	for p := range s.classes {
		items := s.classes[p].items
		if len(items) == 0 || items[0].Priority >= top.Priority {
			continue
		}
		i := items[0]
		steps := int(now.Sub(i.Arrived) / agingStep)
		if int(i.Priority)+steps >= int(top.Priority) && (best == top || i.Arrived.Before(best.Arrived)) {
			best = i
		}
	}
	return best
}

// Remove removes an item that will not run. Its cost is returned to the workspace
// unless a later item of the workspace already has its tags.
func (s *Schedule) Remove(i *Item) {
	s.remove(i)
	c := s.class(i)
	if c.lastFinish[i.Workspace] == i.finish {
		c.lastFinish[i.Workspace] = i.start
	}
}

func (s *Schedule) remove(i *Item) {
	if i.index < 0 {
		return
	}
	heap.Remove(&s.class(i).items, i.index)
	s.len--
	s.bytes -= i.Bytes
}

// EvictionCandidate returns the waiting item to evict so that i can wait: the last
// one of the lowest class that has any, if it ranks behind i. Otherwise it
// returns nil.
func (s *Schedule) EvictionCandidate(i *Item) *Item {
	for p := range s.classes {
		items := s.classes[p].items
		if len(items) == 0 {
			continue
		}
		worst := items[0]
		for _, x := range items {
			if x.start > worst.start {
				worst = x
			}
		}
		if worst.Priority < i.Priority || (worst.Priority == i.Priority && worst.start > i.start) {
			return worst
		}
		return nil
	}
	return nil
}

// CountAhead returns the number of waiting items that rank ahead of i or equal to
// it.
func (s *Schedule) CountAhead(i *Item) int {
	n := 0
	for p := int(i.Priority); p < len(s.classes); p++ {
		for _, x := range s.classes[p].items {
			if x.Priority > i.Priority || x.start <= i.start {
				n++
			}
		}
	}
	return n
}

// itemHeap orders items by start tag, then by arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].Arrived.Before(h[j].Arrived)
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an item for container/heap.
func (h *itemHeap) Push(x any) {
	i := x.(*Item)
	i.index = len(*h)
	*h = append(*h, i)
}

// Pop removes the last item for container/heap.
func (h *itemHeap) Pop() any {
	old := *h
	n := len(old) - 1
	i := old[n]
	old[n] = nil
	i.index = -1
	*h = old[:n]
	return i
}
