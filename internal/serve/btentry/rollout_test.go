package btentry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btrollout"
	"bramleytack/internal/standin/btworker"
)

// rollout is an order at the first daemon, which judges alone.
type rollout struct {
	h      *harness
	table  *btrollout.Table
	order  *bramleytack.Rollout
	ticked chan struct{}
	ends   chan struct{}
}

// order starts the move of a service to version "2", for a time.
func (h *harness) order(service string, d time.Duration) *rollout {
	r := &rollout{h: h, order: &bramleytack.Rollout{Service: service, Target: "2", Duration: d, Created: 1, Revision: 1}, ticked: make(chan struct{}), ends: make(chan struct{})}
	r.table = &btrollout.Table{
		Timer: h.timer, Bounds: btrollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, Judges: func() bool { return true }, Reach: func() float64 { return 1 },
		Daemons: func() int { return 1 }, StoreAway: func() bool { return false }, Running: h.accounts.OwnRunning,
		// In 1 of 600 plays, chance gives a bad version more of the first calls than the retry budget allows
		// to be sent again.
		Draw: rand.New(rand.NewPCG(1, 2)).Float64,
	}
	h.accounts.Admits, h.handler.Rollouts = r.table.Admits, r.table
	r.publish()
	go r.run()
	return r
}

// publish applies the order and the upstreams.
func (r *rollout) publish() {
	r.h.reconfigure = func(s *bramleytack.Snapshot) {
		order := *r.order
		s.Rollouts = map[string]*bramleytack.Rollout{order.Service: &order}
	}
	r.h.configRevision++
	r.h.publish()
}

func (r *rollout) run() {
	defer close(r.ticked)
	for {
		r.table.Update(r.h.table.Snapshot())
		r.table.Tick()
		select {
		case <-r.ends:
			return
		case <-time.After(btrollout.TickPeriod):
		}
	}
}

// stop ends the daemon's ticks.
func (r *rollout) stop() {
	close(r.ends)
	<-r.ticked
}

// state returns the state of the order.
func (r *rollout) state() btrollout.State { return r.table.States()[0] }

// startVersions starts two upstreams of each version.
func (h *harness) startVersions(start func(name string) *btworker.Worker) {
	for i := range 4 {
		name := fmt.Sprintf("v%d-%d", 1+i%2, i/2)
		start(name)
		h.upstreams[name].Version = fmt.Sprint(1 + i%2)
	}
	h.publish()
}

// checks sends n calls that may be repeated, gap apart, and returns how many failed.
func (h *harness) checks(n int, gap time.Duration) (failed int) {
	for range n {
		if got := h.request(http.MethodPost, "/check/1", nil, 2*time.Second); got.status != http.StatusOK {
			failed++
		}
		time.Sleep(gap)
	}
	return failed
}

// Guards against a bad version that callers notice, that is not taken back, or that gets requests
// afterwards. Its upstreams fail all calls.
func TestBadVersionIsTakenBack(t *testing.T) {
	run(t, func(h *harness) {
		h.startVersions(h.startShop)
		r := h.order(callService, time.Minute)
		defer r.stop()
		for name, w := range h.workers {
			if strings.HasPrefix(name, "v2") {
				w.Set(btworker.Broken)
			}
		}
		assert.Equal(t, h.checks(600, 50*time.Millisecond), 0, "calls that failed")
		s := r.state()
		assert.Check(t, s.RolledBack, "%+v", s)
		assert.Check(t, s.Exposed > 0 && float64(s.Exposed) <= 0.1*float64(s.Sent)+50, "%+v", s)
		h.checks(100, 20*time.Millisecond)
		assert.Equal(t, r.state().Exposed, s.Exposed, "requests after the verdict")
	})
}

// Guards against a good version that does not get all requests in time, and against generations
// that still run at old upstreams then, or break off on the way.
func TestGenerationsLeaveTheOldVersion(t *testing.T) {
	run(t, func(h *harness) {
		h.startVersions(func(name string) *btworker.Worker {
			return h.start(name, engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: 150 * time.Millisecond})
		})
		r := h.order(engineService, 40*time.Second)
		defer r.stop()
		answers := make(chan response)
		const streams = 16
		for i := range streams {
			after(time.Duration(i)*2*time.Second, func() { answers <- h.generate("/guide/1") })
		}
		for range streams {
			h.checkComplete(<-answers)
		}
		s := r.state()
		assert.Check(t, s.Stage == btrollout.Full.String() && !s.RolledBack, "%+v", s)
		for name := range h.upstreams {
			if strings.HasPrefix(name, "v1") {
				assert.Equal(t, h.accounts.OwnRunning(bramleytack.UpstreamID(name)), 0, "requests at %s", name)
			}
		}
		assert.Equal(t, len(h.pool.RanTwice()), 0)
	})
}
