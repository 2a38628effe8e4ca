package btrollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a version whose requests go to the same upstream in one pulse after the other: a
// verdict needs answers of two, and the bound on bad answers does not wait for a third pulse.
func TestPulsesReachAnotherUpstreamEachTime(t *testing.T) {
	f := orderedFleet(Trial)
	d := f.daemons[0]
	o := d.order()
	same, last := 0, ""
	const pulses = 40
	for n := range pulses {
		now := o.began.Add(time.Duration(n)*o.slot(1) + time.Second)
		for id := range o.picks(d.table.snapshot, 1, now) {
			if string(id) == last {
				same++
			}
			last = string(id)
		}
	}
	assert.Equal(t, same, 0, "pulses of %d that go to the upstream of the one before", pulses)
}

// Guards against stages after the trial that reach no upstream of a version that has few.
func TestStagesReachAnUpstream(t *testing.T) {
	for _, s := range []Stage{Quarter, Half} {
		for n := 1; n <= 8; n++ {
			d := doseOf(s, s.shareOf(), n, time.Minute)
			assert.Check(t, d.share == 0 || d.upstreams > 0, "stage %v, %d upstreams: %+v", s, n, d)
		}
	}
}
