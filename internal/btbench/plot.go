package btbench

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotted are the columns that have a plot.
var plotted = [...]string{"stallP99", "preemptions", "tbtP99", "goodput", "ttftInteractive", "domain", "used"}

// WritePlots writes one SVG for each plotted column into dir.
func (t Table) WritePlots(dir string) error {
	for _, key := range plotted {
		p, err := t.plot(column(key))
		if err != nil {
			return err
		}
		if err := p.Save(24*vg.Centimeter, 11*vg.Centimeter, filepath.Join(dir, key+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// bars holds the bars of one mix with their spread.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

func (t Table) plot(c Column) (*plot.Plot, error) {
	const width = 16
	p := plot.New()
	p.Title.Text = c.Head
	p.Y.Min = 0
	p.Legend.Top = true
	mixes := t.mixes()
	for i, rows := range mixes {
		offset := (float64(i) - float64(len(mixes)-1)/2) * width
		var names []string
		var values plotter.Values
		var marks bars
		for k, r := range rows {
			s := c.Summarize(r.Runs)
			names = append(names, r.Policy.Name)
			values = append(values, s.Mean)
			x := float64(k) + (float64(i)-float64(len(mixes)-1)/2)/10
			marks.XYs = append(marks.XYs, plotter.XY{X: x, Y: s.Mean})
			marks.YErrors = append(marks.YErrors, struct{ Low, High float64 }{s.Spread, s.Spread})
		}
		b, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return nil, err
		}
		b.Color = plotutil.Color(i)
		b.Offset = vg.Points(offset)
		spread, err := plotter.NewYErrorBars(marks)
		if err != nil {
			return nil, err
		}
		p.Add(b, spread)
		p.Legend.Add(rows[0].Mix.Name, b)
		p.NominalX(names...)
	}
	return p, nil
}
