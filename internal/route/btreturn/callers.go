package btreturn

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key is a hash of what a caller's repeated attempts have in common.
type Key uint32

// KeyOf returns the key of a request by its parts.
func KeyOf(parts ...string) Key {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return Key(h.Sum64())
}

const (
	// maxCallers bounds the callers that are expected back.
	maxCallers = 4096
	// A caller that returns earlier than earlyShare of its Retry-After counts as a new one,
	// and so does one that comes later than lateReturn after it.
	earlyShare = 0.9
	lateReturn = 2 * time.Second
)

// spread is the part of a Retry-After by which it varies.
const spread = 0.5

// Spread varies the time after which a rejected caller returns, so that not all return at once.
func Spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*spread*float64(d))
}

// Told is a caller that was told to come back.
type Told struct {
	Key   Key
	After time.Duration
}

// Callers holds the callers that are expected back. The zero value is ready to use. A nil
// value expects nobody. It is safe for concurrent use.
type Callers struct {
	mu  sync.Mutex
	due map[Key]due
	// fresh are those that the other daemons do not know yet.
	fresh []freshCaller
}

// due is when a caller is expected back, and the size of its request.
type due struct {
	from  time.Time
	until time.Time
	size  int
}

// freshCaller was told at a time.
type freshCaller struct {
	Told
	at time.Time
}

// Tell adds a caller that this daemon has told to come back. The size of its request counts in
// Size until then.
func (c *Callers) Tell(t Told, size int, now time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.learn(t, size, now) && len(c.fresh) < maxCallers {
		c.fresh = append(c.fresh, freshCaller{t, now})
	}
}

// Learn adds callers that another daemon has told to come back. Hubs send a daemon's own ones
// back to it.
func (c *Callers) Learn(list []Told, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range list {
		c.learn(t, c.due[t.Key].size, now)
	}
}

// learn adds a caller of any daemon. It reports false if there is no place.
func (c *Callers) learn(t Told, size int, now time.Time) bool {
	if c.due == nil {
		c.due = map[Key]due{}
	}
	if len(c.due) >= maxCallers {
		for k, d := range c.due {
			if now.After(d.until) {
				delete(c.due, k)
			}
		}
	}
	if len(c.due) >= maxCallers {
		return false
	}
	c.due[t.Key] = due{from: now.Add(time.Duration(earlyShare * float64(t.After))), until: now.Add(t.After + lateReturn), size: size}
	return true
}

// Take reports whether a caller comes back when it was told to. It counts once.
func (c *Callers) Take(k Key, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.due[k]
	if !ok || now.Before(d.from) {
		return false
	}
	delete(c.due, k)
	return !now.After(d.until)
}

// Untold returns callers that the other daemons do not know yet, with the time that is left
// until they come back. Those that are back by then are left out.
func (c *Callers) Untold(most int, now time.Time) []Told {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Told
	for len(c.fresh) > 0 && len(list) < most {
		f := c.fresh[0]
		c.fresh = c.fresh[1:]
		if left := f.After - now.Sub(f.at); left > 0 {
			list = append(list, Told{f.Key, left})
		}
	}
	return list
}

// Len returns the number of callers that are expected back, expired ones included.
func (c *Callers) Len() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.due)
}

// Size returns the sum of the sizes of the requests that this daemon expects back.
func (c *Callers) Size(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, d := range c.due {
		if !now.After(d.until) {
			sum += d.size
		}
	}
	return sum
}
