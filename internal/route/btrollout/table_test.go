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
