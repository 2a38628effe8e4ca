package btdaemon

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btowner"
	"bramleytack/btsettings"
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
// against assigning all upstreams again after a change of another record.
func TestOwnershipChanged(t *testing.T) {
	const n = 10
	o := &ownership{}
	view, list := &btview.View{Number: 1}, upstreams(n)
	assertChanged(t, o, nil, list, n, 0)
	assertChanged(t, o, view, list, n, 0)
	assertChanged(t, o, view, list, 0, 0)
	next := maps.Clone(list)
	next["crease-00003"] = &bramleytack.Upstream{ID: "crease-00003"}
	next["new"] = &bramleytack.Upstream{ID: "new"}
	assertChanged(t, o, view, next, 2, 0)
	assertChanged(t, o, &btview.View{Number: 2}, next, n+1, 0)
	assertChanged(t, o, nil, next, n+1, 0)
	// A deleted upstream must be disowned, or its digest is sent indefinitely.
	assertChanged(t, o, nil, list, 1, 1)
}

// Guards against an upstream with owners in several cells, which together would
// exceed its limits.
func TestOwnerIsInOneCell(t *testing.T) {
	view := &btview.View{Number: 1, Members: []btview.Member{{Host: "a-1"}}}
	for cell, want := range map[bramleytack.CellID]bool{"": true, "c-1": true, "c-2": false} {
		d := &Daemon{settings: btsettings.Settings{Host: "a-1", Cell: "c-1"}}
		assert.Equal(t, d.isOwner(view, &bramleytack.Upstream{ID: "u", Cell: cell}), want, "cell %q", cell)
	}
}

func assertChanged(t *testing.T, o *ownership, view *btview.View, list map[bramleytack.UpstreamID]*bramleytack.Upstream, changed, removed int) {
	t.Helper()
	c, r := o.changed(view, list)
	assert.Equal(t, len(c), changed)
	assert.Equal(t, len(r), removed)
}

// BenchmarkOwnershipUnchanged measures a change that affects no upstream.
func BenchmarkOwnershipUnchanged(b *testing.B) {
	o := &ownership{}
	view, list := &btview.View{Number: 1}, upstreams(10_000)
	for b.Loop() {
		o.changed(view, list)
	}
}

// BenchmarkProbeWalk measures checking whether each of 10,000 upstreams is owned,
// which the prober does four times a second.
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
