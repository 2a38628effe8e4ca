package btfleet_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/btoperator"
	"bramleytack/btrecord"
	"bramleytack/internal/btfleet"
)

const (
	operators = 4
	// races is the number of records that the operators change.
	races      = 4
	pollPeriod = 100 * time.Millisecond
	// changeGap keeps the writes below the platform's rate.
	changeGap = 50 * time.Millisecond
)

var changes = flag.Int("fleet.changes", 200, "configuration changes of all operators")

// change is one change of an operator.
type change struct {
	record  int
	weight  int
	version bramleytack.Revision
	at      time.Time
	// lost says that the outcome is not known.
	lost bool
}

// history collects changes and the revisions that daemons report.
type history struct {
	*bench
	mu      sync.Mutex
	changes []change
	seen    map[*btfleet.Process]bramleytack.Revision
	pending map[*btfleet.Process][]change
	largest time.Duration
}

func raceKey(i int) bramleytack.Key {
	return bramleytack.Key{Kind: btrecord.KindWorkspace, Name: fmt.Sprintf("race-%d", i)}
}

func raceRecord(i, weight int) btrecord.Record {
	return btrecord.Record{
		Kind: btrecord.KindWorkspace, SchemaVersion: btrecord.NewestSchema, Name: raceKey(i).Name,
		Spec: btrecord.Fields{"weight": weight, "keyHashes": []any{fmt.Sprintf("%064x", i+1)}},
	}
}

// operate makes the changes of one operator.
func (h *history) operate(number int) {
	admins := h.Admins()
	c := &btoperator.Client{Admins: append(slices.Clone(admins[2*number:]), admins[:2*number]...), Key: h.OperatorKey, Timer: h.Timer}
	for i := range *changes / operators {
		ch := change{record: i % races, weight: 1 + number + operators*i}
		v, err := c.Modify(h.t.Context(), raceKey(ch.record), func(btrecord.Record) (btrecord.Record, error) {
			return raceRecord(ch.record, ch.weight), nil
		})
		var lost *btoperator.LostError
		ch.version, ch.at, ch.lost = v, time.Now(), errors.As(err, &lost)
		if err == nil || ch.lost {
			h.add(ch)
		}
		h.sleep(changeGap)
	}
}

func (h *history) add(c change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
	if c.lost {
		return
	}
	for p := range h.seen {
		h.pending[p] = append(h.pending[p], c)
	}
}

// forget leaves a daemon out until it is watched again.
func (h *history) forget(p *btfleet.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.seen, p)
	delete(h.pending, p)
}

func (h *history) watch(p *btfleet.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[p] = 0
}

// digest returns what a daemon says of its own configuration.
func (h *history) digest(p *btfleet.Process) (btconfig.Digest, bool) {
	s, err := h.Status(h.t.Context(), p)
	for _, d := range s.Daemons {
		if err == nil && d.Host == s.Host {
			return d.Config, true
		}
	}
	return btconfig.Digest{}, false
}

// look reads the revision of a daemon and notes which changes are in force.
func (h *history) look(p *btfleet.Process) {
	d, ok := h.digest(p)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	last, watched := h.seen[p]
	if !watched || !ok {
		return
	}
	assert.Check(h.t, d.Revision >= last, "%s went from revision %d to %d", p.Name, last, d.Revision)
	h.seen[p] = d.Revision
	var rest []change
	for _, c := range h.pending[p] {
		if c.version > d.Revision {
			rest = append(rest, c)
			continue
		}
		h.largest = max(h.largest, now.Sub(c.at))
	}
	h.pending[p] = rest
}

// loop polls all daemons until the context ends.
func (h *history) loop(ctx context.Context) {
	for h.Timer.Sleep(ctx, pollPeriod) == nil {
		var wg sync.WaitGroup
		for _, p := range h.Daemons {
			wg.Go(func() { h.look(p) })
		}
		wg.Wait()
	}
}

// assertFinal checks that the last accepted change of each record is in the
// final state.
func (h *history) assertFinal() {
	h.t.Helper()
	c := &btoperator.Client{Admins: h.Admins(), Key: h.OperatorKey, Timer: h.Timer}
	for i := range races {
		v, err := c.Get(h.t.Context(), raceKey(i))
		assert.NilError(h.t, err)
		var last change
		var lost []string
		for _, ch := range h.changes {
			if ch.record == i && ch.lost {
				lost = append(lost, fmt.Sprint(ch.weight))
			} else if ch.record == i && ch.version > last.version {
				last = ch
			}
		}
		weight := fmt.Sprint(v.Record.Spec["weight"])
		if v.Version > last.version && slices.Contains(lost, weight) {
			continue
		}
		assert.Check(h.t, v.Version == last.version, "%s", raceKey(i).Name)
		assert.Check(h.t, weight == fmt.Sprint(last.weight), "%s: weight %s instead of %d", raceKey(i).Name, weight, last.weight)
	}
}

// Guards against changes that are lost, revert or come late when operators
// race, the platform fails and a daemon dies.
func TestConfigurationRace(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		kill bool
	}{{"platform fails", false}, {"platform fails, daemon killed", true}} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, btfleet.Config{Engines: 1, Services: 1})
			h := &history{bench: b, seen: map[*btfleet.Process]bramleytack.Revision{}, pending: map[*btfleet.Process][]change{}}
			setup := &btoperator.Client{Admins: b.Admins(), Key: b.OperatorKey, Timer: b.Timer}
			for i := range races {
				v, err := setup.Put(t.Context(), raceRecord(i, 1), 0)
				assert.NilError(t, err)
				assert.NilError(t, b.AwaitRevision(t.Context(), v))
			}
			for _, p := range b.Daemons {
				h.watch(p)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); h.loop(ctx) }()
			var wg sync.WaitGroup
			for i := range operators {
				wg.Go(func() { h.operate(i) })
			}
			store := func(fault string) { b.check(b.SetFault(t.Context(), b.Platform, "/debug/store", fault)) }
			b.sleep(time.Second)
			store(`{"loseReplies":8}`)
			b.sleep(time.Second)
			store(`{"down":true}`)
			b.sleep(2 * time.Second)
			store(`{}`)
			if p := b.Daemons[7]; test.kill {
				h.forget(p)
				b.check(p.Kill())
				b.restart(p)
				assert.NilError(t, b.AwaitRevision(t.Context(), 1))
				h.watch(p)
			}
			wg.Wait()
			b.sleep(3 * time.Second)
			cancel()
			<-done
			for p, rest := range h.pending {
				assert.Check(t, len(rest) == 0, "%s lacks %d changes", p.Name, len(rest))
			}
			h.assertFinal()
			first, ok := h.digest(b.Daemons[0])
			assert.Assert(t, ok)
			for _, p := range b.Daemons {
				d, _ := h.digest(p)
				assert.Check(t, d == first, "%s: %v instead of %v", p.Name, d, first)
			}
			t.Logf("%d changes accepted or lost, in force after at most %v", len(h.changes), h.largest)
			assert.Check(t, h.largest <= newWorkBound, "a change came into force after %v", h.largest)
		})
	}
}
