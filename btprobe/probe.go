package btprobe

import (
	"context"
	"sync"
	"time"

	"bramleytack"
)

// jitterDivisor bounds the jitter: each period is shortened by up to a fifth.
const jitterDivisor = 5

// probe polls the reports of one upstream.
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
	tick := p.Timer.Every(p.period(), p.period()/jitterDivisor)
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
		// A read that ends because the probe was stopped is no failure.
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			b.recordMiss(err)
		}
		return
	}
	if b.recordReport() && b.prober.OnHealthChange != nil {
		b.prober.OnHealthChange(b.record, false, nil)
	}
	b.prober.OnReport(b.record, r)
}

// recordReport resets the count of missed reports. It reports whether the
// upstream had failed before.
func (b *probe) recordReport() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := b.missed >= MissedLimit
	b.missed = 0
	b.lastSeen = b.prober.Timer.Now()
	return failed
}

// recordMiss counts a failed read. It calls OnHealthChange only when the limit is
// reached, not for the failures that follow.
func (b *probe) recordMiss(err error) {
	b.mu.Lock()
	b.missed++
	limitReached := b.missed == MissedLimit
	b.mu.Unlock()
	if limitReached && b.prober.OnHealthChange != nil {
		b.prober.OnHealthChange(b.record, true, err)
	}
}

func (b *probe) status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{Upstream: b.record.ID, Missed: b.missed, LastSeen: b.lastSeen}
}
