package btentry_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/internal/route/btadmission"
)

// Loads: long generations beside short ones that are more urgent, more than can be served, and
// calm. Guards against engines that under overload take all generations as equal and preempt any
// of them when their memory runs out; against those that preempt long generations although all
// could be served (foldwell-qld quiet-1 fell from 0.879 to 0.804); and against callers that
// choose their rank.
func TestEnginesAreToldRanks(t *testing.T) {
	urgency := func(n int) *int { return &n }
	cases := []struct {
		name             string
		waiting          int
		guide, tag       int
		workspace        *int
		forGuide, forTag string
	}{
		{"calm", 0, 2, 0, nil, "", ""},
		{"ranks of routes", 400_000, 2, 0, nil, "", "3"},
		{"one rank", 400_000, 2, 2, nil, "", ""},
		{"the workspace goes first", 400_000, 2, 0, urgency(1), "4", "4"},
		{"a less urgent workspace", 400_000, 2, 0, urgency(6), "", ""},
		{"out of the engine's range", 400_000, 12, -1, nil, "", "0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.routes[0].Urgency, h.routes[1].Urgency = c.guide, c.tag
				h.reconfigure = func(s *bramleytack.Snapshot) { s.Workspaces["w1"].Urgency = c.workspace }
				w := h.startEngine("e1")
				for target, want := range map[string]string{"/guide/a": c.forGuide, "/tag/a": c.forTag} {
					waiting := btadmission.Waiting{Service: uint32(xxhash.Sum64String(engineService)), Rank: 20, Memory: c.waiting}
					h.handler.Admission.SetPeer("peer", btadmission.Demand{Waiting: []btadmission.Waiting{waiting}})
					got := h.request("POST", target, map[string]string{dialect.TokenCounts: "300,240", dialect.Urgency: "7"}, callTimeout)
					assert.NilError(t, got.err)
					r, _ := w.Last()
					assert.Equal(t, r.Header.Get(dialect.Urgency), want, target)
				}
			})
		})
	}
}
