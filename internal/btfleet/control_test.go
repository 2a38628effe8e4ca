package btfleet_test

import (
	"encoding/json"
	"flag"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/btfleet"
)

// crashResends is the number of times that the caller of a poison request goes
// over all entries.
const crashResends = 2

var restartAfter = flag.Duration("fleet.restart", 300*time.Millisecond, "time until a crashed engine starts again")

// poison sends a request that crashes its engine to one entry and returns the
// code of the error.
func (b *bench) poison(entry *btfleet.Process) bramleytack.Code {
	b.t.Helper()
	body := `{"model":"` + btfleet.Model + `","messages":[{"role":"user","content":"fold [[tokens=40]] [[crash=3]]"}]}`
	url := "http://" + entry.Addresses.Listen.String() + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+b.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bramleytack-Timeout", "5s")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	var answer struct {
		Error struct {
			Code bramleytack.Code `json:"code"`
		} `json:"error"`
	}
	assert.NilError(b.t, json.NewDecoder(resp.Body).Decode(&answer))
	assert.Assert(b.t, answer.Error.Code != "", "the request completed")
	return answer.Error.Code
}

// Guards against a request that crashes one engine after another when its
// caller resends it to all entries.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		kill bool
	}{{"resent", false}, {"resent, entry killed", true}} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 4, EngineRestartAfter: *restartAfter})
			w := b.traffic(b.short())
			for i := range crashResends * len(b.Daemons) {
				p := b.Daemons[i%len(b.Daemons)]
				if p.Running() {
					t.Logf("entry %s: %s", p.Name, b.poison(p))
				}
				if test.kill && i == 1 {
					b.check(b.Daemons[i].Kill())
				}
			}
			w.end()
			crashes, overloads := 0, 0
			for _, p := range b.Engines {
				s, err := b.EngineStats(t.Context(), p)
				assert.NilError(t, err)
				crashes += s.Deaths - s.ColdDeaths
				overloads += s.ColdDeaths
			}
			t.Logf("%d crashes, %d cold engines overloaded", crashes, overloads)
			assert.Check(t, crashes >= 1 && crashes <= 2, "%d crashes", crashes)
			assert.Check(t, overloads == 0, "%d cold engines were overloaded", overloads)
			for _, p := range b.Daemons {
				if p.Running() {
					assert.Equal(t, b.poison(p), bramleytack.CodeQuarantined, "at %s", p.Name)
				}
			}
			for _, r := range w.reports {
				assert.Equal(t, r.Streams.Codes[bramleytack.CodeQuarantined], 0, "an innocent request was quarantined")
			}
		})
	}
}

// rollingRestart restarts all daemons in turn under load, while the platform
// has a fault. No request may be cut.
func rollingRestart(t *testing.T, store string) {
	b := start(t, btfleet.Config{Engines: 6, EntriesValidFor: time.Second})
	b.check(b.SetFault(t.Context(), b.Platform, "/debug/store", store))
	l := b.short()
	l.Silence = 20 * time.Second
	w := b.traffic(l)
	var slowest time.Duration
	for _, p := range b.Daemons {
		began := time.Now()
		b.check(p.Terminate())
		assert.NilError(t, p.Await(t.Context()), "%s", p.Tail())
		slowest = max(slowest, time.Since(began))
		b.restart(p)
		assert.NilError(t, b.AwaitRevision(t.Context(), 1))
	}
	w.end()
	t.Logf("slowest end of a daemon: %v", slowest)
	for _, r := range w.reports {
		assert.NilError(t, r.AllComplete())
		assert.Equal(t, r.Streams.Repeats+r.Orders.Repeats, 0, "requests were cut: %v %v", r.Streams.Examples, r.Orders.Examples)
	}
}

// Guards against a rolling restart that cuts a request.
func TestRollingRestart(t *testing.T) { rollingRestart(t, `{}`) }

// Guards against daemons that refuse known callers while they wait for their
// first configuration.
func TestRollingRestartSlowPlatform(t *testing.T) { rollingRestart(t, `{"latency":200000000}`) }

// assertOneHolder checks that one daemon holds the lease, by a newer fencing
// number than the given one.
func (b *bench) assertOneHolder(old bramleytack.Fence) {
	b.t.Helper()
	var holders []string
	for _, p := range b.Daemons {
		if !p.Running() {
			continue
		}
		s, err := b.Lease(b.t.Context(), p)
		assert.NilError(b.t, err)
		if s.Held {
			holders = append(holders, p.Name)
			assert.Assert(b.t, s.Fence > old, "%s holds the lease with the old fencing number", p.Name)
		}
	}
	assert.Equal(b.t, len(holders), 1, "holders %v", holders)
}

// Guards against two holders of a lease and against work that is lost while
// the coordinator does not run.
func TestCoordinatorFrozen(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		kill bool
	}{{"frozen", false}, {"frozen, owner killed", true}} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 6})
			l := b.short()
			l.Silence = 2 * time.Second
			w := b.traffic(l)
			c := b.coordinator()
			old, err := b.Lease(t.Context(), c)
			assert.NilError(t, err)
			_, owner := b.upstreamOfOther(c)
			t.Cleanup(func() { _ = c.Continue() })
			b.check(c.Freeze())
			if test.kill {
				b.check(owner.Kill())
			}
			b.sleep(15 * time.Second)
			next := b.coordinator(c)
			b.check(c.Continue())
			for range 20 {
				b.assertOneHolder(old.Fence)
				b.sleep(100 * time.Millisecond)
			}
			t.Logf("%s followed %s", next.Name, c.Name)
			w.end()
			assert.Equal(t, len(b.Ended()), 0, "ended: %v", b.Ended())
			executions, err := b.Executions(t.Context())
			assert.NilError(t, err)
			for key, n := range executions {
				assert.Check(t, n == 1, "order %s was executed %d times", key, n)
			}
		})
	}
}

// Guards against a platform outage that ends serving, runs keyed calls without
// a claim or overloads a cold engine.
func TestPlatformAway(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		restart bool
	}{{"down", false}, {"down, engine restarts", true}} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 4})
			assert.NilError(t, b.run(b.load(20, nil)).AllComplete())
			b.check(b.SetFault(t.Context(), b.Platform, "/debug/store", `{"down":true}`))
			// The lease of 9 s ends, and nobody can follow.
			b.sleep(10 * time.Second)
			l := b.load(60, map[int]func(){*streams / 2: func() {
				if test.restart {
					b.check(b.SetFault(t.Context(), b.Engines[0], "/debug/fault", `{"restart":true}`))
				}
			}})
			l.Prefix, l.Orders = "away-", 4
			r := b.run(l)
			assert.Equal(t, r.Orders.Refused, r.Orders.Planned)
			executions, err := b.Executions(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(executions), 0, "calls ran without a claim")
			if !test.restart {
				assert.Equal(t, r.Streams.Complete, r.Streams.Planned)
			}
		})
	}
}
