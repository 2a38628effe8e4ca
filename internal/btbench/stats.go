package btbench

import (
	"math"
	"slices"
	"time"

	"bramleytack"
)

// stallAbove is the time between two tokens above which a reader notices a
// stall. Only the time above it counts.
const stallAbove = 250 * time.Millisecond

// waitsAfter is the age from which a request without a token counts as waiting
// for capacity. Younger ones may wait for the next step of their engine only.
const waitsAfter = 500 * time.Millisecond

// record is what became of one request.
type record struct {
	arrival
	number  int
	arrived time.Time
	first   time.Time
	stall   time.Duration
	tokens  int
	starts  int
	ended   bool
	err     *bramleytack.Error
}

// stats collects the figures of one run.
type stats struct {
	mix     Mix
	start   time.Time
	rate    float64
	records []*record
	// young holds the records without a token or an end.
	young []*record
	gaps  histogram
	// delivered counts tokens that readers got, inWindow those while the
	// failure domain left and returned.
	delivered int
	inWindow  int
	// waitingTokens and waitingCapacity cover the times when work waited.
	waitingTokens   float64
	waitingCapacity float64
	windowCapacity  float64
	lastDelivered   int
	lastWaiting     bool
}

func newStats(m Mix, start time.Time) *stats {
	return &stats{mix: m, start: start, rate: m.engineRate()}
}

func (s *stats) arrive(now time.Time, i int, a arrival) *record {
	r := &record{arrival: a, number: i, arrived: now}
	s.records = append(s.records, r)
	s.young = append(s.young, r)
	return r
}

func (s *stats) token(at time.Time, x *stream) {
	r := x.record
	if x.tokens > 0 {
		gap := at.Sub(x.lastAt)
		s.gaps.add(gap)
		r.stall += max(0, gap-stallAbove)
	} else if r.first.IsZero() {
		r.first = at
	}
	x.tokens++
	x.lastAt = at
	r.tokens++
	s.delivered++
	if t := at.Sub(s.start); t >= domainWindow.from && t < domainWindow.to {
		s.inWindow++
	}
}

func (s *stats) end(_ time.Time, r *record, err error) {
	r.ended = true
	if err != nil {
		r.err = bramleytack.AsError(err)
	}
}

// sample measures the use of the commitment while work waits.
func (s *stats) sample(x *sim) {
	warm := 0
	for _, e := range x.engines {
		if !e.core.Dead() && !e.core.Cold() && !e.leaves {
			warm++
		}
	}
	s.young = slices.DeleteFunc(s.young, func(r *record) bool { return r.ended || !r.first.IsZero() })
	waiting := len(s.young) > 0 && x.clock.now.Sub(s.young[0].arrived) > waitsAfter
	capacity := s.rate * float64(warm) * samplePeriod.Seconds()
	if t := x.clock.now.Sub(s.start); t >= domainWindow.from && t < domainWindow.to {
		s.windowCapacity += capacity
	}
	if waiting && s.lastWaiting && x.clock.now.Sub(s.start) < arrivalsEnd {
		s.waitingTokens += float64(s.delivered - s.lastDelivered)
		s.waitingCapacity += capacity
	}
	s.lastDelivered, s.lastWaiting = s.delivered, waiting
}

// Result holds the figures of one run.
type Result struct {
	// StallMean and StallP99 are the stall time per stream in seconds.
	StallMean float64
	StallP99  float64
	// Preemptions counts them per 1,000 generations.
	Preemptions float64
	// GapP95 and GapP99 are the times between tokens in milliseconds.
	GapP95 float64
	GapP99 float64
	// FirstInteractive and FirstAll are the 95% quantiles of the time to first
	// token in seconds. A request without a token counts with the time until
	// it was refused.
	FirstInteractive float64
	FirstAll         float64
	// Goodput is the output of completed requests in tokens per second.
	Goodput float64
	// Refused and Broken count requests per 1,000 that were refused, and that
	// ended incomplete.
	Refused float64
	Broken  float64
	// Used is the share of the commitment used while work waited.
	Used float64
	// Fairness is Jain's index of what workspaces got of their fair shares.
	Fairness float64
	// Domain is the service while a failure domain leaves and returns: tokens
	// delivered as a share of what was offered or could be served.
	Domain float64
	// ColdLost counts engines that were killed while cold.
	ColdLost float64
	// Requests, Completed and Tokens are the counts behind the rates.
	Requests  int
	Completed int
	Tokens    int
	// Delivered counts the tokens that readers got, Decoded those that engines
	// decoded.
	Delivered int
	Decoded   int
}

func (s *stats) result(x *sim) Result {
	r := Result{Requests: len(s.records), Delivered: s.delivered}
	starts := s.count(&r)
	s.latencies(&r)
	preemptions := 0
	for _, e := range x.engines {
		st := e.core.Stats()
		preemptions += st.Preemptions
		r.Decoded += st.Tokens
		r.ColdLost += float64(st.ColdDeaths)
	}
	r.Preemptions = 1000 * float64(preemptions) / float64(max(starts, 1))
	r.GapP95 = s.gaps.quantile(0.95).Seconds() * 1000
	r.GapP99 = s.gaps.quantile(0.99).Seconds() * 1000
	r.Used = 1
	if s.waitingCapacity > 0 {
		r.Used = s.waitingTokens / s.waitingCapacity
	}
	r.Domain = 1
	if allowed := min(s.offered(domainWindow), s.windowCapacity); allowed > 0 {
		r.Domain = float64(s.inWindow) / allowed
	}
	r.Fairness = s.fairness()
	return r
}

// count fills the counts and returns the number of generations started.
func (s *stats) count(r *Result) int {
	starts := 0
	for _, q := range s.records {
		starts += q.starts
		switch {
		case q.ended && q.err == nil:
			r.Completed++
			r.Tokens += q.tokens
		case q.ended && q.tokens == 0:
			r.Refused++
		case q.ended:
			r.Broken++
		}
	}
	n := float64(max(len(s.records), 1))
	r.Refused *= 1000 / n
	r.Broken *= 1000 / n
	r.Goodput = float64(r.Tokens) / horizon.Seconds()
	return starts
}

func (s *stats) latencies(r *Result) {
	var stalls, all, interactive []float64
	for _, q := range s.records {
		if q.tokens > 0 {
			stalls = append(stalls, q.stall.Seconds())
			r.StallMean += q.stall.Seconds()
		}
		if q.first.IsZero() {
			continue
		}
		t := q.first.Sub(q.arrived).Seconds()
		all = append(all, t)
		if s.mix.Classes[q.class].Priority == bramleytack.Interactive {
			interactive = append(interactive, t)
		}
	}
	r.StallMean /= float64(max(len(stalls), 1))
	r.StallP99 = quantile(stalls, 0.99)
	r.FirstAll = quantile(all, 0.95)
	r.FirstInteractive = quantile(interactive, 0.95)
}

// offered returns the output tokens of the requests that arrived in a span.
func (s *stats) offered(p span) float64 {
	sum := 0
	for _, q := range s.records {
		if q.at >= p.from && q.at < p.to {
			sum += q.arrival.tokens
		}
	}
	return float64(sum)
}

// fairness compares what each workspace got with its weighted max-min share
// of what all got.
func (s *stats) fairness() float64 {
	var got, asked [len(workspaceWeights)]float64
	total := 0.0
	for _, q := range s.records {
		asked[q.workspace] += float64(q.arrival.tokens)
		if q.ended && q.err == nil {
			got[q.workspace] += float64(q.tokens)
			total += float64(q.tokens)
		}
	}
	fair := maxMin(asked[:], total)
	var sum, squares float64
	for i := range got {
		x := got[i] / max(fair[i], 1)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(got)) * max(squares, math.SmallestNonzeroFloat64))
}

// maxMin divides total by weight, with nobody above what it asked for.
func maxMin(asked []float64, total float64) []float64 {
	fair := make([]float64, len(asked))
	open := make([]int, len(asked))
	for i := range open {
		open[i] = i
	}
	for len(open) > 0 {
		weights := 0.0
		for _, i := range open {
			weights += float64(workspaceWeights[i])
		}
		level := total / weights
		rest := slices.DeleteFunc(slices.Clone(open), func(i int) bool {
			return asked[i] <= level*float64(workspaceWeights[i])
		})
		if len(rest) == len(open) {
			for _, i := range open {
				fair[i] = level * float64(workspaceWeights[i])
			}
			return fair
		}
		for _, i := range open {
			if !slices.Contains(rest, i) {
				fair[i] = asked[i]
				total -= asked[i]
			}
		}
		open = rest
	}
	return fair
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

const (
	// gapBins holds times from 1 ms to about 900 s in steps of 2%.
	gapBins = 700
	gapStep = 0.02
)

// histogram counts times between tokens in bins of equal ratio.
type histogram struct {
	bins  [gapBins]int
	total int
}

func (h *histogram) add(d time.Duration) {
	b := 0
	if d > time.Millisecond {
		b = min(int(math.Log(d.Seconds()*1000)/gapStep), gapBins-1)
	}
	h.bins[b]++
	h.total++
}

func (h *histogram) quantile(q float64) time.Duration {
	want := q * float64(h.total)
	sum := 0.0
	for b, n := range h.bins {
		if sum += float64(n); sum >= want {
			return time.Duration(math.Exp(float64(b)*gapStep) * float64(time.Millisecond))
		}
	}
	return 0
}
