package btaccount

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/route/btpace"
)

const (
	// prefillPerMilli is the number of prompt tokens that an engine processes per
	// millisecond beside running generations.
	prefillPerMilli = 9.0
	// runningMillis is the delay that one running generation adds to the others at
	// its engine over its whole run.
	runningMillis = 14.0
	// safeMemoryShare is the share of an engine's memory up to which forecasts
	// carry no risk of preemption.
	safeMemoryShare = 0.85
	// memoryMillis is the penalty of a forecast that exceeds safeMemoryShare by the
	// size of the whole memory, and of a full batch.
	memoryMillis = 6000.0
	// otherDomainMillis is the penalty of an upstream in another failure domain
	// than this daemon.
	otherDomainMillis = 4.0
	// remoteMillis replaces otherDomainMillis if the loads of other failure domains
	// arrive late. It exceeds tieMillis by the delay of about four running generations:
	// by so much the least busy engine of a domain exceeds that of another one before
	// work goes there.
	remoteMillis = 100.0
	// startPeriod is how long an upstream is slow after its start. Its penalty
	// decreases from startMillis to zero over that time.
	startPeriod = 3 * time.Second
	startMillis = 60.0
	// ejectionMillis is the penalty of an upstream for each other daemon that ejects it.
	ejectionMillis = 60.0
	// plainMillis is the penalty of an upstream of a plain service that runs as
	// many requests as its warm limit.
	plainMillis = 60.0
	// tieMillis is the largest difference of expected delays that counts as a tie.
	// When a burst of requests reaches many daemons at once, all of them see the
	// same best upstream until they receive each other's loads; drawing among ties
	// spreads the burst.
	tieMillis = 50.0
	// maxCandidates is the number of a service's upstreams up to which a choice considers
	// all of them, in a fleet whose loads of other failure domains arrive late.
	// remoteSample is the number of upstreams of other domains beyond that. A choice
	// among 3,000 upstreams takes a millisecond.
	maxCandidates = 256
	remoteSample  = 64
	// fullBatchUse is the use of an engine whose batch is full. It lies above every
	// memory limit that callers of PickWithMemoryLimit set.
	fullBatchUse = 2.0
	// coldBurst is the number of requests that one daemon may send to a cold
	// upstream at once.
	coldBurst = 1.0
)

// Table holds the loads and the health of all upstreams. It is safe for concurrent
// use. Timer must be set before the first use; the other fields are optional.
type Table struct {
	Timer bramleytack.Timer
	// Domain is the failure domain of this daemon.
	Domain bramleytack.FailureDomainID
	// RemoteLate reports whether the loads of other failure domains arrive later than
	// those of Domain. Nil means that they do not.
	RemoteLate func() bool
	// Daemons returns the number of daemons that share the cold limits. Nil means
	// one.
	Daemons func() int
	// HeldUntil returns the time until which this daemon gets no permission to send to an
	// upstream that limits its requests. Nil means that there is no such upstream.
	HeldUntil func(u *bramleytack.Upstream) time.Time
	// Admits reports whether an upstream may take generations of others and requests that wait for
	// its limit. The table is locked during the call. Nil means that all may.
	Admits func(u *bramleytack.Upstream) bool
	// MaxPause bounds the pause that an upstream can ask for. Zero means an hour.
	MaxPause time.Duration
	// Changed is called when this daemon's load at a model engine changes, or when
	// it ejects an upstream. The table is locked during the call, so Changed must
	// not block or use the table.
	Changed func()
	// Paces are those of the upstreams. Nil means that all are alike.
	Paces *btpace.Table
	Log   *btevent.Logger

	mu       sync.Mutex
	accounts map[bramleytack.UpstreamID]*account
	// peers holds the loads of other daemons by where they were received from.
	peers map[Source]map[bramleytack.UpstreamID]Load
	// peerTotals is the sum of the loads in peers.
	peerTotals map[bramleytack.UpstreamID]Load
	// waitingAt is when Changed was last called because of requests that wait.
	waitingAt time.Time
	// plans are the newest ones by service.
	plans map[string]*plan
	// runs are the mean run times of calls at the usual pace, in milliseconds by plain service.
	runs map[string]float64
}

// account returns the account of an upstream and creates it if there is none. The
// caller holds the lock.
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

// Begin adds a request to the load of an upstream until the lease ends.
func (t *Table) Begin(id bramleytack.UpstreamID, n Need) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(id)
	a.own.Running++
	a.own.Streams += n.streams()
	a.own.Unread += n.unread()
	a.own.Memory += n.memory()
	t.notifyChanged(n)
	return &Lease{table: t, id: id, need: n, counted: n.memory()}
}

// notifyChanged calls Changed after a load change if the upstream is a model engine.
func (t *Table) notifyChanged(n Need) {
	if t.Changed != nil && n.Prompt > 0 {
		t.Changed()
	}
}

// BeginCopy adds a copy of a generation to the load of an upstream until the lease
// ends.
func (t *Table) BeginCopy(id bramleytack.UpstreamID, n Need) *CopyLease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.account(id).own.Copies += n.memory()
	t.notifyChanged(n)
	return &CopyLease{table: t, id: id, tokens: n.memory()}
}

// Observe records the numbers of running and waiting requests that an upstream
// reported. They are used for reportValidity.
func (t *Table) Observe(id bramleytack.UpstreamID, running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(id)
	a.reported, a.reportedAt = running+waiting, t.Timer.Now()
}

// OwnLoads returns the loads and ejections of this daemon, pauses that upstreams asked
// for included, without upstreams where it has neither. The caller owns the map.
func (t *Table) OwnLoads() map[bramleytack.UpstreamID]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := map[bramleytack.UpstreamID]Load{}
	now := t.Timer.Now()
	for id, a := range t.accounts {
		a.expire(now)
		l := a.own
		if now.Before(a.ejectedUntil) || now.Before(a.pausedUntil) {
			l.Ejections = 1
		}
		if t.Paces.Empty() {
			// Nobody needs the number, and each one costs bytes.
			l.Streams = 0
		}
		if l.Calls = l.Calls.Largest(maxWorkspaces); l.Waiting == 0 && t.peerTotals[id].Waiting <= 0 {
			// Places are not shared, and each workspace costs bytes.
			l.Calls = nil
		}
		if !l.IsZero() {
			own[id] = l
		}
	}
	return own
}

// Source identifies where loads of other daemons come from: one daemon, or all daemons
// of a failure domain together. Sources must not overlap.
type Source struct {
	Host   bramleytack.HostID
	Domain bramleytack.FailureDomainID
}

// SetPeer replaces the loads that a source reported. The table keeps the map; the
// caller must not change it afterwards.
func (t *Table) SetPeer(from Source, loads map[bramleytack.UpstreamID]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[Source]map[bramleytack.UpstreamID]Load{}
	}
	t.addPeerLoads(t.peers[from], -1)
	t.peers[from] = loads
	t.addPeerLoads(loads, 1)
}

// addPeerLoads adds a source's loads to peerTotals if sign is 1, or subtracts them
// if it is -1.
func (t *Table) addPeerLoads(loads map[bramleytack.UpstreamID]Load, sign int) {
	if t.peerTotals == nil {
		t.peerTotals = map[bramleytack.UpstreamID]Load{}
	}
	for id, l := range loads {
		sum := t.peerTotals[id].plus(l, sign)
		if sum.IsZero() {
			delete(t.peerTotals, id)
		} else {
			t.peerTotals[id] = sum
		}
	}
}

// Retain removes the loads of sources that are not valid, and the accounts of
// upstreams that are not in the snapshot, have no request or copy of this daemon
// and have not asked for a pause, since a registration may be back before its end.
// The table is locked while valid is called.
func (t *Table) Retain(s *bramleytack.Snapshot, valid func(Source) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from, loads := range t.peers {
		if !valid(from) {
			t.addPeerLoads(loads, -1)
			delete(t.peers, from)
		}
	}
	for id, a := range t.accounts {
		a.expire(t.Timer.Now())
		if _, ok := s.Upstreams[id]; !ok && a.own.IsZero() && !t.Timer.Now().Before(a.pausedUntil) {
			delete(t.accounts, id)
		}
	}
}

// Pick draws one of the candidates whose expected delay is within tieMillis of the
// lowest, and returns it with its expected delay. It returns nil if the cold limit
// excludes all candidates.
func (t *Table) Pick(s *bramleytack.Snapshot, candidates []*bramleytack.Upstream, n Need) (*bramleytack.Upstream, time.Duration) {
	u, d, _ := t.PickWithMemoryLimit(s, candidates, n, math.Inf(1))
	return u, d
}

// PickWithMemoryLimit is like Pick, but only considers candidates whose forecast
// share of memory in use, the request included, is at most limit. If it returns
// nil, the last result reports whether the memory limit excluded any candidate.
func (t *Table) PickWithMemoryLimit(s *bramleytack.Snapshot, candidates []*bramleytack.Upstream, n Need, limit float64) (*bramleytack.Upstream, time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	scores := make([]float64, len(candidates))
	remote := otherDomainMillis
	if t.RemoteLate != nil && t.RemoteLate() {
		remote = remoteMillis
	}
	best, full := math.Inf(1), false
	run, tie := t.callRun(s, candidates), tieMillis
	if run > 0 {
		// A difference as long as a run is no tie.
		tie = min(tie, run)
	}
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
		if run > 0 {
			scores[i] += t.callDelay(u, l, run)
		}
		if u.FailureDomain != t.Domain {
			scores[i] += remote
		}
		best = min(best, scores[i])
	}
	chosen, ties := -1, 0
	for i, score := range scores {
		if score > best+tie || math.IsInf(score, 1) {
			continue
		}
		// Reservoir sampling chooses each tie with the same probability.
		if ties++; rand.IntN(ties) == 0 {
			chosen = i
		}
	}
	if chosen < 0 || !t.coldAllows(s, candidates[chosen], now, true) {
		return nil, 0, full
	}
	return candidates[chosen], time.Duration(scores[chosen] * float64(time.Millisecond)), false
}

// Wait returns the time for which a request is expected to wait for a place at an upstream,
// if the requests ahead of it run for run each.
func (t *Table) Wait(s *bramleytack.Snapshot, u *bramleytack.Upstream, run time.Duration) time.Duration {
	places := u.WarmLimit
	if profile := s.Engine(u.Service); profile != nil {
		places = profile.Slots
	}
	if places <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead := t.load(u.ID, t.Timer.Now()).Running + 1 - places
	return time.Duration(max(ahead, 0)) * run / time.Duration(places)
}

// use returns the forecast share of an engine's memory in use with one more
// request, at least fullBatchUse if no slot of its batch is free. It is zero for
// plain services.
func use(s *bramleytack.Snapshot, u *bramleytack.Upstream, n Need, l Load) float64 {
	profile := s.Engine(u.Service)
	if profile == nil || profile.MemoryTokens <= 0 {
		return 0
	}
	share := float64(l.Memory+l.Copies+n.memory()) / float64(profile.MemoryTokens)
	if l.Running >= profile.Slots {
		return max(share, fullBatchUse)
	}
	return share
}

// score returns the expected delay in milliseconds, penalties included except that of
// another failure domain.
func (t *Table) score(s *bramleytack.Snapshot, u *bramleytack.Upstream, n Need, l Load, now time.Time) float64 {
	score := 0.0
	if age := now.Sub(u.Started); age >= 0 && age < startPeriod {
		score += startMillis * (1 - age.Seconds()/startPeriod.Seconds())
	}
	score += ejectionMillis * float64(l.Ejections)
	profile := s.Engine(u.Service)
	if profile == nil {
		return score + plainMillis*float64(l.Running)/float64(max(u.WarmLimit, 1))
	}
	p := t.plan(s, u.Service, now)
	score += (float64(l.Unread)/prefillPerMilli + runningMillis*float64(l.Running)) * p.lastingPace(t, u)
	score += p.harm(t, u, n, l)
	use := float64(l.Memory+l.Copies/2+n.memory()) / float64(max(profile.MemoryTokens, 1))
	if use > safeMemoryShare {
		score += memoryMillis * (use - safeMemoryShare)
	}
	if l.Running >= profile.Slots {
		score += memoryMillis
	}
	return score
}

// load returns the load of all daemons at an upstream, without Calls. Running is at least
// the number that the upstream itself reported recently.
func (t *Table) load(id bramleytack.UpstreamID, now time.Time) Load {
	a := t.account(id)
	a.expire(now)
	own, peers := a.own, t.peerTotals[id]
	// Adding up the workspaces would slow down each choice.
	own.Calls, peers.Calls = nil, nil
	l := own.Plus(peers)
	if now.Sub(a.reportedAt) < reportValidity {
		l.Running = max(l.Running, a.reported)
	}
	return l
}
