package btplace

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btowner"
	"bramleytack/btroute"
	"bramleytack/internal/btengine"
	"bramleytack/internal/btmemstore"
)

// discard is a ResponseWriter that discards the response.
type discard struct{}

func (discard) Open(bramleytack.Opening) error      { return nil }
func (discard) Token(bramleytack.Token) error       { return nil }
func (discard) Close(bramleytack.Completion) error  { return nil }
func (discard) Respond(*bramleytack.Response) error { return nil }

// traffic sends requests as an entry daemon does: it chooses an engine that is
// known to hold the version, reserves capacity with the owner and runs the
// request on the engine.
type traffic struct {
	*fleet
	t       *testing.T
	table   *btowner.Table
	loads   btroute.Loads
	running sync.WaitGroup

	mu sync.Mutex
	// versions counts the completed requests by version.
	versions map[string]int
	failed   []error
}

// readReports passes the engines' load reports to the owner and its digests to the
// route filter, as daemons do.
func (x *traffic) readReports() {
	for id := range x.Snapshot().Upstreams {
		x.withEngine(id, func(now time.Time, c *btengine.Core) {
			r := c.Report(now)
			r.Leaving = r.Role == RoleDraining
			x.table.Report(id, r)
			if d, ok := x.table.Digest(id); ok {
				x.loads.SetDigest(now, d)
			}
		})
	}
}

// Handle runs a request on its target engine until the generation ends.
func (x *traffic) Handle(_ context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
	var stream bramleytack.StreamID
	var err error
	x.withEngine(r.Target.Upstream.ID, func(now time.Time, c *btengine.Core) {
		stream, err = c.Submit(now, bramleytack.GenerationRequest{ID: r.AttemptID(), Model: "m", Version: r.Target.Version, Prompt: r.Prompt})
	})
	if err != nil {
		return errors.Wrapf(err, "version %s on %s", r.Target.Version, r.Target.Upstream.ID)
	}
	for done := false; !done; {
		time.Sleep(50 * time.Millisecond)
		x.withEngine(r.Target.Upstream.ID, func(now time.Time, c *btengine.Core) {
			p, ok := c.Generation(now, stream)
			if done = p.Finish != btengine.FinishNone; !ok || done && p.Finish.String() != "stop" {
				done, err = true, errors.Newf("generation ended by %q", p.Finish)
			}
		})
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.versions[r.Target.Version]++
	return err
}

// send routes and runs one request, and records its error.
func (x *traffic) send(f *btroute.Filter, n int) {
	r := &bramleytack.Request{
		ID: bramleytack.RequestID(fmt.Sprint("r", n)), Kind: bramleytack.Generate, Model: "m", Workspace: "w", Prompt: "[[tokens=300]]", MaxTokens: 400,
	}
	if err := f.Handle(x.t.Context(), r, discard{}, x); err != nil {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.failed = append(x.failed, err)
	}
}

// Guards against a change of version under load that sends a request to an
// engine which does not hold its version, interrupts a generation, leaves the
// model without engines, or takes more engines out of service than allowed.
func TestVersionUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := btengine.DefaultConfig()
		cfg.Models, cfg.ChecksFence, cfg.MaxModels = []bramleytack.LoadedModel{loadedModel("m", "1")}, true, 1
		x := &traffic{
			fleet: newFleet(t, 8, cfg, bramleytack.Model{Name: "m", Version: "1", Replicas: 8}), t: t, versions: map[string]int{},
		}
		x.table = btowner.NewTable(btowner.Config{}, x.timer)
		for id, u := range x.Snapshot().Upstreams {
			x.table.Own(u)
			x.withEngine(id, func(now time.Time, c *btengine.Core) { x.table.Report(id, c.Report(now)) })
		}
		filter := &btroute.Filter{
			Entry: "h", Snapshots: x, Owner: x.table, Timer: x.timer, Loads: &x.loads, Models: &x.loads, AllowOtherVersions: true,
			Policy: &btroute.Scored{Prefixes: &btroute.Prefixes{}}, Retry: &btroute.Backoff{Timer: x.timer},
		}
		x.startController(t, &hostUpstreams{fleet: x.fleet}, &testLease{fence: 1, left: leaseLeft}, btmemstore.New(), Times{}, Policy{})
		minServing := 8
		for n := range 2400 {
			if n == 200 {
				x.setVersion("m", "2")
			}
			if n%5 == 0 {
				x.readReports()
				minServing = min(minServing, x.countServing())
			}
			x.running.Go(func() { x.send(filter, n) })
			time.Sleep(100 * time.Millisecond)
		}
		x.running.Wait()
		assert.Equal(t, len(x.failed), 0, "%v", x.failed)
		assert.Equal(t, x.countPlaced(loadedModel("m", "2")), 8)
		assert.Assert(t, minServing >= 6, "%d of 8 engines in service", minServing)
		assert.Assert(t, x.versions["1"] > 200 && x.versions["2"] > 200, "%v", x.versions)
		rejected := 0
		for id := range x.Snapshot().Upstreams {
			x.withEngine(id, func(_ time.Time, c *btengine.Core) { rejected += c.Stats().Refused })
		}
		for id, commands := range x.deliveries {
			for _, d := range commands {
				assert.Assert(t, d.command.Kind != bramleytack.CommandUnload || d.inFlight == 0, "%s unloads with %d generations", id, d.inFlight)
			}
		}
		assert.Equal(t, rejected, 0, "requests for a version that the engine does not hold")
	})
}

// countServing returns the number of engines that hold the model and are not
// draining.
func (x *traffic) countServing() (n int) {
	for id := range x.Snapshot().Upstreams {
		x.withEngine(id, func(now time.Time, c *btengine.Core) {
			if r := c.Report(now); r.Role != RoleDraining && holdsModel(&r, "m") {
				n++
			}
		})
	}
	return n
}
