package btentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

// Upstreams run a request and answer with the status of a rejection, without saying that it
// has not run. Guards against callers that are told that it has not.
func TestUndeclaredRejectionIsNoPromise(t *testing.T) {
	for _, status := range btworker.UndeclaredStatuses {
		for _, c := range []struct {
			target string
			runs   int
		}{{"/order/a", 1}, {"/check/a", 2}, {"/guide/a", 1}, {"/tag/a", 2}} {
			t.Run(fmt.Sprintf("%d %s", status, c.target), func(t *testing.T) {
				run(t, func(h *harness) {
					for _, w := range []*btworker.Worker{h.startShop("s1"), h.startShop("s2"), h.startEngine("e1"), h.startEngine("e2")} {
						w.SetRejection(status)
						w.SetRetryAfter("0.2")
						w.Set(btworker.Undeclared)
					}
					for range 3 {
						got := h.generate(c.target)
						assert.Check(t, got.err == nil, "%v", got.err)
						assert.Check(t, got.status == http.StatusBadGateway, "status %d", got.status)
						assert.Check(t, got.header.Get(dialect.Seal) == "", "seal of a response with another status")
						assert.Check(t, h.pool.Runs(got.id) == c.runs, "%d runs", h.pool.Runs(got.id))
						// Ejections and pauses end and the retry budget refills.
						time.Sleep(20 * time.Second)
					}
				})
			})
		}
	}
}

// One of two upstreams rejects requests without saying that they have not run. Guards against
// repeatable requests that fail although the other one serves them.
func TestUndeclaredRejectionIsRetriedElsewhere(t *testing.T) {
	for _, status := range btworker.UndeclaredStatuses {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			run(t, func(h *harness) {
				sick := h.startShop("s1")
				sick.SetRejection(status)
				sick.Set(btworker.Undeclared)
				h.startShop("s2")
				for range 10 {
					got := h.request(http.MethodGet, "/check/a", nil, callTimeout)
					assert.Check(t, got.status == http.StatusOK, "status %d", got.status)
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// An engine breaks a generation off before its first event, and the engine with the copy
// rejects it. Guards against the rejection of the second engine hiding that the first one ran
// the request.
func TestRejectedCopyHidesNoRun(t *testing.T) {
	run(t, func(h *harness) {
		// No copy has arrived when the first engine breaks off.
		h.startEngine("e1").Set(btworker.Lost)
		h.startEngine("e2").Set(btworker.Lost)
		got := h.generate("/guide/a")
		assert.Check(t, h.pool.Runs(got.id) == 1)
		assert.Check(t, got.status == http.StatusBadGateway, "status %d", got.status)
	})
}

// chaos makes upstreams fail in all known ways until it is stopped.
type chaos struct {
	fleet *fatalFleet
	rng   *rand.Rand
	stop  chan struct{}
}

var chaosFaults = []btworker.Fault{
	btworker.Healthy, btworker.Full, btworker.Lost, btworker.Foreign, btworker.Truncated, btworker.Broken, btworker.Mute,
	btworker.Doubled, btworker.Undeclared,
}

func (c *chaos) run(names []string) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+c.rng.IntN(200)) * time.Millisecond):
		}
		name := names[c.rng.IntN(len(names))]
		c.fleet.mu.Lock()
		w := c.fleet.h.workers[name]
		c.fleet.mu.Unlock()
		switch c.rng.IntN(6) {
		case 0:
			w.CrashAndRestart()
		case 1:
			w.SetRetryAfter([]string{"", "0.1", "0.5"}[c.rng.IntN(3)])
		case 2:
			w.SetLimit([]string{"", "2", "20"}[c.rng.IntN(3)])
		case 3:
			w.SetRejection(btworker.UndeclaredStatuses[c.rng.IntN(len(btworker.UndeclaredStatuses))])
			w.Set(btworker.Undeclared)
		default:
			w.Set(chaosFaults[c.rng.IntN(len(chaosFaults))])
		}
	}
}

// Engines and plain upstreams have few places, crash, restart, reject and answer wrongly, while
// callers send requests with short deadlines. Guards against a request that is answered as not
// run and has run, or runs later.
func TestRejectedRequestsNeverRun(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run(t, func(h *harness) { checkRejections(h, seed) })
		})
	}
}

func checkRejections(h *harness, seed uint64) {
	rng := func(n int) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(n))) }
	f := &fatalFleet{h: h}
	sound := func(*http.Request) bool { return false }
	var names []string
	for i := range 3 {
		engine, shop := fmt.Sprintf("e%d", i), fmt.Sprintf("s%d", i)
		f.start(engine, engineService, btworker.Config{Events: 10, Read: 60 * time.Millisecond, Gap: eventGap, Slots: 2, Queue: 2}, sound)
		f.start(shop, callService, btworker.Config{Work: 30 * time.Millisecond, Slots: 2, Queue: 2}, sound)
		names = append(names, engine, shop)
	}
	c := &chaos{fleet: f, rng: rng(0), stop: make(chan struct{})}
	go c.run(names)
	var mu sync.Mutex
	var rejected []string
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			rng := rng(i + 1)
			for range 12 {
				target := []string{"/order/a", "/guide/a", "/check/a", "/tag/a"}[rng.IntN(4)]
				deadline := 50 + rng.IntN(1500)
				header := map[string]string{dialect.TokenCounts: "3000,900", dialect.DeadlineMillis: strconv.Itoa(deadline)}
				got := h.request(http.MethodPost, target, header, time.Duration(max(deadline+rng.IntN(500)-100, 30))*time.Millisecond)
				if btworker.PromisesNotRun(got.status) {
					mu.Lock()
					rejected = append(rejected, got.id)
					mu.Unlock()
				}
				time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	close(c.stop)
	time.Sleep(5 * time.Second)
	for _, id := range rejected {
		assert.Check(h.t, h.pool.Runs(id) == 0, "%s was answered as not run, but it ran", id)
	}
	assert.Check(h.t, len(rejected) > 0, "no request was rejected")
}
