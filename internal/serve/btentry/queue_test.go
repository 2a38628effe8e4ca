package btentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/node/btdrain"
	"bramleytack/internal/standin/btworker"
)

// stopGrace is the time between the signal of a planned stop and the kill.
const stopGrace = 8 * time.Second

// enginePause is how long engines pause during a planned stop.
const enginePause = 3800 * time.Millisecond

// prepareStop gives the harness's daemon an end in order, before it gets requests.
func (h *harness) prepareStop() *stopper {
	d := h.running()[0]
	drain := &btdrain.Drain{Timer: h.timer, Grace: stopGrace, Active: d.handler.Active}
	d.handler.Leaving = func() bool { return drain.Phase() != btdrain.Serving }
	d.handler.Accepts, d.handler.FinishAt, d.handler.Finish = drain.Accepts, drain.FinishAt, drain.Finish()
	return &stopper{drain: drain, daemon: d, ended: make(chan struct{})}
}

// stopper ends a daemon as its process does.
type stopper struct {
	drain  *btdrain.Drain
	daemon *daemon
	ended  chan struct{}
}

func (s *stopper) run() {
	s.drain.Run(&btdrain.HTTPServer{Server: s.daemon.server, Listener: s.daemon.listener})
	s.daemon.stop()
	close(s.ended)
}

// Guards against requests that wait at an upstream, or in the daemon, and whose connections
// are closed without a byte at the end of a planned stop; against those that are said not to
// have run although they have; and against callers that are not told that a request which
// they sent to the leaving daemon has not run.
func TestWaitingRequestsOfPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name   string
		target string
		engine btworker.Config
		shop   btworker.Config
		memory int
		tokens string
		period time.Duration
		// paused is the time after the signal at which engines pause for enginePause.
		paused time.Duration
	}{
		{"guides in the queue of an engine", "guide", btworker.Config{Events: streamEvents, Gap: 4 * eventGap, Slots: 3}, btworker.Config{}, 1 << 20, "1000,240", 200 * time.Millisecond, 0},
		{"guides of an engine that stands still", "guide", btworker.Config{Events: streamEvents, Gap: 10 * time.Second, Slots: 1}, btworker.Config{}, 1 << 20, "1000,240", 200 * time.Millisecond, 0},
		{"tags behind others", "tag", btworker.Config{Events: 3, Gap: time.Second, Slots: 2}, btworker.Config{}, 1 << 20, "2200,12", 100 * time.Millisecond, 0},
		{"guides that wait for memory", "guide", btworker.Config{Events: streamEvents, Gap: 4 * eventGap}, btworker.Config{}, 6000, "1000,240", 100 * time.Millisecond, 0},
		{"guides of engines that pause", "guide", btworker.Config{Events: 20, Gap: 2 * eventGap}, btworker.Config{}, 1 << 20, "1000,80", 100 * time.Millisecond, 2900 * time.Millisecond},
		{"orders in the queue of an upstream", "order", btworker.Config{Events: 1}, btworker.Config{Work: 200 * time.Millisecond, Slots: 1}, 1 << 20, "", 50 * time.Millisecond, 0},
		{"orders in the room of the daemon", "order", btworker.Config{Events: 1}, btworker.Config{Work: 200 * time.Millisecond, Slots: 1, Queue: 2}, 1 << 20, "", 25 * time.Millisecond, 0},
		{"checks in the queue of an upstream", "check", btworker.Config{Events: 1}, btworker.Config{Work: 200 * time.Millisecond, Slots: 1}, 1 << 20, "", 50 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.memory = c.memory
				if c.engine.Slots > 0 {
					h.slots = c.engine.Slots
				}
				for i := range 2 {
					h.start(fmt.Sprintf("e%d", i), engineService, c.engine)
					h.start(fmt.Sprintf("s%d", i), callService, c.shop)
				}
				s := &stopCallers{h: h, signal: time.Now().Add(6 * time.Second), target: c.target, header: map[string]string{}, answered: map[int]int{}}
				if c.tokens != "" {
					s.header[dialect.TokenCounts] = c.tokens
				}
				stop := h.prepareStop()
				after(time.Until(s.signal), stop.run)
				if c.paused > 0 {
					after(time.Until(s.signal)+c.paused, func() { h.stall(true) })
					after(time.Until(s.signal)+c.paused+enginePause, func() { h.stall(false) })
				}
				for i := 0; stop.drain.Phase() < btdrain.Closing; i++ {
					s.wg.Go(func() { s.send(fmt.Sprint("stop-", i)) })
					time.Sleep(c.period)
				}
				<-stop.ended
				s.wg.Wait()
				assert.Check(t, s.silent == 0, "%d requests got no byte, answered %v", s.silent, s.answered)
				assert.Check(t, s.untrue == 0, "%d requests ran although they were said not to", s.untrue)
				assert.Check(t, s.cut == 0, "%d streams cut that were sent when the daemon took only what ends in time", s.cut)
				assert.Check(t, s.untold == 0, "%d requests did not run, and their callers do not know", s.untold)
				t.Logf("answered %v", s.answered)
				assert.Check(t, time.Since(s.signal) <= stopGrace, "the end took %v", time.Since(s.signal))
			})
		})
	}
}

// stall makes all upstreams pause, or go on.
func (h *harness) stall(on bool) {
	for _, w := range h.workers {
		w.Stall(on)
	}
}

// stopCallers sends requests around a planned stop and counts what their callers got.
type stopCallers struct {
	h      *harness
	target string
	header map[string]string
	signal time.Time
	wg     sync.WaitGroup

	mu       sync.Mutex
	answered map[int]int
	// silent counts requests whose connection closed without a response, untrue those that
	// were rejected as not run although they ran. untold counts those that were sent after the
	// signal, did not run and were answered at the end of the daemon as if they may have.
	silent int
	untrue int
	untold int
	// cut counts streams that were sent three seconds after the signal or later and broke off.
	cut int
}

func (s *stopCallers) send(id string) {
	conn, err := s.h.dialEntry(s.h.entryAddr)
	if err != nil {
		// The listener has closed.
		return
	}
	sent := time.Now()
	r := s.h.exchange(conn, id, http.MethodPost, fmt.Sprintf("/%s/%s", s.target, id), s.header, 40*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[r.status]++
	if r.status == 0 && time.Since(sent) > 200*time.Millisecond {
		s.silent++
	}
	if r.status == http.StatusServiceUnavailable && s.h.pool.Runs(id) > 0 {
		s.untrue++
	}
	if r.status == http.StatusOK && r.err != nil && sent.Sub(s.signal) >= 3*time.Second {
		s.cut++
	}
	if r.body == "daemon ends before the response\n" && s.h.pool.Runs(id) == 0 && sent.After(s.signal) {
		s.untold++
	}
}

// A daemon is stopped as planned while calls wait in its room for the only upstream. Guards against calls
// that count after the end of the daemon's requests, so that other daemons leave their
// places to it.
func TestPlannedStopStrandsNoPlace(t *testing.T) {
	run(t, func(h *harness) {
		h.start("s1", callService, btworker.Config{Work: 250 * time.Millisecond, Slots: 1, Queue: 2})
		h.orders(1).wg.Wait()
		stop := h.prepareStop()
		all := h.orders(20)
		time.Sleep(50 * time.Millisecond)
		load := h.accounts.OwnLoads()["s1"]
		assert.Check(t, load.Waiting > 0 && load.Calls != nil, "%+v", load)
		stop.run()
		all.wg.Wait()
		for _, r := range all.got {
			runs := h.pool.Runs(r.id)
			assert.Check(t, r.err == nil && (r.status == http.StatusServiceUnavailable) == (runs == 0), "%s: %d %v, %d runs", r.id, r.status, r.err, runs)
		}
		left := h.accounts.Occupancy(h.table.Snapshot(), callService)
		assert.Check(t, left.OwnWaiting == 0 && left.OwnRunning == 0 && left.OwnCalls == nil, "%+v", left)
	})
}
