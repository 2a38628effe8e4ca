package btdaemon

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btowner"
	"bramleytack/bttimer"
	"bramleytack/btview"
)

func upstreams(n int) map[bramleytack.UpstreamID]*bramleytack.Upstream {
	m := map[bramleytack.UpstreamID]*bramleytack.Upstream{}
	for i := range n {
		id := bramleytack.UpstreamID(fmt.Sprintf("crease-%05d", i))
		m[id] = &bramleytack.Upstream{ID: id}
	}
	return m
}

// Guards against upstreams that keep their former owner after a change, and
// against the work of a whole assignment after a change of another record.
func TestOwnershipChanged(t *testing.T) {
	const n = 10
	o := &ownership{}
	view, list := &btview.View{Number: 1}, upstreams(n)
	assert.Equal(t, len(o.changed(nil, list)), n)
	assert.Equal(t, len(o.changed(view, list)), n)
	assert.Equal(t, len(o.changed(view, list)), 0)
	next := maps.Clone(list)
	next["crease-00003"] = &bramleytack.Upstream{ID: "crease-00003"}
	next["new"] = &bramleytack.Upstream{ID: "new"}
	assert.Equal(t, len(o.changed(view, next)), 2)
	assert.Equal(t, len(o.changed(&btview.View{Number: 2}, next)), n+1)
	assert.Equal(t, len(o.changed(nil, next)), n+1)
}

// BenchmarkOwnershipUnchanged is the cost of a change that concerns no upstream.
func BenchmarkOwnershipUnchanged(b *testing.B) {
	o := &ownership{}
	view, list := &btview.View{Number: 1}, upstreams(10_000)
	for b.Loop() {
		o.changed(view, list)
	}
}

// BenchmarkProbeWalk asks for each upstream of the fleet whether it is owned,
// as the prober does four times a second.
func BenchmarkProbeWalk(b *testing.B) {
	timers := bttimer.New(1)
	defer timers.Close()
	table, list := btowner.NewTable(btowner.Config{}, timers), upstreams(10_000)
	for b.Loop() {
		for id := range list {
			table.Owns(id)
		}
	}
}
