package btsuspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// settle waits until the crashes so far count.
func settle() { time.Sleep(settleTime) }

// withPart returns the keys of a request whose prompt has the fatal key as a part.
func withPart(request string) []Key { return []Key{KeyOf(request), fatal} }

// crashAfter reports crashes of different requests with the part after some events, each in a moment of
// its own.
func crashAfter(table *Table, events int, crashes ...Crash) {
	for _, c := range crashes {
		time.Sleep(momentLength)
		table.ReportCrash(c, events, withPart(fmt.Sprint("crashed ", c))...)
	}
}

// partQuarantined reports whether requests with the part are rejected, while others get far.
func partQuarantined(table *Table, request string) bool {
	runOthers(table)
	_, yes := table.Quarantined(bramleytack.RequestID(request), withPart(request))
	return yes
}

// Guards against a key that is quarantined because several upstreams end at once.
func TestCrashesOfOneMomentCountOnce(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		for moment := range Crash(quarantineCrashes) {
			settle()
			assert.Assert(t, !quarantined(table, "r"), "after %d moments", moment)
			time.Sleep(momentLength)
			for c := range Crash(2 * maxCrashes) {
				table.ReportCrash(100*moment+c, 0, fatal)
			}
		}
		settle()
		assert.Assert(t, quarantined(table, "r"))
	})
}

// Guards against a fatal key that counts as sound since its requests get some events before each
// crash, and against a sound one that is quarantined although a request got further, whatever became
// of that.
func TestPlaceOfCrash(t *testing.T) {
	const events = 10
	for _, c := range []struct {
		name string
		// far is the number of events that one more request gets, ended is set if it has ended
		// well and crashed if its upstream crashes a little later.
		far            int
		ended, crashed bool
		want           bool
	}{
		{"no other request", 0, false, false, true},
		{"as far", events, false, false, true},
		{"as far and crashed", events, false, true, true},
		{"further", 2 * events, false, false, false},
		{"further and crashed", 2 * events, false, true, false},
		{"ended earlier", events - 1, true, false, true},
		{"ended there", events, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(table *Table, _ *recorder) {
				r := table.Begin("other", withPart("other"))
				crashAfter(table, events, 1, 2, 3)
				for n := range c.far {
					r.Advance(n + 1)
				}
				r.End()
				if c.ended {
					table.ReportExecuted(c.far, withPart("other")...)
				}
				if c.crashed {
					crashAfter(table, c.far, 99)
				}
				settle()
				assert.Equal(t, partQuarantined(table, "r"), c.want)
			})
		})
	}
}

// Guards against a sound key that is quarantined while upstreams crash by themselves: its requests end
// anywhere, or other crashes come without it.
func TestCrashesThatAreNotAlike(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []int
		others int
		want   bool
	}{
		{"alike", []int{9, 10, 10, 9}, 0, true},
		{"anywhere", []int{9, 3, 10, 6, 10, 1, 9}, 0, false},
		{"two at the begin", []int{10, 0, 10, 0, 9, 10}, 0, true},
		{"few others", []int{9, 10, 10, 9}, 2, true},
		{"more others", []int{9, 10, 10, 9}, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(table *Table, _ *recorder) {
				for i, events := range c.events {
					crashAfter(table, events, Crash(i+1))
					if i < c.others {
						table.ReportCrash(Crash(100+i), 0, KeyOf("other"))
					}
				}
				settle()
				assert.Equal(t, partQuarantined(table, "r"), c.want)
			})
		})
	}
}

// Guards against a part that is rejected although requests without it get no further, or for crashes
// long after upstreams have begun to write.
func TestPartsThatAreNotQuarantined(t *testing.T) {
	for _, c := range []struct {
		name   string
		events int
		// others is how far a request without the part gets.
		others int
		want   bool
	}{
		{"others get further", 5, 10, true},
		{"others get as far", 5, 5, false},
		{"all requests have it", 0, 0, false},
		{"at the last event that counts", partEvents, 2 * partEvents, true},
		{"long after the begin", partEvents + 1, 2 * partEvents, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(table *Table, _ *recorder) {
				part := KeyOf("part")
				for i := range Crash(quarantineCrashes) {
					time.Sleep(momentLength)
					r := table.Begin("r", []Key{KeyOf("request", fmt.Sprint(i)), part})
					r.Advance(c.events)
					r.End()
					table.ReportCrash(i, c.events, KeyOf("request", fmt.Sprint(i)), part)
				}
				if c.others > 0 {
					table.Begin("other", []Key{KeyOf("other"), KeyOf("other", "part")}).Advance(c.others)
				}
				settle()
				_, yes := table.Quarantined("r", []Key{KeyOf("request"), part})
				assert.Equal(t, yes, c.want)
			})
		})
	}
}

// Guards against a daemon that rejects what another one knows to be sound, and against one that
// does not, for what daemons tell each other of the places of crashes.
func TestPlacesAreMerged(t *testing.T) {
	run(t, func(table *Table, shared *recorder) {
		crashAfter(table, 5, 1, 2, 3)
		other := New(&Table{Timer: table.Timer})
		other.Merge(shared.all())
		settle()
		rejected := func() bool {
			return partQuarantined(other, "r")
		}
		assert.Assert(t, rejected())
		r := table.Begin("sound", withPart("sound"))
		for n := range 10 {
			r.Advance(n + 1)
		}
		time.Sleep(2 * shareJitter)
		other.Merge(shared.all())
		assert.Assert(t, !rejected())
	})
}

// Guards against a trial that ends a quarantine before it has got clearly further than the requests
// that crashed, and against one that never does.
func TestTrialGetsFurther(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		crashAfter(table, 5, 1, 2, 3)
		time.Sleep(trialAfter)
		assert.Assert(t, !partQuarantined(table, "trial"))
		r := table.Begin("trial", withPart("trial"))
		for n := range 4 * 5 {
			r.Advance(n + 1)
			if n+1 < 2*5 {
				assert.Assert(t, partQuarantined(table, "r"), "after %d events", n+1)
			}
			// A slow trial is not replaced while it goes on.
			time.Sleep(trialTimeout - time.Second)
		}
		assert.Assert(t, !partQuarantined(table, "r"))
	})
}

// Guards against a request that crashes upstreams at another event each time and is sent on, since runs
// of it get further than others.
func TestWholeRequestIsFatalAnywhere(t *testing.T) {
	run(t, func(table *Table, _ *recorder) {
		for i, events := range []int{3, 9, 1} {
			r := table.Begin("r", []Key{fatal, KeyOf("part")})
			r.Advance(events)
			r.End()
			time.Sleep(momentLength)
			table.ReportCrash(Crash(i), events, fatal, KeyOf("part"))
		}
		settle()
		assert.Assert(t, quarantined(table, "r"))
		r := table.Begin("whole", []Key{fatal, KeyOf("part")})
		r.Advance(1)
		r.Complete()
		assert.Assert(t, !quarantined(table, "r"))
	})
}
