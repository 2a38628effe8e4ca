package btqueue

import (
	"container/heap"
	"time"

	"bramleytack"
)

const (
	// agedAfter is the wait that raises a request's priority by one.
	agedAfter = 10 * time.Second
	// agedEvery bounds the share of requests that are taken ahead of a higher
	// priority to one in this many.
	agedEvery = 8
	// maxFlows is the number of idle workspaces that a class remembers.
	maxFlows = 4096
)

// Item is a waiting request.
type Item struct {
	Workspace bramleytack.WorkspaceID
	Priority  bramleytack.Priority
	// Weight is the workspace's share. Zero counts as 1.
	Weight float64
	// Cost is the request's forecast size in tokens.
	Cost    float64
	Bytes   int
	Arrived time.Time

	start  float64
	finish float64
	// index is the place in the class's heap, or -1.
	index int
}

// Schedule orders items. It is not safe for concurrent use.
type Schedule struct {
	classes [bramleytack.Priorities]class
	len     int
	bytes   int
	// sinceAged counts items since the last one that was taken by its age.
	sinceAged int
}

// class is a start-time fair queue over the workspaces of one priority.
type class struct {
	items itemHeap
	// virtual is the largest start tag of an item that was taken.
	virtual float64
	// flows holds the finish tag of each workspace's last item.
	flows map[bramleytack.WorkspaceID]float64
}

// Len returns the number of waiting items, Bytes their size.
func (s *Schedule) Len() int { return s.len }

// Bytes returns the size of the waiting items.
func (s *Schedule) Bytes() int { return s.bytes }

func (s *Schedule) class(i *Item) *class {
	return &s.classes[min(int(i.Priority), len(s.classes)-1)]
}

// Stamp gives an item its place in the fair order. Each item is stamped once,
// whether it waits or not.
func (s *Schedule) Stamp(i *Item) {
	c := s.class(i)
	if c.flows == nil {
		c.flows = make(map[bramleytack.WorkspaceID]float64)
	}
	if len(c.flows) > maxFlows {
		c.prune()
	}
	weight := i.Weight
	if weight <= 0 {
		weight = 1
	}
	i.index = -1
	i.start = max(c.virtual, c.flows[i.Workspace])
	i.finish = i.start + max(i.Cost, 1)/weight
	c.flows[i.Workspace] = i.finish
}

// prune forgets workspaces whose last item would not delay a new one.
func (c *class) prune() {
	for w, finish := range c.flows {
		if finish <= c.virtual {
			delete(c.flows, w)
		}
	}
}

// Push adds a stamped item. An item that was taken may be pushed again and
// keeps its place.
func (s *Schedule) Push(i *Item) {
	heap.Push(&s.class(i).items, i)
	s.len++
	s.bytes += i.Bytes
}

// Take records that a stamped item that is not waiting goes ahead.
func (s *Schedule) Take(i *Item) {
	c := s.class(i)
	c.virtual = max(c.virtual, i.start)
}

// Pop removes the next item, or returns nil.
func (s *Schedule) Pop(now time.Time) *Item {
	top := s.top()
	if top == nil {
		return nil
	}
	best := top
	if s.sinceAged++; s.sinceAged >= agedEvery {
		best = s.aged(now, top)
	}
	if best != top {
		s.sinceAged = 0
	}
	s.remove(best)
	s.Take(best)
	return best
}

// top returns the first item of the highest class that has one.
func (s *Schedule) top() *Item {
	for p := len(s.classes) - 1; p >= 0; p-- {
		if items := s.classes[p].items; len(items) > 0 {
			return items[0]
		}
	}
	return nil
}

// aged returns the first item of a lower class whose age has raised it to the
// priority of top, the oldest one if there are more.
func (s *Schedule) aged(now time.Time, top *Item) *Item {
	best := top
	for p := range s.classes {
		items := s.classes[p].items
		if len(items) == 0 || items[0].Priority >= top.Priority {
			continue
		}
		i := items[0]
		steps := int(now.Sub(i.Arrived) / agedAfter)
		if int(i.Priority)+steps >= int(top.Priority) && (best == top || i.Arrived.Before(best.Arrived)) {
			best = i
		}
	}
	return best
}

// Remove takes a waiting item out without running it. The workspace is not
// charged if nothing of it was stamped later.
func (s *Schedule) Remove(i *Item) {
	s.remove(i)
	c := s.class(i)
	if c.flows[i.Workspace] == i.finish {
		c.flows[i.Workspace] = i.start
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

// Worst returns the waiting item that gives way to i when there is no room:
// the last one of the lowest class up to i's own, if it is behind i.
func (s *Schedule) Worst(i *Item) *Item {
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

// Ahead returns the number of waiting items of i's priority and above.
func (s *Schedule) Ahead(i *Item) int {
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
