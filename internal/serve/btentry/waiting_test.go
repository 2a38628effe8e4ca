package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/standin/btworker"
)

// startSmallShop starts an upstream with places for 20 calls a second, that rejects all but
// five at once.
func (h *harness) startSmallShop(name string) *btworker.Worker {
	return h.start(name, callService, btworker.Config{Work: 100 * time.Millisecond, Slots: 2, Queue: 3})
}

// crowd are calls that arrive at the same time.
type crowd struct {
	h  *harness
	wg sync.WaitGroup

	mu  sync.Mutex
	got []response
}

// orders sends n calls that must not be repeated.
func (h *harness) orders(n int) *crowd {
	c := &crowd{h: h}
	for i := range n {
		c.wg.Go(func() {
			r := h.send(fmt.Sprintf("order-%d-%d", time.Now().UnixNano(), i), http.MethodPost, "/order/a", nil, callTimeout)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.got = append(c.got, r)
		})
	}
	return c
}

// check waits for all calls and checks that as many were answered as expected, and the others
// truthfully rejected with a time to return.
func (c *crowd) check(t *testing.T, answered int) {
	t.Helper()
	c.wg.Wait()
	n := 0
	for _, r := range c.got {
		runs := c.h.pool.Runs(r.id)
		if r.status == http.StatusOK {
			n++
			assert.Check(t, runs == 1, "%s ran %d times", r.id, runs)
			continue
		}
		assert.Check(t, r.status == http.StatusServiceUnavailable && runs == 0 && r.header.Get("Retry-After") != "", "%s: %d %q, %d runs, %v", r.id, r.status, r.body, runs, r.header)
	}
	assert.Check(t, n == answered, "%d of %d answered, want %d", n, len(c.got), answered)
}

// Fifteen calls arrive at an upstream that takes five and serves twenty a second. Guards against
// calls that are rejected although there is time for them.
func TestCallsWaitForPlaces(t *testing.T) {
	run(t, func(h *harness) {
		w := h.startSmallShop("s1")
		h.orders(1).check(t, 1)
		h.orders(15).check(t, 15)
		assert.Check(t, w.ArrivedAfter(time.Time{}) <= 16+5, "%d arrivals", w.ArrivedAfter(time.Time{}))
	})
}

// Guards against calls without a chance that wait until their deadline.
func TestCallsWithoutChanceAreRejectedAtOnce(t *testing.T) {
	run(t, func(h *harness) {
		h.startSmallShop("s1")
		h.orders(5).check(t, 5)
		all := h.orders(60)
		time.Sleep(100 * time.Millisecond)
		all.mu.Lock()
		early := len(all.got)
		all.mu.Unlock()
		assert.Check(t, early >= 15, "%d calls were rejected at once", early)
		all.wg.Wait()
	})
}

// Guards against calls that reach an upstream after their callers have disconnected.
func TestWaitingCallOfLeftCaller(t *testing.T) {
	run(t, func(h *harness) {
		w := h.startSmallShop("s1")
		h.orders(1).check(t, 1)
		first := h.orders(8)
		time.Sleep(10 * time.Millisecond)
		before := w.ArrivedAfter(time.Time{})
		for range 5 {
			r := h.send("left", http.MethodPost, "/order/a", nil, 20*time.Millisecond)
			assert.Check(t, r.err != nil)
		}
		first.check(t, 8)
		assert.Check(t, before <= 9 && w.ArrivedAfter(time.Time{}) <= 9, "%d, then %d arrivals", before, w.ArrivedAfter(time.Time{}))
		assert.Equal(t, h.pool.Runs("left"), 0)
	})
}

// Guards against calls that are sent to an upstream during its pause, and against those that
// wait for its end although it is beyond their time.
func TestWaitingCallsOfPausedUpstream(t *testing.T) {
	run(t, func(h *harness) {
		w := h.startSmallShop("s1")
		h.orders(1).check(t, 1)
		all := h.orders(15)
		time.Sleep(20 * time.Millisecond)
		w.SetPause(5 * time.Second)
		w.Set(btworker.Full)
		paused := time.Now()
		all.check(t, 5)
		assert.Check(t, time.Since(paused) <= 500*time.Millisecond, "%v", time.Since(paused))
		assert.Check(t, w.ArrivedAfter(paused.Add(200*time.Millisecond)) == 0, "%d arrivals", w.ArrivedAfter(paused.Add(200*time.Millisecond)))
	})
}

// The only upstream leaves or crashes while calls wait. Guards against calls that are rejected
// although another one comes in time, that reach the one that is gone, and that wait long for
// one that does not come.
func TestWaitingCallsWithoutUpstream(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"leaves":  func(h *harness) { h.setLeaving("s1") },
		"crashed": func(h *harness) { h.workers["s1"].Crash() },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startSmallShop("s1")
				h.orders(5).check(t, 5)
				time.Sleep(time.Second)
				end(h)
				all := h.orders(8)
				time.Sleep(300 * time.Millisecond)
				h.startSmallShop("s2")
				all.check(t, 8)
			})
		})
		t.Run(name+" for long", func(t *testing.T) {
			run(t, func(h *harness) {
				h.startSmallShop("s1")
				h.orders(5).check(t, 5)
				time.Sleep(time.Second)
				end(h)
				start := time.Now()
				h.orders(3).check(t, 0)
				assert.Check(t, time.Since(start) <= 1300*time.Millisecond, "%v", time.Since(start))
				time.Sleep(5 * time.Second)
				start = time.Now()
				h.orders(3).check(t, 0)
				assert.Check(t, time.Since(start) <= 100*time.Millisecond, "%v", time.Since(start))
			})
		})
	}
}

// Guards against calls that are given up at the first declared rejection, that are sent again
// without bound, or to more upstreams than their route allows.
func TestRejectedCallIsSentAgain(t *testing.T) {
	t.Run("full for a moment", func(t *testing.T) {
		run(t, func(h *harness) {
			w := h.startShop("s1")
			w.Set(btworker.Full)
			after(30*time.Millisecond, func() { w.Set(btworker.Healthy) })
			h.orders(1).check(t, 1)
		})
	})
	t.Run("full for long", func(t *testing.T) {
		run(t, func(h *harness) {
			for _, name := range []string{"s1", "s2"} {
				h.startShop(name).Set(btworker.Full)
			}
			h.orders(1).check(t, 0)
			a, b := h.workers["s1"].ArrivedAfter(time.Time{}), h.workers["s2"].ArrivedAfter(time.Time{})
			assert.Check(t, min(a, b) == 0 && a+b <= 4, "%d and %d arrivals", a, b)
		})
	})
}

// evacuate publishes that failure domains are to be emptied.
func (h *harness) evacuate(names ...string) {
	h.revision++
	b := btreplica.Batch{Kind: bramleytack.KindEvacuations, Full: true, Upto: h.revision}
	for _, name := range names {
		b.Objects = append(b.Objects, bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindEvacuations, Name: name}, Version: h.revision})
	}
	for _, d := range h.running() {
		d.handler.Table.Apply(b)
	}
}

// One of three upstreams is left: the domains of the others are evacuated, or one is and the other
// crashes, while calls wait for all three. Calls go on to come, nearly as many as the one that is left serves.
// Guards against calls that are refused although it can answer them in time, that are sent to
// an evacuated domain, and against places that wait for one that is gone.
func TestOneOfThreeUpstreamsIsLeft(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"two domains evacuated": func(h *harness) { h.evacuate("d1", "d2") },
		"one evacuated, one crashed": func(h *harness) {
			h.evacuate("d1")
			h.workers["s2"].Crash()
		},
		"one evacuated, one leaves": func(h *harness) {
			h.evacuate("d1")
			h.setLeaving("s2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				for i := range 3 {
					shop := fmt.Sprint("s", i)
					h.startSmallShop(shop)
					h.upstreams[shop].FailureDomain = bramleytack.FailureDomainID(fmt.Sprint("d", i))
				}
				h.publish()
				h.orders(3).check(t, 3)
				time.Sleep(time.Second)
				first := h.orders(22)
				time.Sleep(10 * time.Millisecond)
				end(h)
				ended := time.Now()
				var later []*crowd
				for range 30 {
					time.Sleep(60 * time.Millisecond)
					later = append(later, h.orders(1))
				}
				for _, c := range later {
					c.check(t, 1)
				}
				first.wg.Wait()
				for _, r := range first.got {
					// A call that was at the one that has crashed must not be repeated.
					crashed := name == "one evacuated, one crashed" && r.status == http.StatusBadGateway
					assert.Check(t, r.status == http.StatusOK || crashed, "%s: %d %q, %d runs", r.id, r.status, r.body, h.pool.Runs(r.id))
				}
				for _, shop := range []string{"s1", "s2"} {
					assert.Check(t, h.workers[shop].ArrivedAfter(ended.Add(10*time.Millisecond)) == 0, "%s: %d arrivals", shop, h.workers[shop].ArrivedAfter(ended))
				}
			})
		})
	}
}

// One of two versions has been taken back, so that one small upstream is left for the calls of a mass
// return. Guards against calls without a chance that wait until their deadline for places of
// upstreams which they may not get, and against more calls at the one that is left than it takes.
func TestPlacesOfTakenBackVersionDoNotCount(t *testing.T) {
	run(t, func(h *harness) {
		for i, name := range []string{"v1", "v2"} {
			h.startSmallShop(name)
			h.upstreams[name].Version = fmt.Sprint(1 + i)
		}
		r := h.order(callService, time.Minute)
		defer r.stop()
		h.workers["v2"].Set(btworker.Broken)
		h.checks(600, 120*time.Millisecond)
		assert.Assert(t, r.state().RolledBack)
		arrived := h.workers["v1"].ArrivedAfter(time.Time{})
		all := h.orders(100)
		time.Sleep(100 * time.Millisecond)
		all.mu.Lock()
		early := len(all.got)
		all.mu.Unlock()
		assert.Check(t, early >= 25, "%d calls were rejected at once", early)
		all.wg.Wait()
		n := 0
		for _, r := range all.got {
			if r.status == http.StatusOK {
				n++
			}
		}
		assert.Check(t, n >= 18, "%d answered", n)
		arrived = h.workers["v1"].ArrivedAfter(time.Time{}) - arrived
		assert.Check(t, arrived <= n+5, "%d arrivals, %d answered", arrived, n)
	})
}
