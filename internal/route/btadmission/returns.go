package btadmission

import (
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
	// maxReturns bounds the callers that are expected back.
	maxReturns = 4096
	// A caller that returns earlier than earlyShare of its Retry-After counts as a new one,
	// and so does one that comes later than lateReturn after it.
	earlyShare = 0.9
	lateReturn = 2 * time.Second
	// bookedShare is the share of the callers told to come back that go before new ones.
	// If all did, nearly all would be late while more come than can be served.
	bookedShare = 0.25
)

// Told is a caller that was told to come back.
type Told struct {
	Key   Key
	After time.Duration
}

// returns holds the callers that are expected back.
type returns struct {
	due map[Key]dueReturn
	// fresh are those that the other daemons do not know yet.
	fresh []Told
	told  int
}

type dueReturn struct {
	from   time.Time
	until  time.Time
	memory int
}

// tell adds a caller, which returns first if a share of them allows it.
func (r *returns) tell(k Key, memory int, now time.Time, after time.Duration) {
	r.told++
	if float64(r.told)*bookedShare < 1 && len(r.due) > 0 {
		return
	}
	r.told = 0
	t := Told{k, after}
	if r.learn(t, now) {
		d := r.due[k]
		d.memory = memory
		r.due[k] = d
		if len(r.fresh) < maxReturns {
			r.fresh = append(r.fresh, t)
		}
	}
}

// learn adds a caller of any daemon. It reports false if there is no place.
func (r *returns) learn(t Told, now time.Time) bool {
	if r.due == nil {
		r.due = map[Key]dueReturn{}
	}
	if len(r.due) >= maxReturns {
		for k, d := range r.due {
			if now.After(d.until) {
				delete(r.due, k)
			}
		}
	}
	if len(r.due) >= maxReturns {
		return false
	}
	r.due[t.Key] = dueReturn{from: now.Add(time.Duration(earlyShare * float64(t.After))), until: now.Add(t.After + lateReturn)}
	return true
}

// take reports whether a caller comes back when it was told to. It counts once.
func (r *returns) take(k Key, now time.Time) bool {
	d, ok := r.due[k]
	if !ok || now.Before(d.from) {
		return false
	}
	delete(r.due, k)
	return !now.After(d.until)
}

// untold returns callers that the other daemons do not know yet.
func (r *returns) untold(most int) []Told {
	n := min(len(r.fresh), most)
	list := r.fresh[:n:n]
	r.fresh = r.fresh[n:]
	return list
}

// drain returns the time in which those that this daemon expects back find room, at a rate
// of tokens a second.
func (r *returns) drain(rate float64, now time.Time) time.Duration {
	sum := 0
	for _, d := range r.due {
		if !now.After(d.until) {
			sum += d.memory
		}
	}
	return time.Duration(float64(sum) / rate * float64(time.Second))
}
