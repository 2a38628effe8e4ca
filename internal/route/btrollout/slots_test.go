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
