package btbench

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"sync"
)

// Row is a policy's runs under one mix, one for each seed.
type Row struct {
	Mix    Mix
	Policy Policy
	Seeds  []uint64
	Runs   []Result
}

// Table holds the rows of one measurement.
type Table struct {
	Rows []Row
}

// Measure runs all policies on all mixes with the same seeds, on a number of
// workers.
func Measure(mixes []Mix, policies []Policy, seeds []uint64, workers int) Table {
	var t Table
	for _, m := range mixes {
		for _, p := range policies {
			t.Rows = append(t.Rows, Row{Mix: m, Policy: p, Seeds: seeds, Runs: make([]Result, len(seeds))})
		}
	}
	jobs := make(chan func())
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for job := range jobs {
				job()
			}
		})
	}
	for i := range t.Rows {
		r := &t.Rows[i]
		for k, seed := range seeds {
			jobs <- func() { r.Runs[k] = Run(r.Mix, r.Policy, seed) }
		}
	}
	close(jobs)
	wg.Wait()
	return t
}

// mixes returns the rows of each mix.
func (t Table) mixes() [][]Row {
	var list [][]Row
	for _, r := range t.Rows {
		if n := len(list); n == 0 || list[n-1][0].Mix.Name != r.Mix.Name {
			list = append(list, nil)
		}
		list[len(list)-1] = append(list[len(list)-1], r)
	}
	return list
}

// WriteMarkdown writes one table for each mix.
func (t Table) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	for _, rows := range t.mixes() {
		fmt.Fprintf(&b, "## %s\n\nMean and standard deviation over %d seeds (%d to %d). Commitment: %.0f tokens/s.\n\n",
			rows[0].Mix.Name, len(rows[0].Seeds), rows[0].Seeds[0], rows[0].Seeds[len(rows[0].Seeds)-1], rows[0].Mix.Commitment())
		b.WriteString("|")
		for _, r := range rows {
			b.WriteString(" | " + r.Policy.Name)
		}
		b.WriteString(" |\n|" + strings.Repeat(" --- |", len(rows)+1) + "\n")
		for _, c := range Columns() {
			b.WriteString("| " + c.Head)
			for _, r := range rows {
				s := c.Summarize(r.Runs)
				fmt.Fprintf(&b, " | %.*f ± %.*f", c.Digits, s.Mean, c.Digits, s.Spread)
			}
			b.WriteString(" |\n")
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteCSV writes one line for each run.
func (t Table) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	head := []string{"mix", "policy", "seed"}
	for _, c := range Columns() {
		head = append(head, c.Key)
	}
	_ = out.Write(head)
	for _, r := range t.Rows {
		for k := range r.Runs {
			line := []string{r.Mix.Name, r.Policy.Name, strconv.FormatUint(r.Seeds[k], 10)}
			for _, c := range Columns() {
				line = append(line, strconv.FormatFloat(c.Value(&r.Runs[k]), 'g', 6, 64))
			}
			_ = out.Write(line)
		}
	}
	out.Flush()
	return out.Error()
}

// Ratio returns ours over the best simple baseline for a column, the worse of
// the mixes.
func (t Table) Ratio(c Column) float64 {
	worst := math.NaN()
	for _, rows := range t.mixes() {
		best, ours := math.NaN(), math.NaN()
		for _, r := range rows {
			v := c.Summarize(r.Runs).Mean
			switch {
			case r.Policy.Name == Ours().Name:
				ours = v
			case r.Policy.Simple != nil:
				best = c.better(best, v)
			}
		}
		worst = c.worse(worst, ratio(ours, best))
	}
	return worst
}

func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	return a / b
}

// better returns the better of two values, or the one that is a number.
func (c Column) better(a, b float64) float64 {
	if math.IsNaN(a) || (b > a) == c.Higher {
		return b
	}
	return a
}

// worse returns the worse of two values, or the one that is a number.
func (c Column) worse(a, b float64) float64 {
	if math.IsNaN(a) || (b > a) != c.Higher {
		return b
	}
	return a
}

// RatioLine returns the last line of a measurement's output.
func (t Table) RatioLine() string {
	keys := []string{"stallP99", "preemptions", "tbtP99", "goodput"}
	line := "ratio"
	for _, k := range keys {
		line += fmt.Sprintf(" %s=%.3f", k, t.Ratio(column(k)))
	}
	return line
}
