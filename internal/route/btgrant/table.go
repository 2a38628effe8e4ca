package btgrant

import (
	"context"
	"math"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// minPerSecond is the rate of an upstream that takes no requests. Without any, nothing
	// would show the end of its limit.
	minPerSecond = 0.2
	// shareChange is the change of a limit, as a part of it, from which on other daemons
	// are told.
	shareChange = 0.1
	// silentPause is how long an upstream gets nothing after its granting daemon did not
	// answer.
	silentPause = 100 * time.Millisecond
	// An upstream that returns from a pause gets returnShare of its warm limit a second,
	// and twice as much after each returnStep, until returnTime has passed.
	returnShare = 0.25
	returnStep  = 500 * time.Millisecond
	returnTime  = 2 * time.Second
	// startPause is how long other daemons stop to ask one that has just started.
	startPause = 300 * time.Millisecond
)

// Limit is what an answer of an upstream says of the requests that the upstream takes from
// all daemons together.
type Limit struct {
	Named     bool
	PerSecond float64
}

// maxPerSecond bounds a limit. Above it no fleet notices one.
const maxPerSecond = 1e6

// LimitOf returns the limit of a number that may come from outside. What is no rate takes
// no requests.
func LimitOf(perSecond float64) Limit {
	if !(perSecond > 0) {
		perSecond = 0
	}
	return Limit{Named: true, PerSecond: min(perSecond, maxPerSecond)}
}

// Word is the newest known limit of an instance.
type Word struct {
	Upstream bramleytack.UpstreamID
	// Started is the start of the instance.
	Started time.Time
	Limit   Limit
	// At is when the answer arrived, by the clock of the daemon that holds the word.
	At time.Time
}

// Terms are the terms of one request for a token.
type Terms struct {
	// Wait is the longest time for which the request waits for its token.
	Wait time.Duration
	// Urgent requests continue a generation that others have begun. They may overdraw the
	// bucket a little.
	Urgent bool
}

// Request asks the granting daemon for a token.
type Request struct {
	Word  Word
	Terms Terms
	// Most bounds the rate besides the limit, while the upstream returns from a pause that
	// it asked this daemon for. Zero is no bound.
	Most float64
}

// Reply is the answer to a Request.
type Reply struct {
	// Word is the newest word that the granting daemon knows.
	Word    Word
	Granted bool
	// Delay is the time until a granted token may be used, After the time after which to
	// ask again for a token that was denied.
	Delay time.Duration
	After time.Duration
}

// Decision is whether a request may be sent.
type Decision struct {
	Granted bool
	// PerSecond is the rate that it was decided by, zero for an upstream without a limit.
	// Age is the age of the word that names the limit, zero during the return from a pause.
	PerSecond float64
	Age       time.Duration
	Waited    time.Duration
	// Left is the time after which the daemon asks again.
	Left time.Duration
}

// Table holds the limits that this daemon knows and grants tokens. It is safe for
// concurrent use. A nil *Table knows no limit. Timer and Ask must be set before the first
// use; the other fields are optional.
type Table struct {
	Timer bramleytack.Timer
	Log   *btevent.Logger
	// Ask sends a request to the daemon that grants for an upstream. It reports false if
	// no answer came.
	Ask func(ctx context.Context, r Request) (Reply, bool)
	// Share sends words to all other daemons. It must not block.
	Share func([]Word)
	// Part returns the part of the fleet, 0 to 1, for which this daemon grants. It is
	// zero if the daemon does not know yet. Nil means all.
	Part func() float64
	// Daemons returns the number of daemons among which callers divide their requests.
	// Nil means one.
	Daemons func() int

	mu     sync.Mutex
	states map[bramleytack.UpstreamID]*state
	// turns are the times until which rejected callers are told to return, by service.
	turns map[string]time.Time
}

// state is what the table knows of one upstream that has named a limit.
type state struct {
	word Word
	// heldUntil is the time until which this daemon does not ask.
	heldUntil time.Time
	// returnsAt is the end of a pause, and returnRate the first rate from then on.
	returnsAt  time.Time
	returnRate float64
	// bucket is used at the granting daemon.
	bucket bucket
	// acquired and denied count the requests of this daemon, granted the tokens that it
	// has granted to all.
	acquired, denied, granted int
}

// most returns the bound of the rate during the return from a pause, zero without one.
func (s *state) most(now time.Time) float64 {
	since := now.Sub(s.returnsAt)
	if s.returnsAt.IsZero() || since >= returnTime {
		return 0
	}
	return s.returnRate * float64(uint(1)<<uint(max(since, 0)/returnStep))
}

// rate returns the rate that the limit and a bound on it allow, infinite for neither.
func (s *state) rate(most float64) float64 {
	rate := math.Inf(1)
	if s.word.Limit.Named {
		rate = s.word.Limit.PerSecond
	}
	if most > 0 {
		rate = min(rate, most)
	}
	return max(rate, minPerSecond)
}

// Return limits the requests to an upstream for some time after a pause that it asked this
// daemon for.
func (t *Table) Return(u *bramleytack.Upstream, at time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.instance(Word{Upstream: u.ID, Started: u.Started})
	s.returnsAt, s.returnRate = at, returnShare*float64(max(u.WarmLimit, 1))
}

// instance returns the state of an instance, a new one unless it is known. It must not be
// older than the known one. The caller holds the lock.
func (t *Table) instance(w Word) *state {
	s := t.states[w.Upstream]
	if s == nil || w.Started.After(s.word.Started) {
		s = &state{word: Word{Upstream: w.Upstream, Started: w.Started}}
		if t.states == nil {
			t.states = map[bramleytack.UpstreamID]*state{}
		}
		t.states[w.Upstream] = s
	}
	return s
}

// Observe takes the limit that an answer of an upstream names, or that it names none.
func (t *Table) Observe(u *bramleytack.Upstream, l Limit) {
	if t == nil {
		return
	}
	t.mu.Lock()
	w := Word{Upstream: u.ID, Started: u.Started, Limit: l, At: t.Timer.Now()}
	news := t.update(w, "answer")
	t.mu.Unlock()
	if news && t.Share != nil {
		t.Share([]Word{w})
	}
}

// Merge takes the words of another daemon and reports whether any of them was news.
func (t *Table) Merge(words []Word) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for _, w := range words {
		news = t.update(w, "peer") || news
	}
	return news
}

// update replaces the word of an instance by a newer one, and reports whether the limit
// has changed by so much that other daemons should know. The caller holds the lock.
func (t *Table) update(w Word, source string) bool {
	s := t.states[w.Upstream]
	if s == nil && !w.Limit.Named {
		return false
	}
	if s = t.instance(w); w.Started.Before(s.word.Started) || !w.At.After(s.word.At) {
		return false
	}
	old := s.word.Limit
	s.word = w
	if old.Named == w.Limit.Named && math.Abs(w.Limit.PerSecond-old.PerSecond) <= shareChange*old.PerSecond {
		return false
	}
	if !w.Limit.Named {
		s.heldUntil = time.Time{}
	}
	t.Log.Event(btevent.UpstreamLimited).Str("upstream", string(w.Upstream)).Bool("limited", w.Limit.Named).Float64("perSecond", w.Limit.PerSecond).
		Float64("before", old.PerSecond).Str("source", source).Dur("age", t.Timer.Now().Sub(w.At)).Send()
	return true
}

// limited returns the state of an upstream that is limited or returns from a pause, or nil.
// The caller holds the lock.
func (t *Table) limited(u *bramleytack.Upstream) *state {
	s := t.states[u.ID]
	if s == nil || !s.word.Started.Equal(u.Started) || !s.word.Limit.Named && s.most(t.Timer.Now()) <= 0 {
		return nil
	}
	return s
}

// Acquire decides whether a request may be sent to an upstream now. It returns at once
// unless the upstream is limited, and in any case after little more than the wait that
// the terms allow.
func (t *Table) Acquire(ctx context.Context, u *bramleytack.Upstream, terms Terms) Decision {
	if t == nil {
		return Decision{Granted: true}
	}
	t.mu.Lock()
	s := t.limited(u)
	if s == nil {
		t.mu.Unlock()
		return Decision{Granted: true}
	}
	began := t.Timer.Now()
	d := Decision{PerSecond: s.rate(s.most(began))}
	if s.word.Limit.Named {
		d.Age = began.Sub(s.word.At)
	}
	if left := s.heldUntil.Sub(began); left > terms.Wait && !terms.Urgent {
		s.denied++
		d.Left = left
		t.mu.Unlock()
		return d
	}
	r := Request{Word: s.word, Terms: terms, Most: s.most(began)}
	t.mu.Unlock()
	reply, ok := t.Ask(ctx, r)
	d.Granted = t.decide(u, &reply, ok)
	if d.Granted && reply.Delay > 0 {
		d.Granted = reply.Delay <= terms.Wait && t.Timer.Sleep(ctx, reply.Delay) == nil
	}
	d.Waited, d.Left = t.Timer.Now().Sub(began), reply.After
	return d
}

// decide applies the reply of a granting daemon and reports whether it allows the request.
func (t *Table) decide(u *bramleytack.Upstream, r *Reply, answered bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		t.update(r.Word, "grant")
	} else {
		r.After = silentPause
	}
	s := t.limited(u)
	if s == nil {
		return true
	}
	if r.Granted {
		s.acquired++
		return true
	}
	s.denied++
	if until := t.Timer.Now().Add(min(r.After, maxAfter)); until.After(s.heldUntil) {
		s.heldUntil = until
	}
	return false
}

// Grant answers the request of a daemon, this one included, at the granting daemon.
func (t *Table) Grant(r Request) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(r.Word, "request")
	s := t.instance(r.Word)
	if !s.word.Limit.Named && r.Most <= 0 {
		return Reply{Word: s.word, Granted: true}
	}
	part := 1.0
	if t.Part != nil {
		part = t.Part()
	}
	if part <= 0 {
		return Reply{Word: s.word, After: startPause}
	}
	reply := Reply{Word: s.word}
	interval := time.Duration(float64(time.Second) / (part * s.rate(r.Most)))
	reply.Granted, reply.Delay, reply.After = s.bucket.take(t.Timer.Now(), interval, r.Terms)
	if reply.Granted {
		s.granted++
	}
	return reply
}

// Limited reports whether an upstream is limited or returns from a pause.
func (t *Table) Limited(u *bramleytack.Upstream) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited(u) != nil
}

// HeldUntil returns the time until which this daemon sends nothing to an upstream, zero
// unless it is limited.
func (t *Table) HeldUntil(u *bramleytack.Upstream) time.Time {
	if t == nil {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limited(u); s != nil {
		return s.heldUntil
	}
	return time.Time{}
}

// ReturnAfter returns the time after which a rejected caller of a service may find a token,
// if all upstreams are limited. Each caller gets a time of its own, at the rate of this
// daemon's part of the limits. It is zero if any upstream is not limited.
func (t *Table) ReturnAfter(service string, upstreams []*bramleytack.Upstream) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	sum, first := 0.0, time.Time{}
	for _, u := range upstreams {
		s := t.limited(u)
		if s == nil {
			return 0
		}
		sum += s.rate(s.most(now))
		if first.IsZero() || s.heldUntil.Before(first) {
			first = s.heldUntil
		}
	}
	if sum <= 0 {
		return 0
	}
	if t.Daemons != nil {
		sum /= float64(max(t.Daemons(), 1))
	}
	turn := t.turns[service]
	if turn.Before(first) {
		turn = first
	}
	if turn.Before(now) {
		turn = now
	}
	if t.turns == nil {
		t.turns = map[string]time.Time{}
	}
	t.turns[service] = turn.Add(time.Duration(float64(time.Second) / sum))
	return turn.Sub(now)
}

// Words returns the limits in force, at most limit of them in random order.
func (t *Table) Words(limit int) []Word {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var words []Word
	for _, s := range t.states {
		if s.word.Limit.Named && len(words) < limit {
			words = append(words, s.word)
		}
	}
	return words
}

// Retain drops what belongs to instances that are not in the snapshot, but for the return
// from a pause, since a registration may be back before.
func (t *Table) Retain(s *bramleytack.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, st := range t.states {
		if u := s.Upstreams[id]; u == nil && st.most(t.Timer.Now()) <= 0 || u != nil && u.Started.After(st.word.Started) {
			delete(t.states, id)
		}
	}
	for service := range t.turns {
		if s.Services[service] == nil {
			delete(t.turns, service)
		}
	}
}

// State is the limit of one upstream for operators. Times are in milliseconds.
type State struct {
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"perSecond"`
	Age       int64   `json:"age"`
	// Held is the time for which this daemon does not ask.
	Held int64 `json:"held"`
	// Returns is the time until the end of a pause, negative after it, zero without one.
	Returns int64 `json:"returns"`
	// Acquired and Denied count the requests of this daemon, Granted the tokens that it
	// has granted to all.
	Acquired int `json:"acquired"`
	Denied   int `json:"denied"`
	Granted  int `json:"granted"`
}

// State returns the limits by upstream.
func (t *Table) State() map[bramleytack.UpstreamID]State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Timer.Now()
	all := make(map[bramleytack.UpstreamID]State, len(t.states))
	for id, s := range t.states {
		returns := int64(0)
		if !s.returnsAt.IsZero() {
			returns = s.returnsAt.Sub(now).Milliseconds()
		}
		all[id] = State{
			Returns: returns,
			Limited: s.word.Limit.Named, PerSecond: s.word.Limit.PerSecond, Age: now.Sub(s.word.At).Milliseconds(),
			Held: max(s.heldUntil.Sub(now), 0).Milliseconds(), Acquired: s.acquired, Denied: s.denied, Granted: s.granted,
		}
	}
	return all
}
