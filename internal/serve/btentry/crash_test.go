package btentry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

const (
	// stableWindow is the time from a crash on after which sends of a fatal request
	// count, and maxLateSends the number of those that may still reach upstreams.
	stableWindow = 3 * time.Second
	maxLateSends = 3
	// restartTime is how long an upstream is away after a crash.
	restartTime = 3 * time.Second
)

// fatalFleet is a fleet whose upstreams crash under some requests.
type fatalFleet struct {
	h *harness

	mu sync.Mutex
	// sends are the times at which fatal requests reached upstreams.
	sends []time.Time
	// sound are the responses to sound requests, in the order of their end.
	sound []response
	// rarePart is a part of every tenth sound prompt, empty for none.
	rarePart string
	// each is called after each of the requests that repeat sends.
	each func(i int)
}

// newFatalFleet starts two more daemons, and engines and shops that crash under each
// request that is fatal.
func newFatalFleet(h *harness, fatal func(*http.Request) bool) *fatalFleet {
	return newFatalFleetOf(h, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: eventGap}, fatal)
}

// newFatalFleetOf is newFatalFleet with engines of a kind.
func newFatalFleetOf(h *harness, engine btworker.Config, fatal func(*http.Request) bool) *fatalFleet {
	f := &fatalFleet{h: h}
	for i := range 2 {
		h.startDaemon(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 2)}), 80))
	}
	for i := range 8 {
		f.start(fmt.Sprintf("e%d", i+1), engineService, engine, fatal)
	}
	for i := range 4 {
		f.start(fmt.Sprintf("s%d", i+1), callService, btworker.Config{Work: 20 * time.Millisecond}, fatal)
	}
	return f
}

func (f *fatalFleet) start(name, service string, cfg btworker.Config, fatal func(*http.Request) bool) {
	cfg.Fatal = func(r *http.Request, _ string) bool {
		if !fatal(r) {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sends = append(f.sends, time.Now())
		return true
	}
	cfg.Restart = restartTime
	cfg.Restarted = func(w *btworker.Worker) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.h.workers[name] = w
		f.h.upstreams[name].Started = time.Now()
		f.h.publish()
	}
	f.h.start(name, service, cfg)
}

// repeat sends a request count times, one each gap, to the daemons in turn. Sound
// requests of the same route are sent beside it.
func (f *fatalFleet) repeat(count int, gap time.Duration, target func(i int) string, header func(i int) map[string]string) []response {
	got := make([]response, count)
	var all sync.WaitGroup
	for i := range count {
		addr := f.h.daemons[i%len(f.h.daemons)].addr
		all.Go(func() {
			got[i] = f.h.sendTo(addr, fmt.Sprintf("fatal-%d", i), http.MethodPost, target(i), header(i), 10*time.Second)
		})
		all.Go(func() {
			route := target(i)[:strings.LastIndex(target(i), "/")]
			r := f.h.sendTo(addr, fmt.Sprintf("sound-%d", i), http.MethodPost, fmt.Sprintf("%s/sound-%d", route, i), f.soundHeader(i), 10*time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sound = append(f.sound, r)
		})
		time.Sleep(gap)
		if i%3 == 0 {
			f.h.shareAll()
		}
		if f.each != nil {
			f.each(i)
		}
	}
	all.Wait()
	// The last upstream that has crashed starts again before the test ends.
	time.Sleep(2 * restartTime)
	return got
}

func (f *fatalFleet) soundHeader(i int) map[string]string {
	header := soundHeader(i)
	if f.rarePart != "" && i%10 == 9 {
		header[dialect.PromptParts] = fmt.Sprintf("aa:80,%s:400,%x:90", f.rarePart, 0x1000+i)
	}
	return header
}

// soundHeader returns the header of a sound request, whose prompt shares its first part
// with all others.
func soundHeader(i int) map[string]string {
	return map[string]string{dialect.TokenCounts: "3000,900", dialect.PromptParts: fmt.Sprintf("aa:80,%x:400,%x:90", i%5, 0x1000+i)}
}

// crash ends upstreams, which start again.
func (f *fatalFleet) crash(names ...string) {
	for _, name := range names {
		f.mu.Lock()
		w := f.h.workers[name]
		f.mu.Unlock()
		w.CrashAndRestart()
	}
}

// lateSends returns the number of fatal requests that reached upstreams later than
// stableWindow after the given crash.
func (f *fatalFleet) lateSends(crashes int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sends) <= crashes {
		return 0
	}
	late := 0
	after := f.sends[crashes-1].Add(stableWindow)
	for _, at := range f.sends {
		if at.After(after) {
			late++
		}
	}
	return late
}

// rejectedSound returns the number of sound requests that were rejected as quarantined.
func (f *fatalFleet) rejectedSound() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.sound {
		if r.status == http.StatusBadRequest {
			n++
		}
	}
	return n
}

// checkContained fails the test unless upstreams got at most maxLateSends fatal requests
// later than stableWindow after the given crash, and sound requests were served once the
// last upstream had returned.
func (f *fatalFleet) checkContained(crashes int) {
	f.h.t.Helper()
	f.checkLateSends(crashes)
	served, last := f.servedLast()
	assert.Check(f.h.t, served == last, "%d of %d sound requests served in the end", served, last)
}

// checkLateSends fails the test unless upstreams got at most maxLateSends fatal requests later than
// stableWindow after the given crash.
func (f *fatalFleet) checkLateSends(crashes int) {
	f.h.t.Helper()
	late := f.lateSends(crashes)
	assert.Check(f.h.t, late <= maxLateSends, "%d sends %v after crash %d; %d in all", late, stableWindow, crashes, len(f.sends))
}

// servedLast returns how many of the last half of the sound requests were served, and their number.
func (f *fatalFleet) servedLast() (served, last int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	half := f.sound[len(f.sound)/2:]
	for _, r := range half {
		if r.err == nil && r.status == http.StatusOK {
			served++
		}
	}
	return served, len(half)
}

// Guards against a request that ends one upstream after the other because its caller
// repeats it at daemons that do not know of the crashes.
func TestFatalRequestIsContained(t *testing.T) {
	for _, route := range []string{"guide", "tag", "check", "order"} {
		t.Run(route, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newFatalFleet(h, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/fatal") })
				f.repeat(40, 400*time.Millisecond, func(int) string { return "/" + route + "/fatal" }, soundHeader)
				f.checkContained(3)
			})
		})
	}
}

// Guards against a containment that fails beside other faults: a daemon that restarts and
// has forgotten all, one that is cut off from the others, records that arrive late, and
// engines that crash for other reasons.
func TestFatalRequestIsContainedBesideFaults(t *testing.T) {
	for name, prepare := range map[string]func(f *fatalFleet){
		"restart": func(f *fatalFleet) {
			f.each = func(i int) {
				// A restart breaks the sound requests at its daemon.
				if i == 7 || i == 15 {
					f.h.restart(f.h.daemons[2])
				}
			}
		},
		"cut": func(f *fatalFleet) {
			f.h.daemons[2].isolated.Store(true)
			f.each = func(i int) { f.h.daemons[2].isolated.Store(i < 20) }
		},
		"late records": func(f *fatalFleet) { f.h.recordDelay = 2 * time.Second },
		"other crashes": func(f *fatalFleet) {
			f.each = func(i int) {
				if i%10 == 4 {
					f.crash("e1", "e2")
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newFatalFleet(h, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/fatal") })
				prepare(f)
				f.repeat(40, 400*time.Millisecond, func(int) string { return "/tag/fatal" }, soundHeader)
				f.checkContained(3)
			})
		})
	}
}

// Guards against a test above that passes although nothing is contained.
func TestFatalRequestWithoutSuspects(t *testing.T) {
	run(t, func(h *harness) {
		f := newFatalFleet(h, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/fatal") })
		for _, d := range h.daemons {
			d.handler.Suspects = nil
		}
		f.repeat(40, 400*time.Millisecond, func(int) string { return "/tag/fatal" }, soundHeader)
		assert.Assert(t, f.lateSends(3) > maxLateSends)
	})
}

// hasPart returns a function that reports whether a request's prompt has one of the parts,
// its last part aside.
func hasPart(ids ...string) func(*http.Request) bool {
	return func(r *http.Request) bool {
		parts := strings.Split(r.Header.Get(dialect.PromptParts), ",")
		return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
			id, _, _ := strings.Cut(p, ":")
			return slices.Contains(ids, id)
		})
	}
}

// partHeader returns a function for the headers of requests whose prompts have one of some
// parts in turn, each written as in the header, and share their other parts with sound requests.
func partHeader(ids ...string) func(i int) map[string]string {
	return func(i int) map[string]string {
		return map[string]string{dialect.TokenCounts: "3000,900", dialect.PromptParts: fmt.Sprintf("aa:80,%s:300,%x:400,%x:90", ids[i%len(ids)], i%5, 0x2000+i)}
	}
}

// Guards against requests that have nothing in common but a part of their prompts and end
// one engine after the other, and against sound requests that are rejected for the parts
// they share with them.
func TestFatalPartIsContained(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   string
		ids     []string
		prepare func(f *fatalFleet)
	}{
		{"guide", "guide", []string{"dead"}, nil},
		{"tag", "tag", []string{"dead"}, nil},
		{"two parts", "tag", []string{"dead", "bad"}, nil},
		{"rare subject", "guide", []string{"77:100,dead"}, func(f *fatalFleet) { f.rarePart = "77" }},
		{"other crashes", "tag", []string{"dead"}, func(f *fatalFleet) {
			f.each = func(i int) {
				if i%10 == 4 && i < 30 {
					f.crash("e1", "e2", "e3", "e4")
				}
			}
		}},
		{"restart", "guide", []string{"dead"}, func(f *fatalFleet) {
			f.each = func(i int) {
				if i == 7 || i == 15 {
					f.h.restart(f.h.daemons[2])
				}
			}
		}},
		{"late records", "guide", []string{"dead"}, func(f *fatalFleet) { f.h.recordDelay = 2 * time.Second }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newFatalFleet(h, hasPart("dead", "bad"))
				if c.prepare != nil {
					c.prepare(f)
				}
				f.repeat(50, 400*time.Millisecond, func(i int) string { return fmt.Sprintf("/%s/fatal-%d", c.route, i) }, partHeader(c.ids...))
				f.checkContained(5 * len(c.ids))
				assert.Check(t, f.rejectedSound() == 0, "sound requests rejected as quarantined")
			})
		})
	}
}

// Guards against a quarantine of what sound requests share when engines crash for other
// reasons, all at once and one after the other.
func TestSoundRequestsPassAfterCrashes(t *testing.T) {
	for name, each := range map[string]func(f *fatalFleet, i int){
		"all at once": func(f *fatalFleet, i int) {
			if i%12 == 5 {
				f.crash("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8")
			}
		},
		"in turn": func(f *fatalFleet, i int) { f.crash(fmt.Sprintf("e%d", i%8+1)) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(h *harness) {
				f := newFatalFleet(h, func(*http.Request) bool { return false })
				f.each = func(i int) { each(f, i) }
				f.repeat(50, 150*time.Millisecond, func(i int) string { return fmt.Sprintf("/tag/more-%d", i) }, soundHeader)
				assert.Check(t, f.rejectedSound() == 0, "sound requests rejected as quarantined")
			})
		})
	}
}

// Guards against sound requests that are rejected for long after a time in which upstreams
// crashed under whatever they were sent.
func TestSoundRequestsPassAfterCrashLoop(t *testing.T) {
	run(t, func(h *harness) {
		crashing := true
		f := newFatalFleet(h, func(*http.Request) bool { return crashing })
		sound := func() int {
			f.sound = nil
			f.repeat(10, 100*time.Millisecond, func(i int) string { return fmt.Sprintf("/tag/more-%d", i) }, soundHeader)
			served := 0
			for _, r := range f.sound {
				if r.err == nil && r.status == http.StatusOK {
					served++
				}
			}
			return served
		}
		assert.Equal(t, sound(), 0)
		crashing = false
		// The last upstream returns, and the time until a trial passes.
		time.Sleep(restartTime + 6*time.Second)
		sound()
		assert.Equal(t, sound(), 10)
	})
}

// Guards against a fatal request that ends three more upstreams after all daemons have
// restarted at once, beside those that its trials have ended.
func TestFatalRequestIsContainedAfterRestartOfAll(t *testing.T) {
	run(t, func(h *harness) {
		f := newFatalFleet(h, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/fatal") })
		f.each = func(i int) {
			if i == 30 {
				h.restartAll()
				// Sends of a daemon count once it has run for stableWindow.
				time.Sleep(stableWindow)
				h.shareAll()
			}
		}
		f.repeat(80, 400*time.Millisecond, func(int) string { return "/tag/fatal" }, soundHeader)
		f.checkContained(3)
	})
}

// All engines of a failure domain end at the same moment, while several of them read prompts with
// a part that no other request has had for some seconds. Guards against that part being
// quarantined for crashes that had one cause of their own.
func TestLossOfDomainQuarantinesNoPart(t *testing.T) {
	run(t, func(h *harness) {
		f := newFatalFleet(h, func(*http.Request) bool { return false })
		header := func(i int) map[string]string {
			return map[string]string{dialect.TokenCounts: "3000,900", dialect.PromptParts: fmt.Sprintf("cc:400,%x:90", 0x2000+i)}
		}
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				f.h.sendTo(f.h.daemons[i%3].addr, fmt.Sprintf("read-%d", i), http.MethodPost, fmt.Sprintf("/guide/read-%d", i), header(i), 10*time.Second)
			})
		}
		time.Sleep(50 * time.Millisecond)
		f.crash("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8")
		all.Wait()
		time.Sleep(restartTime + 500*time.Millisecond)
		rejected := 0
		for i := range 10 {
			got := f.h.sendTo(f.h.daemons[i%3].addr, fmt.Sprintf("later-%d", i), http.MethodPost, fmt.Sprintf("/guide/later-%d", i), header(100+i), 10*time.Second)
			if got.status == http.StatusBadRequest {
				rejected++
			}
		}
		assert.Check(t, rejected == 0, "%d of 10 sound requests rejected as quarantined", rejected)
		time.Sleep(2 * restartTime)
	})
}
