package btaccount

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// readPerMilli is the rate in tokens per millisecond at which engines read
	// prompts between the tokens of running generations.
	readPerMilli = 9.0
	// runningMillis is what one more running generation costs those beside it
	// over its life, in milliseconds of waiting.
	runningMillis = 14.0
	// memoryComfort is the share of an engine's memory up to which forecasts may
	// rise without a risk of preemption.
	memoryComfort = 0.85
	// memoryMillis is the penalty of a forecast that exceeds the comfortable
	// share by the whole memory.
	memoryMillis = 6000.0
	// distanceMillis is the penalty of another failure domain.
	distanceMillis = 4.0
	// slowStart is how long a started upstream is slow, slowMillis its penalty.
	slowStart  = 3 * time.Second
	slowMillis = 60.0
	// plainMillis is the penalty of a request at a plain service per slot.
	plainMillis = 60.0
	// alikeMillis is the difference of expected delays below which upstreams count
	// as alike. Requests come in clumps at many daemons at once, which all see
	// the same best upstream before they see each other's choice.
	alikeMillis = 50.0
	// noPlaceUse is the use of an engine whose batch is full.
	noPlaceUse = 2.0
	// coldBurst is the number of requests a cold upstream may get at once from
	// one daemon.
	coldBurst = 1.0
)

// Table holds the accounts of all upstreams. It is safe for concurrent use.
type Table struct {
	Timer bramleytack.Timer
	// Domain is the failure domain of this daemon.
	Domain bramleytack.FailureDomainID
	// Daemons returns the number of daemons that share the cold limits.
	Daemons func() int
	// Changed is called, with the table locked, when this daemon's work at a
	// model engine changes, or when it ejects an upstream.
	Changed func()
	// Log may be nil.
	Log *btevent.Logger

	mu       sync.Mutex
	accounts map[bramleytack.UpstreamID]*account
	peers    map[bramleytack.HostID]map[bramleytack.UpstreamID]Load
	// others is the sum of peers.
	others map[bramleytack.UpstreamID]Load
}

// account returns the account of an upstream. The caller holds the lock.
func (t *Table) account(id bramleytack.UpstreamID) *account {
	a := t.accounts[id]
	if a == nil {
		a = &account{}
		if t.accounts == nil {
			t.accounts = map[bramleytack.UpstreamID]*account{}
		}
		t.accounts[id] = a
	}
	return a
}

// Begin enters a request.
func (t *Table) Begin(id bramleytack.UpstreamID, n Need) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(id)
	a.own.Running++
	a.own.Unread += n.unread()
	a.own.Memory += n.memory()
	t.changed(n)
	return &Lease{table: t, id: id, need: n, held: n.memory()}
}

func (t *Table) changed(n Need) {
	if t.Changed != nil && n.Prompt > 0 {
		t.Changed()
	}
}

// BeginCopy enters a copy of a generation.
func (t *Table) BeginCopy(id bramleytack.UpstreamID, n Need) *CopyLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account(id).own.Copies += n.memory()
	t.changed(n)
	return &CopyLease{table: t, id: id, tokens: n.memory()}
}

// Observe takes the running and waiting requests that an upstream reported.
func (t *Table) Observe(id bramleytack.UpstreamID, running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(id)
	a.reported, a.reportedAt = running+waiting, t.Timer.Now()
}

// OwnLoads returns the loads of this daemon's requests.
func (t *Table) OwnLoads() map[bramleytack.UpstreamID]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := map[bramleytack.UpstreamID]Load{}
	now := t.Timer.Now()
	for id, a := range t.accounts {
		l := a.own
		if now.Before(a.ejectedUntil) {
			l.Ejections = 1
		}
		if !l.empty() {
			own[id] = l
		}
	}
	return own
}

// SetPeer replaces what a daemon reports of its requests.
func (t *Table) SetPeer(h bramleytack.HostID, loads map[bramleytack.UpstreamID]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[bramleytack.HostID]map[bramleytack.UpstreamID]Load{}
	}
	t.addPeer(t.peers[h], -1)
	t.peers[h] = loads
	t.addPeer(loads, 1)
}

// addPeer adds a daemon's loads to those of all, or takes them off.
func (t *Table) addPeer(loads map[bramleytack.UpstreamID]Load, sign int) {
	if t.others == nil {
		t.others = map[bramleytack.UpstreamID]Load{}
	}
	for id, l := range loads {
		sum := t.others[id]
		sum.add(l, sign)
		if sum.empty() {
			delete(t.others, id)
		} else {
			t.others[id] = sum
		}
	}
}

// Retain drops the reports of daemons that are not alive, and the accounts of
// upstreams that are gone and hold no request.
func (t *Table) Retain(s *bramleytack.Snapshot, alive map[bramleytack.HostID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h := range t.peers {
		if !alive[h] {
			t.addPeer(t.peers[h], -1)
			delete(t.peers, h)
		}
	}
	for id, a := range t.accounts {
		if _, ok := s.Upstreams[id]; !ok && a.own.empty() {
			delete(t.accounts, id)
		}
	}
}

// Pick returns one of the candidates with the lowest expected delays that the
// cold limit allows, drawn at random, and its delay. It returns nil if there is
// none.
func (t *Table) Pick(s *bramleytack.Snapshot, candidates []*bramleytack.Upstream, n Need) (*bramleytack.Upstream, time.Duration) {
	u, d, _ := t.PickWithMemoryLimit(s, candidates, n, math.Inf(1))
	return u, d
}

// PickWithMemoryLimit is Pick among the candidates whose forecast use of memory, the
// request included, is at most limit. It says whether all that the cold limit
// allows are fuller.
func (t *Table) PickWithMemoryLimit(s *bramleytack.Snapshot, candidates []*bramleytack.Upstream, n Need, limit float64) (*bramleytack.Upstream, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	scores := make([]float64, len(candidates))
	best, full := math.Inf(1), false
	for i, u := range candidates {
		scores[i] = math.Inf(1)
		if !t.coldAllows(s, u, now, false) {
			continue
		}
		l := t.load(u.ID, now)
		if use(s, u, n, l) > limit {
			full = true
			continue
		}
		scores[i] = t.score(s, u, n, l, now)
		best = min(best, scores[i])
	}
	chosen, seen := -1, 0
	for i, score := range scores {
		if score > best+alikeMillis || math.IsInf(score, 1) {
			continue
		}
		// Each of the alike ones is kept with the same probability.
		if seen++; rand.IntN(seen) == 0 {
			chosen = i
		}
	}
	if chosen < 0 || !t.coldAllows(s, candidates[chosen], now, true) {
		return nil, 0, full
	}
	return candidates[chosen], time.Duration(scores[chosen] * float64(time.Millisecond)), false
}

// use returns the share of an engine's memory that is in use with one more
// request. An engine without a free place counts as full.
func use(s *bramleytack.Snapshot, u *bramleytack.Upstream, n Need, l Load) float64 {
	profile := s.Engine(u.Service)
	if profile == nil || profile.MemoryTokens <= 0 {
		return 0
	}
	share := float64(l.Memory+l.Copies+n.memory()) / float64(profile.MemoryTokens)
	if l.Running >= profile.Slots {
		return max(share, noPlaceUse)
	}
	return share
}

// score returns the expected delay in milliseconds.
func (t *Table) score(s *bramleytack.Snapshot, u *bramleytack.Upstream, n Need, l Load, now time.Time) float64 {
	score := 0.0
	if u.FailureDomain != t.Domain {
		score += distanceMillis
	}
	if age := now.Sub(u.Started); age >= 0 && age < slowStart {
		score += slowMillis * (1 - age.Seconds()/slowStart.Seconds())
	}
	profile := s.Engine(u.Service)
	if profile == nil {
		return score + plainMillis*float64(l.Running)/float64(max(u.WarmLimit, 1))
	}
	score += float64(l.Unread)/readPerMilli + runningMillis*float64(l.Running)
	use := float64(l.Memory+l.Copies/2+n.memory()) / float64(max(profile.MemoryTokens, 1))
	if use > memoryComfort {
		score += memoryMillis * (use - memoryComfort)
	}
	if l.Running >= profile.Slots {
		score += memoryMillis
	}
	return score
}

// load adds up what all daemons and the upstream itself report.
func (t *Table) load(id bramleytack.UpstreamID, now time.Time) Load {
	a := t.account(id)
	l := a.own
	l.add(t.others[id], 1)
	if now.Sub(a.reportedAt) < loadFresh {
		l.Running = max(l.Running, a.reported)
	}
	return l
}

// coldAllows says whether the cold limit leaves room for a request, and with
// spend takes the room.
func (t *Table) coldAllows(s *bramleytack.Snapshot, u *bramleytack.Upstream, now time.Time, spend bool) bool {
	r := s.Services[u.Service]
	if r == nil || r.ColdPerSecond <= 0 || !now.Before(u.ColdUntil) {
		return true
	}
	n := 1
	if t.Daemons != nil {
		n = max(t.Daemons(), 1)
	}
	b := t.account(u.ID).cold
	ok := b.take(now, r.ColdPerSecond/float64(n), coldBurst)
	if ok && spend {
		t.account(u.ID).cold = b
	}
	return ok
}
