package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btclaim"
	"bramleytack/btclient"
	"bramleytack/internal/btfleet"
	"bramleytack/internal/btload"
)

// Sizes of the demonstration.
const (
	guideTokens  = 1200
	shortTokens  = 8
	shortCount   = 120
	shortWorkers = 12
	orderCount   = 30
	// outAfter is how long after its record a failure domain may still get
	// new work.
	outAfter = 3 * time.Second
	// returnLimit bounds the wait for work after a failure domain returned.
	returnLimit = 10 * time.Second
	limit       = 40 * time.Second
	silence     = 10 * time.Second
)

// demo runs the demonstration on a fleet.
type demo struct {
	*btfleet.Fleet
	out   io.Writer
	begin time.Time
	// keys are the idempotency keys of all orders that were placed.
	keys []string
	// runs numbers the loads, so that their names differ.
	runs int
}

// say prints what the demonstration saw.
func (d *demo) say(format string, args ...any) {
	at := d.Timer.Now().Sub(d.begin).Seconds()
	fmt.Fprintf(d.out, "%6.2fs  %s\n", at, fmt.Sprintf(format, args...))
}

// serve leaves the fleet running until the context ends.
func (d *demo) serve(ctx context.Context, dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "demo: directory")
	}
	if err := d.WriteFiles(dir); err != nil {
		return err
	}
	d.say("serving; processes.json, api-key and operator.yaml are written; interrupt to stop")
	<-ctx.Done()
	d.say("stopping")
	return nil
}

// guide is a long generation in the background.
type guide struct {
	load btload.Load
	done chan *btload.Report
}

func (g *guide) run(ctx context.Context) { g.done <- g.load.Run(ctx) }

func (d *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	g := &guide{load: d.load("guide", 1, guideTokens, 0), done: make(chan *btload.Report, 1)}
	go g.run(ctx)
	for _, step := range []func(context.Context) error{d.mixed, d.order, d.domain} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("waiting for the long guide")
	if err := d.finish(<-g.done); err != nil {
		return errors.Wrap(err, "demo: guide")
	}
	if err := d.executedOnce(ctx); err != nil {
		return err
	}
	if ended := d.Ended(); len(ended) > 0 {
		return errors.Newf("demo: upstreams ended: %v", ended)
	}
	d.say("no upstream was overloaded; all held")
	return nil
}

// load returns a load on all entries.
func (d *demo) load(name string, streams, tokens, orders int) btload.Load {
	d.runs++
	return btload.Load{
		Entries: d.Entries(), Key: d.Key, Timer: d.Timer, Model: btfleet.Model, Service: btfleet.Service,
		Prefix:  fmt.Sprintf("%s-%d-", name, d.runs),
		Streams: streams, Tokens: tokens, Orders: orders, Concurrency: shortWorkers, Silence: silence,
	}
}

// finish prints a report and checks that all is complete.
func (d *demo) finish(r *btload.Report) error {
	r.Print(d.out)
	d.keys = append(d.keys, r.Done...)
	return r.AllComplete()
}

// mixed sends short classifications and orders while the guide runs.
func (d *demo) mixed(ctx context.Context) error {
	d.say("streaming a guide of %d tokens; sending %d classifications and %d orders", guideTokens, shortCount, orderCount)
	l := d.load("mixed", shortCount, shortTokens, orderCount)
	return errors.Wrap(d.finish(l.Run(ctx)), "demo: mixed load")
}

// order places an order and sends it to another entry with the same key.
func (d *demo) order(ctx context.Context) error {
	const key = "demo-order"
	call := btclient.Call{Service: btfleet.Service, Method: http.MethodPost, Path: "orders", Body: []byte("two pocket squares"), Key: key}
	entries := d.Entries()
	first, err := d.place(ctx, 0, call)
	if err != nil {
		return errors.Wrap(err, "demo: order")
	}
	second, err := d.place(ctx, 1, call)
	if err != nil {
		return errors.Wrap(err, "demo: repeated order")
	}
	d.keys = append(d.keys, key)
	replayed := second.Header.Get(btclaim.ReplayedHeader)
	d.say("order at %s: status %d; again at %s: status %d, replayed %q", entries[0], first.Status, entries[1], second.Status, replayed)
	if string(first.Body) != string(second.Body) || replayed != "true" {
		return errors.Newf("demo: repeated order got %s instead of %s", second.Body, first.Body)
	}
	return nil
}

// place sends a call to the entry with the given index.
func (d *demo) place(ctx context.Context, entry int, call btclient.Call) (*bramleytack.Response, error) {
	c := &btclient.Client{
		Seeds: d.Entries()[entry : entry+1], Key: d.Key, Timer: d.Timer,
		Pick: func(n int) int { return entry % n },
	}
	return c.Call(ctx, call)
}

// domain takes a failure domain out and returns it.
func (d *demo) domain(ctx context.Context) error {
	id := btfleet.Domains[1]
	if err := d.SetDomain(ctx, id, bramleytack.DomainOut); err != nil {
		return err
	}
	d.say("failure domain %s is out of service", id)
	if err := d.Timer.Sleep(ctx, outAfter); err != nil {
		return err
	}
	if err := d.checkOut(ctx, id); err != nil {
		return err
	}
	if err := d.SetDomain(ctx, id, bramleytack.DomainActive); err != nil {
		return err
	}
	d.say("failure domain %s is back", id)
	return d.checkReturn(ctx, id)
}

func (d *demo) checkOut(ctx context.Context, id bramleytack.FailureDomainID) error {
	before, err := d.Accepted(ctx, id)
	if err != nil {
		return err
	}
	l := d.load("out", shortCount, shortTokens, orderCount)
	if err := d.finish(l.Run(ctx)); err != nil {
		return errors.Wrap(err, "demo: load without the failure domain")
	}
	after, err := d.Accepted(ctx, id)
	if err != nil {
		return err
	}
	d.say("work accepted in %s: %+v before, %+v after", id, before, after)
	if after != before {
		return errors.Newf("demo: %s got new work %v after it was taken out", id, outAfter)
	}
	return nil
}

// checkReturn sends load until the failure domain gets work again.
func (d *demo) checkReturn(ctx context.Context, id bramleytack.FailureDomainID) error {
	before, err := d.Accepted(ctx, id)
	if err != nil {
		return err
	}
	for end := d.Timer.Now().Add(returnLimit); d.Timer.Now().Before(end); {
		l := d.load("back", shortCount, shortTokens, orderCount)
		if err := d.finish(l.Run(ctx)); err != nil {
			return errors.Wrap(err, "demo: load after the return")
		}
		after, err := d.Accepted(ctx, id)
		if err != nil {
			return err
		}
		if after.Generations > before.Generations && after.Calls > before.Calls {
			d.say("%s works again: %+v before, %+v after", id, before, after)
			return nil
		}
	}
	return errors.Newf("demo: %s got no work after its return", id)
}

// executedOnce compares the orders with the executions at the services.
func (d *demo) executedOnce(ctx context.Context) error {
	executions, err := d.Executions(ctx)
	if err != nil {
		return err
	}
	for _, key := range d.keys {
		if executions[key] != 1 {
			return errors.Newf("demo: order %s was executed %d times", key, executions[key])
		}
	}
	if len(executions) != len(d.keys) {
		return errors.Newf("demo: %d keys were executed for %d orders", len(executions), len(d.keys))
	}
	d.say("%d orders were executed once each", len(d.keys))
	return nil
}
