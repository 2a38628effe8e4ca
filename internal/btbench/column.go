package btbench

import "math"

// Column is one figure of the table.
type Column struct {
	// Key names the figure in CSV and in plots, Head in the table.
	Key   string
	Head  string
	Value func(*Result) float64
	// Higher is set if more is better.
	Higher bool
	// Digits is the number of decimals.
	Digits int
}

// Columns returns the columns of the table in their order.
func Columns() []Column {
	return []Column{
		{Key: "stallMean", Head: "stall mean (s)", Digits: 3, Value: func(r *Result) float64 { return r.StallMean }},
		{Key: "stallP99", Head: "stall p99 (s)", Digits: 2, Value: func(r *Result) float64 { return r.StallP99 }},
		{Key: "preemptions", Head: "preemptions / 1,000", Digits: 1, Value: func(r *Result) float64 { return r.Preemptions }},
		{Key: "tbtP95", Head: "TBT p95 (ms)", Digits: 1, Value: func(r *Result) float64 { return r.GapP95 }},
		{Key: "tbtP99", Head: "TBT p99 (ms)", Digits: 1, Value: func(r *Result) float64 { return r.GapP99 }},
		{Key: "ttftInteractive", Head: "TTFT p95 interactive (s)", Digits: 2, Value: func(r *Result) float64 { return r.FirstInteractive }},
		{Key: "ttftAll", Head: "TTFT p95 all (s)", Digits: 2, Value: func(r *Result) float64 { return r.FirstAll }},
		{Key: "goodput", Head: "goodput (tokens/s)", Digits: 0, Higher: true, Value: func(r *Result) float64 { return r.Goodput }},
		{Key: "refused", Head: "refused / 1,000", Digits: 1, Value: func(r *Result) float64 { return r.Refused }},
		{Key: "broken", Head: "broken / 1,000", Digits: 1, Value: func(r *Result) float64 { return r.Broken }},
		{Key: "used", Head: "commitment used", Digits: 3, Higher: true, Value: func(r *Result) float64 { return r.Used }},
		{Key: "fairness", Head: "Jain", Digits: 3, Higher: true, Value: func(r *Result) float64 { return r.Fairness }},
		{Key: "domain", Head: "domain service", Digits: 3, Higher: true, Value: func(r *Result) float64 { return r.Domain }},
		{Key: "coldLost", Head: "cold engines lost", Digits: 1, Value: func(r *Result) float64 { return r.ColdLost }},
	}
}

// column returns the column with a key.
func column(key string) Column {
	for _, c := range Columns() {
		if c.Key == key {
			return c
		}
	}
	return Column{}
}

// Summary is the mean and the sample standard deviation over seeds.
type Summary struct {
	Mean   float64
	Spread float64
}

// Summarize returns the summary of a column over runs.
func (c Column) Summarize(runs []Result) Summary {
	var s Summary
	for i := range runs {
		s.Mean += c.Value(&runs[i]) / float64(len(runs))
	}
	if len(runs) < 2 {
		return s
	}
	for i := range runs {
		d := c.Value(&runs[i]) - s.Mean
		s.Spread += d * d / float64(len(runs)-1)
	}
	s.Spread = math.Sqrt(s.Spread)
	return s
}
