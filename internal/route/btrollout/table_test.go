package btrollout

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// orderedFleet returns a fleet without requests whose order stands at a stage at all daemons.
func orderedFleet(stage Stage) *simFleet {
	f := newSimFleet(1, 4, 2, 6)
	f.rate, f.routes = 1, []string{"order"}
	f.publish()
	f.store.give(newVersion, time.Minute)
	for _, d := range f.daemons {
		d.sync()
		d.order().enter(stage, f.now)
	}
	return f
}

func (d *simDaemon) order() *order { return d.table.orders[service] }

// only publishes a snapshot in which just one version is registered, or none.
func (f *simFleet) only(version string) {
	f.publish()
	for id, u := range f.snapshot.Upstreams {
		if u.Version != version {
			delete(f.snapshot.Upstreams, id)
		}
	}
	var list []*bramleytack.Upstream
	for _, u := range f.snapshot.ByService[service] {
		if u.Version == version {
			list = append(list, u)
		}
	}
	f.snapshot.ByService[service] = list
}

// Guards against a completed version that is withdrawn by a daemon that has not seen the status
// before the order was removed or replaced.
func TestCompletedVersionIsNotWithdrawn(t *testing.T) {
	cases := []struct {
		name string
		play func(f *simFleet, d *simDaemon)
	}{
		{"a judge has told it", func(f *simFleet, d *simDaemon) {
			d.table.Follow(Decision{Service: service, Order: d.order().id, Stage: Full, Complete: true})
			f.store.remove()
		}},
		{"the old version has gone", func(f *simFleet, _ *simDaemon) {
			f.store.order = nil
			f.only(newVersion)
		}},
		{"the next order still has its status", func(f *simFleet, d *simDaemon) {
			f.store.put(func(r *bramleytack.Rollout) {
				r.Status = bramleytack.RolloutStatus{State: bramleytack.RolloutComplete, Target: newVersion, Order: d.order().id}
				r.Target = "3"
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := orderedFleet(Full)
			c.play(f, f.daemons[0])
			f.daemons[0].sync()
			assert.Equal(t, len(f.daemons[0].table.withdrawnOf(service)), 0)
		})
	}
}

// Guards against judges that write the only version of a service as withdrawn.
func TestOnlyVersionIsNotWrittenAsWithdrawn(t *testing.T) {
	f := orderedFleet(Trial)
	f.store.put(func(r *bramleytack.Rollout) { r.Target = "3" })
	f.only(newVersion)
	d := f.daemons[0]
	d.sync()
	due := d.table.due(true)
	assert.Equal(t, len(due), 1)
	assert.Equal(t, len(due[0].status.Withdrawn), 0)
	f.publish()
	d.sync()
	assert.DeepEqual(t, d.table.due(true)[0].status.Withdrawn, []string{newVersion})
}

// Guards against orders that leave a service without upstreams.
func TestOrdersLeaveNoServiceWithoutUpstreams(t *testing.T) {
	cases := []struct {
		name  string
		stage Stage
		left  string
		play  func(o *order)
	}{
		{"old version gone before the trial", Waiting, newVersion, func(*order) {}},
		{"old version gone in the trial", Trial, newVersion, func(*order) {}},
		{"old version gone after the verdict", Trial, newVersion, func(o *order) { o.rejected = true }},
		{"new version gone in the full stage", Full, oldVersion, func(*order) {}},
		{"new version gone after the completion", Full, oldVersion, func(o *order) { o.finish(o.began) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := orderedFleet(c.stage)
			d := f.daemons[0]
			c.play(d.order())
			f.only(c.left)
			d.sync()
			u := f.snapshot.ByService[service][0]
			choice := d.table.Choose(service)
			assert.Check(t, choice.Allows(u) || choice.Fall() && choice.Allows(u))
			assert.Check(t, d.table.Admits(u) && !d.table.Refuses(u) && !d.table.Vacates(u))
			f.publish()
			d.sync()
			choice = d.table.Choose(service)
			assert.Check(t, !choice.Allows(u) && !d.table.Admits(u) && d.table.Refuses(u), "with upstreams of both versions")
		})
	}
}

// Guards against restarts that leave out other versions for the time after a completion again.
func TestRestartAfterCompletion(t *testing.T) {
	f := orderedFleet(Full)
	status := bramleytack.RolloutStatus{State: bramleytack.RolloutComplete, Target: newVersion, Written: f.now}
	f.store.put(func(r *bramleytack.Rollout) { r.Status = status })
	d, old := f.daemons[0], f.workers[0].u
	restart := func(after time.Duration) bool {
		f.now = f.now.Add(after)
		d.boot()
		d.sync()
		return d.table.Admits(old)
	}
	assert.Check(t, !restart(afterComplete/2))
	assert.Check(t, restart(afterComplete))
}

// Guards against orders whose new version has gone and that never end.
func TestNewVersionGone(t *testing.T) {
	for _, stage := range []Stage{Trial, Quarter, Half, Full} {
		t.Run(stage.String(), func(t *testing.T) {
			f := orderedFleet(stage)
			f.store.startsAfter = time.Hour
			f.publish()
			end := f.store.duration + time.Second
			if stage == Full {
				end = absentFor + 2*time.Second
			}
			f.run(end)
			assert.Equal(t, f.state, bramleytack.RolloutRolledBack)
		})
	}
}

// Guards against a good version with less than half of the old places that never gets all requests.
func TestFewerNewPlacesComplete(t *testing.T) {
	f := newSimFleet(1, 4, 6, 6)
	f.rate, f.routes, f.work = 10, []string{"order"}, 300*time.Millisecond
	for _, w := range f.workers {
		if w.u.Version == newVersion {
			w.u.WarmLimit = 2
		}
	}
	f.publish()
	f.after(0, func() { f.store.give(newVersion, time.Minute) })
	f.after(0, f.traffic)
	f.run(f.playTime())
	checkGood(t, f)
}

// Guards against an order that stops after more than half of the daemons were lost for good.
func TestDaemonsLostForGood(t *testing.T) {
	f := randomFleet(1)
	f.run(20 * time.Second)
	for _, d := range f.daemons[1:] {
		d.dead = true
	}
	f.run(f.playTime())
	assert.Check(t, f.state == bramleytack.RolloutComplete && f.doneAt <= f.store.duration, "%q at %v, history %v", f.state, f.doneAt, f.history)
}

// Guards against clocks of other machines that end orders early.
func TestClocksOfOthers(t *testing.T) {
	status := func(f *simFleet, elapsed, ago time.Duration) {
		st := bramleytack.RolloutStatus{State: bramleytack.RolloutRunning, Target: newVersion, Stage: int(Trial), Elapsed: elapsed, Written: f.now.Add(-ago)}
		f.store.put(func(r *bramleytack.Rollout) { r.Status = st })
	}
	age := func(d *simDaemon) time.Duration {
		d.sync()
		return d.f.now.Sub(d.order().began)
	}
	t.Run("running process", func(t *testing.T) {
		f := orderedFleet(Trial)
		status(f, time.Second/2, 20*time.Second)
		assert.Equal(t, age(f.daemons[0]), time.Second/2)
		status(f, 20*time.Second, 0)
		assert.Equal(t, age(f.daemons[0]), time.Second/2+maxAging)
	})
	t.Run("process that has just started", func(t *testing.T) {
		f := orderedFleet(Trial)
		status(f, 2*time.Second, 20*time.Second)
		f.daemons[0].boot()
		assert.Equal(t, age(f.daemons[0]), 22*time.Second)
		status(f, 2*time.Second, time.Hour)
		f.daemons[1].boot()
		assert.Equal(t, age(f.daemons[1]), f.store.duration)
	})
	t.Run("order that comes later", func(t *testing.T) {
		f := orderedFleet(Trial)
		d := f.daemons[0]
		d.boot()
		d.table.Update(&bramleytack.Snapshot{})
		f.now = f.now.Add(startWindow)
		status(f, 2*time.Second, 20*time.Second)
		assert.Equal(t, age(d), 2*time.Second)
	})
}

// Guards against decisions with values out of range.
func TestDecisionsOutOfRange(t *testing.T) {
	cases := []struct {
		name         string
		d            Decision
		share        float64
		stage        Stage
		trial, began time.Duration
	}{
		{"too large", Decision{Stage: Full + 3, Share: 7, Age: time.Hour, Trial: 2 * time.Hour}, maxTrialShare, Full, time.Minute, time.Minute},
		{"negative", Decision{Stage: Trial, Share: -1, Age: -time.Hour, Trial: -time.Hour}, 0, Trial, 0, 0},
		{"no number", Decision{Stage: Trial, Share: math.NaN()}, 0, Trial, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := orderedFleet(Waiting)
			d := f.daemons[0]
			o := d.order()
			c.d.Service, c.d.Order = service, o.id
			d.table.Follow(c.d)
			assert.Equal(t, o.share, c.share)
			assert.Equal(t, o.stage, c.stage)
			assert.Equal(t, o.trial, c.trial)
			assert.Equal(t, f.now.Sub(o.began), c.began)
			c.d.Age = f.now.Sub(o.began) + 20*time.Second
			d.table.Follow(c.d)
			assert.Check(t, f.now.Sub(o.began) <= c.began+maxAging, "one more decision")
		})
	}
}

// Guards against answers of one upstream that are counted in several groups when others come and go.
func TestGroupsStay(t *testing.T) {
	f := orderedFleet(Trial)
	o, last := f.daemons[0].order(), f.workers[3].u
	before := o.groupOf(last)
	f.now = f.now.Add(startPeriod)
	f.publish()
	f.snapshot.ByService[service] = []*bramleytack.Upstream{last}
	f.daemons[0].sync()
	assert.Equal(t, o.groupOf(last), before, "another upstream has gone")
	early := *last
	early.ID = "a"
	f.snapshot.ByService[service] = []*bramleytack.Upstream{&early, last}
	f.snapshot.Upstreams[early.ID] = &early
	f.publishAgain()
	f.daemons[0].sync()
	assert.Equal(t, o.groupOf(last), before, "another upstream has come")
}

// publishAgain publishes the snapshot as a new one.
func (f *simFleet) publishAgain() {
	s := *f.snapshot
	f.snapshot = &s
}

// Guards against one upstream that gets all requests of a trial for some time, so that a bad
// version cannot be told from a bad machine.
func TestUpstreamsTakeTurns(t *testing.T) {
	f := newSimFleet(1, 1, 5, 6)
	f.publish()
	f.store.give(newVersion, time.Minute)
	d := f.daemons[0]
	d.sync()
	for first := range 10 {
		seen := map[bramleytack.UpstreamID]bool{}
		for slot := range 5 {
			for id := range d.order().picks(f.snapshot, 1, f.now.Add(time.Duration(first+slot)*pulsePeriod)) {
				seen[id] = true
			}
		}
		assert.Equal(t, len(seen), 5, "from slot %d", first)
	}
}
