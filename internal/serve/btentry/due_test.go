package btentry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/standin/btworker"
)

const (
	// callerLag is the way to the caller and back, 3 ms each, and what the daemon is late.
	callerLag = 16 * time.Millisecond
	// guideGap and tagGap are the gaps after which callers abandon streams of the routes.
	guideGap = 7200 * time.Millisecond
	tagGap   = 6 * time.Second
)

// checkAnswered fails the test unless the caller got a whole answer, with one of the statuses.
func (r response) checkAnswered(t *testing.T, statuses ...int) {
	t.Helper()
	assert.Check(t, r.err == nil, "status %d, %v", r.status, r.err)
	for _, s := range statuses {
		if r.status == s {
			return
		}
	}
	t.Errorf("status %d instead of %v, %q", r.status, statuses, r.body)
}

// startBusyEngine starts an engine with one place, which a stream has for as long as tests last.
func (h *harness) startBusyEngine(name string) *btworker.Worker {
	w := h.start(name, engineService, btworker.Config{Events: streamEvents, Gap: time.Second, Slots: 1})
	c, err := h.dialEntry(w.Addr())
	assert.NilError(h.t, err)
	go h.exchange(c, "occupant-"+name, http.MethodPost, "/guide/occupant", nil, 50*time.Second)
	time.Sleep(10 * time.Millisecond)
	return w
}

// Guards against callers that abandon a stream without any answer, because the daemon waits for
// the first event as long as they do, or longer.
func TestStreamWithoutEventIsAnsweredBeforeItsCallerLeaves(t *testing.T) {
	for _, c := range []struct {
		name   string
		target string
		gap    time.Duration
		begin  func(h *harness)
		want   []int
	}{
		{"silent engine", "/guide/a", guideGap, func(h *harness) { h.startEngine("e1").Stall(true) }, []int{http.StatusGatewayTimeout}},
		{"silent engines, resumable", "/tag/a", tagGap, func(h *harness) {
			h.startEngine("e1").Stall(true)
			h.startEngine("e2").Stall(true)
		}, []int{http.StatusGatewayTimeout}},
		{"queue of the engine", "/guide/a", guideGap, func(h *harness) { h.startBusyEngine("e1") }, []int{http.StatusGatewayTimeout}},
		{"late first event", "/guide/a", guideGap, func(h *harness) {
			h.start("e1", engineService, btworker.Config{Events: streamEvents, Read: guideGap - 250*time.Millisecond, Gap: eventGap})
		}, []int{http.StatusOK}},
		{"no engine", "/guide/a", guideGap, func(h *harness) { h.startShop("s1") }, []int{http.StatusServiceUnavailable}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				c.begin(h)
				sent := time.Now()
				header := map[string]string{dialect.TokenCounts: "3000,900", dialect.DeadlineMillis: "39000"}
				leaves := c.gap - callerLag
				if c.want[0] == http.StatusOK {
					// The rest of the stream comes later.
					leaves = 39 * time.Second
				}
				got := h.request(http.MethodPost, c.target, header, leaves)
				got.checkAnswered(t, c.want...)
				if c.want[0] == http.StatusOK {
					assert.Check(t, got.firstEventAt.Sub(sent) < c.gap-callerLag, "%v", got.firstEventAt.Sub(sent))
				}
				if c.want[0] == http.StatusGatewayTimeout {
					assert.Check(t, time.Since(sent) > c.gap-250*time.Millisecond, "answered after %v, the engine had time left", time.Since(sent))
				}
				time.Sleep(100 * time.Millisecond)
				for name, w := range h.workers {
					assert.Check(t, name != "e1" || c.name == "queue of the engine" || w.Active() == 0, "engine still works")
				}
			})
		})
	}
}

// Guards against streams that have begun and are ended before their callers leave.
func TestPauseOfBegunStreamMayLastAsLongAsItsCallerStays(t *testing.T) {
	run(t, func(h *harness) {
		w := h.startEngine("e1")
		const pause = guideGap - 100*time.Millisecond
		after(time.Second, func() { w.Stall(true) })
		after(time.Second+pause-eventGap, func() { w.Stall(false) })
		got := h.request(http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: "3000,900", dialect.DeadlineMillis: "39000"}, 40*time.Second)
		h.checkComplete(got)
		assert.Check(t, got.longestPause > guideGap-200*time.Millisecond, "%v", got.longestPause)
	})
}

// Guards against a configuration that ends a stream sooner or later than the one that it was
// accepted under, or leaves it without an answer.
func TestTimeoutIsThatOfTheArrival(t *testing.T) {
	const short, long = 3 * time.Second, 6 * time.Second
	for _, c := range []struct {
		name      string
		old, next time.Duration
	}{{"shorter", long, short}, {"longer", short, long}} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.startEngine("e1").Stall(true)
				timeout := c.old
				h.reconfigure = func(s *bramleytack.Snapshot) {
					r := *h.routes[0]
					r.Timeout = timeout
					s.Routes = bramleytack.NewRouteTable([]*bramleytack.Route{&r})
				}
				configure := func(d time.Duration) {
					timeout = d
					h.configRevision++
					h.publish()
				}
				configure(c.old)
				after(time.Second, func() { configure(c.next) })
				sent := time.Now()
				got := h.request(http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: "3000,900", dialect.DeadlineMillis: "39000"}, 39*time.Second)
				got.checkAnswered(t, http.StatusGatewayTimeout)
				assert.Check(t, time.Since(sent) >= c.old && time.Since(sent) < c.old+250*time.Millisecond, "%v", time.Since(sent))
			})
		})
	}
}

// deadlineHeader is the header of a caller with its own deadline in milliseconds.
func deadlineHeader(ms string) map[string]string {
	return map[string]string{dialect.DeadlineMillis: ms}
}

// Guards against callers that reach their own deadline without any answer, because the daemon's
// deadline is the same moment, counted from the arrival.
func TestRequestIsAnsweredBeforeTheDeadlineOfItsCaller(t *testing.T) {
	failed, promise := http.StatusGatewayTimeout, http.StatusServiceUnavailable
	mute := func(h *harness) {
		h.startShop("s1").Set(btworker.Mute)
		h.startShop("s2").Set(btworker.Mute)
	}
	silent := func(h *harness) {
		h.startEngine("e1").Stall(true)
		h.startEngine("e2").Stall(true)
	}
	for _, c := range []struct {
		name   string
		target string
		header map[string]string
		// due is when the caller leaves or the timeout of its route is over.
		due   time.Duration
		begin func(h *harness)
		want  []int
	}{
		{"silent upstream, order", "/order/a", deadlineHeader("900"), 900 * time.Millisecond, mute, []int{failed}},
		{"silent upstreams, check", "/check/a", deadlineHeader("900"), 900 * time.Millisecond, mute, []int{failed}},
		{"silent upstream, little time", "/order/a", deadlineHeader("300"), 300 * time.Millisecond, mute, []int{failed}},
		{"silent upstream, timeout of the route", "/order/a", deadlineHeader("2500"), 1200*time.Millisecond + 250*time.Millisecond, mute, []int{failed}},
		{"silent upstream, timeout just before", "/order/a", deadlineHeader("1210"), 1210 * time.Millisecond, mute, []int{failed}},
		{"silent engine", "/guide/a", deadlineHeader("3000"), 3 * time.Second, silent, []int{failed}},
		{"silent engines, resumable", "/tag/a", deadlineHeader("3000"), 3 * time.Second, silent, []int{failed}},
		{"queue of the engine", "/guide/a", deadlineHeader("1340"), 1340 * time.Millisecond, func(h *harness) { h.startBusyEngine("e1") }, []int{failed}},
		{"queue of the upstream", "/order/a", deadlineHeader("900"), 900 * time.Millisecond, func(h *harness) {
			h.start("s1", callService, btworker.Config{Work: 5 * time.Second, Slots: 1, Queue: 3})
			go h.request(http.MethodPost, "/order/occupant", nil, 5*time.Second)
			time.Sleep(10 * time.Millisecond)
		}, []int{failed, promise}},
		{"wait for memory", "/guide/a", map[string]string{dialect.TokenCounts: "3000,900", dialect.DeadlineMillis: "700"}, 700 * time.Millisecond, func(h *harness) {
			h.startEngine("e1")
			h.fillMemory()
		}, []int{promise}},
		{"wait for a place", "/order/a", deadlineHeader("700"), 700 * time.Millisecond, func(h *harness) {
			h.startSmallShop("s1")
			h.orders(30)
			time.Sleep(10 * time.Millisecond)
		}, []int{promise, http.StatusOK}},
		{"full upstreams", "/order/a", deadlineHeader("900"), 900 * time.Millisecond, func(h *harness) { h.startShop("s1").Set(btworker.Full) }, []int{promise}},
		{"no upstream", "/order/a", deadlineHeader("900"), 900 * time.Millisecond, func(h *harness) { h.startEngine("e1") }, []int{promise}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				c.begin(h)
				sent := time.Now()
				got := h.request(http.MethodPost, c.target, c.header, c.due-callerLag)
				got.checkAnswered(t, c.want...)
				switch got.status {
				case failed:
					assert.Check(t, time.Since(sent) > c.due-c.due/10-250*time.Millisecond, "answered after %v, the upstream had time left", time.Since(sent))
				case promise:
					assert.Check(t, h.pool.Runs(got.id) == 0, "it ran")
				}
			})
		})
	}
}

// Guards against answers that upstreams make shortly before the caller leaves, and that are
// replaced by a failure: only the time that the way back may take is lost.
func TestAnswerOfTheLastMomentIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		deadline string
		left     time.Duration
		work     time.Duration
	}{{"300", 300 * time.Millisecond, 270 * time.Millisecond}, {"900", 900 * time.Millisecond, 830 * time.Millisecond}} {
		t.Run(c.deadline, func(t *testing.T) {
			run(t, func(h *harness) {
				w := h.start("s1", callService, btworker.Config{Work: c.work})
				got := h.request(http.MethodPost, "/order/a", deadlineHeader(c.deadline), c.left-callerLag)
				got.checkAnswered(t, http.StatusOK)
				r, _ := w.Last()
				ms, err := strconv.Atoi(r.Header.Get(dialect.DeadlineMillis))
				assert.NilError(t, err)
				given := time.Duration(ms) * time.Millisecond
				assert.Check(t, given <= c.left && given > c.left*9/10, "the upstream was given %v of %v", given, c.left)
			})
		})
	}
}

// Guards against streams that have begun and are ended before the deadline of their callers.
func TestBegunStreamMayLastUntilTheDeadlineOfItsCaller(t *testing.T) {
	run(t, func(h *harness) {
		// The last event comes 1.87 s after the request.
		h.startEngine("e1")
		got := h.request(http.MethodPost, "/guide/a", map[string]string{dialect.TokenCounts: "3000,900", dialect.DeadlineMillis: "1920"}, 2*time.Second)
		h.checkComplete(got)
	})
}
