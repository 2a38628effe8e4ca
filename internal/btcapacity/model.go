package btcapacity

import (
	"fmt"
	"math"
	"strings"
)

// features are what the cost of a daemon depends on.
type features struct {
	name  string
	value func(Scenario) float64
}

// costs are the terms of the model. Members of a cell share its upstreams and
// the reads of the host list.
var costs = []features{
	{"base", func(Scenario) float64 { return 1 }},
	{"member", func(s Scenario) float64 { return float64(s.Daemons) }},
	{"owned upstream", func(s Scenario) float64 { return float64(s.Upstreams) / float64(s.Daemons) }},
	{"record", func(s Scenario) float64 { return float64(s.Upstreams + s.Workspaces) }},
	{"change/s", func(s Scenario) float64 { return float64(s.Changes) }},
	{"host list entry", func(s Scenario) float64 { return float64(s.Hosts) / float64(s.Daemons) }},
}

// Model holds the cost of one more of each of costs.
type Model []float64

// The design size: a cell that owns 150 of the fleet's upstreams, and one that
// owns all of them because no record assigns them to cells.
var (
	designTerms = []float64{1, 32, 150. / 32, 12_629, 1, 12_100. / 32}
	allTerms    = []float64{1, 32, 10_000. / 32, 12_629, 1, 12_100. / 32}
)

// FitModel returns the model with the least squares over all samples without
// streams. It returns nil if the sizes do not determine it.
func FitModel(samples []Sample, value func(Sample) (float64, bool)) Model {
	n := len(costs)
	// The last column is the right side of the normal equations.
	a := make([][]float64, n)
	for i := range a {
		a[i] = make([]float64, n+1)
	}
	for _, s := range samples {
		y, ok := value(s)
		if !ok || s.Scenario.Streams > 0 {
			continue
		}
		for i := range n {
			x := costs[i].value(s.Scenario)
			for j := range n {
				a[i][j] += x * costs[j].value(s.Scenario)
			}
			a[i][n] += x * y
		}
	}
	return solve(a)
}

// solve does Gaussian elimination with the largest pivot.
func solve(a [][]float64) Model {
	const smallest = 1e-9
	n := len(a)
	for c := range n {
		p := c
		for r := c + 1; r < n; r++ {
			if math.Abs(a[r][c]) > math.Abs(a[p][c]) {
				p = r
			}
		}
		if math.Abs(a[p][c]) < smallest {
			return nil
		}
		a[c], a[p] = a[p], a[c]
		for r := range n {
			if r == c {
				continue
			}
			f := a[r][c] / a[c][c]
			for k := c; k <= n; k++ {
				a[r][k] -= f * a[c][k]
			}
		}
	}
	m := make(Model, n)
	for i := range m {
		m[i] = a[i][n] / a[i][i]
	}
	return m
}

// At returns the cost at the terms.
func (m Model) At(terms []float64) float64 {
	sum := 0.0
	for i, c := range m {
		sum += c * terms[i]
	}
	return sum
}

// reportModel writes the model of each quantity and its value at the design
// size.
func reportModel(b *strings.Builder, samples []Sample) {
	fmt.Fprintln(b, "== model")
	for _, q := range quantities(samples) {
		m := FitModel(samples, q.value)
		if m == nil {
			continue
		}
		if m.At(designTerms) == 0 {
			continue
		}
		fmt.Fprintf(b, "%-46s", q.name)
		for i, c := range costs {
			fmt.Fprintf(b, " %s %.4g", c.name, m[i])
		}
		fmt.Fprintf(b, "; design %.5g, all upstreams %.5g\n", m.At(designTerms), m.At(allTerms))
	}
}
