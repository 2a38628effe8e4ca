package btprobe

import (
	"context"
	"sync"
	"time"

	"bramleytack"
)

// Defaults of a Prober.
const (
	// DefaultPeriod is the time between two reads of an upstream's report.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultTimeout bounds one read of a report.
	DefaultTimeout = time.Second
	// MissedLimit is the number of failed reads in a row after which an upstream
	// counts as failed.
	MissedLimit = 3
	// updatePeriod is how often the set of probed upstreams is compared with
	// the snapshot.
	updatePeriod = 250 * time.Millisecond
)

// Prober polls load reports. Snapshots, Upstreams, Timer and OnReport are
// required. OnReport and OnHealthChange run on several goroutines at once.
type Prober struct {
	Snapshots bramleytack.Snapshots
	Upstreams bramleytack.Upstreams
	Timer     bramleytack.Timer
	// ShouldProbe reports whether an upstream is probed. Nil probes all.
	ShouldProbe func(bramleytack.UpstreamID) bool
	// OnReport receives each report.
	OnReport func(u *bramleytack.Upstream, r bramleytack.LoadReport)
	// OnHealthChange is called when an upstream fails, with the error of the last
	// read, and when it recovers. It may be nil.
	OnHealthChange func(u *bramleytack.Upstream, failed bool, err error)
	// Period is the time between two reads. Zero takes DefaultPeriod.
	Period time.Duration

	mu     sync.Mutex
	probes map[bramleytack.UpstreamID]*probe
	wg     sync.WaitGroup
}

// Run probes the upstreams until the context ends, and returns when all probes
// have stopped.
func (p *Prober) Run(ctx context.Context) {
	tick := p.Timer.Every(updatePeriod, 0)
	defer tick.Stop()
	p.update(ctx)
	for {
		select {
		case <-tick.C():
			p.update(ctx)
		case <-ctx.Done():
			p.wg.Wait()
			return
		}
	}
}

// Status is the state of one probe in a dump.
type Status struct {
	Upstream bramleytack.UpstreamID `json:"upstream"`
	Missed   int                    `json:"missed"`
	LastSeen time.Time              `json:"lastSeen"`
}

// Dump returns the state of all probes.
func (p *Prober) Dump() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Status, 0, len(p.probes))
	for _, b := range p.probes {
		list = append(list, b.status())
	}
	return list
}

// update stops the probes of upstreams that were removed, moved to another
// address or no longer pass ShouldProbe, and starts the missing ones.
func (p *Prober) update(ctx context.Context) {
	s := p.Snapshots.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probes == nil {
		p.probes = map[bramleytack.UpstreamID]*probe{}
	}
	for id, b := range p.probes {
		if u := s.Upstreams[id]; u == nil || u.Addr != b.record.Addr || !p.shouldProbe(id) {
			b.stop()
			delete(p.probes, id)
		}
	}
	for id, u := range s.Upstreams {
		if p.probes[id] != nil || !p.shouldProbe(id) {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		b := &probe{prober: p, record: u, stop: stop}
		p.probes[id] = b
		p.wg.Add(1)
		go b.loop(ctx)
	}
}

func (p *Prober) shouldProbe(id bramleytack.UpstreamID) bool {
	return p.ShouldProbe == nil || p.ShouldProbe(id)
}

func (p *Prober) period() time.Duration {
	if p.Period > 0 {
		return p.Period
	}
	return DefaultPeriod
}
