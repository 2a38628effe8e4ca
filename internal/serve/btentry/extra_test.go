package btentry_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

// refusalOf is the refusal of a request.
func refusalOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 503 No\r\n%s: %s\r\n%s: full\r\nContent-Length: %d\r\n\r\n%s", dialect.RequestID, id, dialect.NotRun, len(body), body)
}

// A resumable stream whose engine leaves goes on from its copy at the backup engine, which refuses it
// once, since the copy has not arrived, and sends the refusal twice. Guards against the second one that
// is taken for the answer to the repeat: the stream would break. No address has two ids here.
func TestCopyOfRefusalIsNoAnswerToRepeatedHandover(t *testing.T) {
	for d := 1301 * time.Millisecond; d < 1315*time.Millisecond; d += time.Millisecond {
		run(t, func(h *harness) {
			h.pool.CopyDelay = d
			for _, n := range []string{"e1", "e2"} {
				h.startEngine(n).CopyRefusals(true)
			}
			time.Sleep(time.Second)
			after(1300*time.Millisecond, func() {
				for n, w := range h.workers {
					if w.Active() > 0 {
						h.setLeaving(n)
						return
					}
				}
			})
			got := h.generate("/tag/a")
			assert.Check(t, got.err == nil && len(got.events) == streamEvents, "copy after %v: %v, %d events", d, got.err, len(got.events))
			assert.Check(t, h.pool.Runs(got.id) == 1, "copy after %v: run anew", d)
		})
	}
}

// An upstream runs a HEAD request and answers it, after the copy of an earlier refusal whose body looks
// like a refusal of the HEAD. Guards against the body that is taken for the answer.
func TestBodyOfCopyIsNoAnswerToHead(t *testing.T) {
	run(t, func(h *harness) {
		refusal := refusalOf("first", refusalOf("second", ""))
		u := h.startRaw("r1", callService, func(w io.Writer, id string, _ int) bool {
			_, _ = io.WriteString(w, refusal)
			if id != "first" {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(w, head(id, "Content-Length: 5\r\n"))
			}
			return true
		})
		defer u.l.Close()
		h.send("first", http.MethodPost, "/order/a", nil, 5*time.Second)
		got := h.send("second", http.MethodHead, "/order/a", nil, 5*time.Second)
		assert.Check(t, !btworker.PromisesNotRun(got.status), "answered %d, but it ran", got.status)
	})
}

// An upstream repeats the refusal of an earlier request without end. Guards against a daemon that reads
// copies, and logs them, until the deadline.
func TestCopiesWithoutEnd(t *testing.T) {
	run(t, func(h *harness) {
		u := h.startRaw("r1", callService, func(w io.Writer, id string, before int) bool {
			if before == 0 {
				_, err := io.WriteString(w, refusalOf(id, ""))
				return err == nil
			}
			return repeat(w, refusalOf("first", ""), time.Millisecond)
		})
		defer u.l.Close()
		h.send("first", http.MethodPost, "/order/a", nil, 5*time.Second)
		started := time.Now()
		got := h.send("second", http.MethodPost, "/order/a", nil, 5*time.Second)
		assert.Check(t, got.status == http.StatusBadGateway, "status %d", got.status)
		assert.Check(t, time.Since(started) < 50*time.Millisecond, "after %v", time.Since(started))
	})
}

// Connections remember the newest requests, whose ids callers choose. Guards against ids that take memory
// which is counted nowhere.
func TestLongIDsAreNotKept(t *testing.T) {
	run(t, func(h *harness) {
		const upstreams, conns, long = 8, 6, 14 << 10
		for i := range upstreams {
			u := h.startRaw(fmt.Sprintf("r%d", i), callService, func(w io.Writer, id string, _ int) bool {
				time.Sleep(10 * time.Millisecond)
				_, err := io.WriteString(w, head(id, "Content-Length: 0\r\nKeep-Alive: timeout=60\r\n"))
				return err == nil
			})
			defer u.l.Close()
		}
		heap := func() int64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&m)
			return int64(m.HeapAlloc)
		}
		requests := func(rounds int, pad string) {
			for n := range rounds {
				var wg sync.WaitGroup
				for i := range upstreams * conns {
					wg.Go(func() {
						h.send(fmt.Sprintf("%d-%d-%s", n, i, pad), http.MethodPost, "/order/a", nil, 5*time.Second)
					})
				}
				wg.Wait()
				time.Sleep(100 * time.Millisecond)
			}
		}
		requests(10, "")
		before := heap()
		requests(10, strings.Repeat("i", long))
		grown := heap() - before
		assert.Check(t, grown < 1<<20, "heap grew by %d KiB, counted %d", grown>>10, h.handler.Memory.Kept())
	})
}

// A caller sends a request again with the same id, at the same daemon, after a refusal. Guards against
// the copy of the first one's refusal that is taken for the answer to the second one, which runs.
func TestCopyOfRefusalIsNoAnswerToRequestWithItsID(t *testing.T) {
	for _, target := range []string{"/order/a", "/check/a", "/tag/a"} {
		t.Run(target, func(t *testing.T) {
			run(t, func(h *harness) {
				workers := []*btworker.Worker{h.startShop("s1"), h.startEngine("e1")}
				wrong := 0
				for n := range 20 {
					id := fmt.Sprintf("same-%d", n)
					for _, w := range workers {
						w.CopyRefusals(true)
						w.Set(btworker.Full)
					}
					h.send(id, http.MethodPost, target, nil, 10*time.Second)
					for _, w := range workers {
						w.Set(btworker.Healthy)
					}
					got := h.send(id, http.MethodPost, target, nil, 10*time.Second)
					if got.err == nil && btworker.PromisesNotRun(got.status) && h.pool.Runs(id) > 0 {
						wrong++
					}
					time.Sleep(time.Second)
				}
				assert.Check(t, wrong == 0, "%d of 20 answered as not run, and ran", wrong)
			})
		})
	}
}
