package btremote

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/btrecord"
	"bramleytack/btwire"
)

// everywhere is the time in which a change is in force at all members.
const everywhere = 3 * time.Second

func record(t testing.TB, name string, models ...string) bramleytack.Object {
	t.Helper()
	o, err := btrecord.Encode(btrecord.Upstreams.New(bramleytack.Upstream{
		ID: bramleytack.UpstreamID(name), Kind: bramleytack.KindEngine, Addr: netip.MustParseAddrPort("127.0.0.1:9000"),
		FailureDomain: "qld-a", Models: models, ColdLimit: 1, WarmLimit: 2,
	}))
	assert.NilError(t, err)
	return o
}

// write changes a record in the store.
func (s *sim) write(name string, models ...string) bramleytack.Revision {
	o := record(s.t, name, models...)
	current, err := s.store.Get(s.t.Context(), o.Key)
	if err != nil {
		current.Version = 0
	}
	v, err := s.store.Put(s.t.Context(), o, current.Version)
	assert.NilError(s.t, err)
	return v
}

// assertEqual checks that all members have a revision and the same records.
func (s *sim) assertEqual(v bramleytack.Revision) {
	s.t.Helper()
	want := s.members[0].config.Digest()
	for _, m := range s.members {
		d := m.config.Digest()
		assert.Check(s.t, d.Revision >= v, "%s is at %d of %d", m.host, d.Revision, v)
		assert.Check(s.t, d == want, "%s has %s, not %s", m.host, d, want)
	}
}

// coordinator returns the member that holds the lease.
func (s *sim) coordinator() *member {
	h := s.members[0].cell.View().Holder
	return s.members[slices.IndexFunc(s.members, func(m *member) bool { return m.host == h })]
}

// plain returns a member that does not watch the store.
func (s *sim) plain() int {
	watchers := s.members[0].cell.View().Watchers()
	return slices.IndexFunc(s.members, func(m *member) bool { return !slices.Contains(watchers, m.host) })
}

// Guards against changes that reach a member late or not at all, and against
// members that go back to an earlier state.
func TestConfigSync(t *testing.T) {
	for _, f := range []struct {
		name  string
		apply func(s *sim)
	}{
		{"no fault", func(*sim) {}},
		{"the coordinator's watch is silent", func(s *sim) { s.coordinator().store.mute.Store(true) }},
		{"pushes are lost", func(s *sim) {
			for i := range s.members {
				go s.cutPushes(i)
			}
		}},
		{"a member's links were cut and restored", func(s *sim) {
			i := s.plain()
			s.block(i, true, true)
			s.write("while-cut", "m")
			time.Sleep(time.Second)
			s.block(i, false, false)
			time.Sleep(3 * time.Second)
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(6) {
				inCell(t, 6, seed, nil, func(s *sim) {
					r := rand.New(rand.NewPCG(seed, 5))
					s.write("first", "m")
					time.Sleep(everywhere)
					f.apply(s)
					last := make([]bramleytack.Revision, len(s.members))
					for n := range 8 {
						v := s.write(fmt.Sprint("u", r.IntN(4)), fmt.Sprint("m", n))
						for range 30 {
							time.Sleep(everywhere / 30)
							for i, m := range s.members {
								own := m.config.Digest().Revision
								assert.Check(s.t, own >= last[i], "%s goes back", m.host)
								last[i] = own
							}
						}
						s.assertEqual(v)
					}
				})
			}
		})
	}
}

// cutPushes cuts a member's connections often, so that pushes get lost.
func (s *sim) cutPushes(i int) {
	for range 20 {
		if s.timers.Sleep(s.members[i].ctx, 900*time.Millisecond) != nil {
			return
		}
		s.network.Cut(s.members[i].addr.Addr(), s.members[(i+1)%len(s.members)].addr.Addr())
	}
}

// Guards against members that differ at the same revision for good.
func TestFullPull(t *testing.T) {
	inCell(t, 4, 1, nil, func(s *sim) {
		s.write("a", "m")
		time.Sleep(everywhere)
		m := s.members[s.plain()]
		// The member missed a change and knows a later one.
		missed := record(s.t, "missed", "m")
		missed.Version = m.config.Digest().Revision + 1
		later := record(s.t, "later", "m")
		later.Version = missed.Version + 1
		s.block(slices.Index(s.members, m), true, true)
		for _, other := range s.members {
			list := []bramleytack.Object{missed, later}
			if other == m {
				list = list[1:]
			}
			other.config.Apply(list)
		}
		// Pushes end without effect before the links return.
		time.Sleep(1500 * time.Millisecond)
		s.block(slices.Index(s.members, m), false, false)
		time.Sleep(everywhere)
		s.assertEqual(later.Version)
		_, ok := m.config.Get(missed.Key)
		assert.Assert(s.t, ok)
	})
}

// Guards against changes that are larger than one frame.
func TestPullInParts(t *testing.T) {
	inCell(t, 4, 1, nil, func(s *sim) {
		s.write("a", "m")
		time.Sleep(everywhere)
		i := s.plain()
		s.block(i, true, true)
		var v bramleytack.Revision
		for n := range 12 {
			v = s.write(fmt.Sprint("large", n), strings.Repeat("m", 700<<10))
		}
		time.Sleep(time.Second)
		s.block(i, false, false)
		time.Sleep(2 * everywhere)
		s.assertEqual(v)
		reply, err := s.members[(i+1)%4].spread.handlePull(s.t.Context(), "x", &btwire.ConfigPull{Full: true})
		assert.NilError(s.t, err)
		assert.Assert(s.t, reply.GetMore() && size(reply) <= maxPushBytes, "%d bytes", size(reply))
	})
}

// Guards against pulls that restore a deleted record.
func TestDeletedStaysDeleted(t *testing.T) {
	inCell(t, 4, 1, nil, func(s *sim) {
		v := s.write("a", "m")
		time.Sleep(everywhere)
		key := record(s.t, "a").Key
		v, err := s.store.Delete(s.t.Context(), key, v)
		assert.NilError(s.t, err)
		time.Sleep(everywhere)
		s.assertEqual(v)
		old := record(s.t, "a", "m")
		old.Version = v - 1
		s.members[0].config.Apply([]bramleytack.Object{old})
		time.Sleep(everywhere)
		s.assertEqual(v)
		assert.Assert(s.t, btconfig.New().Digest() != s.members[0].config.Digest())
	})
}
