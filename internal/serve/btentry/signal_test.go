package btentry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/standin/btworker"
)

// drainTime is the time after an upstream's word that it leaves, from which on no request
// may reach it.
const drainTime = 2 * time.Second

// traffic sends a call and a short generation each 50 ms until d has passed, and returns
// the responses.
func (h *harness) traffic(d time.Duration) []response {
	var mu sync.Mutex
	var got []response
	var all sync.WaitGroup
	send := func(target string) {
		r := h.send("t"+time.Now().String()+target, http.MethodPost, target, map[string]string{dialect.TokenCounts: "300,40"}, 10*time.Second)
		mu.Lock()
		defer mu.Unlock()
		got = append(got, r)
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all.Go(func() { send("/check/a") })
		all.Go(func() { send("/tag/a") })
	}
	all.Wait()
	return got
}

// Guards against requests that reach an upstream that has said in a response that it is
// leaving, although the store calls it active.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	run(t, func(h *harness) {
		for _, name := range []string{"e1", "e2", "e3"} {
			h.startEngine(name)
		}
		for _, name := range []string{"s1", "s2", "s3"} {
			h.startShop(name)
		}
		h.traffic(time.Second)
		h.workers["e1"].SetLeaving(true)
		h.workers["s1"].SetLeaving(true)
		told := time.Now()
		after(time.Second, h.publish)
		for _, r := range h.traffic(6 * time.Second) {
			assert.Check(t, r.err == nil && r.status == http.StatusOK, "%v %v", r.status, r.err)
		}
		for _, name := range []string{"e1", "s1"} {
			assert.Check(t, h.workers[name].ArrivedAfter(told.Add(-1)) > 0, "%s has said nothing", name)
			assert.Check(t, h.workers[name].ArrivedAfter(told.Add(drainTime)) == 0, "%d requests reached %s", h.workers[name].ArrivedAfter(told.Add(drainTime)), name)
		}
		// Another instance under the same name is a new upstream.
		h.workers["s1"].SetLeaving(false)
		h.upstreams["s1"].Started = time.Now()
		h.publish()
		again := time.Now()
		// An upstream that has just started is second choice for half a second.
		h.traffic(4 * time.Second)
		assert.Check(t, h.workers["s1"].ArrivedAfter(again) > 0, "the new instance gets nothing")
	})
}

// Guards against requests that reach an upstream during the pause that it has asked for,
// and against rejections that call callers back before its end.
func TestPausedUpstreamGetsNothing(t *testing.T) {
	const pause = 3 * time.Second
	for _, paused := range []int{1, 3} {
		t.Run(fmt.Sprint(paused), func(t *testing.T) {
			run(t, func(h *harness) {
				var names []string
				for i := range 3 {
					h.startEngine(fmt.Sprint("e", i))
					h.startShop(fmt.Sprint("s", i))
					if i < paused {
						names = append(names, fmt.Sprint("e", i), fmt.Sprint("s", i))
					}
				}
				h.traffic(time.Second)
				for _, name := range names {
					h.workers[name].SetPause(pause)
					h.workers[name].Set(btworker.Full)
				}
				start := time.Now()
				after(pause-100*time.Millisecond, func() {
					for _, name := range names {
						h.workers[name].Set(btworker.Healthy)
						first := h.workers[name].FirstAfter(start)
						assert.Check(t, h.workers[name].ArrivedAfter(first.Add(500*time.Millisecond)) <= 2, "%d requests reached %s", h.workers[name].ArrivedAfter(first.Add(500*time.Millisecond)), name)
					}
				})
				for _, r := range h.traffic(2500 * time.Millisecond) {
					if paused < 3 {
						assert.Check(t, r.err == nil && r.status == http.StatusOK, "%v %v", r.status, r.err)
						continue
					}
					assert.Check(t, r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "", "%v %v", r.status, r.err)
				}
				time.Sleep(2 * time.Second)
				again := time.Now()
				h.traffic(2 * time.Second)
				for _, name := range names {
					assert.Check(t, h.workers[name].ArrivedAfter(again) > 0, "%s gets nothing after its pause", name)
				}
			})
		})
	}
}

// Guards against a pause that ends before its time because it is long, or because the
// registration of the upstream is away for a while, and against one that exceeds the bound.
func TestLongPauseIsKept(t *testing.T) {
	for asked, until := range map[string]time.Duration{"90": 90 * time.Second, "7200": time.Hour, "1e999": time.Hour} {
		t.Run(asked, func(t *testing.T) {
			run(t, func(h *harness) {
				for i := range 3 {
					h.startEngine(fmt.Sprint("e", i))
					h.startShop(fmt.Sprint("s", i))
				}
				paused := []string{"e0", "s0"}
				for _, name := range paused {
					h.workers[name].SetRetryAfter(asked)
					h.workers[name].Set(btworker.Full)
				}
				start := time.Now()
				for _, name := range paused {
					// Few requests may be drawn for an upstream.
					for h.workers[name].FirstAfter(start).IsZero() {
						h.traffic(500 * time.Millisecond)
					}
				}
				told := time.Now()
				for _, name := range paused {
					h.workers[name].Set(btworker.Healthy)
				}
				away := map[string]*bramleytack.Upstream{}
				for _, name := range paused {
					away[name] = h.upstreams[name]
					delete(h.upstreams, name)
				}
				h.publish()
				h.accounts.Retain(h.table.Snapshot(), func(btaccount.Source) bool { return true })
				time.Sleep(5 * time.Second)
				for name, u := range away {
					h.upstreams[name] = u
				}
				h.publish()
				for _, at := range []time.Duration{7 * time.Second, 65 * time.Second, until - 3*time.Second} {
					time.Sleep(time.Until(start.Add(at)))
					h.traffic(2 * time.Second)
				}
				for _, name := range paused {
					n := h.workers[name].ArrivedAfter(told)
					assert.Check(t, n == 0, "%d requests reached %s", n, name)
				}
				time.Sleep(time.Until(start.Add(until + 10*time.Second)))
				h.traffic(4 * time.Second)
				for _, name := range paused {
					assert.Check(t, h.workers[name].ArrivedAfter(start.Add(until)) > 0, "%s gets nothing after its pause", name)
				}
			})
		})
	}
}

// Guards against a request that was chosen for an upstream before the upstream said that it
// is leaving, or asked for a pause, and that is sent after it.
func TestChoiceIsCheckedAtTheSend(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"leaving": func(h *harness) { h.table.MarkLeaving(h.upstreams["s1"]) },
		"paused":  func(h *harness) { h.accounts.Pause(h.upstreams["s1"], 10*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startShop("s1")
				dial := h.handler.Pool.Dial
				h.handler.Pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					time.Sleep(200 * time.Millisecond)
					return dial(ctx, network, addr)
				}
				after(100*time.Millisecond, func() {
					end(h)
					h.startShop("s2")
				})
				r := h.request(http.MethodPost, "/order/1", nil, 2*time.Second)
				assert.Equal(t, r.status, http.StatusOK)
				assert.Equal(t, h.workers["s1"].ArrivedAfter(time.Time{}), 0)
			})
		})
	}
}
