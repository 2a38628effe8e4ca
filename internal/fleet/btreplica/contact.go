package btreplica

import (
	"sync"
	"time"

	"bramleytack/btevent"
)

// Contact is what a daemon knows about its path to the store.
type Contact struct {
	mu sync.Mutex
	// lastFailure is the time of the latest call that failed.
	lastFailure time.Time
	down        bool
	// prober is the watcher that asks whether the store is back.
	prober *Watcher
}

// mayCall says whether a watcher should call the store. While the store is away,
// one watcher asks for all: each call costs, also one that fails.
func (c *Contact) mayCall(w *Watcher) bool {
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
func (c *Contact) release(w *Watcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prober == w {
		c.prober = nil
	}
}

func (c *Contact) answered(log *btevent.Logger, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prober = nil
	if c.down {
		c.down = false
		log.Event(btevent.StoreRegained).Dur("away", now.Sub(c.lastFailure)).Send()
	}
}

// failed notes a failure and says whether it is the first after an answer.
func (c *Contact) failed(log *btevent.Logger, now time.Time, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFailure = now
	if c.down {
		return false
	}
	c.down = true
	log.Event(btevent.StoreDown).Err(err).Send()
	return true
}

// Down says whether the latest call failed.
func (c *Contact) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// Disturbed says whether the store failed within the last few seconds.
func (c *Contact) Disturbed(now time.Time) bool { return c.FailedWithin(now, outageEcho) }

// FailedWithin says whether the store is away or failed within d.
func (c *Contact) FailedWithin(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down || !c.lastFailure.IsZero() && now.Sub(c.lastFailure) < d
}
