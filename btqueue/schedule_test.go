package btqueue

import (
	"testing"
	"time"

	"bramleytack"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a workspace that gets more than its weight while others wait.
// The cost served for two waiting workspaces, divided by their weights, differs
// by at most one item of each.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Schedule
		weights := map[bramleytack.WorkspaceID]float64{"a": 1, "b": 2, "c": 5}
		largest := map[bramleytack.WorkspaceID]float64{}
		served := map[bramleytack.WorkspaceID]float64{}
		for range 60 {
			for w, weight := range weights {
				i := &Item{Workspace: w, Weight: weight, Cost: float64(rapid.IntRange(1, 1000).Draw(t, "cost"))}
				largest[w] = max(largest[w], i.Cost)
				s.AssignTags(i)
				s.Push(i)
			}
		}
		left := map[bramleytack.WorkspaceID]int{"a": 60, "b": 60, "c": 60}
		for left["a"] > 0 && left["b"] > 0 && left["c"] > 0 {
			i := s.Pop(start)
			served[i.Workspace] += i.Cost
			left[i.Workspace]--
			for x := range weights {
				for y := range weights {
					diff := served[x]/weights[x] - served[y]/weights[y]
					bound := largest[x]/weights[x] + largest[y]/weights[y]
					assert.Assert(t, diff <= bound+1e-6, "%s is %.0f ahead of %s, bound %.0f", x, diff, y, bound)
				}
			}
		}
	})
}

// Guards against an idle workspace that earns credit, batch work that starves,
// and aged batch work that takes more than its share.
func TestOrder(t *testing.T) {
	push := func(s *Schedule, w string, p bramleytack.Priority, at time.Time) *Item {
		i := &Item{Workspace: bramleytack.WorkspaceID(w), Priority: p, Cost: 10, Bytes: 5, Arrived: at}
		s.AssignTags(i)
		s.Push(i)
		return i
	}
	t.Run("no credit for idle time", func(t *testing.T) {
		var s Schedule
		for range 100 {
			push(&s, "busy", bramleytack.Standard, start)
			s.Pop(start)
		}
		for range 10 {
			push(&s, "busy", bramleytack.Standard, start)
			push(&s, "idle", bramleytack.Standard, start)
		}
		busy := 0
		for range 10 {
			if s.Pop(start).Workspace == "busy" {
				busy++
			}
		}
		assert.Assert(t, busy >= 4 && busy <= 6, "busy got %d of 10", busy)
	})
	t.Run("aging", func(t *testing.T) {
		var s Schedule
		for range 100 {
			push(&s, "w", bramleytack.Batch, start)
			push(&s, "w", bramleytack.Interactive, start.Add(time.Minute))
		}
		count := func(now time.Time) (batch int) {
			for range 40 {
				if s.Pop(now).Priority == bramleytack.Batch {
					batch++
				}
			}
			return batch
		}
		assert.Equal(t, count(start.Add(time.Second)), 0)
		assert.Equal(t, count(start.Add(time.Minute)), 40/agingInterval)
	})
	t.Run("worst", func(t *testing.T) {
		var s Schedule
		push(&s, "w", bramleytack.Standard, start)
		last := push(&s, "w", bramleytack.Standard, start)
		other := &Item{Workspace: "v", Priority: bramleytack.Standard, Cost: 1}
		s.AssignTags(other)
		assert.Equal(t, s.EvictionCandidate(other), last)
		batch := &Item{Workspace: "v", Priority: bramleytack.Batch, Cost: 1}
		s.AssignTags(batch)
		assert.Assert(t, s.EvictionCandidate(batch) == nil)
		s.Remove(last)
		assert.Equal(t, s.Len(), 1)
		assert.Equal(t, s.Bytes(), 5)
	})
}
