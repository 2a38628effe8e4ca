package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btretry"
	"bramleytack/internal/standin/btworker"
)

// registerAgain registers an upstream's address under one more id, as after a start under another id
// while the registration of the earlier instance has not lapsed.
func (h *harness) registerAgain(name, id string) {
	old := *h.upstreams[name]
	old.ID = bramleytack.UpstreamID(id)
	h.upstreams[id] = &old
	h.publish()
}

// checkPromises sends requests and checks that none that is answered as not run has run, and that none
// that may not be repeated runs twice.
func (h *harness) checkPromises(target string, count int, repeatable bool) {
	h.t.Helper()
	for range count {
		got := h.generate(target)
		assert.Check(h.t, got.err != nil || !btworker.PromisesNotRun(got.status) || h.pool.Runs(got.id) == 0, "%s: answered %d, but it ran", got.id, got.status)
		// An upstream that answered for another instance is avoided for a while.
		time.Sleep(500 * time.Millisecond)
	}
	assert.Check(h.t, repeatable || len(h.pool.RanTwice()) == 0, "ran twice: %v", h.pool.RanTwice())
}

// One address stands under two ids, and its upstream sends each refusal a second time after it has
// read the next request on the connection. Guards against the copy of a refusal that is taken for the
// answer to the next send of the same request, which runs.
func TestCopyOfRefusalIsNoAnswerToNextSend(t *testing.T) {
	for _, c := range []struct {
		target     string
		repeatable bool
	}{{"/order/a", false}, {"/check/a", true}, {"/tag/a", true}, {"/guide/a", false}} {
		for others := range 2 {
			t.Run(fmt.Sprintf("%s %d others", c.target, others), func(t *testing.T) {
				run(t, func(h *harness) {
					h.startShop("s1").CopyRefusals(true)
					h.startEngine("e1").CopyRefusals(true)
					for i := range others {
						h.startShop(fmt.Sprintf("s%d", i+2))
						h.startEngine(fmt.Sprintf("e%d", i+2))
					}
					h.registerAgain("s1", "s0")
					h.registerAgain("e1", "e0")
					h.checkPromises(c.target, 200, c.repeatable)
				})
			})
		}
	}
}

// An upstream sends each refusal a second time after it has read the next request on the connection.
// Guards against requests that fail, although their upstream answers them, because the copy of another
// one's refusal comes first.
func TestCopyOfRefusalFailsNoOtherRequest(t *testing.T) {
	for _, target := range []string{"/order/a", "/check/a", "/tag/a"} {
		t.Run(target, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startShop("s1").CopyRefusals(true)
				h.startEngine("e1").CopyRefusals(true)
				h.registerAgain("s1", "s0")
				h.registerAgain("e1", "e0")
				// A refused send counts as a retry. The budget is empty until it is used.
				h.handler.Budget = &btretry.Budget{Timer: h.timer, Minimum: 1000, Burst: 1000}
				h.handler.Budget.Retry(callService)
				h.handler.Budget.Retry(engineService)
				time.Sleep(time.Second)
				for range 100 {
					// Requests that run at the same time use several connections.
					var wg sync.WaitGroup
					for range 3 {
						wg.Go(func() {
							got := h.generate(target)
							assert.Check(t, got.err == nil && got.status == http.StatusOK, "%s: status %d, %v, %s", got.id, got.status, got.err, got.body)
						})
					}
					wg.Wait()
					time.Sleep(500 * time.Millisecond)
				}
			})
		})
	}
}
