package btowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleytack"
	"bramleytack/btramp"
	"bramleytack/bttimer"

	"gotest.tools/v3/assert"
)

type switchableOwnership struct{ on atomic.Bool }

func (p *switchableOwnership) Ownership(time.Time, bramleytack.UpstreamID) (Ownership, bool) {
	return Ownership{ViewNumber: 7, Mode: btramp.Normal}, p.on.Load()
}

// Guards against grants without a view lease or of upstreams that are not owned,
// and against reservations that concurrent use loses or counts twice.
func TestTable(t *testing.T) {
	timers := bttimer.New(1)
	defer timers.Close()
	table := NewTable(Config{WithoutReports: true}, timers)
	ownership := &switchableOwnership{}
	table.Ownership = ownership
	table.Own(record(4, 0))
	ctx := context.Background()

	r := reservation("1", bramleytack.Standard)
	r.Upstream = "u"
	_, err := table.Reserve(ctx, r)
	assert.Equal(t, bramleytack.AsError(err).Code, bramleytack.CodeNoUpstream)
	ownership.on.Store(true)
	g, err := table.Reserve(ctx, r)
	assert.NilError(t, err)
	assert.Equal(t, g.ViewNumber, uint64(7))
	assert.NilError(t, table.Release(ctx, bramleytack.Release{Grant: "1", Upstream: "u"}))

	var running atomic.Int32
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 200 {
				r := r
				r.Grant = bramleytack.GrantID(fmt.Sprint(w, "-", i))
				if _, err := table.Reserve(ctx, r); err != nil {
					continue
				}
				assert.Check(t, running.Add(1) <= 4)
				running.Add(-1)
				_ = table.Release(ctx, bramleytack.Release{Grant: r.Grant, Upstream: "u", Outcome: bramleytack.NotRun})
			}
		})
	}
	wg.Wait()
	assert.Equal(t, table.Dump().Upstreams[0].Running, 0)
	table.Disown("u")
	_, err = table.Reserve(ctx, r)
	assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
}

func BenchmarkReserveRelease(b *testing.B) {
	timers := bttimer.New(1)
	defer timers.Close()
	table := NewTable(Config{WithoutReports: true}, timers)
	const upstreams = 150
	for i := range upstreams {
		u := record(256, 1<<20)
		u.ID = bramleytack.UpstreamID(fmt.Sprint(i))
		table.Own(u)
		for j := range 100 {
			r := reservation(fmt.Sprint("base", j), bramleytack.Standard)
			r.Upstream = u.ID
			_, _ = table.Reserve(b.Context(), r)
		}
	}
	ids := make([]bramleytack.UpstreamID, upstreams)
	for i := range ids {
		ids[i] = bramleytack.UpstreamID(fmt.Sprint(i))
	}
	var n atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := n.Add(1)
			r := reservation(fmt.Sprint(i), bramleytack.Standard)
			r.Upstream = ids[i%upstreams]
			if _, err := table.Reserve(b.Context(), r); err != nil {
				b.Error(err)
			}
			_ = table.Release(b.Context(), bramleytack.Release{Grant: r.Grant, Upstream: r.Upstream, Outcome: bramleytack.Ran, Tokens: 10})
		}
	})
}
