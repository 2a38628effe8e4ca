package btbench

import (
	"time"

	"bramleytack"
	"bramleytack/internal/btengine"
	"bramleytack/internal/btfault"
)

// engine runs a Core in simulated time.
type engine struct {
	sim  *sim
	id   bramleytack.UpstreamID
	core *btengine.Core
	// streams holds what runs on the engine.
	streams map[bramleytack.StreamID]*stream
	// due is the time of the pending step event.
	due time.Time
	// gone is set while the host is away. The platform does not restart it.
	gone bool
	// leaves is set from the announcement of the end until the return.
	leaves bool
	// down is what health checks know.
	down bool
}

// stream is a generation that an entry reads.
type stream struct {
	process *process
	reply   bramleytack.ResponseWriter
	record  *record
	id      bramleytack.StreamID
	// lastAt is the time of the last token. It spans preemptions.
	lastAt time.Time
	tokens int
	ended  bool
	died   bool
	// canceled is set at the deadline.
	canceled bool
}

func newEngine(s *sim, i int, seed uint64) *engine {
	return &engine{
		sim: s, id: upstreamID(i), core: btengine.NewCore(engineConfig(i, seed), s.clock.now),
		streams: map[bramleytack.StreamID]*stream{},
	}
}

// warmUp completes short generations before the run.
func (e *engine) warmUp() {
	now := e.sim.clock.now
	for e.core.Cold() {
		_, err := e.core.Submit(now, bramleytack.GenerationRequest{ID: "warm-up", Model: model, Prompt: "[[tokens=1]]"})
		if err != nil {
			return
		}
		for t, ok := e.core.Next(); ok; t, ok = e.core.Next() {
			now = t
			e.core.Step(now)
		}
	}
	e.sim.clock.now = now
}

// schedule makes the pending event agree with the core.
func (e *engine) schedule() {
	t, ok := e.core.Next()
	if !ok || t.Equal(e.due) {
		return
	}
	e.due = t
	e.sim.clock.at(t, func() {
		if e.due.Equal(t) {
			e.due = time.Time{}
			e.step()
		}
	})
}

// step takes the core's events up to now.
func (e *engine) step() {
	for _, v := range e.core.Step(e.sim.clock.now) {
		switch v.Kind {
		case btengine.EventToken:
			e.token(v)
		case btengine.EventDone:
			e.done(v.Stream)
		case btengine.EventDied:
			e.died()
		case btengine.EventStarted, btengine.EventPreempted, btengine.EventLoaded, btengine.EventWarm:
		}
	}
	e.schedule()
}

func (e *engine) token(v btengine.Event) {
	s, ok := e.streams[v.Stream]
	if !ok || s.canceled {
		return
	}
	e.sim.stats.token(v.At, s)
	// The recorder of the route step counts the tokens.
	_ = s.reply.Token(bramleytack.Token{Index: v.Index})
}

func (e *engine) done(id bramleytack.StreamID) {
	s, ok := e.streams[id]
	if !ok {
		return
	}
	delete(e.streams, id)
	s.ended = true
	e.sim.resume(s.process)
}

// died ends all streams, in the order in which they began, so that runs with
// the same seed agree.
func (e *engine) died() {
	for _, s := range e.sortedStreams() {
		s.ended, s.died = true, true
		e.sim.resume(s.process)
	}
	clear(e.streams)
	e.sim.clock.after(healthDelay, func() {
		if e.core.Dead() {
			e.down = true
		}
	})
	if !e.gone {
		e.sim.clock.after(restartAfter, e.restart)
	}
}

func (e *engine) restart() {
	if e.gone || !e.core.Dead() {
		return
	}
	e.core.Restart(e.sim.clock.now)
	e.sim.clock.after(healthDelay, func() { e.down = e.core.Dead() })
}

// leave says that the engine ends soon.
func (e *engine) leave() {
	e.leaves = true
	e.core.SetCondition(e.sim.clock.now, btfault.Condition{Leaving: true})
	e.sim.clock.after(leaveNotice, func() {
		e.gone = true
		e.core.Crash(e.sim.clock.now)
		e.step()
	})
}

// comeBack starts the engine cold after its domain was away.
func (e *engine) comeBack() {
	e.gone, e.leaves = false, false
	e.core.SetCondition(e.sim.clock.now, btfault.Condition{})
	e.restart()
}

// submit starts a generation and waits for its end. It runs in the request's
// process.
func (e *engine) submit(r *bramleytack.Request, w bramleytack.ResponseWriter, rec *record) error {
	now := e.sim.clock.now
	id, err := e.core.Submit(now, bramleytack.GenerationRequest{
		ID: r.AttemptID(), Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens,
		Priority: r.Priority.String(), Workspace: r.Workspace,
	})
	if err != nil {
		return e.refused(err)
	}
	s := &stream{process: e.sim.clock.current, reply: w, record: rec, id: id}
	rec.starts++
	e.streams[id] = s
	e.schedule()
	e.sim.clock.at(r.Deadline, func() { e.deadline(s) })
	s.process.suspend()
	return s.outcome()
}

// refused maps a refusal to an outcome. A generation whose start killed the
// engine may have run.
func (e *engine) refused(err error) error {
	refusal, _ := err.(btengine.Refusal) //nolint:errorlint // The core returns it unwrapped.
	if refusal.Reason != btengine.ReasonDead {
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "engine refused")
	}
	if len(e.streams) == 0 {
		return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.NotRun, "engine is down")
	}
	e.sim.clock.after(0, e.step)
	return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "engine died")
}

func (e *engine) deadline(s *stream) {
	if s.ended {
		return
	}
	s.canceled = true
	e.core.Cancel(e.sim.clock.now, s.id)
	e.step()
}

func (s *stream) outcome() error {
	switch {
	case s.canceled:
		return bramleytack.NewError(bramleytack.CodeTimeout, bramleytack.Ran, "deadline has passed")
	case s.died && s.tokens > 0:
		return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "engine died")
	case s.died:
		return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "engine died")
	default:
		return nil
	}
}
