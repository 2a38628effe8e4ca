package btreplica

import (
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// readFresh is how long an answer shows that a daemon reads the store: a poll and
// the margin of its transport.
const readFresh = watchWait + time.Second

// StoreStatus is what a daemon knows about its path to the store.
type StoreStatus struct {
	mu sync.Mutex
	// lastFailure is the time of the latest call that failed.
	lastFailure time.Time
	down        bool
	// upstreamsAt is the time of the latest answer about upstreams.
	upstreamsAt time.Time
	// OnDown is called when the store stops answering. It may be nil.
	OnDown func()
	// prober is the watcher that asks whether the store is back.
	prober *Watcher
}

// mayCall says whether a watcher should call the store. While the store is away,
// one watcher asks for all: each call costs, also one that fails.
func (c *StoreStatus) mayCall(w *Watcher) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.down {
		return true
	}
	if c.prober == nil {
		c.prober = w
	}
	return c.prober == w
}

// release lets another watcher ask whether the store is back.
func (c *StoreStatus) release(w *Watcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prober == w {
		c.prober = nil
	}
}

func (c *StoreStatus) answered(log *btevent.Logger, kind string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == bramleytack.KindUpstreams {
		c.upstreamsAt = now
	}
	c.prober = nil
	if c.down {
		c.down = false
		log.Event(btevent.StoreRegained).Dur("away", now.Sub(c.lastFailure)).Send()
	}
}

// failed notes a failure and says whether it is the first after an answer.
func (c *StoreStatus) failed(log *btevent.Logger, now time.Time, err error) bool {
	if !c.lose(now) {
		return false
	}
	log.Event(btevent.StoreDown).Err(err).Send()
	if c.OnDown != nil {
		c.OnDown()
	}
	return true
}

// lose says whether the store answered before.
func (c *StoreStatus) lose(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailure = now
	was := c.down
	c.down = true
	return !was
}

// ReadsUpstreams says whether the store has answered about upstreams lately.
func (c *StoreStatus) ReadsUpstreams(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.down && !c.upstreamsAt.IsZero() && now.Sub(c.upstreamsAt) < readFresh
}

// Down says whether the latest call failed.
func (c *StoreStatus) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// Disturbed says whether the store is away or failed within the last few seconds.
func (c *StoreStatus) Disturbed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down || !c.lastFailure.IsZero() && now.Sub(c.lastFailure) < outageEcho
}
