package btprobe

import (
	"context"
	"sync"
	"time"

	"bramleytack"
)

// jitterShare is the part of a period by which a probe varies.
const jitterShare = 5

// probe reads the reports of one upstream.
type probe struct {
	prober *Prober
	record *bramleytack.Upstream
	stop   context.CancelFunc

	mu       sync.Mutex
	missed   int
	lastSeen time.Time
}

func (b *probe) loop(ctx context.Context) {
	p := b.prober
	defer p.wg.Done()
	tick := p.Timer.Every(p.period(), p.period()/jitterShare)
	defer tick.Stop()
	for {
		b.read(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (b *probe) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	r, err := bramleytack.LoadOf(ctx, b.prober.Upstreams, b.record)
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			b.miss(err)
		}
		return
	}
	if b.hit() && b.prober.OnHealthChange != nil {
		b.prober.OnHealthChange(b.record, false, nil)
	}
	b.prober.OnReport(b.record, r)
}

// hit counts a report. It says whether the upstream had failed before.
func (b *probe) hit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := b.missed >= MissedLimit
	b.missed = 0
	b.lastSeen = b.prober.Timer.Now()
	return failed
}

func (b *probe) miss(err error) {
	b.mu.Lock()
	b.missed++
	first := b.missed == MissedLimit
	b.mu.Unlock()
	if first && b.prober.OnHealthChange != nil {
		b.prober.OnHealthChange(b.record, true, err)
	}
}

func (b *probe) status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{Upstream: b.record.ID, Missed: b.missed, LastSeen: b.lastSeen}
}
