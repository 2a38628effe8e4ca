package btworker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
)

var (
	// errFull means that no place is free and no more requests may wait.
	errFull = errors.New("btworker: no place is free")
	// errWaited means that a request got no place before its context ended.
	errWaited = errors.New("btworker: no place in time")
)

// places are those in which an upstream runs requests. Requests that find none free wait in
// order. The zero value has any number of them.
type places struct {
	mu sync.Mutex
	// count is the number of places, zero for any. queue is the number of requests that
	// may wait, zero for any.
	count   int
	queue   int
	taken   int
	waiting []chan struct{}
}

// take takes a place, and waits for one until the context ends, ahead of all others if first is
// set.
func (p *places) take(ctx context.Context, first bool) error {
	p.mu.Lock()
	if p.count == 0 || p.taken < p.count {
		p.taken++
		p.mu.Unlock()
		return nil
	}
	if p.queue > 0 && len(p.waiting) >= p.queue {
		p.mu.Unlock()
		return errFull
	}
	mine := make(chan struct{})
	if first {
		p.waiting = slices.Insert(p.waiting, 0, mine)
	} else {
		p.waiting = append(p.waiting, mine)
	}
	p.mu.Unlock()
	select {
	case <-mine:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.waiting {
		if c == mine {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return errWaited
		}
	}
	// The place was handed over as the context ended.
	p.release()
	return errWaited
}

// leave hands the place to the request that has waited longest, or frees it.
func (p *places) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release()
}

// release is leave for callers that hold the lock.
func (p *places) release() {
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = p.waiting[1:]
		return
	}
	p.taken--
}

// load returns the value of the load header, empty without a number of places.
func (p *places) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		return ""
	}
	return fmt.Sprintf("%d,%d,%d", p.taken, len(p.waiting), p.count)
}
