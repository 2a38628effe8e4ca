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

// discard is a Reply that keeps nothing.
type discard struct{}

func (discard) Open(bramleytack.Opening) error      { return nil }
func (discard) Token(bramleytack.Token) error       { return nil }
func (discard) Close(bramleytack.Completion) error  { return nil }
func (discard) Respond(*bramleytack.Response) error { return nil }

// traffic sends requests by the path of an entry: routing by confirmed
// versions, a reservation with the owner, the engine.
type traffic struct {
	*fleet
	t       *testing.T
	table   *btowner.Table
	loads   btroute.Loads
	running sync.WaitGroup

	mu       sync.Mutex
	versions map[string]int
	failed   []error
}

// probe takes the reports as the daemons do.
func (x *traffic) probe() {
	for id := range x.Snapshot().Upstreams {
		x.with(id, func(now time.Time, c *btengine.Core) {
			r := c.Report(now)
			r.Leaving = r.Role == RoleDraining
			x.table.Report(id, r)
			if d, ok := x.table.Digest(id); ok {
				x.loads.SetDigest(now, d)
			}
		})
	}
}

// Handle runs a request on its engine to the end.
func (x *traffic) Handle(_ context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
	var stream bramleytack.StreamID
	var err error
	x.with(r.Target.Upstream.ID, func(now time.Time, c *btengine.Core) {
		stream, err = c.Submit(now, bramleytack.GenerationRequest{ID: r.AttemptID(), Model: "m", Version: r.Target.Version, Prompt: r.Prompt})
	})
	if err != nil {
		return errors.Wrapf(err, "version %s on %s", r.Target.Version, r.Target.Upstream.ID)
	}
	for done := false; !done; {
		time.Sleep(50 * time.Millisecond)
		x.with(r.Target.Upstream.ID, func(now time.Time, c *btengine.Core) {
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
		cfg.Models, cfg.ChecksFence, cfg.MaxModels = []bramleytack.LoadedModel{loaded("m", "1")}, true, 1
		x := &traffic{
			fleet: newFleet(t, 8, cfg, bramleytack.Model{Name: "m", Version: "1", Replicas: 8}), t: t, versions: map[string]int{},
		}
		x.table = btowner.NewTable(btowner.Config{}, x.timer)
		for id, u := range x.Snapshot().Upstreams {
			x.table.Own(u)
			x.with(id, func(now time.Time, c *btengine.Core) { x.table.Report(id, c.Report(now)) })
		}
		filter := &btroute.Filter{
			Entry: "h", Snapshots: x, Owner: x.table, Timer: x.timer, Loads: &x.loads, Models: &x.loads, AllowOtherVersions: true,
			Policy: &btroute.Scored{Prefixes: &btroute.Prefixes{}}, Retry: &btroute.Backoff{Timer: x.timer},
		}
		x.start(t, &link{fleet: x.fleet}, &grant{fence: 1, left: held}, btmemstore.New(), Times{}, Policy{})
		least := 8
		for n := range 2400 {
			if n == 200 {
				x.version("m", "2")
			}
			if n%5 == 0 {
				x.probe()
				least = min(least, x.serving())
			}
			x.running.Go(func() { x.send(filter, n) })
			time.Sleep(100 * time.Millisecond)
		}
		x.running.Wait()
		assert.Equal(t, len(x.failed), 0, "%v", x.failed)
		assert.Equal(t, x.placed(loaded("m", "2")), 8)
		assert.Assert(t, least >= 6, "%d of 8 engines in service", least)
		assert.Assert(t, x.versions["1"] > 200 && x.versions["2"] > 200, "%v", x.versions)
		refused := 0
		for id := range x.Snapshot().Upstreams {
			x.with(id, func(_ time.Time, c *btengine.Core) { refused += c.Stats().Refused })
		}
		for id, es := range x.effects {
			for _, e := range es {
				assert.Assert(t, e.order.Kind != bramleytack.CommandUnload || e.inFlight == 0, "%s unloads with %d generations", id, e.inFlight)
			}
		}
		assert.Equal(t, refused, 0, "requests for a version that the engine does not hold")
	})
}

// serving returns the number of engines that take work.
func (x *traffic) serving() (n int) {
	for id := range x.Snapshot().Upstreams {
		x.with(id, func(now time.Time, c *btengine.Core) {
			if r := c.Report(now); r.Role != RoleDraining && holds(&r, "m") {
				n++
			}
		})
	}
	return n
}
