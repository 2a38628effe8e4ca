package btreplica

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/bttimer"
)

// coldCodec reads the seconds for which an upstream is cold from the third byte.
type coldCodec struct{ codec }

func (coldCodec) Upstream(name string, data []byte, now time.Time) (*bramleytack.Upstream, error) {
	u, err := codec{}.Upstream(name, data, now)
	if err == nil && len(data) > 2 && data[2] > 0 {
		u.ColdUntil = now.Add(time.Duration(data[2]) * time.Second)
	}
	return u, err
}

// The copy has a registration from before an upstream became cold, or started again. Guards against more
// requests than it bears, and against what is known of a later instance being taken for the earlier one's.
func TestCopyMakesNoUpstreamWarm(t *testing.T) {
	for name, started := range map[string]byte{"same instance": 1, "later instance": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := bttimer.New(1)
				defer timer.Close()
				table := NewTable(coldCodec{}, timer, btevent.New(io.Discard, 0, "h"))
				kind := bramleytack.KindUpstreams
				list := func(epoch, number uint64, data ...byte) Batch {
					return Batch{Kind: kind, Full: true, Upto: revision(epoch, number), FromStore: true, Objects: []bramleytack.Object{object(kind, "w", revision(epoch, number), data...)}}
				}
				table.Apply(config(revision(1, 1), 1))
				table.Apply(list(1, 5, 1, 1, 0))
				table.Apply(list(1, 9, 1, started, 10))
				time.Sleep(time.Second)
				assert.Assert(t, table.Snapshot().Upstreams["w"].ColdUntil.After(time.Now()))
				table.Apply(list(2, 5, 1, 1, 0))
				u := table.Snapshot().Upstreams["w"]
				assert.Check(t, u.ColdUntil.After(time.Now()), "still cold")
				assert.Check(t, u.Started.Equal(time.UnixMilli(int64(started))), "later instance")
			})
		})
	}
}

// A failure domain is taken out of service again after the store was restored, and the order gets the number
// of one that was taken back. Guards against a confirmed order that is ignored.
func TestNewOrderWithAFormerNumber(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
		copied := s.copy()
		s.write(bramleytack.KindEvacuations, "d", 1)
		s.write(bramleytack.KindConfig, "main", 5)
		time.Sleep(time.Second)
		s.write(bramleytack.KindEvacuations, "d")
		time.Sleep(time.Second)
		s.restore(copied)
		time.Sleep(100 * time.Millisecond)
		s.write(bramleytack.KindEvacuations, "d", 1)
		time.Sleep(inForceWithin)
		assert.Assert(t, r.isOut("d"), "confirmed order is in force")
	})
}

// The copy has an earlier version of a registration that changed and was removed since. Guards against new work
// for an upstream that has left.
func TestEarlierRegistrationOfRemovedUpstream(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
		kind := bramleytack.KindUpstreams
		s.write(kind, "w", 1, 1)
		time.Sleep(time.Second)
		copied := s.copy()
		s.write(kind, "w", 2, 1)
		time.Sleep(time.Second)
		s.write(kind, "w")
		time.Sleep(time.Second)
		assert.Equal(t, r.state("w"), bramleytack.UpstreamState(""))
		s.restore(copied)
		r.holds(2*time.Second, func() bool { return r.state("w") != bramleytack.UpstreamActive }, "removed")
	})
}

// Daemons pull from one that withholds an object. Guards against an object that stays withheld for ever, or
// is lost.
func TestPulledFromADaemonThatWithholds(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, timer *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		table.Apply(config(revision(1, 1), 1))
		w := object(kind, "w", revision(0, 9), 1, 1)
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(0, 9), Objects: []bramleytack.Object{w}})
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(0, 10)})
		w.Version = revision(1, 9)
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(1, 9), Objects: []bramleytack.Object{w}, FromStore: true})
		assert.Equal(t, len(table.Snapshot().Upstreams), 0)
		other := NewTable(codec{}, timer, btevent.New(io.Discard, 0, "h"))
		other.Apply(config(revision(1, 1), 1))
		other.Apply(table.FullBatch(kind))
		assert.Equal(t, len(other.Snapshot().Upstreams), 1)
		time.Sleep(copyGrace + time.Second)
		table.Expire()
		assert.Equal(t, len(table.Snapshot().Upstreams), 1)
		time.Sleep(2 * removedRetention)
		table.Expire()
		k := table.kinds[kind]
		assert.Equal(t, len(k.removed)+len(k.withheld)+len(k.lapsed), 0, "leak")
	})
}

// The store is away again soon after it was restored. Guards against an upstream that comes back without an
// answer of the store.
func TestWithheldWhileTheStoreIsAway(t *testing.T) {
	inCopyTime(t, func(_ *testing.T, s *copyStore, r *replica) {
		kind := bramleytack.KindUpstreams
		s.write(kind, "w", 1, 1)
		time.Sleep(time.Second)
		copied := s.copy()
		s.write(kind, "w")
		time.Sleep(time.Second)
		s.restore(copied)
		time.Sleep(500 * time.Millisecond)
		s.setAway(true)
		r.holds(20*time.Second, func() bool { return r.state("w") == "" }, "gone")
	})
}

// The same, with a failure domain out of service that the copy lacks. Guards against a grace that ends while
// nobody can write the order again.
func TestLostOrderWhileTheStoreIsAway(t *testing.T) {
	inCopyTime(t, func(_ *testing.T, s *copyStore, r *replica) {
		kind := bramleytack.KindEvacuations
		copied := s.copy()
		s.write(kind, "d", 1)
		time.Sleep(time.Second)
		s.restore(copied)
		time.Sleep(500 * time.Millisecond)
		s.setAway(true)
		time.Sleep(9 * time.Second)
		s.restore(copied)
		r.holds(2*time.Second, func() bool { return r.isOut("d") }, "confirmed order")
	})
}

// A daemon that is behind sends an order that the store lost, that was given again and taken back. Guards against
// a failure domain that is out of service again.
func TestLostOrderOfADaemonThatIsBehind(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindEvacuations
		out := func() bool {
			d := table.Snapshot().FailureDomains["d"]
			return d != nil && d.State == bramleytack.DomainOut
		}
		table.Apply(config(revision(1, 1), 1))
		lost := object(kind, "d", revision(0, 9), 1)
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(0, 9), Objects: []bramleytack.Object{lost}})
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(1, 5), FromStore: true})
		assert.Assert(t, out())
		table.Apply(Batch{Kind: kind, Base: revision(1, 5), Upto: revision(1, 6), FromStore: true, Objects: []bramleytack.Object{object(kind, "d", revision(1, 6), 1)}})
		gone := object(kind, "d", revision(1, 7))
		gone.Deleted = true
		table.Apply(Batch{Kind: kind, Base: revision(1, 6), Upto: revision(1, 7), FromStore: true, Objects: []bramleytack.Object{gone}})
		assert.Assert(t, !out())
		table.Apply(Batch{Kind: kind, Base: revision(1, 5), Upto: revision(1, 5), Objects: []bramleytack.Object{lost}, Lapsed: []string{"d"}})
		assert.Assert(t, !out(), "returned by the operator")
	})
}

// A list of another daemon with a registration that the store lacks is overtaken by a change. Guards against an
// upstream that is kept for longer than registrations are.
func TestLostUpstreamOfAPeer(t *testing.T) {
	inFakeTime(t, func(t *testing.T, table *Table, _ *bttimer.Service) {
		kind := bramleytack.KindUpstreams
		table.Apply(config(revision(1, 1), 1))
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(1, 8), FromStore: true})
		table.Apply(Batch{Kind: kind, Full: true, Upto: revision(1, 8), Lapsed: []string{"w"}, Objects: []bramleytack.Object{object(kind, "w", revision(0, 9), 1, 1)}})
		time.Sleep(lapseGrace + time.Second)
		table.Expire()
		assert.Equal(t, len(table.Snapshot().Upstreams), 0)
	})
}

// countingCodec counts the configurations that it decodes.
type countingCodec struct {
	codec
	n *int
}

func (c countingCodec) Config(data []byte, s *bramleytack.Snapshot) error {
	*c.n++
	return c.codec.Config(data, s)
}

// Guards against configurations that are decoded, under the table's lock, although nothing changed.
func TestUnchangedConfigurationIsNotDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := bttimer.New(1)
		defer timer.Close()
		n := 0
		table := NewTable(countingCodec{n: &n}, timer, btevent.New(io.Discard, 0, "h"))
		table.Apply(config(revision(1, 5), 4))
		before := n
		b := config(revision(1, 5), 4)
		b.Upto = revision(1, 6)
		table.Apply(b)
		b.FromStore = false
		table.Apply(b)
		assert.Equal(t, n, before)
	})
}

// The operator gives an order again that the copy still has, which changes nothing there. Guards against requests
// into a failure domain that was confirmed to be out of service.
func TestOrderThatTheCopyStillHas(t *testing.T) {
	inCopyTime(t, func(t *testing.T, s *copyStore, r *replica) {
		kind := bramleytack.KindEvacuations
		s.write(kind, "d", 1)
		time.Sleep(time.Second)
		copied := s.copy()
		s.write(kind, "d")
		time.Sleep(time.Second)
		s.write(kind, "d", 1)
		// The store is lost before any daemon has read the acknowledged order, and PUT of the same changes nothing.
		s.restore(copied)
		time.Sleep(inForceWithin)
		assert.Assert(t, r.isOut("d"))
	})
}
