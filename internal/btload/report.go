package btload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"bramleytack"
)

// The range of the histograms, in microseconds.
const (
	leastTime = 1
	mostTime  = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
	// maxFaults bounds the faults that a report keeps.
	maxFaults = 20
)

// Tally counts what became of the requests of one kind.
type Tally struct {
	Planned int
	// Complete have the whole and right response.
	Complete int
	// Refused are typed errors that say that nothing ran.
	Refused int
	// Incomplete are other typed errors.
	Incomplete int
	// Wrong have a response that differs from the right one.
	Wrong int
	// Lost ended without a typed error.
	Lost int
	// Repeats counts connections and sendings beyond the first.
	Repeats int
	// Codes counts the typed errors, also those that a repeat made good.
	Codes map[bramleytack.Code]int
	// Examples holds the first error of each code.
	Examples map[bramleytack.Code]string
}

func newTally(planned int) Tally {
	return Tally{Planned: planned, Codes: map[bramleytack.Code]int{}, Examples: map[bramleytack.Code]string{}}
}

func (t *Tally) code(e *bramleytack.Error) {
	t.Codes[e.Code]++
	if t.Codes[e.Code] == 1 {
		t.Examples[e.Code] = e.Error()
	}
}

// Unsent returns the number of requests that were not begun.
func (t *Tally) Unsent() int {
	return t.Planned - t.Complete - t.Refused - t.Incomplete - t.Wrong - t.Lost
}

// Report is what became of a load.
type Report struct {
	mu      sync.Mutex
	stall   time.Duration
	Streams Tally
	Orders  Tally
	Tokens  int
	// Undelivered counts streams that ended incomplete without any token.
	Undelivered int
	// Stalled is the sum of the times between tokens beyond the stall bound.
	Stalled time.Duration
	// FirstToken and Between are in microseconds.
	FirstToken *hdrhistogram.Histogram
	Between    *hdrhistogram.Histogram
	// Done holds the keys of complete orders.
	Done []string
	// Faults describes the first wrong and lost requests.
	Faults []string
}

func newReport(l *Load) *Report {
	return &Report{
		stall:      l.stall(),
		Streams:    newTally(l.Streams),
		Orders:     newTally(l.Orders),
		FirstToken: hdrhistogram.New(leastTime, mostTime, digits),
		Between:    hdrhistogram.New(leastTime, mostTime, digits),
	}
}

func (r *Report) addStream(s streamResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(&r.Streams, s.name, s.err)
	r.Streams.Repeats += s.resumed
	if e := typed(s.err); e != nil {
		r.Streams.code(e)
		if e.Outcome != bramleytack.NotRun && s.tokens == 0 {
			r.Undelivered++
		}
	}
	r.Tokens += s.tokens
	if s.tokens > 0 {
		record(r.FirstToken, s.first)
	}
	for _, gap := range s.gaps {
		record(r.Between, gap)
		r.Stalled += max(gap-r.stall, 0)
	}
}

func (r *Report) addOrder(o orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(&r.Orders, o.key, o.err)
	r.Orders.Repeats += o.sends - 1
	for _, e := range o.failures {
		r.Orders.code(e)
	}
	if o.err == nil {
		r.Done = append(r.Done, o.key)
	}
}

// count adds one request to a tally.
func (r *Report) count(t *Tally, name string, err error) {
	e := typed(err)
	switch {
	case err == nil:
		t.Complete++
	case errors.Is(err, ErrWrong):
		t.Wrong++
		r.fault(name, err)
	case e == nil:
		t.Lost++
		r.fault(name, err)
	case e.Outcome == bramleytack.NotRun:
		t.Refused++
	default:
		t.Incomplete++
	}
}

func (r *Report) fault(name string, err error) {
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, fmt.Sprintf("%s: %v", name, err))
	}
}

// typed returns the Error that the client got, or nil. CodeInternal is no
// answer of the system that a caller could act on.
func typed(err error) *bramleytack.Error {
	var e *bramleytack.Error
	if !errors.As(err, &e) || e.Code == bramleytack.CodeInternal {
		return nil
	}
	return e
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), leastTime), mostTime)
	// A value within the range is always recorded.
	_ = h.RecordValue(us)
}

// Err returns an error if a response was wrong or a request was lost. Typed
// errors are no fault.
func (r *Report) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	bad := r.Streams.Wrong + r.Streams.Lost + r.Orders.Wrong + r.Orders.Lost
	if bad == 0 {
		return nil
	}
	return errors.Newf("btload: %d wrong or lost responses, first: %s", bad, r.Faults[0])
}

// AllComplete returns an error unless each request has its whole response.
func (r *Report) AllComplete() error {
	if err := r.Err(); err != nil {
		return err
	}
	if r.Streams.Complete != r.Streams.Planned || r.Orders.Complete != r.Orders.Planned {
		return errors.Newf("btload: %d of %d streams and %d of %d orders are complete, codes %v %v",
			r.Streams.Complete, r.Streams.Planned, r.Orders.Complete, r.Orders.Planned, r.Streams.Codes, r.Orders.Codes)
	}
	return nil
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	printTally(w, "streams", &r.Streams)
	printTally(w, "orders", &r.Orders)
	if r.Tokens > 0 {
		fmt.Fprintf(w, "tokens %d, stall time %v beyond %v\n", r.Tokens, r.Stalled.Round(time.Millisecond), r.stall)
		printTimes(w, "first token", r.FirstToken)
		printTimes(w, "between tokens", r.Between)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "fault:", f)
	}
}

func printTally(w io.Writer, name string, t *Tally) {
	if t.Planned == 0 {
		return
	}
	fmt.Fprintf(w, "%s %d: complete %d, refused %d, incomplete %d, wrong %d, lost %d, unsent %d, repeats %d\n",
		name, t.Planned, t.Complete, t.Refused, t.Incomplete, t.Wrong, t.Lost, t.Unsent(), t.Repeats)
	for _, c := range slices.Sorted(maps.Keys(t.Codes)) {
		fmt.Fprintf(w, "  %s %d, first: %s\n", c, t.Codes[c], t.Examples[c])
	}
}

// The printed quantiles, in percent.
const (
	median = 50
	p95    = 95
	p99    = 99
)

func printTimes(w io.Writer, name string, h *hdrhistogram.Histogram) {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Fprintf(w, "%s p50 %v, p95 %v, p99 %v, max %v\n", name, at(median), at(p95), at(p99), time.Duration(h.Max())*time.Microsecond)
}
