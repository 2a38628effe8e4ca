package btrollout

import (
	"math"
	"time"

	"bramleytack"
)

// traffic plays requests for ever.
func (f *simFleet) traffic() {
	f.after(time.Duration(f.r.ExpFloat64()/(f.rate*f.factor)*float64(time.Second)), f.traffic)
	alive := f.alive()
	if len(alive) == 0 {
		return
	}
	d := alive[f.r.IntN(len(alive))]
	d.sync()
	(&simRequest{d: d, route: f.routes[f.r.IntN(len(f.routes))], choice: d.table.Choose(service)}).send()
}

type simRequest struct {
	d      *simDaemon
	route  string
	choice *Choice
	tries  int
}

// pick returns the less busy of two upstreams that the request may use.
func (q *simRequest) pick() *simWorker {
	f := q.d.f
	for {
		var list []*simWorker
		for _, w := range f.workers {
			if q.d.seen != nil && q.d.seen.Upstreams[w.u.ID] != nil && f.now.After(w.down) && q.choice.Allows(w.u) {
				list = append(list, w)
			}
		}
		if len(list) > 0 {
			a, b := list[f.r.IntN(len(list))], list[f.r.IntN(len(list))]
			if b.running < a.running {
				return b
			}
			return a
		}
		if !q.choice.Fall() {
			return nil
		}
	}
}

// send plays the request at an upstream.
func (q *simRequest) send() {
	f, d := q.d.f, q.d
	w := q.pick()
	if w == nil || d.table.Refuses(w.u) {
		f.unserved++
		return
	}
	q.tries++
	d.table.Sent(w.u)
	q.choice.Fall()
	target := w.u.Version == newVersion
	if f.age() <= f.store.duration {
		f.sent++
	}
	if target && d.inTouch() {
		if f.age() <= f.store.duration {
			f.exposed++
		}
		if !f.fiftieth.IsZero() && f.now.Sub(f.fiftieth) > testRollback && f.state != bramleytack.RolloutComplete {
			f.afterRollback++
		}
	}
	busy := float64(w.running) / float64(w.u.WarmLimit)
	isBad := target && f.bad.share > 0 && f.age() >= f.bad.from && busy >= f.bad.busy && (f.bad.route == "" || f.bad.route == q.route) && f.r.Float64() < f.bad.share
	queue := max(1, float64(w.running+1)/float64(w.u.WarmLimit))
	work := f.workOf(q.route)
	took := float64(work) * w.speed * queue * math.Exp(0.25*f.r.NormFloat64())
	if age := f.now.Sub(w.u.Started); age < 5*time.Second {
		took *= 1.5
	}
	failed := f.r.Float64() < f.failures || f.r.Float64() < w.grey
	if isBad && f.bad.slow > 0 {
		took *= f.bad.slow
	}
	failed = failed || isBad && f.bad.slow == 0
	first := took
	if work > time.Second {
		first = took / 6
		if failed {
			// A stream breaks off at any time.
			took *= f.r.Float64()
		}
	}
	w.running++
	d.running[w.u.ID]++
	a := Answer{Upstream: w.u, Route: q.route, Busy: busy}
	if work > time.Second {
		f.showProgress(w, d, a, time.Duration(first), time.Duration(took))
		a.Part = true
	}
	crashes, incarnation, table := w.crashes, d.incarnation, d.table
	end := func(broken bool) {
		w.running--
		if d.incarnation == incarnation {
			d.running[w.u.ID]--
		}
		a := a
		a.Failed, a.Broken = failed, broken
		if !a.Part {
			a.First = time.Duration(first)
		}
		table.Answered(a)
		if target && isBad {
			if f.badAnswers++; f.badAnswers == 50 {
				f.fiftieth = f.now
			}
		}
		if (failed || broken) && q.tries < 2 && d.incarnation == incarnation && !d.dead {
			q.send()
		}
	}
	f.runs(w, d, incarnation, crashes, time.Duration(took), end)
}

// workOf returns the mean time that a request takes. Where one route has streams, the other one's
// requests are short.
func (f *simFleet) workOf(route string) time.Duration {
	if f.work > time.Second && route != f.routes[0] {
		return f.work / 8
	}
	return f.work
}

// showProgress counts the first event and the later ones of a stream.
func (f *simFleet) showProgress(w *simWorker, d *simDaemon, a Answer, first, took time.Duration) {
	crashes, table := w.crashes, d.table
	begun := a
	// A stream without an event is counted when it is late.
	first = min(first, f.workOf(a.Route)/2)
	begun.First = first
	f.after(first, func() {
		if w.crashes == crashes {
			table.Answered(begun)
		}
	})
	// The pace of a stream does not depend on how long it waited for its place.
	a.Part, a.Gap = true, time.Duration(float64(took)/max(a.Busy, 1)/40)
	for _, at := range []time.Duration{first + (took-first)/4, first + (took-first)/2} {
		f.after(at, func() {
			if w.crashes == crashes {
				table.Answered(a)
			}
		})
	}
}

// runs plays a request until it ends, is broken by a crash of its upstream, or goes on at
// another version.
func (f *simFleet) runs(w *simWorker, d *simDaemon, incarnation uint64, crashes int, left time.Duration, end func(broken bool)) {
	step := min(left, 200*time.Millisecond)
	f.after(step, func() {
		switch {
		case w.crashes != crashes:
			end(true)
		case left <= step:
			end(false)
		case f.work > time.Second && d.incarnation == incarnation && d.table.Vacates(w.u):
			if to := f.moveTarget(d); to != nil {
				// The generation goes on elsewhere; what it shows of its version is lost.
				w.running--
				d.running[w.u.ID]--
				to.running++
				d.running[to.u.ID]++
				f.runs(to, d, incarnation, to.crashes, left-step, func(bool) {
					to.running--
					if d.incarnation == incarnation {
						d.running[to.u.ID]--
					}
				})
				return
			}
			f.runs(w, d, incarnation, crashes, left-step, end)
		default:
			f.runs(w, d, incarnation, crashes, left-step, end)
		}
	})
}

func (f *simFleet) moveTarget(d *simDaemon) *simWorker {
	var best *simWorker
	for _, w := range f.workers {
		if d.table.Admits(w.u) && f.now.After(w.down) && (best == nil || w.running < best.running) {
			best = w
		}
	}
	return best
}

// crash ends an upstream for some seconds.
func (f *simFleet) crash(w *simWorker) {
	w.crashes++
	w.down = f.now.Add(4 * time.Second)
}
