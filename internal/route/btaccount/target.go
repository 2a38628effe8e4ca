package btaccount

import (
	"math/rand/v2"
	"slices"

	"bramleytack"
)

const (
	// sameDomainPenalty is added to the use of an engine in the generation's own
	// failure domain when engines are compared for a backup copy.
	sameDomainPenalty = 0.1
	// maxMeanUseForBackups is the mean forecast use of a service's engines above
	// which no backup copies are stored: they would delay running work more often
	// than failures occur.
	maxMeanUseForBackups = 0.55
	// maxBackupUse is the forecast use, the copy included, below which an engine
	// takes a backup copy.
	maxBackupUse = 0.75
	// maxMoveUse lets a running generation move to nearly any engine. It exceeds 1
	// because the forecast adds up the final sizes of all generations, which are
	// seldom reached at the same time.
	maxMoveUse = 1.25
	// halfWeightTokens is the number of tokens still to be processed or received at
	// which an engine is half as likely to become the target of a move.
	halfWeightTokens = 4000.0
)

// PickBackup returns an engine to store a backup copy of a generation that runs at
// primary, or nil if memory is short. It prefers another failure domain.
func (t *Table) PickBackup(s *bramleytack.Snapshot, primary *bramleytack.Upstream, n Need) *bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets, mean := t.otherEngines(s, primary, n)
	if mean > maxMeanUseForBackups {
		return nil
	}
	for i := range targets {
		if targets[i].upstream.FailureDomain == primary.FailureDomain {
			// A failure of the domain would lose both the generation and its copy.
			targets[i].penalty += sameDomainPenalty
		}
	}
	return lessUsedOfTwo(targets, maxBackupUse)
}

// PickTarget returns an engine that a generation at primary can move to, or nil if
// there is none. It prefers an engine with free memory in the same failure domain:
// a move to another domain takes twice as long on the link of the leaving engine.
func (t *Table) PickTarget(s *bramleytack.Snapshot, primary *bramleytack.Upstream, n Need) *bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets, _ := t.otherEngines(s, primary, n)
	var sameDomain []target
	for _, e := range targets {
		if e.upstream.FailureDomain == primary.FailureDomain {
			sameDomain = append(sameDomain, e)
		}
	}
	for _, list := range [][]target{sameDomain, targets} {
		if u := drawByFreeMemory(list); u != nil {
			return u
		}
	}
	return lessUsedOfTwo(targets, maxMoveUse)
}

// drawByFreeMemory draws an engine at random, weighted by its free memory and
// against its queue, or returns nil if no engine has free memory. When engines
// leave, all daemons move their generations at once; always choosing the least
// used engine would overload its memory and its link.
func drawByFreeMemory(targets []target) *bramleytack.Upstream {
	weights, sum := make([]float64, len(targets)), 0.0
	for i, e := range targets {
		weights[i] = max(0, 1-e.use) / (1 + float64(e.queued)/halfWeightTokens)
		sum += weights[i]
	}
	at := rand.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return targets[i].upstream
		}
	}
	return nil
}

// otherEngines returns the engines of primary's service other than primary that
// accept work, and their mean forecast use without the generation. The caller
// holds the lock.
func (t *Table) otherEngines(s *bramleytack.Snapshot, primary *bramleytack.Upstream, n Need) ([]target, float64) {
	profile := s.Engine(primary.Service)
	if profile == nil || profile.MemoryTokens <= 0 {
		return nil, 0
	}
	now := t.Timer.Now()
	var targets []target
	sum := 0.0
	for _, u := range s.ByService[primary.Service] {
		if u.ID == primary.ID || !s.Accepts(u.ID) || !t.admits(u) {
			continue
		}
		if a := t.account(u.ID); a.avoided(now) || a.paused(u, now) || t.held(u, now) {
			continue
		}
		l := t.load(u.ID, now)
		use := float64(l.Memory+l.Copies) / float64(profile.MemoryTokens)
		sum += use
		targets = append(targets, target{upstream: u, queued: l.Unread + l.Copies, use: use + float64(n.memory())/float64(profile.MemoryTokens)})
	}
	return targets, sum / float64(max(len(targets), 1))
}

// target is an engine that can take a copy or a move of a generation.
type target struct {
	upstream *bramleytack.Upstream
	// use is the forecast share of the engine's memory in use, the generation
	// included.
	use float64
	// queued is the number of tokens that the engine still has to process or to
	// receive.
	queued int
	// penalty is added to use when engines are compared, but not to check limits.
	penalty float64
}

// lessUsedOfTwo returns the less used of two engines drawn at random among those
// with a use below limit. When an engine leaves, many daemons choose at once from
// the same loads; the least used engine would get every copy.
func lessUsedOfTwo(targets []target, limit float64) *bramleytack.Upstream {
	targets = slices.DeleteFunc(targets, func(e target) bool { return e.use >= limit })
	if len(targets) == 0 {
		return nil
	}
	a, b := targets[rand.IntN(len(targets))], targets[rand.IntN(len(targets))]
	if b.use+b.penalty < a.use+a.penalty {
		a = b
	}
	return a.upstream
}
