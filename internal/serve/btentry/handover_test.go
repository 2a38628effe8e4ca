package btentry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

var handoverSeeds = flag.Uint64("handover.seeds", 150, "seeds of TestHandovers")

// overlapBound is the time for which an engine may work on a generation that goes on at
// another one.
const overlapBound = 400 * time.Millisecond

// longestLoss is the longest time for which the daemon does not reach an engine.
const longestLoss = 2 * time.Second

// A leaving engine loses the path to the daemon while it moves its generation. Guards
// against a generation that goes on from its copy and from its move, to the end.
func TestStreamHasOneSuccessor(t *testing.T) {
	for moveTime := 150 * time.Millisecond; moveTime < 500*time.Millisecond; moveTime += 10 * time.Millisecond {
		t.Run(moveTime.String(), func(t *testing.T) {
			run(t, func(h *harness) {
				h.pool.CopyDelay, h.pool.MoveTime = 100*time.Millisecond, moveTime
				for i := range 3 {
					h.startGenerator(fmt.Sprintf("e%d", i+1), 250*time.Millisecond)
				}
				after(700*time.Millisecond, func() {
					name := h.runningEngine()
					h.setLeaving(name)
					h.losePath(name, 300*time.Millisecond)
				})
				got := h.generate("/guide/a")
				h.checkComplete(got)
				h.checkRuns(got)
			})
		})
	}
}

// A resumable stream is sent to a second engine, and the first one goes on before it.
// Guards against streams that begin with one run and end with another.
func TestStreamIsOfOneRun(t *testing.T) {
	run(t, func(h *harness) {
		h.startEngines(2)
		got := h.requestOfTwo()
		h.checkComplete(got)
		assert.Equal(t, h.pool.Runs(got.id), 2)
		(&handovers{harness: h}).checkOrder(got, "")
		h.checkRuns(got)
	})
}

// requestOfTwo sends a resumable request that two engines begin at one time.
func (h *harness) requestOfTwo() response {
	h.stall(true)
	after(1300*time.Millisecond, func() { h.stall(false) })
	return h.request(http.MethodPost, "/tag/a", map[string]string{dialect.TokenCounts: "100,40"}, 6*time.Second)
}

// The first engine of a resumable stream crashes before its response while a second one
// runs the request. Guards against ending the request with the first one.
func TestStreamGoesOnAtSecondEngine(t *testing.T) {
	run(t, func(h *harness) {
		first := h.start("e1", engineService, btworker.Config{Events: streamEvents, Slots: 1, Read: 100 * time.Millisecond, Gap: eventGap})
		go h.generate("/guide/a")
		after(200*time.Millisecond, func() { h.startGenerator("e2", 600*time.Millisecond) })
		after(1500*time.Millisecond, first.Crash)
		time.Sleep(100 * time.Millisecond)
		h.checkComplete(h.request(http.MethodPost, "/tag/a", map[string]string{dialect.TokenCounts: "100,40"}, 6*time.Second))
	})
}

// Engines leave, crash, stall and lose the path to the daemon, callers leave and the daemon
// ends, at random times. Guards against two engines that work on one generation and against
// streams with pieces of two runs.
func TestHandovers(t *testing.T) {
	for seed := range *handoverSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(h *harness) { (&handovers{harness: h, rng: rand.New(rand.NewPCG(seed, 1))}).run() })
		})
	}
}

// The same faults at engines that never notice a closed connection. Guards against generations
// that go on elsewhere while the engine before works on.
func TestHandoversOfDeafEngines(t *testing.T) {
	for seed := range *handoverSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(h *harness) { (&handovers{harness: h, rng: rand.New(rand.NewPCG(seed, 1)), deaf: true}).run() })
		})
	}
}

// The same faults at engines whose streams end with their connections. Guards against streams that
// an engine has closed by order and that look complete.
func TestHandoversOfUnframedEngines(t *testing.T) {
	for seed := range *handoverSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(h *harness) { (&handovers{harness: h, rng: rand.New(rand.NewPCG(seed, 1)), unframed: true}).run() })
		})
	}
}

// handovers is one run of TestHandovers.
type handovers struct {
	*harness
	rng *rand.Rand
	// unframed streams have neither a length nor chunks.
	unframed bool
	// deaf engines never notice a closed connection, and work on when a caller leaves.
	deaf bool
	// disturbing keeps faults from beginning at the same time.
	disturbing sync.Mutex
}

func (h *handovers) run() {
	h.pool.CopyDelay, h.pool.MoveTime = h.between(50, 1500), h.between(20, 700)
	engines := 2 + h.rng.IntN(4)
	for i := range engines {
		w := h.start(fmt.Sprintf("e%d", i+1), engineService, btworker.Config{Events: streamEvents, Read: h.between(20, 1500), Gap: eventGap, Unframed: h.unframed})
		if h.deaf {
			w.DeafenForGood()
		}
	}
	for range 1 + h.rng.IntN(6) {
		h.disturb(fmt.Sprintf("e%d", 1+h.rng.IntN(engines)))
	}
	if h.rng.IntN(20) == 0 && !h.deaf {
		after(h.between(500, 3000), h.daemons[0].stop)
	}
	var all sync.WaitGroup
	for i := range 1 + h.rng.IntN(4) {
		target, timeout, pause := "/guide/a", 40*time.Second, h.between(0, 400)
		header := map[string]string{dialect.TokenCounts: "3000,900"}
		if h.rng.IntN(2) == 0 {
			target, timeout = "/tag/a", 7*time.Second
			if h.rng.IntN(4) == 0 {
				header[dialect.LastEvent] = "7"
			}
		}
		if h.rng.IntN(5) == 0 {
			timeout = h.between(100, 2500)
		}
		id := fmt.Sprint("stream-", i)
		all.Go(func() {
			time.Sleep(pause)
			c, err := h.dialEntry(h.entryAddr)
			if err != nil {
				// The daemon has ended.
				return
			}
			got := h.exchange(c, id, http.MethodPost, target, header, timeout)
			h.checkOrder(got, header[dialect.LastEvent])
			if h.deaf {
				h.checkRunsBeside(got)
			} else {
				h.checkRuns(got)
			}
		})
	}
	all.Wait()
}

// disturb makes one fault of an engine begin at a random time.
func (h *handovers) disturb(name string) {
	w, length := h.workers[name], h.between(50, int(longestLoss.Milliseconds()))
	lose, cut := func() { h.losePath(name, length) }, func() { h.net.Cut(h.entryAddr.Addr(), w.Addr().Addr()) }
	if h.unframed {
		// Without a reset, the stand-in network ends a connection that has lost bytes like a whole one.
		cut = func() { h.net.Reset(h.entryAddr.Addr(), w.Addr().Addr()) }
		lose = func() {
			h.losePath(name, length)
			cut()
		}
	}
	var fault func()
	switch h.rng.IntN(6) {
	case 0, 1:
		lost := h.rng.IntN(2) == 0
		fault = func() {
			h.setLeaving(name)
			if lost {
				lose()
			}
		}
	case 2:
		fault = w.Crash
	case 3:
		fault = func() {
			w.Stall(true)
			after(length, func() { w.Stall(false) })
		}
	case 4:
		fault = lose
	default:
		fault = cut
	}
	after(h.between(0, 2500), func() {
		h.disturbing.Lock()
		defer h.disturbing.Unlock()
		fault()
	})
}

// between returns a random time of so many milliseconds.
func (h *handovers) between(least, most int) time.Duration {
	return time.Duration(least+h.rng.IntN(most-least)) * time.Millisecond
}

// startGenerator starts an engine whose first event takes some time.
func (h *harness) startGenerator(name string, read time.Duration) *btworker.Worker {
	return h.start(name, engineService, btworker.Config{Events: streamEvents, Read: read, Gap: eventGap})
}

// loss is the time in which the path between the daemon and an engine is lost.
type loss struct {
	engine   string
	from, to time.Time
}

// reachedFrom returns when the daemon reaches an engine, a time or up to overlapBound later
// if the path is not lost meanwhile, and else the time at which the path is back.
func (h *harness) reachedFrom(engine string, from time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.losses {
		if l.engine == engine && l.from.Sub(from) < overlapBound && l.to.After(from) {
			from = l.to
		}
	}
	return from
}

// losePath drops everything between the daemon and an engine for a time.
func (h *harness) losePath(name string, d time.Duration) {
	entry, addr := h.entryAddr.Addr(), h.upstreams[name].Addr.Addr()
	block := func(on bool) {
		h.net.Block(entry, addr, on)
		h.net.Block(addr, entry, on)
		h.workers[name].Deafen(on)
	}
	h.mu.Lock()
	h.losses = append(h.losses, loss{name, time.Now(), time.Now().Add(d)})
	h.mu.Unlock()
	block(true)
	after(d, func() { block(false) })
}

// spans returns the work of engines on a request, in the order in which it began.
func (h *harness) spans(id string) []btworker.Span {
	return slices.DeleteFunc(h.pool.Spans(), func(s btworker.Span) bool { return s.ID != id })
}

// checkRuns fails the test if engines work on a request beside those at which it went on,
// or after its end, which is now.
func (h *harness) checkRuns(got response) {
	h.t.Helper()
	ended := time.Now()
	h.checkRunsBeside(got)
	for _, a := range h.spans(got.id) {
		if late := a.To.Sub(h.reachedFrom(a.Worker, ended)); a.To.IsZero() || late > overlapBound {
			h.t.Errorf("%s works on %s for %v after its end", a.Worker, a.ID, late)
		}
	}
}

// checkRunsBeside fails the test if engines work on a request beside those at which it went on.
func (h *harness) checkRunsBeside(got response) {
	h.t.Helper()
	time.Sleep(longestLoss + overlapBound)
	spans := h.spans(got.id)
	for i, a := range spans {
		a.To = h.workedUntil(a, spans[i+1:])
		for j, b := range spans[i+1:] {
			from, either := b.From, false
			if a.Run != b.Run && a.Last == b.Last && (got.firstEventAt.IsZero() || !got.firstEventAt.Before(from)) {
				// Both may run until the caller has got the first event.
				from, either = got.firstEventAt, true
			}
			if from.IsZero() || a.To.Sub(h.reachedFrom(a.Worker, from)) <= overlapBound {
				continue
			}
			if !either || h.workedUntil(b, spans[i+j+2:]).Sub(h.reachedFrom(b.Worker, from)) > overlapBound {
				h.t.Errorf("%s works on %s for %v beside %s (runs %d after %d, %d after %d)", a.Worker, a.ID, a.To.Sub(from), b.Worker, a.Run, a.Last, b.Run, b.Last)
			}
		}
	}
}

// workedUntil returns when an engine ended its work, or when it was asked once more for the request,
// if it notices no closed connection: from then on the generation is there, and the engine knows of
// both.
func (h *harness) workedUntil(a btworker.Span, later []btworker.Span) time.Time {
	if a.To.IsZero() {
		a.To = time.Now()
	}
	for _, b := range later {
		if b.Worker == a.Worker && h.workers[a.Worker].Deaf() && b.From.Before(a.To) {
			return b.From
		}
	}
	return a.To
}

// checkOrder fails the test if pieces are missing or come twice, if a stream looks complete
// that is not, or if a piece of another run follows that did not begin after the piece before.
func (h *handovers) checkOrder(got response, last string) {
	h.t.Helper()
	n, run := 0, 0
	_, _ = fmt.Sscan(last, &n)
	for line := range strings.Lines(got.body) {
		var event, r, from int
		if _, err := fmt.Sscanf(line, "data: event %d, run %d from %d", &event, &r, &from); err != nil {
			continue
		}
		if event != n+1 {
			h.t.Errorf("event %d of %s after %d", event, got.id, n)
		}
		if run != 0 && r != run && from != n {
			h.t.Errorf("run %d of %s from event %d goes on after event %d of run %d", r, got.id, from, n, run)
		}
		n, run = event, r
	}
	if got.err == nil && got.status == http.StatusOK && n != streamEvents {
		h.t.Errorf("%s is complete after %d events", got.id, n)
	}
}
