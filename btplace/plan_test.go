package btplace

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// testCell is the input of Plan for a cell whose engines execute commands at once.
type testCell struct {
	Input
}

// newCell returns a cell of n engines without models.
func newCell(n int, models ...bramleytack.Model) *testCell {
	s := newSnapshot(n, models...)
	c := &testCell{Input: Input{Snapshot: s, Capacity: map[string]float64{}, Demand: map[string]float64{}}}
	c.Reports = map[bramleytack.UpstreamID]*bramleytack.LoadReport{}
	for id, u := range s.Upstreams {
		c.Engines = append(c.Engines, u)
		c.Reports[id] = &bramleytack.LoadReport{}
	}
	sortByID(c.Engines)
	return c
}

// step plans, and executes the next command of each engine. It returns the number
// of engines whose desired state changed.
func (c *testCell) step() (changed int) {
	s := Plan(c.Input)
	for _, p := range s.Engines {
		if old, _ := c.Previous.Placement(p.Upstream); old != p {
			changed++
		}
	}
	c.Previous = s
	for _, p := range s.Engines {
		r := c.Reports[p.Upstream]
		if r == nil {
			continue
		}
		if command, ok := NextCommand(p, r, true); ok {
			execute(r, command)
		}
	}
	return changed
}

// execute changes the report of an engine as a command does.
func execute(r *bramleytack.LoadReport, command bramleytack.Command) {
	m := bramleytack.LoadedModel{Model: command.Model, Version: command.Version, Adapter: command.Adapter}
	switch command.Kind {
	case bramleytack.CommandLoad:
		r.Models = append(r.Models, m)
	case bramleytack.CommandUnload:
		r.Models = slices.DeleteFunc(r.Models, func(h bramleytack.LoadedModel) bool { return h == m })
	case bramleytack.CommandRole:
		r.Role = command.Role
	}
}

func (c *testCell) steps(n int) {
	for range n {
		c.step()
	}
}

// servingPerDomain returns the number of engines in each domain that serve only
// the given model.
func (c *testCell) servingPerDomain(m bramleytack.LoadedModel) (d [3]int) {
	for i, u := range c.Engines {
		r := c.Reports[u.ID]
		if r != nil && r.Role != RoleDraining && len(r.Models) == 1 && r.Models[0] == m {
			d[i*3/len(c.Engines)]++
		}
	}
	return d
}

func sum(d [3]int) int { return d[0] + d[1] + d[2] }

// Guards against models with too few engines, engines that change their model or
// version without need, and models whose engines are all in one failure domain.
func TestPlan(t *testing.T) {
	a, b := loadedModel("a", "1"), loadedModel("b", "1")
	two := func(na, nb int) *testCell {
		return newCell(9, bramleytack.Model{Name: "a", Version: "1", Replicas: na}, bramleytack.Model{Name: "b", Version: "1", Replicas: nb})
	}
	for name, c := range map[string]struct {
		cell *testCell
		run  func(t *testing.T, c *testCell)
	}{
		"replicas are spread over domains": {two(3, 6), func(t *testing.T, c *testCell) {
			c.steps(2)
			assert.Equal(t, c.servingPerDomain(a), [3]int{1, 1, 1})
			assert.Equal(t, c.servingPerDomain(b), [3]int{2, 2, 2})
			assert.Equal(t, c.step(), 0, "a second plan changes nothing")
		}},
		"commitments come first": {two(9, 1), func(t *testing.T, c *testCell) {
			c.steps(2)
			c.Capacity["b"] = 100
			c.Snapshot.Commitments["x"] = &bramleytack.Commitment{Name: "x", Model: "b", TokensPerSecond: 350}
			c.steps(9)
			assert.Equal(t, sum(c.servingPerDomain(a)), 5)
			assert.Equal(t, sum(c.servingPerDomain(b)), 4)
		}},
		"demand takes engines that other models do not need": {two(2, 2), func(t *testing.T, c *testCell) {
			c.Capacity["a"], c.Capacity["b"] = 100, 100
			c.Demand["a"] = 560
			c.steps(2)
			assert.Equal(t, sum(c.servingPerDomain(a)), 7)
			c.Demand["a"], c.Demand["b"] = 0, 320
			c.steps(9)
			assert.Equal(t, sum(c.servingPerDomain(b)), 4)
			assert.Equal(t, sum(c.servingPerDomain(a)), 5, "engines that no model needs keep their model")
		}},
		"a domain is taken out of service and returns": {two(3, 3), func(t *testing.T, c *testCell) {
			c.steps(2)
			c.Snapshot.FailureDomains["d0"].State = bramleytack.DomainOut
			c.steps(2)
			d := c.servingPerDomain(a)
			assert.Equal(t, d[0], 1, "the domain's engines keep their model")
			assert.Equal(t, d[1]+d[2], 3, "engines of other domains replace it")
			assert.Equal(t, len(c.Previous.Out), 1)
			c.Snapshot.FailureDomains["d0"].State = bramleytack.DomainActive
			c.Reports["e00"].Models = nil
			assert.Equal(t, c.step(), 0)
			assert.Equal(t, len(c.Previous.Returning), 1)
			c.steps(2)
			assert.Equal(t, len(c.Previous.Returning), 0)
		}},
		"another engine replaces one that fails": {two(3, 3), func(t *testing.T, c *testCell) {
			c.steps(2)
			delete(c.Reports, "e00")
			c.steps(2)
			assert.Equal(t, c.servingPerDomain(a), [3]int{1, 1, 1})
			assert.Equal(t, c.step(), 0)
		}},
		"an adapter is added without a drain": {two(4, 0), func(t *testing.T, c *testCell) {
			c.steps(2)
			c.Snapshot.Models["a"].Adapter = "x"
			c.steps(3)
			for _, r := range c.Reports {
				assert.Assert(t, r.Role != RoleDraining && len(r.Models) != 1, "%v", r)
			}
		}},
		"a single engine loads the new version beside the old one": {
			newCell(1, bramleytack.Model{Name: "a", Version: "1", Replicas: 1}),
			func(t *testing.T, c *testCell) {
				c.steps(2)
				c.Snapshot.Models["a"].Version = "2"
				c.step()
				assert.Equal(t, len(c.Reports["e00"].Models), 2)
				c.Reports["e00"].Running = 1
				c.step()
				assert.Equal(t, len(c.Reports["e00"].Models), 2, "the old version stays while a generation runs")
				c.Reports["e00"].Running = 0
				c.step()
				assert.Equal(t, c.servingPerDomain(loadedModel("a", "2")), [3]int{1})
			},
		},
		"a change of version keeps the minimum capacity in service": {two(9, 0), func(t *testing.T, c *testCell) {
			c.steps(2)
			c.Snapshot.Models["a"].Version = "2"
			for range 40 {
				c.step()
				serving := 0
				for _, r := range c.Reports {
					if r.Role != RoleDraining && holdsModel(r, "a") {
						serving++
					}
				}
				assert.Assert(t, serving >= 7, "%d of 9", serving)
			}
			assert.Equal(t, c.servingPerDomain(loadedModel("a", "2")), [3]int{3, 3, 3})
		}},
		"a change of version can be reverted": {two(9, 0), func(t *testing.T, c *testCell) {
			c.steps(2)
			for _, v := range []string{"2", "1", "3", "1"} {
				c.Snapshot.Models["a"].Version = v
				c.steps(3)
			}
			c.steps(40)
			assert.Equal(t, c.servingPerDomain(a), [3]int{3, 3, 3})
			c.Snapshot.Models["a"].Version = "2"
			c.steps(1)
			c.Snapshot.Models["a"].Version = "1"
			c.Previous = Plan(c.Input)
			c.Snapshot.Models["a"].Version = "2"
			c.steps(40)
			assert.Equal(t, c.servingPerDomain(loadedModel("a", "2")), [3]int{3, 3, 3}, "engines that drain already are replaced first")
		}},
	} {
		t.Run(name, func(t *testing.T) { c.run(t, c.cell) })
	}
}

// Guards against a demand that counts generations twice, or not at all if only one
// report lists them.
func TestMeter(t *testing.T) {
	var m Meter
	u := newSnapshot(1).Upstreams["e00"]
	now := time.Time{}
	for i := range 600 {
		// One generation runs all the time. Two others end before they appear in a
		// second report.
		r := &bramleytack.LoadReport{Running: 3, Generations: []bramleytack.GenerationState{{Stream: "s", Tokens: 40 * i}}}
		m.Observe(u, "m", now, r)
		now = now.Add(2 * time.Second)
	}
	assert.Assert(t, m.Demand()["m"] > 59 && m.Demand()["m"] < 61, "%v", m.Demand())
	assert.Equal(t, m.Capacity()["m"], 160.0)
	m.Retain(nil)
	assert.Equal(t, len(m.Demand()), 0)
}
