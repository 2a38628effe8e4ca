package btrollout

import (
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
