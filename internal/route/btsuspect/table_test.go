package btsuspect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
)

var fatal = KeyOf("fatal")

// recorder keeps the records that a table shares.
type recorder struct {
	mu      sync.Mutex
	records []Record
}

func (r *recorder) share(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, records...)
}

// all returns the records once no goroutine of the test is running.
func (r *recorder) all() []Record {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

// run calls f with a new table in fake time.
func run(t *testing.T, f func(table *Table, shared *recorder)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		timers := bttimer.New(1)
		defer timers.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		shared := &recorder{}
		table := New(&Table{Timer: timers, Share: shared.share})
		go table.Run(ctx)
		f(table, shared)
	})
}

// crash reports crashes of one request, whose key is the fatal one, each in a moment of its own.
func crash(table *Table, crashes ...Crash) {
	for _, c := range crashes {
		time.Sleep(momentLength)
		table.ReportCrash(c, 0, fatal)
	}
}

// counted returns crashes before an event as daemons tell each other of them, with moments of their
// own, the last one of an age.
func counted(age time.Duration, crashes ...Crash) []CountedCrash {
	list := make([]CountedCrash, len(crashes))
	for i, c := range crashes {
		list[i] = CountedCrash{Crash: c, Age: age + time.Duration(len(crashes)-1-i)*momentLength}
	}
	return list
}

// cleared returns clearings for good.
func cleared(crashes ...Crash) []Clearing {
	list := make([]Clearing, len(crashes))
	for i, c := range crashes {
		list[i] = Clearing{Crash: c, Events: AllEvents}
	}
	return list
}

// runOthers makes the table know of requests without the parts that a test is about that get far.
func runOthers(table *Table) {
	table.Begin("other", []Key{KeyOf("other"), KeyOf("other", "part")}).Advance(10 * partEvents)
}

func quarantined(table *Table, request string) bool {
	_, yes := table.Quarantined(bramleytack.RequestID(request), []Key{fatal})
	return yes
}

// Guards against a quarantine that comes too early, counts one crash twice, or never comes.
func TestQuarantineAfterCommonCrashes(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		crash(table, 1, 2, 2, 1)
		time.Sleep(settleTime)
		assert.Assert(t, !quarantined(table, "r"))
		assert.Assert(t, !table.MayRepeat("r", []Key{fatal}))
		crash(table, 3)
		assert.Assert(t, !quarantined(table, "r"), "counts before other daemons can clear it")
		time.Sleep(settleTime)
		assert.Assert(t, quarantined(table, "r"))
	})
}

// Guards against sound keys that stay suspected, and against reports of an old crash that
// arrive after its clearing.
func TestExecutionClears(t *testing.T) {
	run(t, func(table *Table, shared *recorder) {
		crash(table, 1, 2, 3)
		table.ReportExecuted(0, fatal)
		time.Sleep(executedWindow)
		assert.Assert(t, !quarantined(table, "r"))
		all := shared.all()
		cleared := all[len(all)-1]
		assert.Equal(t, len(cleared.Crashes), 0)
		assert.Equal(t, len(cleared.Cleared), 3)
		crash(table, 1, 2, 3)
		time.Sleep(settleTime)
		assert.Assert(t, !quarantined(table, "r"))
		crash(table, 4, 5, 6)
		time.Sleep(settleTime)
		assert.Assert(t, quarantined(table, "r"), "sound once does not mean sound for ever")
	})
}

// Guards against a quarantine of what all requests share when many upstreams crash at
// once, at a daemon that executed it and at one that did not.
func TestRecentExecutionClearsLaterCrashes(t *testing.T) {
	run(t, func(table *Table, shared *recorder) {
		table.ReportExecuted(0, fatal)
		time.Sleep(executedWindow / 2)
		crash(table, 1, 2, 3)
		assert.Equal(t, len(shared.all()), 0)
		assert.Assert(t, table.Merge([]Record{{Key: fatal, Crashes: counted(0, 4, 5, 6)}}))
		time.Sleep(settleTime)
		assert.Assert(t, !quarantined(table, "r"))
		all := shared.all()
		assert.Equal(t, len(all), 1)
		assert.Equal(t, len(all[0].Cleared), 3)
	})
}

// Guards against daemons that disagree because records arrive late, twice or in another
// order.
func TestMergeInAnyOrder(t *testing.T) {
	records := []Record{
		{Key: fatal, Crashes: counted(0, 1)},
		{Key: fatal, Crashes: counted(0, 1, 2)},
		{Key: fatal, Cleared: cleared(1, 2)},
		{Key: fatal, Crashes: counted(0, 3), Cleared: cleared(1), Apart: AllEvents},
		{Key: fatal, Crashes: counted(time.Second, 4, 5), Age: time.Second},
		{Key: fatal, Crashes: counted(expiry, 6), Age: expiry},
	}
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, func(table *Table, _ *recorder) {
				rng := rand.New(rand.NewPCG(seed, 0))
				all := slices.Concat(records, records)
				rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				for _, r := range all {
					table.Merge([]Record{r})
				}
				time.Sleep(settleTime)
				found := table.suspects[fatal]
				assert.Equal(t, moments(found.standing(time.Now())), 3)
				assert.Equal(t, len(table.suspects[fatal].cleared), 2)
				assert.Assert(t, quarantined(table, "r"))
				assert.Assert(t, !table.Merge(all), "what is known is no news")
			})
		})
	}
}

// Guards against a quarantine that never ends, and against trials that run at several
// requests or daemons at a time.
func TestTrial(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		elected := false
		table.Elected = func(Key) bool { return elected }
		crash(table, 1, 2, 3, 11, 12, 13, 14)
		time.Sleep(trialAfter)
		assert.Assert(t, quarantined(table, "r1"), "another daemon is elected")
		elected = true
		assert.Assert(t, !quarantined(table, "r1"))
		assert.Assert(t, !quarantined(table, "r1"), "asked again before the send")
		assert.Assert(t, quarantined(table, "r2"))
		crash(table, 4)
		time.Sleep(settleTime)
		assert.Assert(t, quarantined(table, "r1"), "the trial ended with a crash")
		time.Sleep(3 * trialAfter)
		assert.Assert(t, quarantined(table, "r3"))
		time.Sleep(trialAfter)
		assert.Assert(t, !quarantined(table, "r3"))
		table.ReportExecuted(0, fatal)
		assert.Assert(t, !quarantined(table, "r4"))
	})
}

// Guards against a table that grows without bound, or that gives up a quarantined key for
// new suspects.
func TestBounds(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		crash(table, 1, 2, 3)
		for i := range 2 * maxSuspects {
			table.ReportCrash(9, 0, KeyOf(fmt.Sprint(i)))
		}
		for c := range Crash(100) {
			crash(table, c+10)
			table.Merge([]Record{{Key: fatal, Cleared: cleared(c + 1000)}})
		}
		time.Sleep(settleTime)
		assert.Assert(t, table.Len() <= maxSuspects)
		assert.Assert(t, quarantined(table, "r"))
		assert.Assert(t, len(table.suspects[fatal].crashes) <= maxCrashes && len(table.suspects[fatal].cleared) <= maxCleared)
		for i := range 2 * maxExecuted {
			table.ReportExecuted(0, KeyOf("executed", fmt.Sprint(i)))
		}
		assert.Assert(t, len(table.executed.young) <= maxExecuted)
		time.Sleep(expiry)
		assert.Equal(t, len(table.Records(10)), 0)
		assert.Equal(t, table.Len(), 0)
	})
}

// Guards against a sound key that is quarantined because it only occurs together with a
// fatal one, and that no request can clear any more.
func TestCompanionsRunAlone(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		subject := KeyOf("subject")
		for c := range Crash(4) {
			time.Sleep(momentLength)
			table.ReportCrash(c, 0, KeyOf(fmt.Sprint(c)), subject, fatal)
		}
		runOthers(table)
		time.Sleep(settleTime)
		rejected := func(keys ...Key) bool {
			_, yes := table.Quarantined("r", keys)
			return yes
		}
		assert.Assert(t, rejected(subject, fatal))
		assert.Assert(t, !rejected(subject), "a request with the subject alone shows whether it is sound")
		table.ReportExecuted(0, subject)
		assert.Assert(t, rejected(fatal), "the only one left of those that occurred together")
		assert.Assert(t, rejected(subject, fatal))
	})
}

// Guards against a sound key of many requests that is quarantined for good because its
// requests waited at upstreams that a request with a narrower key crashed.
func TestNarrowerKeyExplainsCrashes(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		shared := KeyOf("shared")
		for c := range Crash(3) {
			time.Sleep(momentLength)
			table.ReportCrash(c, 0, fatal, shared)
			table.ReportCrash(c, 0, KeyOf("sound", fmt.Sprint(c)), shared)
		}
		runOthers(table)
		time.Sleep(settleTime)
		_, yes := table.Quarantined("r", []Key{fatal, shared})
		assert.Assert(t, yes)
		_, yes = table.Quarantined("r", []Key{KeyOf("sound", "3"), shared})
		assert.Assert(t, !yes)
		time.Sleep(momentLength)
		table.ReportCrash(3, 0, KeyOf("sound", "3"), shared)
		time.Sleep(settleTime)
		_, yes = table.Quarantined("r", []Key{KeyOf("sound", "4"), shared})
		assert.Assert(t, yes, "crashes that the narrower key does not have")
	})
}

// Guards against keys that never get a trial because each elects another daemon.
func TestTrialOfSeveralKeys(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		other := KeyOf("other")
		table.Elected = func(k Key) bool { return k == fatal }
		for c := range Crash(3) {
			time.Sleep(momentLength)
			table.ReportCrash(c, 0, fatal, other)
		}
		runOthers(table)
		time.Sleep(trialAfter)
		_, yes := table.Quarantined("r", []Key{fatal, other})
		assert.Assert(t, !yes)
	})
}
