package btview

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/btmemstore"
)

type fault struct {
	name  string
	apply func(s *sim, r *rand.Rand)
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

func (s *sim) anyHost(r *rand.Rand) bramleytack.HostID { return s.hosts[r.IntN(len(s.hosts))] }

// holderOrAny returns the holder, or any host while there is none.
func (s *sim) holderOrAny(r *rand.Rand) bramleytack.HostID {
	if h := s.holder(); h != "" {
		return h
	}
	return s.anyHost(r)
}

func (s *sim) pause(h bramleytack.HostID, d time.Duration) {
	s.network.pause(h)
	s.watch(d)
	s.network.resume(h)
}

func (s *sim) restart(h bramleytack.HostID, d time.Duration) {
	s.stop(h)
	s.watch(d)
	s.start(h)
}

// partition blocks the paths from a host to others (out) or from others to it
// (in) for a duration.
func (s *sim) partition(h bramleytack.HostID, d time.Duration, out, in bool, others ...bramleytack.HostID) {
	set := func(on bool) {
		for _, other := range others {
			s.network.block(h, other, on && out)
			s.network.block(other, h, on && in)
		}
	}
	set(true)
	s.watch(d)
	set(false)
}

func (s *sim) storeFault(f btmemstore.Fault, d time.Duration) {
	s.store.SetFault(f)
	s.watch(d)
	s.store.SetFault(btmemstore.Fault{})
}

var faults = []fault{
	{"holder dies", func(s *sim, r *rand.Rand) { s.restart(s.holderOrAny(r), randomDuration(r, 15*time.Second)) }},
	{"member restarts", func(s *sim, r *rand.Rand) { s.restart(s.anyHost(r), randomDuration(r, 5*time.Second)) }},
	{"holder paused", func(s *sim, r *rand.Rand) { s.pause(s.holderOrAny(r), randomDuration(r, 20*time.Second)) }},
	{"member paused", func(s *sim, r *rand.Rand) { s.pause(s.anyHost(r), randomDuration(r, 8*time.Second)) }},
	{"asymmetric partition of peers", func(s *sim, r *rand.Rand) {
		out := r.IntN(2) == 0
		s.partition(s.anyHost(r), randomDuration(r, 15*time.Second), out, !out, s.hosts...)
	}},
	{"one path blocked", func(s *sim, r *rand.Rand) {
		s.partition(s.holderOrAny(r), randomDuration(r, 15*time.Second), true, r.IntN(2) == 0, s.anyHost(r))
	}},
	{"host isolated", func(s *sim, r *rand.Rand) {
		s.partition(s.anyHost(r), randomDuration(r, 15*time.Second), true, true, append([]bramleytack.HostID{storeHost}, s.hosts...)...)
	}},
	{"host cut off from the store", func(s *sim, r *rand.Rand) {
		s.partition(s.holderOrAny(r), randomDuration(r, 15*time.Second), r.IntN(2) == 0, true, storeHost)
	}},
	{"store down", func(s *sim, r *rand.Rand) {
		s.storeFault(btmemstore.Fault{Down: true}, randomDuration(r, 20*time.Second))
	}},
	{"store slow and a member dies", func(s *sim, r *rand.Rand) {
		s.store.SetFault(btmemstore.Fault{Latency: randomDuration(r, 1500*time.Millisecond)})
		s.restart(s.anyHost(r), randomDuration(r, 10*time.Second))
		s.store.SetFault(btmemstore.Fault{})
	}},
	{"replies lost and a member dies", func(s *sim, r *rand.Rand) {
		s.store.SetFault(btmemstore.Fault{LoseReplies: 1 + r.IntN(4), DropWrites: r.IntN(3)})
		s.restart(s.anyHost(r), randomDuration(r, 10*time.Second))
	}},
	// A stale read can confirm an outdated view. For this fault only, the old
	// owner may be Full while the new one is HalfWithheld.
	{"stale reads and a member is cut off", func(s *sim, r *rand.Rand) {
		s.staleReads = true
		s.store.SetFault(btmemstore.Fault{StaleReads: max(1, uint64(s.store.Revision()))})
		s.partition(s.anyHost(r), randomDuration(r, 10*time.Second), true, true, s.hosts...)
		s.store.SetFault(btmemstore.Fault{})
	}},
	{"links slow", func(s *sim, r *rand.Rand) {
		s.network.mu.Lock()
		s.network.delay = randomDuration(r, 400*time.Millisecond)
		s.network.mu.Unlock()
		s.restart(s.anyHost(r), randomDuration(r, 6*time.Second))
		s.network.mu.Lock()
		s.network.delay = 0
		s.network.mu.Unlock()
	}},
}

// Guards against two owners that may grant the same upstream at the same time
// (apart from Fallback mode), and against cells that do not recover from a fault.
func TestOneOwner(t *testing.T) {
	const seeds = 16
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					r := rand.New(rand.NewPCG(seed, 11))
					s := newSim(t, 4, 4, seed)
					s.watch(3*time.Second + randomDuration(r, 3*time.Second))
					for range 3 {
						f.apply(s, r)
						s.watch(randomDuration(r, 6*time.Second))
					}
					s.watch(45 * time.Second)
					s.assertRecovered()
				})
			}
		})
	}
}

// Guards against failures that only a sequence of different faults causes.
func TestOneOwnerMixed(t *testing.T) {
	const seeds = 24
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 13))
			s := newSim(t, 4, 4, seed)
			s.watch(4 * time.Second)
			for range 5 {
				f := faults[r.IntN(len(faults))]
				if strings.HasPrefix(f.name, "stale") {
					continue
				}
				f.apply(s, r)
				s.watch(randomDuration(r, 3*time.Second))
			}
			s.watch(60 * time.Second)
			s.assertRecovered()
		})
	}
}

// Guards against upstreams without an owner for too long, and against owners that
// keep their ownership for too long, when the members of a cell change.
func TestMembershipChanges(t *testing.T) {
	run := func(name string, f func(t *testing.T, s *sim)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(t, 4, 8, 1)
				s.watch(15 * time.Second)
				s.assertRecovered()
				clear(s.longestOwnerless)
				clear(s.ownerless)
				f(t, s)
			})
		})
	}
	longestGap := func(s *sim, include func(bramleytack.UpstreamID) bool) time.Duration {
		var d time.Duration
		for id, w := range s.longestOwnerless {
			if include(id) {
				d = max(d, w)
			}
		}
		return d
	}
	allUpstreams := func(bramleytack.UpstreamID) bool { return true }
	run("a healthy cell keeps its view and reads nothing", func(t *testing.T, s *sim) {
		number, counts := s.network.cell("h0").View().Number, s.store.Counts()
		s.watch(30 * time.Second)
		assert.Equal(t, s.network.cell("h0").View().Number, number)
		assert.Equal(t, longestGap(s, allUpstreams), time.Duration(0))
		assert.Equal(t, s.store.Counts().Reads, counts.Reads)
	})
	run("the other members keep their ownership when the holder dies", func(t *testing.T, s *sim) {
		old := s.holder()
		ownedByDead := map[bramleytack.UpstreamID]bool{}
		for _, id := range s.upstreams {
			o, _ := s.network.cell("h0").Owner(id)
			ownedByDead[id] = o == old
		}
		s.stop(old)
		s.watch(8 * time.Second)
		assert.Equal(t, longestGap(s, func(id bramleytack.UpstreamID) bool { return !ownedByDead[id] }), time.Duration(0))
		s.watch(15 * time.Second)
		assert.Assert(t, s.holder() != "" && s.holder() != old)
		assert.Equal(t, longestGap(s, func(id bramleytack.UpstreamID) bool { return !ownedByDead[id] }), time.Duration(0))
	})
	for _, name := range []string{"member", "holder"} {
		run("a "+name+" leaves without a wait for AckTimeout", func(t *testing.T, s *sim) {
			leaving := s.holder()
			if name == "member" {
				leaving = otherThan(s, leaving)
			}
			left := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				left <- s.network.cell(leaving).Leave(ctx)
			}()
			s.watch(10 * time.Second)
			assert.NilError(t, <-left)
			assert.Assert(t, longestGap(s, allUpstreams) < LeaseDuration, "%v", longestGap(s, allUpstreams))
			for _, h := range s.hosts {
				_, ok := s.network.cell(h).View().Member(leaving)
				assert.Assert(t, !ok)
			}
		})
	}
	run("the holder confirms no view while the outcome of a write is unknown", func(t *testing.T, s *sim) {
		h, m := s.holder(), otherThan(s, s.holder())
		s.network.block(storeHost, h, true)
		for _, other := range s.hosts {
			if other != h && other != m {
				s.stop(other)
			}
		}
		s.watch(4 * time.Second)
		_, _, held := s.network.cell(h).Lease.Held()
		assert.Assert(t, held)
		r, err := s.network.cell(h).HandleHeartbeat(t.Context(), m, s.network.cell(m).newHeartbeat())
		assert.NilError(t, err)
		assert.Equal(t, r.GetViewLease().AsDuration(), time.Duration(0))
	})
	run("the owners are in Fallback during a store outage and recover", func(t *testing.T, s *sim) {
		s.store.SetFault(btmemstore.Fault{Down: true})
		s.watch(15 * time.Second)
		for _, id := range s.upstreams {
			o, _ := s.network.cell("h0").Owner(id)
			assert.Equal(t, s.network.cell(o).MayGrant(id).Mode, Fallback)
		}
		s.store.SetFault(btmemstore.Fault{})
		s.watch(20 * time.Second)
		s.assertRecovered()
	})
	run("a host that reaches neither the store nor a peer is Isolated", func(t *testing.T, s *sim) {
		h := otherThan(s, s.holder())
		id := owned(s, h)
		s.partition(h, 8*time.Second, true, true, append([]bramleytack.HostID{storeHost}, s.hosts...)...)
		assert.Equal(t, s.network.cell(h).MayGrant(id).Mode, Isolated)
	})
	run("a paused owner finds its lease expired and the next owner withholds half", func(t *testing.T, s *sim) {
		h := otherThan(s, s.holder())
		id := owned(s, h)
		s.network.pause(h)
		s.watch(LeaseDuration + HeartbeatPeriod)
		assert.Assert(t, s.network.cell(h).MayGrant(id).Mode < HalfWithheld)
		s.watch(8 * time.Second)
		next, _ := s.network.cell(s.holder()).Owner(id)
		assert.Assert(t, next != h)
		assert.Equal(t, s.network.cell(next).MayGrant(id).Mode, HalfWithheld)
		s.watch(WithholdDuration)
		assert.Equal(t, s.network.cell(next).MayGrant(id).Mode, Full)
	})
	run("a holder that gets no heartbeats resigns", func(t *testing.T, s *sim) {
		old := s.holder()
		s.partition(old, 20*time.Second, true, true, s.hosts...)
		assert.Assert(t, s.holder() != old && s.holder() != "")
		assert.Equal(t, len(s.network.cell(s.holder()).View().Members), 3)
	})
}

// otherThan returns a host that is not h.
func otherThan(s *sim, h bramleytack.HostID) bramleytack.HostID {
	if s.hosts[0] == h {
		return s.hosts[1]
	}
	return s.hosts[0]
}

// owned returns an upstream that a host owns.
func owned(s *sim, h bramleytack.HostID) bramleytack.UpstreamID {
	for _, id := range s.upstreams {
		if o, _ := s.network.cell(h).Owner(id); o == h {
			return id
		}
	}
	s.t.Fatalf("%s owns nothing", h)
	return ""
}
