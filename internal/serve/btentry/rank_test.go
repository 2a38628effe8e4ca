package btentry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// Load: long generations beside short ones that are more urgent, on crowded engines. Guards
// against engines that take all generations as equal and preempt any of them when their memory
// runs out, and against callers that choose their rank.
func TestEnginesAreToldRanks(t *testing.T) {
	urgency := func(n int) *int { return &n }
	cases := []struct {
		name             string
		guide, tag       int
		workspace        *int
		forGuide, forTag string
	}{
		{"ranks of routes", 2, 0, nil, "2", "0"},
		{"one rank", 2, 2, nil, "", ""},
		{"the workspace goes first", 2, 2, urgency(1), "1", "1"},
		{"out of the engine's range", 12, -1, nil, "9", "0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.routes[0].Urgency, h.routes[1].Urgency = c.guide, c.tag
				h.reconfigure = func(s *bramleytack.Snapshot) { s.Workspaces["w1"].Urgency = c.workspace }
				w := h.startEngine("e1")
				for target, want := range map[string]string{"/guide/a": c.forGuide, "/tag/a": c.forTag} {
					got := h.request("POST", target, map[string]string{dialect.TokenCounts: "300,240", dialect.Urgency: "7"}, callTimeout)
					assert.NilError(t, got.err)
					r, _ := w.Last()
					assert.Equal(t, r.Header.Get(dialect.Urgency), want, target)
				}
			})
		})
	}
}
