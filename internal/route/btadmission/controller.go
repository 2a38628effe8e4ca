package btadmission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
	"bramleytack/internal/route/btreturn"
)

// A request in time may use an engine up to a share of its memory that grows from
// firstMemory to lastMemory while it waits. One whose target has passed begins at
// lateMemory, so that those that can be in time go first.
const (
	firstMemory = 0.90
	lastMemory  = 1.0
	lateMemory  = 0.85
	// Short generations hold memory for less than a second, and forecasts add up the final
	// sizes of all others, which are seldom reached at the same time.
	firstShortMemory = 1.05
	lastShortMemory  = 1.25
	// yieldMemory is the part of an engine's memory that a request leaves free for a more
	// urgent one that waits, shareMemory that of a tenant above its fair share.
	yieldMemory = 0.05
	shareMemory = 0.10
	// targetShare is the part of a target latency that unread prompts may take. The rest is
	// for the way to the engine and back, and for an error of the forecast.
	targetShare = 0.8
	// lessUrgentShare is the part of it for requests of less urgent ranks. The prompt of a
	// more urgent one behind it can then be read in time.
	lessUrgentShare = 0.5
	// yieldShare is the part of that which remains while a more urgent request waits.
	yieldShare = 0.65
	// waitShare is the part of the time until its caller leaves for which a request waits.
	// The rest is for its prompt.
	waitShare = 0.6
	// overloadShare is the share of the engines' memory for which requests wait under overload.
	// A twentieth becomes free within the target latency of generations that run for some
	// twenty times as long.
	overloadShare = 0.05
	// overloadRequests is the least number of typical requests that wait under overload. In a
	// small fleet a few wait by chance.
	overloadRequests = 8
	// minHolds is the number of own generations that have ended before a request is
	// rejected by forecast.
	minHolds = 5
	// startReadPerMilli is the number of prompt tokens that an engine reads in a millisecond
	// beside running generations, before it has been measured. The measured value stays
	// within leastReadPerMilli and mostReadPerMilli: cached prompts are read at once, and an
	// engine that stands still reads nothing.
	startReadPerMilli = 7.0
	leastReadPerMilli = 2.0
	mostReadPerMilli  = 30.0
	// sampleWeight is the weight of the newest sample in the learned rates.
	sampleWeight = 0.1
)

// Request is what a decision needs to know of a request.
type Request struct {
	Service string
	// Rank is its urgency, 0 is the most urgent.
	Rank   int
	Tenant bramleytack.WorkspaceID
	// Key recognizes the request if its caller sends it again. It is called under overload only,
	// once.
	Key func() btreturn.Key
	// Arrived is when it came, Target when its first event is late, and End when its caller
	// leaves without one or it can no longer end before its deadline.
	Arrived time.Time
	Target  time.Time
	End     time.Time
	// Deadline bounds the Retry-After.
	Deadline time.Time
	// ReadTarget is the least target latency among the routes of its service that are at
	// least as urgent. LessUrgent is set if one of these is more urgent.
	ReadTarget time.Duration
	LessUrgent bool
	// Prompt and Memory are the tokens that it has to read and will hold. Short is set if it
	// holds them for so short a time that it need not wait behind others.
	Prompt int
	Memory int
	Short  bool
}

// Room is the load of the engines of a service that accept work.
type Room struct {
	Engines int
	// Memory and Capacity are the tokens forecast and in all, Unread those of prompts.
	Memory   int
	Capacity int
	Unread   int
	// Readers is the number of engines of the usual pace that read prompts as fast as all of
	// them. Zero means that all have the usual pace.
	Readers float64
}

func (r Room) readers() float64 {
	if r.Readers > 0 {
		return r.Readers
	}
	return float64(r.Engines)
}

// unlimited are limits within which a request may be sent to any engine, one with a full batch
// included.
var unlimited = Limits{Memory: math.Inf(1), Unread: math.MaxInt}

// Limits are those within which a request may be sent to an engine.
type Limits struct {
	// Memory is a share of the engine's memory, the request included.
	Memory float64
	// Unread is the number of prompt tokens that an engine of the usual pace has still to read
	// before it.
	Unread int
}

// Decision is the result of one look at the engines.
type Decision struct {
	// Rejected requests are not sent, and their callers may return after RetryAfter.
	Rejected   bool
	RetryAfter time.Duration
	// Reason is "forecast" or "waited" for rejected requests.
	Reason string
	Limits Limits
	// Forecast is the expected time until the first event, and Ahead the tokens of memory
	// for which other requests wait that go first.
	Forecast time.Duration
	Ahead    int
	Late     bool
	Returned bool
}

// Controller decides for one daemon. It is safe for concurrent use.
type Controller struct {
	timer bramleytack.Timer
	// Host is this daemon, and Alone reports whether it does not learn the demand of others. Nil
	// means that it does. Both are set before the first use.
	Host  bramleytack.HostID
	Alone func() bool

	mu      sync.Mutex
	random  *rand.Rand
	own     map[class]Waiting
	tenants map[uint32]int
	peers   map[bramleytack.HostID]peerDemand
	hubs    sources
	sums    sums
	// returns are the callers that are expected back, at any daemon. told counts those that this
	// one has rejected.
	returns *btreturn.Callers
	told    int
	// hold is the mean time for which memory is held, by tokens, read the tokens that an
	// engine of the usual pace reads in a millisecond, typical the memory of a long request and prompt the prompt of any.
	hold    mean
	read    mean
	typical mean
	prompt  mean
	holds   int
	// toldWaiting is set if requests waited here when the others were last told.
	toldWaiting bool
}

// New returns a controller without samples. The seed spreads what callers are told.
func New(t bramleytack.Timer, seed uint64) *Controller {
	return &Controller{timer: t, random: rand.New(rand.NewPCG(seed, 0)), own: map[class]Waiting{}, tenants: map[uint32]int{}, peers: map[bramleytack.HostID]peerDemand{}, hubs: sources{}, returns: &btreturn.Callers{}}
}

// Returns are the callers that are expected back. A nil controller expects nobody.
func (c *Controller) Returns() *btreturn.Callers {
	if c == nil {
		return nil
	}
	return c.returns
}

// mean is a weighted mean of which old samples fade.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value*weight - sampleWeight*m.sum
	m.weight += weight - sampleWeight*m.weight
}

func (m *mean) value(without float64) float64 {
	if m.weight <= 0 {
		return without
	}
	return m.sum / m.weight
}

// Visit is one request at this daemon. Its methods are called by one goroutine.
type Visit struct {
	c      *Controller
	r      Request
	tenant uint32
	// known is set once it is known whether the caller returned, and with which key.
	known    bool
	key      btreturn.Key
	returned bool
	// shared is set for the requests of a tenant that stay behind while it is above its
	// fair share. Half of them do: a large tenant is not starved.
	shared   bool
	waiting  bool
	admitted time.Time
	left     bool
	judged   bool
	lateSeen bool
}

// Enter begins a visit.
func (c *Controller) Enter(r Request) *Visit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Visit{c: c, r: r, tenant: hashOf(string(r.Tenant)), shared: c.random.IntN(2) == 0}
}

// recognize finds out whether the caller was told to come back. The caller holds the lock.
func (v *Visit) recognize(now time.Time) {
	if v.known {
		return
	}
	v.known, v.key = true, v.r.Key()
	v.returned = v.c.returns.Take(v.key, now)
}

// Wait counts the request among those that wait.
func (v *Visit) Wait() {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	if !v.waiting {
		v.waiting = true
		v.c.addWaiting(v, 1)
		v.c.tenants[v.tenant] += v.r.Memory
	}
}

// Admit counts the request among those that run. Calls after the first and those of a nil
// visit have no effect.
func (v *Visit) Admit() {
	if v == nil {
		return
	}
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	if !v.admitted.IsZero() {
		return
	}
	v.stopWaiting()
	v.admitted = v.c.timer.Now()
	v.c.tenants[v.tenant] += v.r.Memory
	if !v.r.Short {
		v.c.typical.add(float64(v.r.Memory), 1)
	}
	v.c.prompt.add(float64(v.r.Prompt), 1)
}

// FirstEvent learns how fast engines of the usual pace read, from the tokens that one of them would
// have read before the request in as long as its engine took.
func (v *Visit) FirstEvent(unread int, sent time.Time) {
	if v == nil {
		return
	}
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	if took := v.c.timer.Now().Sub(sent); took > 0 && v.r.Prompt > 0 {
		millis := took.Seconds() * 1e3
		// An engine that stood still counts no more than a slow one.
		v.c.read.add(float64(unread+v.r.Prompt)/millis, min(millis, v.r.ReadTarget.Seconds()*1e3))
	}
}

// Leave ends the visit. Calls after the first and those of a nil visit have no effect.
func (v *Visit) Leave() {
	if v == nil || v.left {
		return
	}
	v.left = true
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	v.stopWaiting()
	if v.admitted.IsZero() {
		return
	}
	v.c.addTenant(v.tenant, -v.r.Memory)
	v.c.hold.add(v.c.timer.Now().Sub(v.admitted).Seconds(), float64(v.r.Memory))
	v.c.holds++
}

func (v *Visit) stopWaiting() {
	if v.waiting {
		v.waiting = false
		v.c.addWaiting(v, -1)
		v.c.addTenant(v.tenant, -v.r.Memory)
	}
}

// Overloaded reports whether so much waits for the service at all daemons that admission decides,
// and returns the room. Below that, what waits finds room as engines end their work. Without
// anything that waits, it does not ask for the room.
func (v *Visit) Overloaded(room func() Room) (Room, bool) {
	v.c.mu.Lock()
	waiting := v.c.refresh(v.c.timer.Now()).waitingFor(v.r, math.MaxInt, false).Memory
	few := overloadRequests * v.c.typical.value(float64(v.r.Memory))
	v.c.mu.Unlock()
	if float64(waiting) < few {
		return Room{}, false
	}
	r := room()
	return r, r.Capacity > 0 && float64(waiting) >= overloadShare*float64(r.Capacity)
}

// Decide returns what becomes of the request now. A room without engines is not known: the
// request may then go anywhere.
func (v *Visit) Decide(room Room) Decision {
	c := v.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	v.recognize(now)
	if room.Engines == 0 || room.Capacity == 0 {
		return Decision{Limits: unlimited, Returned: v.returned}
	}
	s := c.refresh(now)
	ahead := s.waitingFor(v.r, v.r.Rank, v.waiting)
	d := Decision{Returned: v.returned, Late: v.late(now), Ahead: ahead.Memory, Forecast: c.forecast(v.r, room, ahead)}
	// The forecast counts when a request comes and when it turns late. In between the
	// request has its place.
	judge := !v.judged || d.Late && !v.lateSeen
	v.judged, v.lateSeen = true, v.lateSeen || d.Late
	others := s.waitingFor(v.r, math.MaxInt, v.waiting).Memory > 0
	switch {
	case now.Sub(v.r.Arrived) >= v.patience() && !others:
		// It does not wait for others, so that loads may be wrong. A full engine is better than
		// none.
		d.Limits = unlimited
		return d
	case now.Sub(v.r.Arrived) >= v.patience():
		d.Reason = "waited"
	case judge && !v.returned && c.holds >= minHolds && !c.alone() && now.Add(d.Forecast).After(v.r.End):
		d.Reason = "forecast"
	}
	if d.Reason != "" {
		d.Rejected = true
		d.RetryAfter = RetryAfter(d.Forecast+c.drain(c.rate(room), now), v.r.Deadline.Sub(now), c.random.Float64())
		c.tell(v.key, v.r.Memory, now, d.RetryAfter)
		return d
	}
	d.Limits = v.limits(now, room, s, others)
	return d
}

// bookedShare is the share of the callers told to come back that go before new ones. If all
// did, nearly all would be late while more come than can be served.
const bookedShare = 0.25

// tell notes a caller that was told to come back, which returns first if a share of them allows
// it. The caller holds the lock.
func (c *Controller) tell(k btreturn.Key, memory int, now time.Time, after time.Duration) {
	c.told++
	if float64(c.told)*bookedShare < 1 && c.returns.Len() > 0 {
		return
	}
	c.told = 0
	c.returns.Tell(btreturn.Told{Key: k, After: after}, memory, now)
}

// drain returns the time in which those that this daemon expects back find room, at a rate of
// tokens a second.
func (c *Controller) drain(rate float64, now time.Time) time.Duration {
	return time.Duration(float64(c.returns.Size(now)) / rate * float64(time.Second))
}

// alone reports whether this daemon does not learn the demand of others, and rejects nothing
// by forecast.
func (c *Controller) alone() bool { return c.Alone != nil && c.Alone() }

// retrySpread is the part of a Retry-After by which it varies.
const retrySpread = 0.25

// maxRetryShare is the share of the time left up to which a Retry-After is honored, less a
// margin for the way to the caller.
const maxRetryShare = 0.32

// RetryAfter returns when a caller should return that finds room after a time. at is in
// [0, 1) and spreads the callers.
func RetryAfter(wait, left time.Duration, at float64) time.Duration {
	most := time.Duration(maxRetryShare * float64(left))
	wait = min(wait, time.Duration(float64(most)/(1+retrySpread)))
	return max(time.Duration(float64(wait)*(1-retrySpread+2*retrySpread*at)), min(most, minRetryAfter))
}

// minRetryAfter keeps callers from returning before loads have been exchanged.
const minRetryAfter = 100 * time.Millisecond

// patience is how long the request waits at most.
func (v *Visit) patience() time.Duration {
	return time.Duration(waitShare * float64(v.r.End.Sub(v.r.Arrived)))
}

// readTime is the time in which an engine reads tokens.
func (c *Controller) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.readPerMilli() * float64(time.Millisecond))
}

func (c *Controller) readPerMilli() float64 {
	return min(max(c.read.value(startReadPerMilli), leastReadPerMilli), mostReadPerMilli)
}

// late reports whether the first event cannot come in the target any more.
func (v *Visit) late(now time.Time) bool {
	return now.Add(v.c.readTime(v.r.Prompt)).After(v.r.Target)
}

// rate returns the tokens of memory that become free in a second, at least one.
func (c *Controller) rate(room Room) float64 {
	return max(float64(room.Memory)/max(c.hold.value(1), 0.01), 1)
}

// forecast returns the expected time until the first event: what waits ahead needs memory
// that others free, and its prompts are read first.
func (c *Controller) forecast(r Request, room Room, ahead Waiting) time.Duration {
	free := max(lastMemory*float64(room.Capacity)-float64(room.Memory), 0)
	memory := max(float64(ahead.Memory+r.Memory)-free, 0) / c.rate(room)
	read := float64(room.Unread+ahead.Prompt) / (room.readers() * c.readPerMilli() * 1e3)
	return time.Duration(max(memory, read)*float64(time.Second)) + c.readTime(r.Prompt)
}

// limits returns the limits of a request by its standing. others is set if other requests wait
// for the service.
func (v *Visit) limits(now time.Time, room Room, s *sums, others bool) Limits {
	r, c := v.r, v.c
	waited, late := now.Sub(r.Arrived), v.late(now)
	first, last := firstMemory, lastMemory
	longest := r.Target.Sub(r.Arrived) - c.readTime(r.Prompt)
	if late {
		first, waited, longest = lateMemory, now.Sub(r.Target), r.Arrived.Add(v.patience()).Sub(r.Target)
	}
	if r.Short {
		first, last = firstShortMemory, lastShortMemory
	}
	standing := 1.0
	if longest > 0 && !v.returned {
		standing = min(max(float64(waited)/float64(longest), 0), 1)
	}
	l := Limits{Memory: first + (last-first)*standing}
	perEngine := float64(room.Capacity) / float64(room.Engines)
	if !r.Short {
		// Requests of all sizes find an engine with the same free memory.
		l.Memory += (float64(r.Memory) - c.typical.value(float64(r.Memory))) / perEngine
	}
	budget := targetShare * c.readPerMilli() * float64(r.ReadTarget.Milliseconds())
	if r.LessUrgent && others {
		budget *= lessUrgentShare
		if s.waitingFor(r, r.Rank-1, false).Memory > 0 {
			l.Memory -= yieldMemory
			budget *= yieldShare
		}
	}
	if late {
		budget *= lessUrgentShare
	}
	if v.shared && s.above(v.tenant) {
		l.Memory -= shareMemory
		budget /= 2
	}
	// A long prompt finds an engine as often as a typical one.
	prompt := min(float64(r.Prompt), c.prompt.value(float64(r.Prompt)))
	l.Unread = int(max(budget-prompt, 0))
	return l
}

// hashOf shortens a name for messages.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
