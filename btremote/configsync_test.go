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

// propagationTime bounds the time until a change has reached all members.
const propagationTime = 3 * time.Second

func upstreamObject(t testing.TB, name string, models ...string) bramleytack.Object {
	t.Helper()
	o, err := btrecord.Encode(btrecord.Upstreams.New(bramleytack.Upstream{
		ID: bramleytack.UpstreamID(name), Kind: bramleytack.KindEngine, Addr: netip.MustParseAddrPort("127.0.0.1:9000"),
		FailureDomain: "qld-a", Models: models, ColdLimit: 1, WarmLimit: 2,
	}))
	assert.NilError(t, err)
	return o
}

// putUpstream creates or updates a record in the store.
func (s *sim) putUpstream(name string, models ...string) bramleytack.Revision {
	o := upstreamObject(s.t, name, models...)
	current, err := s.store.Get(s.t.Context(), o.Key)
	if err != nil {
		current.Version = 0
	}
	v, err := s.store.Put(s.t.Context(), o, current.Version)
	assert.NilError(s.t, err)
	return v
}

// assertSynced checks that all members have at least a revision and equal digests.
func (s *sim) assertSynced(v bramleytack.Revision) {
	s.t.Helper()
	want := s.members[0].config.Digest()
	for _, m := range s.members {
		d := m.config.Digest()
		assert.Check(s.t, d.Revision >= v, "%s has revision %d, want %d", m.host, d.Revision, v)
		assert.Check(s.t, d == want, "%s has digest %s, want %s", m.host, d, want)
	}
}

// coordinator returns the member that holds the lease.
func (s *sim) coordinator() *member {
	h := s.members[0].cell.View().Holder
	return s.members[slices.IndexFunc(s.members, func(m *member) bool { return m.host == h })]
}

// nonWatcher returns the index of a member that does not watch the store.
func (s *sim) nonWatcher() int {
	watchers := s.members[0].cell.View().Watchers()
	return slices.IndexFunc(s.members, func(m *member) bool { return !slices.Contains(watchers, m.host) })
}

// Guards against changes that reach a member late or not at all, and against
// members that go back to an earlier revision.
func TestConfigSync(t *testing.T) {
	for _, f := range []struct {
		name  string
		apply func(s *sim)
	}{
		{"no fault", func(*sim) {}},
		{"the coordinator's watch delivers nothing", func(s *sim) { s.coordinator().store.muted.Store(true) }},
		{"pushes are lost", func(s *sim) {
			for i := range s.members {
				go s.cutPushes(i)
			}
		}},
		{"a member's links were cut and restored", func(s *sim) {
			i := s.nonWatcher()
			s.block(i, true, true)
			s.putUpstream("while-cut", "m")
			time.Sleep(time.Second)
			s.block(i, false, false)
			time.Sleep(3 * time.Second)
		}},
	} {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(6) {
				withCell(t, 6, seed, nil, func(s *sim) {
					r := rand.New(rand.NewPCG(seed, 5))
					s.putUpstream("first", "m")
					time.Sleep(propagationTime)
					f.apply(s)
					last := make([]bramleytack.Revision, len(s.members))
					for n := range 8 {
						v := s.putUpstream(fmt.Sprint("u", r.IntN(4)), fmt.Sprint("m", n))
						for range 30 {
							time.Sleep(propagationTime / 30)
							for i, m := range s.members {
								own := m.config.Digest().Revision
								assert.Check(s.t, own >= last[i], "%s goes back to an earlier revision", m.host)
								last[i] = own
							}
						}
						s.assertSynced(v)
					}
				})
			}
		})
	}
}

// cutPushes cuts a member's connections repeatedly, so that pushes are lost.
func (s *sim) cutPushes(i int) {
	for range 20 {
		if s.timers.Sleep(s.members[i].ctx, 900*time.Millisecond) != nil {
			return
		}
		s.network.Cut(s.members[i].addr.Addr(), s.members[(i+1)%len(s.members)].addr.Addr())
	}
}

// Guards against members whose digests differ at the same revision permanently.
func TestFullPull(t *testing.T) {
	withCell(t, 4, 1, nil, func(s *sim) {
		s.putUpstream("a", "m")
		time.Sleep(propagationTime)
		m := s.members[s.nonWatcher()]
		// The member missed a change but has a later one.
		missed := upstreamObject(s.t, "missed", "m")
		missed.Version = m.config.Digest().Revision + 1
		later := upstreamObject(s.t, "later", "m")
		later.Version = missed.Version + 1
		s.block(slices.Index(s.members, m), true, true)
		for _, other := range s.members {
			list := []bramleytack.Object{missed, later}
			if other == m {
				list = list[1:]
			}
			other.config.Apply(list)
		}
		// Lets pending pushes time out before the links are restored.
		time.Sleep(1500 * time.Millisecond)
		s.block(slices.Index(s.members, m), false, false)
		time.Sleep(propagationTime)
		s.assertSynced(later.Version)
		_, ok := m.config.Get(missed.Key)
		assert.Assert(s.t, ok)
	})
}

// Guards against the failure of a pull whose changes are larger than one frame.
func TestPullInParts(t *testing.T) {
	withCell(t, 4, 1, nil, func(s *sim) {
		s.putUpstream("a", "m")
		time.Sleep(propagationTime)
		i := s.nonWatcher()
		s.block(i, true, true)
		var v bramleytack.Revision
		for n := range 12 {
			v = s.putUpstream(fmt.Sprint("large", n), strings.Repeat("m", 700<<10))
		}
		time.Sleep(time.Second)
		s.block(i, false, false)
		time.Sleep(2 * propagationTime)
		s.assertSynced(v)
		reply, err := s.members[(i+1)%4].spread.handlePull(s.t.Context(), "x", &btwire.ConfigPull{Full: true})
		assert.NilError(s.t, err)
		assert.Assert(s.t, reply.GetMore() && payloadBytes(reply) <= maxPushBytes, "%d bytes", payloadBytes(reply))
	})
}

// Guards against pulls that restore a deleted record.
func TestDeletedStaysDeleted(t *testing.T) {
	withCell(t, 4, 1, nil, func(s *sim) {
		v := s.putUpstream("a", "m")
		time.Sleep(propagationTime)
		key := upstreamObject(s.t, "a").Key
		v, err := s.store.Delete(s.t.Context(), key, v)
		assert.NilError(s.t, err)
		time.Sleep(propagationTime)
		s.assertSynced(v)
		old := upstreamObject(s.t, "a", "m")
		old.Version = v - 1
		s.members[0].config.Apply([]bramleytack.Object{old})
		time.Sleep(propagationTime)
		s.assertSynced(v)
		assert.Assert(s.t, btconfig.New().Digest() != s.members[0].config.Digest())
	})
}
