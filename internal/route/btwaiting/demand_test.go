package btwaiting_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/internal/route/btwaiting"
)

// Guards against calls of a workspace that are lost or counted twice as reports come and go.
func TestDemandAddsUp(t *testing.T) {
	var d *btwaiting.Demand
	a := d.Add(7, 2).Add(3, 1)
	b := d.Add(7, 1).Add(9, 4)
	sum := a.Plus(b, 1)
	assert.DeepEqual(t, sum, &btwaiting.Demand{{Workspace: 3, Calls: 1}, {Workspace: 7, Calls: 3}, {Workspace: 9, Calls: 4}})
	assert.DeepEqual(t, sum.Plus(b, -1), a)
	assert.Assert(t, sum.Plus(a, -1).Plus(b, -1) == nil)
	assert.Equal(t, sum.Of(9), 4)
	assert.Equal(t, sum.Of(8), 0)
	assert.DeepEqual(t, sum.Largest(2), &btwaiting.Demand{{Workspace: 7, Calls: 3}, {Workspace: 9, Calls: 4}})
}
