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
	// quarantined, those of one moment counted once. Two can meet by chance when several
	// upstreams crash.
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
	runs     map[Key]map[*Run]struct{}
	executed executed
	recent   recentCrashes
	control  control
	// unshared holds the suspects whose clearing the other daemons must learn.
	unshared map[Key]bool
	wake     chan struct{}
}

// New prepares t and returns it.
func New(t *Table) *Table {
	t.suspects, t.runs, t.unshared = map[Key]*suspect{}, map[Key]map[*Run]struct{}{}, map[Key]bool{}
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
	return t.rejecting(request, keys, true)
}

// MayRepeat reports whether the daemon itself may send a request to one more upstream after a
// failure: its first key, that of the whole request, has no crashes in common, and none is
// quarantined.
func (t *Table) MayRepeat(request bramleytack.RequestID, keys []Key) bool {
	if t.Len() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[keys[0]]; s != nil && s.suspected() {
		return false
	}
	_, rejected := t.rejecting(request, keys, false)
	return !rejected
}

// Awaited reports whether a request must not go on at another upstream before it is known whether
// the one that it broke off at has crashed: a crash may be the one after which MayRepeat is false.
func (t *Table) Awaited(keys []Key) bool {
	if t.Len() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	for i, key := range keys {
		if s := t.suspects[key]; s != nil && (i == 0 && len(s.crashes) > 0 || t.quarantined(key, s, now)) {
			return true
		}
	}
	return false
}

// ReportCrash makes the keys of a request that an upstream may have begun to run before
// its crash suspects, and sends them to the other daemons. events is the number of events
// that the request had got from the upstream. After more than partEvents its parts, which are
// all keys but the first, do not count.
func (t *Table) ReportCrash(c Crash, events int, keys ...Key) {
	if t == nil {
		return
	}
	if events > partEvents {
		keys = keys[:1]
	}
	t.mu.Lock()
	now := t.Timer.Now()
	var changed []Record
	t.recent.add(c, now)
	candidates := slices.DeleteFunc(slices.Clone(keys), func(key Key) bool { return further(t.executed.recent(key, now), events) })
	for i, key := range candidates {
		s, found := t.suspect(key, now)
		s.accompany(slices.Concat(candidates[:i], candidates[i+1:]), !found)
		quarantined, known := t.quarantined(key, s, now), s.find(c) >= 0
		if !s.add(c, events, now) {
			continue
		}
		if !known {
			if quarantined && now.Sub(s.newest) >= trialAfter {
				s.trials++
			}
			s.newest = now
		}
		if key == keys[0] {
			s.apart = AllEvents
		}
		t.compare(key, s)
		t.askRuns(key, s, now)
		changed = append(changed, s.record(key, now))
	}
	t.mu.Unlock()
	if len(changed) > 0 && t.Share != nil {
		t.Share(changed)
	}
}

// askRuns lets the runs of this daemon clear crashes of a suspect.
func (t *Table) askRuns(key Key, s *suspect, now time.Time) {
	for r := range t.runs[key] {
		r.speakFor(key, s, now)
	}
}

// ReportExecuted clears the keys that a request has run with to its end, after a number of events.
// The first key is that of the whole request, which is cleared wherever crashes came.
func (t *Table) ReportExecuted(events int, keys ...Key) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	if len(keys) > 1 && events == 0 {
		t.control.add(wholeAnswer(keys, now))
	}
	for i, key := range keys {
		got := beyond(events)
		if i == 0 {
			got = AllEvents
		}
		t.clear(key, got, now)
	}
}

// clear clears the crashes of a key that a request with some events has got further than, also those
// that are reported within executedWindow.
func (t *Table) clear(key Key, events int, now time.Time) {
	t.executed.add(key, events, now)
	if s := t.suspects[key]; s != nil {
		t.outlive(key, s, events, now)
	}
}

// outlive clears the crashes of a suspect that a request with some events has got further than. The
// other daemons learn of it if the suspect concerns them.
func (t *Table) outlive(key Key, s *suspect, events int, now time.Time) {
	before := len(s.crashes)
	if s.outlive(events) == 0 {
		return
	}
	t.endTrial(s)
	t.logCleared(key, s, now)
	if before >= commonCrashes {
		t.tell(key)
	}
}

// endTrial forgets the trials of a suspect without crashes.
func (t *Table) endTrial(s *suspect) {
	if len(s.crashes) == 0 {
		s.trials, s.trial = 0, ""
	}
}

// tell makes Run send the record of a suspect to the other daemons.
func (t *Table) tell(key Key) {
	t.unshared[key] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// logCleared logs the end of a quarantine.
func (t *Table) logCleared(key Key, s *suspect, now time.Time) {
	if s.logged && !t.quarantined(key, s, now) {
		s.logged = false
		t.Log.Event(btevent.KeyCleared).Stringer("key", key).Int("crashes", len(s.crashes)).Send()
	}
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
	s.apart = max(s.apart, r.Apart)
	news, crashed := false, false
	for _, l := range r.Cleared {
		news = s.clear(l) || news
	}
	for _, c := range r.Crashes {
		at := now.Add(-max(c.Age, r.Age))
		t.recent.add(c.Crash, at)
		crashed = s.add(c.Crash, c.Events, at) || crashed
	}
	if len(s.crashes) == 0 {
		delete(t.unshared, r.Key)
	}
	t.endTrial(s)
	t.logCleared(r.Key, s, now)
	if !crashed {
		return news
	}
	if at.After(s.newest) {
		s.newest = at
	}
	t.compare(r.Key, s)
	t.outlive(r.Key, s, t.executed.recent(r.Key, now), now)
	t.askRuns(r.Key, s, now)
	return true
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
			Key: key, Crashes: len(s.settled(now)), Cleared: len(s.cleared), Age: now.Sub(s.newest).Milliseconds(),
			Companions: append([]Key{}, s.companions...), Quarantined: t.quarantined(key, s, now),
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
