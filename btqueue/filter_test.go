package btqueue

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramleytack"
	"bramleytack/bttimer"

	"gotest.tools/v3/assert"
)

type snapshots struct{}

func (snapshots) Snapshot() *bramleytack.Snapshot { return &bramleytack.Snapshot{} }

// limitedUpstream is an upstream with a fixed number of slots.
type limitedUpstream struct {
	queue *Filter
	free  atomic.Int64
	work  func() time.Duration
	// reserve is how long it takes to get a grant or a rejection.
	reserve time.Duration
}

func (p *limitedUpstream) Handle(_ context.Context, r *bramleytack.Request, _ bramleytack.ResponseWriter) error {
	left := p.free.Add(-1)
	time.Sleep(p.reserve)
	if left < 0 {
		p.free.Add(1)
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "full")
	}
	p.queue.Granted(r)
	time.Sleep(p.work())
	p.free.Add(1)
	return nil
}

func setup(t *testing.T, n int64, work func() time.Duration) (*Filter, *limitedUpstream) {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	f := &Filter{Timer: timers, Snapshots: snapshots{}, MaxWait: time.Hour}
	p := &limitedUpstream{queue: f, work: work}
	p.free.Store(n)
	return f, p
}

func request() *bramleytack.Request {
	return &bramleytack.Request{Kind: bramleytack.Generate, Model: "m", Workspace: "w"}
}

// Guards against lost wakeups: without any tick, all requests run, in the time
// that the slots need if none is idle while requests wait.
func TestNoLostWakeup(t *testing.T) {
	const n, free = 200, 4
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			f, p := setup(t, free, func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(1+rng.IntN(10)) * time.Millisecond
			})
			if seed%2 == 1 {
				p.reserve = 100 * time.Microsecond
			}
			begin := time.Now()
			var wg sync.WaitGroup
			var done atomic.Int64
			for i := range n {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				wg.Go(func() {
					if f.Handle(ctx, request(), nil, p) == nil {
						done.Add(1)
					}
				})
				if i%10 == 9 {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond / 4)
						cancel()
					})
				}
			}
			wg.Wait()
			assert.Assert(t, done.Load() >= n*9/10)
			// Each slot is busy for 5.5 ms per request on average. A rejected
			// try delays the next one by the time of one reservation at most.
			most := n / free * 7 * time.Millisecond
			assert.Assert(t, time.Since(begin) < most, "took %v, at most %v", time.Since(begin), most)
			assert.Equal(t, f.Waiting(), 0)
			assert.Equal(t, f.bytes, 0)
			assert.Equal(t, len(f.active), 0)
			assert.Assert(t, f.queues["model/m"].idle())
		})
	}
}

// Guards against waiting beyond the bounds, and against rejections without the
// outcome NotRun.
func TestBounds(t *testing.T) {
	run := func(name string, body func(t *testing.T, f *Filter, p *limitedUpstream)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := setup(t, 1, func() time.Duration { return time.Minute })
				go func() { _ = f.Handle(t.Context(), request(), nil, p) }()
				synctest.Wait()
				body(t, f, p)
				time.Sleep(time.Hour)
			})
		})
	}
	run("deadline", func(t *testing.T, f *Filter, p *limitedUpstream) {
		r := request()
		r.Deadline = time.Now().Add(5 * time.Second)
		begin := time.Now()
		assertCode(t, f.Handle(t.Context(), r, nil, p), bramleytack.CodeTimeout)
		assert.Equal(t, time.Since(begin), 5*time.Second)
	})
	run("longest wait", func(t *testing.T, f *Filter, p *limitedUpstream) {
		f.MaxWait = time.Second
		assertCode(t, f.Handle(t.Context(), request(), nil, p), bramleytack.CodeOverloaded)
	})
	run("count, with eviction by priority", func(t *testing.T, f *Filter, p *limitedUpstream) {
		f.MaxWaiting = 1
		evicted := make(chan error, 1)
		go func() { evicted <- f.Handle(t.Context(), request(), nil, p) }()
		synctest.Wait()
		assertCode(t, f.Handle(t.Context(), request(), nil, p), bramleytack.CodeOverloaded)
		high := request()
		high.Priority = bramleytack.Interactive
		go func() { _ = f.Handle(t.Context(), high, nil, p) }()
		assertCode(t, <-evicted, bramleytack.CodeOverloaded)
	})
	run("bytes", func(t *testing.T, f *Filter, p *limitedUpstream) {
		f.MaxBytes = 100
		assertCode(t, f.Handle(t.Context(), request(), nil, p), bramleytack.CodeOverloaded)
	})
	run("caller cancels", func(t *testing.T, f *Filter, p *limitedUpstream) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assertCode(t, f.Handle(ctx, request(), nil, p), bramleytack.CodeCanceled)
		assert.Equal(t, f.Waiting(), 0)
	})
	run("no capacity expected in time", func(t *testing.T, f *Filter, p *limitedUpstream) {
		f.queues["model/m"].grantInterval = time.Minute
		go func() { _ = f.Handle(t.Context(), request(), nil, p) }()
		synctest.Wait()
		r := request()
		r.Deadline = time.Now().Add(10 * time.Second)
		begin := time.Now()
		assertCode(t, f.Handle(t.Context(), r, nil, p), bramleytack.CodeOverloaded)
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
	run("capacity that only a tick finds", func(t *testing.T, f *Filter, p *limitedUpstream) {
		done := make(chan error, 1)
		go func() { done <- f.Handle(t.Context(), request(), nil, p) }()
		synctest.Wait()
		p.free.Add(1)
		time.Sleep(time.Second)
		f.Tick()
		synctest.Wait()
		assert.Equal(t, f.Waiting(), 0)
		assert.NilError(t, <-done)
	})
}

func assertCode(t *testing.T, err error, want bramleytack.Code) {
	t.Helper()
	assert.Equal(t, bramleytack.AsError(err).Code, want)
	assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
}
