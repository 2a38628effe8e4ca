package btworker

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// errNoRun is the answer to a move of a generation that does not run, or to an
// upstream that is down.
var errNoRun = errors.New("btworker: no such generation or target")

// errLostAnswer is returned for an order that was carried out and whose answer was lost.
var errLostAnswer = errors.New("btworker: answer lost")

// Pool is a set of upstreams that know each other.
type Pool struct {
	// Listen opens an upstream's address.
	Listen  func(addr netip.AddrPort) (net.Listener, error)
	Dialect bramleytack.FleetDialect
	// Calls serves the calls of engines that are no requests, and says whether
	// it did. Nil serves none.
	Calls func(w http.ResponseWriter, r *http.Request) bool
	// Reach connects to an upstream for an order. Nil reaches all of them.
	Reach func(ctx context.Context, addr netip.AddrPort) error
	// CopyDelay is the time until a copy has arrived, MoveTime the length of a
	// move.
	CopyDelay time.Duration
	MoveTime  time.Duration
	// KeepsEnded makes moves outlast their calls and their generations, as those of most engines do.
	// Others leave no copy then.
	KeepsEnded bool
	// KeepVisits makes the pool keep the stays of all requests.
	KeepVisits bool

	mu      sync.Mutex
	workers map[netip.AddrPort]*Worker
	runs    map[string]int
	visits  map[string][]*Visit
	spans   []*Span
	// kept is what stopped upstreams keep.
	kept []bramleytack.EngineCopy
}

// Span is the time in which an upstream worked on a request that it began to run or to go
// on with.
type Span struct {
	ID     string
	Worker string
	// Run is the number of the request's run, and Start the event that it began after, zero
	// from the start. They stay the same from copy to copy.
	Run   int
	Start int
	// Last is the event that the span goes on after.
	Last int
	From time.Time
	// To is zero while the work goes on.
	To time.Time
	// Bad is set if a flaw of the upstream's version made the answer bad.
	Bad bool
}

var _ bramleytack.EngineMover = (*Pool)(nil)

// Start starts an upstream.
func (p *Pool) Start(cfg Config) *Worker {
	w := &Worker{pool: p, places: places{count: cfg.Slots, queue: cfg.Queue}, cfg: cfg, copies: map[string]heldCopy{}, active: map[string]*Span{}, cancels: map[string]context.CancelFunc{}}
	p.mu.Lock()
	if p.workers == nil {
		p.workers, p.runs = map[netip.AddrPort]*Worker{}, map[string]int{}
	}
	p.workers[cfg.Addr] = w
	p.mu.Unlock()
	w.serve()
	return w
}

// RanTwice returns the requests that began to run more than once.
func (p *Pool) RanTwice() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var twice []string
	for id, n := range p.runs {
		if n > 1 {
			twice = append(twice, id)
		}
	}
	return twice
}

// Runs returns how often a request began to run, over all upstreams. Going on
// from a copy is no new run.
func (p *Pool) Runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// Spans returns the work of all upstreams, in the order in which it began.
func (p *Pool) Spans() []Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Span, len(p.spans))
	for i, s := range p.spans {
		all[i] = *s
	}
	return all
}

// begin records that an upstream begins to work on a request, from a copy or, if that is
// nil, as a new run.
func (p *Pool) begin(worker, id string, from *heldCopy, last int) *Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == nil {
		p.runs[id]++
		from = &heldCopy{run: p.runs[id], start: last}
	}
	s := &Span{ID: id, Worker: worker, Run: from.run, Start: from.start, Last: last, From: time.Now()}
	p.spans = append(p.spans, s)
	return s
}

func (p *Pool) markBad(s *Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Bad = true
}

func (p *Pool) end(s *Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.To = time.Now()
}

func (p *Pool) at(addr netip.AddrPort) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[addr]
}

// Move implements bramleytack.EngineMover.
func (p *Pool) Move(ctx context.Context, source, target netip.AddrPort, id string) (bramleytack.EngineCopy, error) {
	from, to := p.at(source), p.at(target)
	if from == nil || to == nil || to.crashed.Load() {
		return bramleytack.EngineCopy{}, errNoRun
	}
	begun := from.running(id)
	if begun == nil {
		return bramleytack.EngineCopy{}, errNoRun
	}
	select {
	case <-time.After(p.MoveTime):
	case <-ctx.Done():
		if p.KeepsEnded {
			to.keep(moveCopy(source, id).String(), begun, p.MoveTime)
		}
		return bramleytack.EngineCopy{}, ctx.Err()
	}
	run := from.running(id)
	if run == nil && p.KeepsEnded {
		run = begun
	}
	if run == nil || to.crashed.Load() {
		return bramleytack.EngineCopy{}, errNoRun
	}
	c := moveCopy(source, id)
	to.keep(c.String(), run, 0)
	return c, nil
}

// moveCopy returns the handle of a move.
func moveCopy(source netip.AddrPort, id string) bramleytack.EngineCopy {
	return bramleytack.EngineCopy{Holder: source, Handle: "move-" + id}
}

// Stop implements bramleytack.EngineMover. The order takes a round trip, on the path that the
// caller of a generation has.
func (p *Pool) Stop(ctx context.Context, source, _ netip.AddrPort, id string) (c bramleytack.EngineCopy, _ error) {
	if p.Reach != nil {
		if err := p.Reach(ctx, source); err != nil {
			return c, err
		}
	}
	w := p.at(source)
	if w == nil || w.crashed.Load() {
		return c, syscall.ECONNREFUSED
	}
	if w.running(id) == nil {
		return c, bramleytack.ErrNoGeneration
	}
	if w.unstoppable.Load() {
		return c, nil
	}
	w.stop(id)
	if w.lostAnswers.Add(-1) >= 0 {
		return c, errLostAnswer
	}
	c = moveCopy(source, id)
	p.mu.Lock()
	p.kept = append(p.kept, c)
	p.mu.Unlock()
	return c, nil
}

// Free implements bramleytack.EngineMover. It frees both ends of a copy.
func (p *Pool) Free(_ context.Context, c bramleytack.EngineCopy) error {
	p.mu.Lock()
	p.kept = slices.DeleteFunc(p.kept, func(o bramleytack.EngineCopy) bool { return o == c })
	workers := slices.Collect(maps.Values(p.workers))
	p.mu.Unlock()
	for _, w := range workers {
		w.drop(c.String())
	}
	return nil
}

// Kept returns what stopped upstreams keep of generations.
func (p *Pool) Kept() []bramleytack.EngineCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.kept)
}
