package btrollout

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// Guards against a judge that takes over and counts the broken answers of the time before as one, and
// against a crash that counts as many failures.
func TestBrokenAnswersAtNewJudge(t *testing.T) {
	cases := []struct {
		name   string
		apart  time.Duration
		broken int
		want   uint32
	}{
		{"one at a time", TickPeriod, 30, 30},
		{"all at once", 0, 30, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := orderedFleet(Trial)
			d, u := f.daemons[3], f.workers[1].u
			for range c.broken {
				f.now = f.now.Add(c.apart)
				d.table.Answered(Answer{Upstream: u, Route: "order", Broken: true})
			}
			d.table.Judges = func() bool { return false }
			reports, _ := d.table.Tick()
			j := &judge{}
			for _, host := range []bramleytack.HostID{"a", "b", "c"} {
				j.add(host, 1, reports[0], f.now)
				j.look(f.now)
			}
			k := Key{Route: "order", Group: d.order().groupOf(u)}
			assert.Equal(t, j.sum[k].Broken, c.want)
		})
	}
}

// Guards against an order that completes because of the report of a daemon that has ended, while
// one that is alive has not reported.
func TestDrainedCountsDaemonsAlive(t *testing.T) {
	j := &judge{}
	now := time.UnixMilli(1e9)
	for _, host := range []bramleytack.HostID{"", "b", "ended"} {
		j.add(host, 1, Report{Stage: Full, Number: 1}, now)
	}
	alive := func(h bramleytack.HostID) bool { return h != "ended" }
	assert.Check(t, !j.drained(3, alive, now))
	j.add("c", 1, Report{Stage: Full, Number: 1}, now)
	assert.Check(t, j.drained(3, alive, now))
}

// Guards against a version in doubt that gets requests after the bound of roll-back, because its bad
// answers are many but a small share.
func TestBoundOfRollbackEndsDoubt(t *testing.T) {
	for _, bound := range []time.Duration{0, testRollback} {
		t.Run(bound.String(), func(t *testing.T) {
			f := orderedFleet(Trial)
			d := f.daemons[0]
			d.table.Bounds.Rollback = bound
			r := Report{Number: 1, Counts: map[Key]*Count{{Route: "order", Group: groups}: {Answers: 20000}}}
			for g := range uint8(3) {
				r.Counts[Key{Route: "order", Group: g}] = &Count{Answers: 1500, Failures: 43}
			}
			d.order().judge.add("b", 1, r, f.now)
			d.table.Tick()
			assert.Check(t, !d.order().rejected, "at once")
			f.now = f.now.Add(testRollback / 2)
			d.table.Tick()
			assert.Equal(t, d.order().rejected, bound > 0)
		})
	}
}

// slowStore calls during with each write.
type slowStore struct {
	during func()
	states map[string]bramleytack.RolloutState
}

// PutStatus implements bramleytack.StatusWriter.
func (s *slowStore) PutStatus(_ context.Context, k bramleytack.Key, data []byte, _ bramleytack.Revision) (bramleytack.Revision, error) {
	s.states[k.Name] = bramleytack.RolloutState(data)
	s.during()
	return 0, nil
}

type stateCodec struct{ simCodec }

func (stateCodec) RolloutStatus(s bramleytack.RolloutStatus) ([]byte, error) {
	return []byte(s.State), nil
}

// orderSecond gives an order for a second service with the same upstreams.
func (f *simFleet) orderSecond(name string) {
	f.publishAgain()
	r := *f.snapshot.Rollouts[service]
	r.Service = name
	f.snapshot.Rollouts[name] = &r
	for _, u := range f.snapshot.ByService[service] {
		other := *u
		other.Service, other.ID = name, bramleytack.UpstreamID(name)+u.ID
		f.snapshot.ByService[name] = append(f.snapshot.ByService[name], &other)
		f.snapshot.Upstreams[other.ID] = &other
	}
}

// Guards against a status that is older than the verdict because another order's write took long.
func TestStatusIsAsOfItsWrite(t *testing.T) {
	f := orderedFleet(Trial)
	f.orderSecond("till")
	d := f.daemons[0]
	d.sync()
	s := &slowStore{states: map[string]bramleytack.RolloutState{}}
	s.during = func() { d.table.orders["till"].rejected = true }
	w := &Writer{Table: d.table, Store: s, Codec: stateCodec{}, Timer: simTimer{f: f}, Writes: func() bool { return true }}
	w.sync(context.Background())
	assert.DeepEqual(t, s.states, map[string]bramleytack.RolloutState{service: bramleytack.RolloutRunning, "till": bramleytack.RolloutRolledBack})
}

// Guards against a verdict, a share or an answer of one order that reaches the order of another
// service, of the same version.
func TestTwoOrdersAtOnce(t *testing.T) {
	f := orderedFleet(Trial)
	f.orderSecond("till")
	for _, d := range f.daemons {
		d.sync()
		d.table.orders["till"].enter(Trial, f.now)
	}
	d := f.daemons[0]
	for i := range 400 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, name := range []string{service, "till"} {
			for _, u := range f.snapshot.ByService[name] {
				bad := name == "till" && u.Version == newVersion && i%3 == 0
				if u.Version == oldVersion || i%20 == 0 {
					d.table.Sent(u)
				}
				d.table.Answered(Answer{Upstream: u, Route: "order", Failed: bad, First: 50 * time.Millisecond})
			}
		}
		if i%25 == 0 {
			_, decisions := d.table.Tick()
			for _, other := range f.daemons[1:] {
				for _, dec := range decisions {
					other.table.Follow(dec)
				}
			}
		}
	}
	for i, d := range f.daemons {
		assert.Check(t, d.table.orders["till"].rejected, "daemon %d", i)
		assert.Check(t, !d.table.orders[service].rejected, "daemon %d", i)
		assert.Check(t, d.table.orders[service].share > 0, "daemon %d", i)
		for _, u := range f.snapshot.ByService["till"] {
			assert.Equal(t, d.table.Refuses(u), u.Version == newVersion, "daemon %d, %s", i, u.ID)
		}
	}
	states := f.daemons[0].table.States()
	assert.Equal(t, states[0].Sent, states[1].Sent)
	assert.Check(t, states[0].Bad == 0 && states[1].Bad > 0)
}
