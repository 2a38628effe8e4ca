package btentry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

const (
	// limitWindow, limitNotice and limitSlack are those of the users' rule: in some window
	// an upstream gets at most one and a half times what its limit allows, and limitSlack
	// requests more, from hosts that it told of it at least limitNotice before.
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
	limitSlack  = 5
)

// allowedByLimit returns the number of requests that the rule allows within limitWindow.
func allowedByLimit(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + limitSlack
}

// limitFleet is a fleet of several daemons with upstreams that name limits.
type limitFleet struct {
	h  *harness
	wg sync.WaitGroup

	mu       sync.Mutex
	answered map[int]int
	// latest is the latest time from a request to its rejection with status 503.
	latest time.Duration
	// returns are the Retry-After values.
	returns []string
}

// newLimitFleet starts daemons, engines and shops.
func newLimitFleet(h *harness, daemons, engines, shops int) *limitFleet {
	f := &limitFleet{h: h, answered: map[int]int{}}
	for i := 1; i < daemons; i++ {
		h.startDaemon(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 2)}), 80))
	}
	for i := range engines {
		h.startEngine(fmt.Sprintf("e%d", i+1))
	}
	for i := range shops {
		h.startShop(fmt.Sprintf("s%d", i+1))
	}
	time.Sleep(settleTime)
	return f
}

// load sends requests at a rate for some time, to the daemons that choose selects.
func (f *limitFleet) load(target string, perSecond float64, d time.Duration, choose func(i int) int) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for i := 0; time.Duration(i)*gap < d; i++ {
		all := f.h.running()
		to := all[choose(i)%len(all)].addr
		f.wg.Go(func() {
			began := time.Now()
			r := f.h.sendTo(to, fmt.Sprintf("limit-%s-%d-%d", target, began.UnixNano(), i), http.MethodPost, fmt.Sprintf("/%s/%d", target, i),
				map[string]string{dialect.TokenCounts: "300,20"}, 10*time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.answered[r.status]++
			if r.status == http.StatusServiceUnavailable {
				f.latest = max(f.latest, time.Since(began))
				f.returns = append(f.returns, r.header.Get("Retry-After"))
			}
		})
		time.Sleep(gap)
	}
}

// inTurn divides requests evenly.
func inTurn(i int) int { return i }

// checkLimit fails the test unless an upstream got at most what the rule allows.
func (f *limitFleet) checkLimit(name string, perSecond float64) {
	f.h.t.Helper()
	got := f.h.workers[name].MostWithin(limitWindow, stableWindow, limitNotice)
	assert.Check(f.h.t, got <= allowedByLimit(perSecond), "%s: limit %v, %d requests in %v, allowed %d", name, perSecond, got, limitWindow, allowedByLimit(perSecond))
}

// Guards against an upstream that gets more requests than the limit that it names, as each
// daemon keeps it for itself or none does.
func TestNamedLimitIsKept(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		target    string
		perSecond float64
		load      float64
		choose    func(i int) int
	}{
		{"8 daemons", 8, "check", 4, 80, inTurn},
		{"one busy daemon", 8, "check", 4, 80, func(i int) int { return min(i%10, 1) }},
		{"orders", 8, "order", 4, 80, inTurn},
		{"streams", 8, "tag", 1, 30, inTurn},
		{"long streams", 8, "guide", 1, 20, inTurn},
		{"less than one a second", 8, "check", 0.5, 60, inTurn},
		{"67 daemons", 67, "check", 8, 120, inTurn},
		{"300 daemons", 300, "check", 2, 120, inTurn},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newLimitFleet(h, c.daemons, 4, 4)
				limited := []string{"s1", "s2", "s3", "e1", "e2", "e3"}
				for _, name := range limited {
					h.workers[name].SetLimit(fmt.Sprint(c.perSecond))
				}
				f.load(c.target, c.load, 12*time.Second, c.choose)
				f.wg.Wait()
				for _, name := range limited {
					f.checkLimit(name, c.perSecond)
				}
				assert.Check(t, f.answered[http.StatusOK] >= int(0.95*c.load*12), "served %v", f.answered)
			})
		})
	}
}

// Guards against a test above that passes although nothing keeps the limit.
func TestNamedLimitWithoutGrants(t *testing.T) {
	run(t, func(h *harness) {
		f := newLimitFleet(h, 8, 0, 4)
		for _, d := range h.running() {
			d.handler.Grants = nil
			d.handler.Accounts.HeldUntil = nil
		}
		h.workers["s1"].SetLimit("4")
		f.load("check", 80, 12*time.Second, inTurn)
		f.wg.Wait()
		assert.Assert(t, h.workers["s1"].MostWithin(limitWindow, stableWindow, limitNotice) > allowedByLimit(4))
	})
}

// Guards against a limit that is exceeded while daemons restart, are cut off from each
// other or freeze, and against one that is lost then.
func TestNamedLimitIsKeptBesideFaults(t *testing.T) {
	for name, fault := range map[string]func(f *limitFleet){
		"granting daemon restarts": func(f *limitFleet) {
			for range 4 {
				time.Sleep(1500 * time.Millisecond)
				all := f.h.running()
				f.h.restart(slices.MinFunc(all, func(a, b *daemon) int { return a.addr.Compare(b.addr) }))
			}
		},
		"divided": func(f *limitFleet) {
			time.Sleep(4 * time.Second)
			for _, d := range f.h.running()[:4] {
				d.isolated.Store(true)
			}
			time.Sleep(5 * time.Second)
			for _, d := range f.h.running() {
				d.isolated.Store(false)
			}
		},
		"limit changes": func(f *limitFleet) {
			for i := range 12 {
				time.Sleep(700 * time.Millisecond)
				f.h.workers["s1"].SetLimit(fmt.Sprint(3 + i%2))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newLimitFleet(h, 8, 0, 4)
				h.workers["s1"].SetLimit("4")
				f.wg.Go(func() { fault(f) })
				f.load("check", 80, 14*time.Second, func(i int) int { return 3 + i%5 })
				f.wg.Wait()
				f.checkLimit("s1", 4)
			})
		})
	}
}

// Guards against callers that wait for upstreams whose limits are less than what is asked
// for, and against a part of the limits that is left unused meanwhile.
func TestRequestsBeyondAllLimits(t *testing.T) {
	run(t, func(h *harness) {
		f := newLimitFleet(h, 8, 0, 4)
		for i := range 4 {
			h.workers[fmt.Sprintf("s%d", i+1)].SetLimit("5")
		}
		f.load("check", 100, 3*time.Second, inTurn)
		f.wg.Wait()
		f.answered, f.latest, f.returns = map[int]int{}, 0, nil
		f.load("check", 100, 10*time.Second, inTurn)
		f.wg.Wait()
		served := f.answered[http.StatusOK]
		assert.Check(t, served >= 160 && served <= 320, "served %d at 20 a second for 10 s: %v", served, f.answered)
		assert.Check(t, f.answered[http.StatusOK]+f.answered[http.StatusServiceUnavailable] == 1000, "%v", f.answered)
		// Half of the target latency.
		assert.Check(t, f.latest <= 100*time.Millisecond, "rejected after %v", f.latest)
		for _, v := range f.returns {
			assert.Assert(t, v != "")
		}
	})
}

// Guards against a limit that outlasts the answers that name it, and against one that an
// upstream which takes nothing could not end any more.
func TestNamedLimitEnds(t *testing.T) {
	for _, value := range []string{"2", "0"} {
		t.Run(value, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newLimitFleet(h, 8, 0, 2)
				for _, name := range []string{"s1", "s2"} {
					h.workers[name].SetLimit(value)
				}
				f.load("check", 40, 4*time.Second, inTurn)
				for _, name := range []string{"s1", "s2"} {
					h.workers[name].SetLimit("")
				}
				// A request is due each five seconds at an upstream that takes none.
				f.load("check", 40, 12*time.Second, inTurn)
				f.wg.Wait()
				f.answered = map[int]int{}
				f.load("check", 40, 2*time.Second, inTurn)
				f.wg.Wait()
				assert.Equal(t, f.answered[http.StatusOK], 80)
			})
		})
	}
}

// Guards against a generation that is broken off because the engine that has its copy
// names a limit.
func TestHandoverToLimitedEngine(t *testing.T) {
	run(t, func(h *harness) {
		for _, name := range []string{"e1", "e2"} {
			h.startEngine(name)
		}
		time.Sleep(settleTime)
		for _, w := range h.workers {
			w.SetLimit("1")
		}
		var wg sync.WaitGroup
		got := make([]response, 2)
		for i := range got {
			wg.Go(func() { got[i] = h.generate(fmt.Sprintf("/guide/%d", i)) })
			time.Sleep(600 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		var first *btworker.Worker
		for _, w := range h.workers {
			if w.Active() > 0 {
				first = w
			}
		}
		h.setLeaving(first.ID())
		wg.Wait()
		for _, r := range got {
			h.checkComplete(r)
		}
	})
}

// Guards against daemons that all send at once to an upstream whose pause has ended.
func TestReturnFromPauseIsShared(t *testing.T) {
	run(t, func(h *harness) {
		f := newLimitFleet(h, 8, 0, 3)
		w := h.workers["s1"]
		w.SetPause(2 * time.Second)
		w.Set(btworker.Full)
		f.load("check", 100, time.Second, inTurn)
		w.Set(btworker.Healthy)
		w.SetPause(0)
		f.load("check", 100, 3*time.Second, inTurn)
		first := w.FirstAfter(time.Now().Add(-2 * time.Second))
		assert.Assert(t, !first.IsZero())
		f.wg.Wait()
		// A quarter of the warm limit of six a second, twice as much after half a second.
		n := w.ArrivedAfter(first.Add(-1)) - w.ArrivedAfter(first.Add(500*time.Millisecond))
		assert.Check(t, n <= 4, "%d requests in the first half second", n)
		assert.Check(t, f.answered[http.StatusOK] == 400, "%v", f.answered)
	})
}
