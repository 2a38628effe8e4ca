package btpace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: neighbours' noise that slows an engine for some hundred milliseconds. Guards against
// decisions by a momentary pace that is over, and against a lasting one that noise changes.
func TestMomentaryPace(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		u := engine("e")
		pace, fresh := table.Now(u)
		assert.Assert(t, pace == 1 && !fresh && !table.Disturbed(u))
		table.Observe(u, 1.2)
		table.Observe(u, 3)
		pace, fresh = table.Now(u)
		assert.Assert(t, pace == 3 && fresh && table.Disturbed(u))
		assert.Equal(t, table.Lasting(u), 1.2)
		time.Sleep(momentAge)
		pace, fresh = table.Now(u)
		assert.Assert(t, pace == 1.2 && !fresh && !table.Disturbed(u), "it falls back to the lasting pace")
		table.Observe(u, 3)
		table.Observe(u, 1.2)
		assert.Assert(t, !table.Disturbed(u))
		var none *Table
		none.Want()
		pace, fresh = none.Now(u)
		assert.Assert(t, pace == 1 && !fresh && !none.Disturbed(u))
	})
}

// Load: the same, seen only in the streams that a daemon relays. Guards against disturbances that go
// unnoticed until an engine answers again, and against prompts that end and are taken for calm.
func TestMomentaryPaceOfStreams(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		u := engine("e")
		table.Observe(u, 1.2)
		table.MergePauses([]Pauses{{Service: "engines", Alone: 30 * time.Millisecond, Beside: 62 * time.Millisecond}})
		table.Learn(u, 36*time.Millisecond, false)
		assert.Assert(t, !table.Disturbed(u))
		table.Learn(u, 90*time.Millisecond, false)
		assert.Assert(t, table.Disturbed(u))
		table.Learn(u, 40*time.Millisecond, true)
		assert.Assert(t, table.Disturbed(u), "the prompt may have ended")
		table.Learn(u, 36*time.Millisecond, false)
		assert.Assert(t, !table.Disturbed(u))
		table.Learn(u, 186*time.Millisecond, true)
		assert.Assert(t, table.Disturbed(u))
	})
}

// Guards against older news that replace newer ones, and against values of others that are no pace
// or come from the future.
func TestMomentsOfOthers(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		u := engine("e")
		told := func(moment float64, age time.Duration) bool {
			return table.Merge([]Record{{Upstream: u.ID, Started: u.Started, Lasting: 1.2, Worst: 3, Moment: moment, MomentAge: age}})
		}
		assert.Assert(t, told(3, 20*time.Millisecond))
		assert.Assert(t, table.Disturbed(u))
		assert.Assert(t, !told(1.2, 40*time.Millisecond) && table.Disturbed(u), "older")
		assert.Assert(t, !told(-1, 0) && !told(0, 0) && table.Disturbed(u), "no pace")
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, told(1.2, -time.Hour) && !table.Disturbed(u), "a clock that is ahead")
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, !told(1e300, momentAge) && !table.Disturbed(u), "too old")
		assert.Assert(t, told(1e300, 0))
		pace, _ := table.Now(u)
		assert.Equal(t, pace, maxPace)
		records := table.Records()
		assert.Equal(t, len(records), 1)
		time.Sleep(momentAge)
		assert.Equal(t, table.Records()[0].Moment, 0.0, "an old one is not told")
	})
}

// Load: noise on all machines of a fleet at once, seen in each event of many streams. Guards against
// notices without bound, against those that nobody uses, and against telling what others have told.
func TestMomentNoticesAreBounded(t *testing.T) {
	withTable(t, func(t *testing.T, table *Table) {
		notices := 0
		table.Share = func(n News) { notices += len(n.Records) }
		noise := func(d time.Duration, names string) {
			for range int(d / (50 * time.Millisecond)) {
				pace := 3.0
				if time.Now().UnixMilli()%600 < 300 {
					pace = 1.2
				}
				for i := range 20 {
					table.Observe(engine(fmt.Sprintf("%s%d", names, i)), pace)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		noise(2*time.Second, "e")
		notices = 0
		noise(2*time.Second, "e")
		assert.Equal(t, notices, 0, "nobody uses them")
		table.Want()
		noise(wantedPeriod, "e")
		assert.Assert(t, notices > 0 && notices <= momentNewsPerSecond*int(wantedPeriod/time.Second+1), "%d notices", notices)
		notices = 0
		noise(2*time.Second, "e")
		assert.Equal(t, notices, 0, "nobody uses them any more")

		u := engine("e1")
		table.Want()
		table.Observe(u, 1.2)
		time.Sleep(2 * time.Second)
		table.Want()
		table.Merge([]Record{{Upstream: u.ID, Started: u.Started, Lasting: 1.2, Worst: 3, Moment: 3}})
		notices = 0
		table.Observe(u, 3)
		assert.Equal(t, notices, 0, "others have told it")
	})
}
