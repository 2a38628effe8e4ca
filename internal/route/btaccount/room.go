package btaccount

import (
	"math/rand/v2"
	"slices"

	"bramleytack"
)

const (
	// sameDomainUse is what a copy in the generation's own failure domain adds to
	// the use of an engine in the comparison.
	sameDomainUse = 0.1
	// spareUse is the forecast use of all engines of a service above which no
	// copies are kept in case of a failure: they would delay running work more
	// often than a failure strikes.
	spareUse = 0.55
	// copyUse is the forecast use up to which an engine takes such a copy.
	copyUse = 0.75
	// moveUse lets a running generation move to nearly any engine. Forecasts add
	// up the ends of all generations, which seldom come together.
	moveUse = 1.25
	// queuedHalf is the number of tokens that an engine still has to read or to
	// receive at which it is half as likely to become the target of a move.
	queuedHalf = 4000.0
)

// PickBackup returns an engine that keeps a copy of a generation at primary in
// case of a failure, or nil if memory is short.
func (t *Table) PickBackup(s *bramleytack.Snapshot, primary *bramleytack.Upstream, n Need) *bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	room, mean := t.room(s, primary, n)
	if mean > spareUse {
		return nil
	}
	for i := range room {
		if room[i].upstream.FailureDomain == primary.FailureDomain {
			// A failure of the domain would take both.
			room[i].penalty += sameDomainUse
		}
	}
	return betterOfTwo(room, copyUse)
}

// PickTarget returns an engine that a generation at primary moves to, or nil. It
// takes one of the same failure domain if there is room: a move to another domain
// takes twice as long on the link of the engine that leaves.
func (t *Table) PickTarget(s *bramleytack.Snapshot, primary *bramleytack.Upstream, n Need) *bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	room, _ := t.room(s, primary, n)
	var near []roomy
	for _, r := range room {
		if r.upstream.FailureDomain == primary.FailureDomain {
			near = append(near, r)
		}
	}
	for _, list := range [][]roomy{near, room} {
		if u := drawByRoom(list); u != nil {
			return u
		}
	}
	return betterOfTwo(room, moveUse)
}

// drawByRoom draws an engine by the memory that is free. When engines leave, all
// daemons move their generations at once, and the emptiest engine of all would
// get more than its memory and its link take.
func drawByRoom(room []roomy) *bramleytack.Upstream {
	weights, sum := make([]float64, len(room)), 0.0
	for i, r := range room {
		weights[i] = max(0, 1-r.use) / (1 + float64(r.queued)/queuedHalf)
		sum += weights[i]
	}
	at := rand.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return room[i].upstream
		}
	}
	return nil
}

// room returns the other engines of a service with their forecast use if they
// took a copy, and the mean use without it. The caller holds the lock.
func (t *Table) room(s *bramleytack.Snapshot, primary *bramleytack.Upstream, n Need) ([]roomy, float64) {
	profile := s.Engine(primary.Service)
	if profile == nil || profile.MemoryTokens <= 0 {
		return nil, 0
	}
	now := t.Timer.Now()
	var room []roomy
	sum := 0.0
	for _, u := range s.ByService[primary.Service] {
		if u.ID == primary.ID || !s.Accepts(u.ID) || t.account(u.ID).out(now) {
			continue
		}
		l := t.load(u.ID, now)
		use := float64(l.Memory+l.Copies) / float64(profile.MemoryTokens)
		sum += use
		room = append(room, roomy{upstream: u, queued: l.Unread + l.Copies, use: use + float64(n.memory())/float64(profile.MemoryTokens)})
	}
	return room, sum / float64(max(len(room), 1))
}

// roomy is an engine with room for a copy.
type roomy struct {
	upstream *bramleytack.Upstream
	use      float64
	// queued are the tokens that the engine still has to read or to receive.
	queued int
	// penalty counts in the comparison of engines only.
	penalty float64
}

// betterOfTwo returns the emptier of two engines drawn at random. When an engine
// leaves, many daemons choose at once by the same figures; the emptiest engine
// of all would get every copy.
func betterOfTwo(room []roomy, limit float64) *bramleytack.Upstream {
	room = slices.DeleteFunc(room, func(r roomy) bool { return r.use >= limit })
	if len(room) == 0 {
		return nil
	}
	a, b := room[rand.IntN(len(room))], room[rand.IntN(len(room))]
	if b.use+b.penalty < a.use+a.penalty {
		a = b
	}
	return a.upstream
}
