package btentry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"bramleytack/internal/serve/btentry"
)

// An engine of these tests has memory for ten generations, which take two seconds, so that it
// ends five in a second.
const (
	crowdMemory = 40_000
	crowdTokens = "3000,900"
	crowdPause  = time.Second
)

// overload is what happens to many callers of the same kind.
type overload struct {
	h  *harness
	wg sync.WaitGroup
	mu sync.Mutex
	// got are the first answers, again those to callers that came back when they were told to.
	got, again []response
}

// call sends a generation. A caller that is told to come back does so once.
func (c *overload) call(name string) {
	got := c.send(name)
	c.mu.Lock()
	c.got = append(c.got, got)
	c.mu.Unlock()
	wait := got.retryAfter()
	if got.status != http.StatusServiceUnavailable || wait == 0 {
		return
	}
	time.Sleep(wait)
	again := c.send(name + "-again")
	c.mu.Lock()
	c.again = append(c.again, again)
	c.mu.Unlock()
}

func (c *overload) send(id string) response {
	return c.h.send(id, http.MethodPost, "/guide/"+id[:len("g0000")], map[string]string{dialect.TokenCounts: crowdTokens}, 39*time.Second)
}

// arrive sends n generations, one after each pause.
func (c *overload) arrive(n int, pause time.Duration) {
	for i := range n {
		c.wg.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			c.call(fmt.Sprintf("g%04d", i))
		})
	}
}

// retryAfter returns the time after which a rejected caller is to return, zero if it is not told.
func (r *response) retryAfter() time.Duration {
	s, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	return time.Duration(s * float64(time.Second))
}

// checkRejections checks that each rejection is true and tells when to come back, and returns
// how many there are of all answers.
func (c *overload) checkRejections(answers []response) (rejected int) {
	c.h.t.Helper()
	for _, got := range answers {
		assert.NilError(c.h.t, got.err)
		if got.status == http.StatusOK {
			continue
		}
		rejected++
		assert.Equal(c.h.t, got.status, http.StatusServiceUnavailable)
		assert.Equal(c.h.t, c.h.pool.Runs(got.id), 0, "%s was said not to have run", got.id)
		wait := got.retryAfter()
		assert.Assert(c.h.t, wait > 0 && wait <= 13*time.Second, "%s may come back after %v", got.id, wait)
	}
	return rejected
}

// Load: three times what the engine can serve. Guards against callers that wait until they leave
// and learn nothing, against rejections of requests that run, and against those who come back
// and find new callers before them.
func TestOverloadRejectsWhatCannotBeServed(t *testing.T) {
	run(t, func(h *harness) {
		h.memory = crowdMemory
		h.startEngine("e1")
		registry := prometheus.NewRegistry()
		h.handler.Metrics = btentry.NewMetrics(registry)
		c := &overload{h: h}
		c.arrive(225, crowdPause/15)
		time.Sleep(2 * crowdPause)
		early := waitsByStanding(t, registry)
		c.wg.Wait()
		all := waitsByStanding(t, registry)
		rejected := c.checkRejections(c.got)
		c.checkRejections(c.again)
		assert.Check(t, rejected > 0 && rejected < len(c.got), "%d of %d rejected", rejected, len(c.got))
		returned, fresh := all["returned"], all["new"].since(early["new"])
		t.Logf("%d of %d rejected, %d came back; waits: returned %+v, new %+v", rejected, len(c.got), len(c.again), returned, fresh)
		assert.Check(t, returned.n > 0 && returned.mean() < fresh.mean(), "returned %v, new %v", returned.mean(), fresh.mean())
	})
}

// Load: calm, and a crowd at once that finds room within its target. Guards against callers that
// are rejected although they can be served.
func TestCalmRejectsNobody(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int
		pause time.Duration
	}{{"0.7 of what can be served", 40, crowdPause * 10 / 35}, {"a crowd at once", 16, 0}} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.memory = crowdMemory
				h.startEngine("e1")
				callers := &overload{h: h}
				callers.arrive(c.count, c.pause)
				callers.wg.Wait()
				assert.Equal(t, callers.checkRejections(callers.got), 0)
				for _, got := range callers.got {
					h.checkComplete(got)
				}
			})
		})
	}
}

// waits are the number and the sum of waits before admission.
type waits struct {
	n   uint64
	sum float64
}

func (w waits) since(earlier waits) waits { return waits{w.n - earlier.n, w.sum - earlier.sum} }

func (w waits) mean() float64 { return w.sum / max(float64(w.n), 1) }

// waitsByStanding reads the waits of generations that were sent.
func waitsByStanding(t *testing.T, r *prometheus.Registry) map[string]waits {
	t.Helper()
	all, err := r.Gather()
	assert.NilError(t, err)
	out := map[string]waits{}
	for _, family := range all {
		if family.GetName() != "bramleytack_admission_wait_seconds" {
			continue
		}
		for _, m := range family.GetMetric() {
			out[m.GetLabel()[0].GetValue()] = waits{m.GetHistogram().GetSampleCount(), m.GetHistogram().GetSampleSum()}
		}
	}
	return out
}
