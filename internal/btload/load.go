package btload

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btclient"
)

// Defaults of a Load.
const (
	// DefaultConcurrency is the number of requests in flight.
	DefaultConcurrency = 16
	// DefaultLimit bounds a run in time.
	DefaultLimit = time.Minute
	// DefaultStall is the time between two tokens that counts as a stall.
	DefaultStall = 250 * time.Millisecond
	// streamAttempts covers the time until a list that holds a dead entry has
	// run out: each attempt waits 0.1 to 0.3 s.
	streamAttempts = 20
	// orderSends bounds the sendings of one order.
	orderSends = 12
	// orderPause is the wait between two sendings of an order.
	orderPause = 250 * time.Millisecond
	// callTimeout is the deadline of one sending of an order.
	callTimeout = 10 * time.Second
)

// Load describes the load. Entries, Key and Timer are required.
type Load struct {
	Entries []netip.AddrPort
	Key     string
	Timer   bramleytack.Timer

	// Streams is the number of generations and Orders that of orders.
	Streams int
	Orders  int
	// Model and Tokens describe the generations, Service the orders.
	Model   string
	Tokens  int
	Service string
	// Prefix starts all names and idempotency keys. Two runs against one
	// deployment need different ones.
	Prefix string
	// Concurrency, Limit and Stall replace the defaults when positive.
	Concurrency int
	Limit       time.Duration
	Stall       time.Duration
	// Silence and ResumeWindow are passed to the client.
	Silence      time.Duration
	ResumeWindow time.Duration
	// Priority is that of the generations. Empty takes the workspace's.
	Priority string
	// Started is told the number of requests begun. It may be nil.
	Started func(n int)
}

// job is one request of a load.
type job struct {
	number int
	order  bool
}

// worker sends requests one after another.
type worker struct {
	*Load
	jobs   <-chan job
	report *Report
	wg     *sync.WaitGroup
}

// Run sends all requests and returns what became of them. It ends early when
// the limit or the context ends; the requests that are left then count as not
// sent.
func (l *Load) Run(ctx context.Context) *Report {
	ctx, cancel := context.WithTimeout(ctx, l.limit())
	defer cancel()
	report := newReport(l)
	jobs := make(chan job)
	var wg sync.WaitGroup
	for range l.concurrency() {
		wg.Add(1)
		w := &worker{Load: l, jobs: jobs, report: report, wg: &wg}
		go w.run(ctx)
	}
	l.feed(ctx, jobs)
	close(jobs)
	wg.Wait()
	return report
}

// feed hands out streams and orders in turn.
func (l *Load) feed(ctx context.Context, jobs chan<- job) {
	sent := 0
	for i := range max(l.Streams, l.Orders) {
		for _, j := range []job{{number: i}, {number: i, order: true}} {
			if j.order && i >= l.Orders || !j.order && i >= l.Streams {
				continue
			}
			select {
			case jobs <- j:
			case <-ctx.Done():
				return
			}
			sent++
			if l.Started != nil {
				l.Started(sent)
			}
		}
	}
}

func (w *worker) run(ctx context.Context) {
	defer w.wg.Done()
	for j := range w.jobs {
		if j.order {
			w.report.addOrder(w.order(ctx, j.number))
			continue
		}
		w.report.addStream(w.stream(ctx, j.number))
	}
}

// client returns a client of its own for one request. The first entry that it
// asks is that of the given number, so that the load spreads evenly and a
// repeated order goes elsewhere.
func (l *Load) client(number int) *btclient.Client {
	n := len(l.Entries)
	seeds := make([]netip.AddrPort, 0, n)
	for i := range n {
		seeds = append(seeds, l.Entries[(number+i)%n])
	}
	return &btclient.Client{
		Seeds:    seeds,
		Key:      l.Key,
		Timer:    l.Timer,
		Attempts: streamAttempts,
		Silence:  l.Silence,
	}
}

func (l *Load) limit() time.Duration {
	if l.Limit > 0 {
		return l.Limit
	}
	return DefaultLimit
}

func (l *Load) concurrency() int {
	if l.Concurrency > 0 {
		return l.Concurrency
	}
	return DefaultConcurrency
}

func (l *Load) stall() time.Duration {
	if l.Stall > 0 {
		return l.Stall
	}
	return DefaultStall
}
