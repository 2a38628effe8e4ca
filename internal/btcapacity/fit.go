package btcapacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Point is one measured value at one size.
type Point struct{ X, Y float64 }

// Line is y = Base + Slope*x.
type Line struct{ Base, Slope float64 }

// At returns the value at a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the line with the least squares of differences. With fewer than
// two sizes, the slope is zero.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / n}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

// The middle sizes, which hold while another size changes.
var middle = Scenario{Daemons: 8, Upstreams: 120, Workspaces: 260}

// designCell is one cell of the design size. Its configuration lacks only the
// upstreams of other cells, which its daemons must not own.
var designCell = Scenario{Daemons: 32, Upstreams: 150, Workspaces: 2600, Changes: 1, Hosts: 12100}

// designName selects designCell in Scenarios.
const designName = "design"

// streamScenarios are the streams of the first of two daemons at the design size, a quarter
// of them, and the bare copy of both.
var streamScenarios = []Scenario{
	{Daemons: 2, Upstreams: 6, Workspaces: 10, Streams: 200},
	{Daemons: 2, Upstreams: 6, Workspaces: 10, Streams: 200, Copy: true},
	{Daemons: 2, Upstreams: 6, Workspaces: 10, Streams: 800},
	{Daemons: 2, Upstreams: 6, Workspaces: 10, Streams: 800, Copy: true},
}

// streamsName selects streamScenarios in Scenarios.
const streamsName = "streams"

// sweep is a size that varies.
type sweep struct {
	name   string
	values []int
	set    func(*Scenario, int)
	get    func(Scenario) int
}

var sweeps = []sweep{
	{"daemons", []int{2, 4, 8, 16, 32}, func(s *Scenario, v int) { s.Daemons = v }, func(s Scenario) int { return s.Daemons }},
	{"upstreams", []int{12, 120, 1200}, func(s *Scenario, v int) { s.Upstreams = v }, func(s Scenario) int { return s.Upstreams }},
	{"workspaces", []int{10, 260, 2600}, func(s *Scenario, v int) { s.Workspaces = v }, func(s Scenario) int { return s.Workspaces }},
	{"changes", []int{0, 1, 10}, func(s *Scenario, v int) { s.Changes = v }, func(s Scenario) int { return s.Changes }},
	{"hosts", []int{0, 1200, 12000}, func(s *Scenario, v int) { s.Hosts = v }, func(s Scenario) int { return s.Hosts }},
}

// Scenarios returns the scenarios of a sweep, or of all for an empty name.
func Scenarios(name string) []Scenario {
	var list []Scenario
	for _, w := range sweeps {
		if name != "" && name != w.name {
			continue
		}
		for _, v := range w.values {
			s := middle
			w.set(&s, v)
			if !slices.Contains(list, s) {
				list = append(list, s)
			}
		}
	}
	if name == "" || name == designName {
		list = append(list, designCell)
	}
	if name == "" || name == streamsName {
		list = append(list, streamScenarios...)
	}
	return list
}

// points returns the values of the samples that belong to a sweep.
func (w sweep) points(samples []Sample, value func(Sample) (float64, bool)) []Point {
	var points []Point
	for _, s := range samples {
		rest := s.Scenario
		rest.Seconds = 0
		w.set(&rest, w.get(middle))
		if rest != middle {
			continue
		}
		if y, ok := value(s); ok {
			points = append(points, Point{float64(w.get(s.Scenario)), y})
		}
	}
	return points
}

// quantity is a figure of a Sample.
type quantity struct {
	name  string
	value func(Sample) (float64, bool)
}

func perDaemon(value func(Sample) float64) func(Sample) (float64, bool) {
	return func(s Sample) (float64, bool) { return value(s), true }
}

// ofCell returns the sum of a figure over all daemons.
func ofCell(value func(Daemon) float64) func(Sample) (float64, bool) {
	return func(s Sample) (float64, bool) {
		sum := 0.0
		for _, d := range s.Daemons {
			sum += value(d)
		}
		return sum, true
	}
}

// ofRole returns the mean of a figure over the daemons of a role. An empty role
// takes all.
func ofRole(r Role, value func(Daemon) float64) func(Sample) (float64, bool) {
	return func(s Sample) (float64, bool) {
		sum, n := 0.0, 0
		for _, d := range s.Daemons {
			if r == "" || d.Role == r {
				sum += value(d)
				n++
			}
		}
		return sum / max(float64(n), 1), n > 0
	}
}

func quantities(samples []Sample) []quantity {
	list := []quantity{
		{"processor, share of a core", perDaemon(func(s Sample) float64 { return s.Processor })},
		{"heap, bytes", perDaemon(func(s Sample) float64 { return s.Heap })},
		{"stacks, bytes", perDaemon(func(s Sample) float64 { return s.Stack })},
		{"goroutines", perDaemon(func(s Sample) float64 { return s.Goroutines })},
		{"cell store reads/s", ofCell(func(d Daemon) float64 { return d.Reads })},
		{"cell store writes/s", ofCell(func(d Daemon) float64 { return d.Writes })},
		{"cell watches open", ofCell(func(d Daemon) float64 { return d.Watches })},
	}
	for _, r := range []Role{"", Coordinator, Deputy, Member} {
		label := string(r)
		if r == "" {
			label = "daemon"
		}
		list = append(
			list,
			quantity{label + " link bytes sent/s", ofRole(r, func(d Daemon) float64 { return d.SentBytes })},
			quantity{label + " link bytes received/s", ofRole(r, func(d Daemon) float64 { return d.ReceivedBytes })},
			quantity{label + " store reads/s", ofRole(r, func(d Daemon) float64 { return d.Reads })},
			quantity{label + " store writes/s", ofRole(r, func(d Daemon) float64 { return d.Writes })},
			quantity{label + " watches open", ofRole(r, func(d Daemon) float64 { return d.Watches })},
		)
		for _, name := range messageNames(samples) {
			short := label + " " + strings.TrimPrefix(name, "bramleytack.wire.")
			list = append(
				list,
				quantity{short + " messages/s", ofRole(r, func(d Daemon) float64 { return d.Messages[name] })},
				quantity{short + " bytes/s", ofRole(r, func(d Daemon) float64 { return d.Bytes[name] })},
			)
		}
	}
	return list
}

func messageNames(samples []Sample) []string {
	names := map[string]bool{}
	for _, s := range samples {
		for _, d := range s.Daemons {
			for name, n := range d.Messages {
				if n > 0 {
					names[name] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Report returns the lines of all quantities over all sweeps as text, with the
// medians at each size. The daemons of
// a sweep share its upstreams; the model separates the two.
func Report(samples []Sample) string {
	var b strings.Builder
	for _, w := range sweeps {
		fmt.Fprintf(&b, "== %s\n", w.name)
		for _, q := range quantities(samples) {
			points := w.points(samples, q.value)
			l := Fit(points)
			if sizes(points) < 2 || l.Base == 0 && l.Slope == 0 {
				continue
			}
			fmt.Fprintf(&b, "%-46s base %12.5g  slope %12.5g  n=%d  medians", q.name, l.Base, l.Slope, len(points))
			for _, v := range w.values {
				fmt.Fprintf(&b, " %d:%.5g", v, median(points, float64(v)))
			}
			b.WriteByte('\n')
		}
	}
	reportModel(&b, samples)
	fmt.Fprintf(&b, "== %s\n", designName)
	for _, q := range quantities(samples) {
		points := designPoints(samples, q.value)
		if m := median(points, 0); m != 0 {
			fmt.Fprintf(&b, "%-46s median %12.5g  n=%d\n", q.name, m, len(points))
		}
	}
	fmt.Fprintf(&b, "== %s\n", streamsName)
	for _, s := range samples {
		if s.Scenario.Streams > 0 {
			fmt.Fprintln(&b, s.Line())
		}
	}
	return b.String()
}

func designPoints(samples []Sample, value func(Sample) (float64, bool)) []Point {
	var points []Point
	for _, s := range samples {
		size := s.Scenario
		size.Seconds = 0
		if y, ok := value(s); ok && size == designCell {
			points = append(points, Point{Y: y})
		}
	}
	return points
}

func sizes(points []Point) int {
	seen := map[float64]bool{}
	for _, p := range points {
		seen[p.X] = true
	}
	return len(seen)
}

func median(points []Point, x float64) float64 {
	var values []float64
	for _, p := range points {
		if p.X == x {
			values = append(values, p.Y)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// DecodeSamples reads samples, one JSON object after another.
func DecodeSamples(data []byte) ([]Sample, error) {
	var list []Sample
	for dec := json.NewDecoder(bytes.NewReader(data)); ; {
		var s Sample
		err := dec.Decode(&s)
		if err == io.EOF {
			return list, nil
		}
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
}

// Line returns the main figures of a sample.
func (s Sample) Line() string {
	if s.Scenario.Streams > 0 {
		return fmt.Sprintf("%+v: processor %.3f, %.0f tokens/s, %.1f us/token, per stream heap %.1f KB, stacks %.1f KB",
			s.Scenario, s.Processor, s.Tokens, s.PerToken*1e6, s.StreamHeap/1e3, s.StreamStack/1e3)
	}
	sent, _ := ofRole("", func(d Daemon) float64 { return d.SentBytes })(s)
	return fmt.Sprintf("%+v: processor %.4f, heap %.2f MB, stacks %.2f MB, sent %.0f B/s per daemon",
		s.Scenario, s.Processor, s.Heap/1e6, s.Stack/1e6, sent)
}
