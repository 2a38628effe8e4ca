package btsuspect

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// quarantineCrashes is the number of crashes in common from which on a key is
	// quarantined. Two can meet by chance when several upstreams crash.
	quarantineCrashes = 3
	// settleTime is the time from a crash until it counts. It exceeds
	// shareJitter by the time that a record takes to reach all daemons.
	settleTime = 200 * time.Millisecond
	// shareJitter spreads the clearings of daemons that execute the same key, so that
	// the first one spares the others theirs.
	shareJitter = 50 * time.Millisecond
	// executedWindow is how long an execution clears later crashes. A key that becomes
	// fatal is suspected only after it.
	executedWindow = 2 * time.Second
	// trialAfter is the time from the last crash of a quarantined key to its first trial.
	// Each trial that ends with a crash multiplies it by 1 << trialGrowth, at most maxTrials
	// times: after a loop of crashes sound requests pass again soon, while a fatal key
	// reaches upstreams three times in the first two minutes.
	trialAfter  = 5 * time.Second
	trialGrowth = 2
	maxTrials   = 8
	// trialTimeout is the time after which a trial that ended neither way is repeated.
	trialTimeout = 4 * time.Second
	// expiry is how long a suspicion lasts after the newest crash.
	expiry = 15 * time.Minute
	// maxSuspects bounds the table. The suspects with the fewest crashes go first.
	maxSuspects = 2048
	// commonCrashes is the number of crashes from which on a key has them in common, and
	// its record concerns daemons that saw none of them.
	commonCrashes = 2
)

// Table holds the suspects that this daemon knows. It is safe for concurrent use. A nil
// *Table suspects nothing.
type Table struct {
	Timer bramleytack.Timer
	// Log may be nil.
	Log *btevent.Logger
	// Share sends records to all other daemons. It must not block and may be nil.
	Share func([]Record)
	// Elected reports whether this daemon is the one that runs the trial of a key. Nil
	// means that it is.
	Elected func(Key) bool

	// size is the number of suspects.
	size atomic.Int64

	mu       sync.Mutex
	suspects map[Key]*suspect
	executed executed
	// unshared holds the suspects whose clearing the other daemons must learn.
	unshared map[Key]bool
	wake     chan struct{}
}

// New prepares t and returns it.
func New(t *Table) *Table {
	t.suspects, t.unshared = map[Key]*suspect{}, map[Key]bool{}
	t.wake = make(chan struct{}, 1)
	return t
}

// Len returns the number of suspects.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return int(t.size.Load())
}

// Quarantined reports whether a request must not be sent to an upstream because one of
// its keys is quarantined, and returns that key. It is true for all requests but the one
// that is on trial.
func (t *Table) Quarantined(request bramleytack.RequestID, keys []Key) (Key, bool) {
	if t.Len() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var lead Key
	for _, key := range keys {
		s := t.suspects[key]
		if s == nil || !s.quarantined(now) {
			continue
		}
		t.logQuarantined(key, s, now)
		if !t.accompanied(s, keys, now) || t.explained(key, s, now) {
			continue
		}
		if lead == 0 {
			lead = key
		}
		if !t.try(key, lead, s, request, now) {
			return key, true
		}
	}
	return 0, false
}

// Suspected reports whether a key has crashes in common that no execution has cleared,
// even if they do not count yet.
func (t *Table) Suspected(key Key) bool {
	if t.Len() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[key]
	return s != nil && len(s.crashes) >= commonCrashes
}

// logQuarantined logs that a suspect is quarantined, once.
func (t *Table) logQuarantined(key Key, s *suspect, now time.Time) {
	if s.logged {
		return
	}
	s.logged = true
	t.Log.Event(btevent.KeyQuarantined).Stringer("key", key).Int("crashes", s.count(now)).Dur("age", now.Sub(s.newest)).Send()
}

// accompanied reports whether a request with some keys has all companions of a suspect
// that are quarantined too. As long as keys occur together only, any one of them may be
// the fatal one; a request with some of them runs, and clears these if it is sound.
func (t *Table) accompanied(s *suspect, keys []Key, now time.Time) bool {
	for _, c := range s.companions {
		other := t.suspects[c]
		if other != nil && other.quarantined(now) && !slices.Contains(keys, c) {
			return false
		}
	}
	return true
}

// explained reports whether all crashes of a suspect are also those of a narrower one: a
// quarantined key that only occurs together with it. Requests that were beside the fatal
// ones may then have given it its crashes.
func (t *Table) explained(key Key, s *suspect, now time.Time) bool {
	for other, n := range t.suspects {
		narrower := slices.Contains(n.companions, key) && !slices.Contains(s.companions, other)
		if narrower && n.quarantined(now) && n.hasAll(s.crashes) {
			return true
		}
	}
	return false
}

// try reports whether a request may run a quarantined key as its trial. A request with
// several such keys tries all of them, at the daemon that is elected for the first one,
// lead.
func (t *Table) try(key, lead Key, s *suspect, request bramleytack.RequestID, now time.Time) bool {
	if s.trial == request && now.Sub(s.trialAt) < trialTimeout && s.newest.Before(s.trialAt) {
		return true
	}
	due := s.newest.Add(trialAfter << (trialGrowth * min(s.trials, maxTrials)))
	if now.Before(due) || now.Sub(s.trialAt) < trialTimeout || t.Elected != nil && !t.Elected(lead) {
		return false
	}
	s.trial, s.trialAt = request, now
	t.Log.Event(btevent.KeyTried).Stringer("key", key).Str("request", string(request)).Int("crashes", s.count(now)).Send()
	return true
}

// ReportCrash makes the keys of a request that an upstream may have begun to run before
// its crash suspects, and sends them to the other daemons.
func (t *Table) ReportCrash(c Crash, keys []Key) {
	if t == nil {
		return
	}
	t.mu.Lock()
	now := t.Timer.Now()
	var changed []Record
	candidates := slices.DeleteFunc(slices.Clone(keys), func(key Key) bool { return t.executed.recent(key, now) })
	for i, key := range candidates {
		s, found := t.suspect(key, now)
		s.accompany(slices.Concat(candidates[:i], candidates[i+1:]), !found)
		quarantined := s.quarantined(now)
		if s.add(c, now.Add(settleTime)) {
			if quarantined && now.Sub(s.newest) >= trialAfter {
				s.trials++
			}
			s.newest = now
			changed = append(changed, s.record(key, now))
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 && t.Share != nil {
		t.Share(changed)
	}
}

// ReportExecuted clears the keys that a request has run with.
func (t *Table) ReportExecuted(keys ...Key) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	for _, key := range keys {
		t.executed.add(key, now)
		if s := t.suspects[key]; s != nil {
			t.clear(key, s)
		}
	}
}

// clear clears a suspect. The other daemons learn of it if it concerns them.
func (t *Table) clear(key Key, s *suspect) {
	n := len(s.crashes)
	if n == 0 {
		return
	}
	s.clearAll()
	t.logCleared(key, s, n)
	if n < commonCrashes {
		return
	}
	t.unshared[key] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// logCleared ends the trial of a suspect without crashes, and logs the end of its
// quarantine.
func (t *Table) logCleared(key Key, s *suspect, crashes int) {
	if s.logged {
		t.Log.Event(btevent.KeyCleared).Stringer("key", key).Int("crashes", crashes).Send()
	}
	s.trial, s.logged = "", false
}

// Merge adds the records of another daemon and reports whether any of them was news.
func (t *Table) Merge(records []Record) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	news := false
	for _, r := range records {
		if r.Age >= 0 && r.Age < expiry {
			news = t.merge(r, now) || news
		}
	}
	return news
}

func (t *Table) merge(r Record, now time.Time) bool {
	at := now.Add(-r.Age)
	s, found := t.suspect(r.Key, at)
	s.accompany(r.Companions, !found)
	s.trials = max(s.trials, r.Trials)
	news, crashed := false, false
	for _, c := range r.Cleared {
		news = s.clear(c) || news
	}
	for _, c := range r.Crashes {
		crashed = s.add(c, at.Add(settleTime)) || crashed
	}
	if len(s.crashes) == 0 {
		delete(t.unshared, r.Key)
		t.logCleared(r.Key, s, len(r.Cleared))
	}
	if crashed && at.After(s.newest) {
		s.newest = at
	}
	if crashed && t.executed.recent(r.Key, now) {
		t.clear(r.Key, s)
	}
	return news || crashed
}

// Records returns the records that concern daemons which have seen none of the crashes,
// at most limit of them, in random order.
func (t *Table) Records(limit int) []Record {
	if t.Len() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.expire(now)
	var records []Record
	for key, s := range t.suspects {
		if len(s.crashes) >= commonCrashes {
			records = append(records, s.record(key, now))
		}
	}
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records[:min(len(records), limit)]
}

// Run sends the clearings of this daemon to the others until ctx ends.
func (t *Table) Run(ctx context.Context) {
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return
		}
		if t.Timer.Sleep(ctx, rand.N(shareJitter)) != nil {
			return
		}
		if records := t.takeUnshared(); len(records) > 0 && t.Share != nil {
			t.Share(records)
		}
	}
}

func (t *Table) takeUnshared() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	var records []Record
	for key := range t.unshared {
		if s := t.suspects[key]; s != nil {
			records = append(records, s.record(key, now))
		}
	}
	clear(t.unshared)
	return records
}

// State is one suspect for operators. Times are in milliseconds.
type State struct {
	Key         Key   `json:"key"`
	Crashes     int   `json:"crashes"`
	Cleared     int   `json:"cleared"`
	Age         int64 `json:"age"`
	Quarantined bool  `json:"quarantined"`
	Companions  []Key `json:"companions"`
}

// State returns the suspects, sorted by their keys.
func (t *Table) State() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	t.expire(now)
	all := make([]State, 0, len(t.suspects))
	for key, s := range t.suspects {
		all = append(all, State{
			Key: key, Crashes: len(s.crashes), Cleared: len(s.cleared), Age: now.Sub(s.newest).Milliseconds(),
			Companions: append([]Key{}, s.companions...), Quarantined: s.quarantined(now),
		})
	}
	slices.SortFunc(all, func(a, b State) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// suspect returns the suspect of a key. If there is none it adds one whose newest crash
// was at a given time, and reports false. The caller holds the lock.
func (t *Table) suspect(key Key, newest time.Time) (s *suspect, found bool) {
	if s := t.suspects[key]; s != nil {
		return s, true
	}
	if len(t.suspects) >= maxSuspects {
		t.expire(t.Timer.Now())
	}
	if len(t.suspects) >= maxSuspects {
		t.evict()
	}
	s = &suspect{newest: newest}
	t.suspects[key] = s
	t.size.Store(int64(len(t.suspects)))
	return s, false
}

// expire drops the suspects without a crash for expiry.
func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ Key, s *suspect) bool { return now.Sub(s.newest) >= expiry })
	t.size.Store(int64(len(t.suspects)))
}

// evict drops the suspect with the fewest crashes, the oldest of these.
func (t *Table) evict() {
	var worst Key
	var found *suspect
	for key, s := range t.suspects {
		if found == nil || len(s.crashes) < len(found.crashes) || len(s.crashes) == len(found.crashes) && s.newest.Before(found.newest) {
			worst, found = key, s
		}
	}
	delete(t.suspects, worst)
}
