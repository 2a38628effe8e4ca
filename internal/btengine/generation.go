package btengine

import (
	"container/heap"
	"time"

	"bramleytack"
)

// Progress is the state of a generation as a reader needs it.
type Progress struct {
	Stream       bramleytack.StreamID
	Request      bramleytack.RequestID
	PromptTokens int
	Tokens       int
	Finish       FinishReason
	seed         uint64
	announce     bool
}

// Text returns the text of a token.
func (p *Progress) Text(index int) string {
	text := textOf(p.seed, index)
	if p.announce && index == 0 {
		text = string(p.Request) + "/" + text
	}
	return text
}

type generation struct {
	Progress
	model    bramleytack.LoadedModel
	priority bramleytack.Priority
	// arrival orders generations of the same priority.
	arrival  uint64
	length   int
	reason   FinishReason
	crash    bool
	crashAt  int
	prefixes []uint64
	// held is the memory that the generation holds.
	held int
	// prefill is the number of tokens to process before the next token.
	prefill int
	// chunk is the part of prefill that the current step processes.
	chunk int
	// inStep says whether the current step computes the generation.
	inStep  bool
	running bool
	// slot is the index in the queue.
	slot    int
	expires time.Time
}

// before says whether g is served earlier than o and preempted later.
func (g *generation) before(o *generation) bool {
	if g.priority != o.priority {
		return g.priority > o.priority
	}
	return g.arrival < o.arrival
}

// queue orders waiting generations by priority and arrival.
type queue []*generation

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].slot, q[j].slot = i, j
}

// Push appends a generation for container/heap.
func (q *queue) Push(x any) {
	g := x.(*generation)
	g.slot = len(*q)
	*q = append(*q, g)
}

// Pop removes the last generation for container/heap.
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	g := old[n]
	old[n] = nil
	*q = old[:n]
	return g
}

func (q *queue) add(g *generation)    { heap.Push(q, g) }
func (q *queue) remove(g *generation) { heap.Remove(q, g.slot) }
