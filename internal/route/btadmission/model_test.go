package btadmission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramleytack"
	"bramleytack/internal/route/btreturn"
)

const (
	modelEngines = 8
	modelMemory  = 27000
	modelSlots   = 24
	modelTick    = 5 * time.Millisecond
	modelPoll    = 60 * time.Millisecond
	modelDay     = 40 * time.Second
	maxGap       = 180 * time.Millisecond
)

// clock is a timer of which only Now is used.
type clock struct {
	bramleytack.Timer
	now time.Time
}

func (c *clock) Now() time.Time { return c.now }

// job is a request of the model.
type job struct {
	r                   Request
	name                string
	output              int
	daemon              int
	visit               *Visit
	pollAt              time.Time
	unread, made, ahead int
	sent, lastEvent     time.Time
	first, longest      time.Duration
	// began and target are those of the first attempt.
	began       time.Time
	target      time.Duration
	attempt     int
	large, done bool
}

func (j *job) memory() int { return j.r.Prompt + j.made }

// engine reads a chunk of one prompt and makes a token of each other generation in a step.
type engine struct {
	running []*job
	queue   []*job
	freeAt  time.Time
}

func (e *engine) load() (memory, unread int) {
	for _, list := range [][]*job{e.running, e.queue} {
		for _, j := range list {
			memory, unread = memory+max(j.r.Memory, j.memory()+120), unread+j.unread
		}
	}
	return memory, unread
}

func (e *engine) used() (sum int) {
	for _, j := range e.running {
		sum += j.memory()
	}
	return sum
}

// step runs the engine until a time.
func (e *engine) step(until time.Time) {
	for e.freeAt.Before(until) {
		for len(e.queue) > 0 && len(e.running) < modelSlots && e.used()+e.queue[0].memory() <= modelMemory {
			e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
		}
		if len(e.running) == 0 {
			e.freeAt = until
			return
		}
		took := 7 + 0.12*float64(len(e.running))
		reader := slices.IndexFunc(e.running, func(j *job) bool { return j.unread > 0 })
		if reader >= 0 {
			took += 8
			e.running[reader].unread = max(e.running[reader].unread-112, 0)
		}
		e.freeAt = e.freeAt.Add(time.Duration(took * float64(time.Millisecond)))
		for _, j := range e.running {
			if j.unread == 0 {
				j.token(e.freeAt)
			}
		}
		e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.done })
		for e.used() > modelMemory {
			last := e.running[len(e.running)-1]
			e.running, last.unread = e.running[:len(e.running)-1], last.memory()
			e.queue = slices.Insert(e.queue, 0, last)
		}
	}
}

func (j *job) token(now time.Time) {
	if j.made++; j.made%4 != 0 && j.made < j.output {
		return
	}
	if j.lastEvent.IsZero() {
		j.first = now.Sub(j.began)
		j.visit.FirstEvent(j.ahead, j.sent)
	} else {
		j.longest = max(j.longest, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
	if j.made >= j.output {
		j.done = true
		j.visit.Leave()
	}
}

// load is what callers send in the model.
type load struct {
	// long and short are requests a second, as multiples of an ordinary load.
	long, short float64
	// repeat is the share of callers that send a rejected request again at once.
	repeat float64
	// hot is the share of requests that one tenant sends, herd the requests that come in the
	// first second.
	hot  float64
	herd int
}

// model plays a load. Without admission, a request waits for half of its target and goes
// anywhere then, as before there was any.
type model struct {
	clock    *clock
	random   *rand.Rand
	engines  [modelEngines]*engine
	daemons  []*Controller
	jobs     []*job
	waiting  []*job
	back     []*job
	admitted bool
	load     load
}

func play(l load, admitted bool, seed uint64) *model {
	m := &model{clock: &clock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, 1)), admitted: admitted, load: l}
	for i := range m.engines {
		m.engines[i] = &engine{freeAt: m.clock.now}
	}
	for i := range 4 {
		m.daemons = append(m.daemons, New(m.clock, seed+uint64(i)))
	}
	start := m.clock.now
	for n := 0; m.clock.now.Sub(start) < modelDay; n++ {
		m.arrive(3.3*l.long, l.herd/4*3, true, n == 0)
		m.arrive(6.5*l.short, l.herd/4, false, n == 0)
		m.clock.now = m.clock.now.Add(modelTick)
		for _, e := range m.engines {
			e.step(m.clock.now)
		}
		if n%40 == 0 {
			m.exchange()
		}
		m.back = slices.DeleteFunc(m.back, func(j *job) bool {
			due := !m.clock.now.Before(j.r.Arrived)
			if due {
				m.enter(j)
			}
			return due
		})
		m.waiting = slices.DeleteFunc(m.waiting, m.look)
	}
	return m
}

func (m *model) exchange() {
	for i, from := range m.daemons {
		if d, ok := from.Demand(); ok {
			for k, to := range m.daemons {
				if k != i {
					to.SetPeer(bramleytack.HostID(fmt.Sprint(i)), d)
				}
			}
		}
	}
}

// arrive adds the requests of one tick.
func (m *model) arrive(perSecond float64, herd int, long, first bool) {
	count := 0
	if first {
		count = herd
	}
	for p := perSecond * modelTick.Seconds(); p > 0; p-- {
		if m.random.Float64() < p {
			count++
		}
	}
	for range count {
		prompt := int(min(3000*math.Exp(0.35*m.random.NormFloat64()), 6000))
		j := &job{name: "long", output: int(min(450*math.Exp(m.random.NormFloat64()), 1756)), large: prompt > 4700}
		j.r = Request{Service: "llm", Rank: 2, Prompt: prompt, Memory: prompt + 600, ReadTarget: 1500 * time.Millisecond, LessUrgent: true}
		target, end := 4*time.Second, 16*time.Second
		if !long {
			j.name, j.output, j.large, target, end = "short", 11, false, 1500*time.Millisecond, 5*time.Second
			j.r = Request{Service: "llm", Prompt: 2500, Memory: 2511, ReadTarget: target, Short: true}
		}
		now := m.clock.now
		j.began, j.target = now, target
		j.r.Arrived, j.r.Target, j.r.End, j.r.Deadline = now, now.Add(target), now.Add(end), now.Add(2*end+6*time.Second)
		j.r.Tenant = bramleytack.WorkspaceID(fmt.Sprint("t", m.random.IntN(8)))
		if m.random.Float64() < m.load.hot {
			j.r.Tenant = "hot"
		}
		key := btreturn.KeyOf(fmt.Sprint(len(m.jobs)))
		j.r.Key = func() btreturn.Key { return key }
		m.enter(j)
		m.jobs = append(m.jobs, j)
	}
}

func (m *model) enter(j *job) {
	j.unread, j.daemon = j.r.Prompt, m.random.IntN(len(m.daemons))
	j.visit = m.daemons[j.daemon].Enter(j.r)
	j.pollAt = m.clock.now
	m.waiting = append(m.waiting, j)
}

// look reports whether a request that waits is sent or rejected.
func (m *model) look(j *job) bool {
	now := m.clock.now
	if now.Before(j.pollAt) {
		return false
	}
	j.pollAt = now.Add(modelPoll/2 + time.Duration(m.random.Int64N(int64(modelPoll))))
	var room Room
	var loads [modelEngines][2]int
	for i, e := range m.engines {
		memory, unread := e.load()
		loads[i] = [2]int{memory, unread}
		room.Memory, room.Unread = room.Memory+memory, room.Unread+unread
		room.Engines, room.Capacity = room.Engines+1, room.Capacity+modelMemory
	}
	target := j.r.Target.Sub(j.r.Arrived)
	limits := Limits{Memory: 0.9 + 0.1*float64(now.Sub(j.r.Arrived))/float64(target/2), Unread: math.MaxInt}
	if j.r.Short {
		limits.Memory = 1.05
	}
	if now.Sub(j.r.Arrived) > target/2 {
		limits.Memory = math.Inf(1)
	}
	if m.admitted {
		d := j.visit.Decide(room)
		if d.Rejected {
			m.reject(j, d)
			return true
		}
		limits = d.Limits
	}
	best, bestScore := -1, math.Inf(1)
	for i, e := range m.engines {
		memory, unread := loads[i][0], loads[i][1]
		if use := float64(memory+j.r.Memory) / modelMemory; use <= limits.Memory && unread <= limits.Unread {
			if score := float64(unread)/9 + 6000*max(use-0.85, 0) + 14*float64(len(e.running)+len(e.queue)); score < bestScore {
				best, bestScore = i, score
			}
		}
	}
	if best < 0 {
		j.visit.Wait()
		return false
	}
	j.visit.Admit()
	j.ahead = loads[best][1]
	j.sent = now
	m.engines[best].queue = append(m.engines[best].queue, j)
	return true
}

// reject lets the caller return once, at once if it repeats.
func (m *model) reject(j *job, d Decision) {
	j.visit.Leave()
	if j.attempt++; j.attempt > 1 {
		return
	}
	after := d.RetryAfter
	if m.random.Float64() < m.load.repeat {
		after = modelTick
	}
	window, now := j.r, m.clock.now.Add(after)
	j.r.Arrived, j.r.Target, j.r.End = now, now.Add(window.Target.Sub(window.Arrived)), now.Add(window.End.Sub(window.Arrived))
	m.back = append(m.back, j)
}

// served counts the requests of a kind that are complete, in time or at all. An empty kind is
// any.
func (m *model) served(inTime bool, match func(*job) bool) (served, all float64) {
	for _, j := range m.jobs {
		if !match(j) {
			continue
		}
		all++
		if j.done && (!inTime || j.first <= j.target && j.longest <= maxGap) {
			served++
		}
	}
	return served, all
}
