package btcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bramleytack"
	"bramleytack/btdaemon"
	"bramleytack/btevent"
	"bramleytack/btsettings"
	"bramleytack/bttimer"
)

const (
	// settleTime passes between the complete configuration and the first
	// reading, so that ownership has settled.
	settleTime = 4 * time.Second
	// startLimit bounds the start of a fleet.
	startLimit = 60 * time.Second
	// startCheck spaces the checks of a starting fleet.
	startCheck = 250 * time.Millisecond
	// dumpTimeout bounds the reading of a state dump.
	dumpTimeout = 10 * time.Second
)

// ErrNotComplete means that a fleet did not get its view and records in time.
var ErrNotComplete = errors.New("btcapacity: fleet has not started")

// Fleet runs the daemons of one cell in this process.
type Fleet struct {
	scenario Scenario
	timers   *bttimer.Service
	client   *http.Client
	wg       sync.WaitGroup
	failed   chan error
}

// Measure runs a scenario against a Backend that is ready.
func Measure(ctx context.Context, s Scenario) (Sample, error) {
	dir, err := os.MkdirTemp("", "btcapacity")
	if err != nil {
		return Sample{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := &Fleet{
		scenario: s, timers: bttimer.New(1), failed: make(chan error, s.Daemons),
		client: &http.Client{Timeout: dumpTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	defer f.timers.Close()
	base := memory()
	ctx, cancel := context.WithCancel(ctx)
	defer f.wg.Wait()
	defer cancel()
	if s.Copy {
		f.serveCopy(ctx)
		return f.measureStreams(ctx)
	}
	if err := f.start(ctx, dir); err != nil {
		return Sample{}, err
	}
	if err := f.await(ctx); err != nil {
		return Sample{}, err
	}
	if s.Streams > 0 {
		return f.measureStreams(ctx)
	}
	return f.measure(ctx, base)
}

func (f *Fleet) start(ctx context.Context, dir string) error {
	authority, err := newAuthority(dir)
	if err != nil {
		return err
	}
	for i := range f.scenario.Daemons {
		s := btsettings.Defaults()
		s.Host = bramleytack.HostID(fmt.Sprintf("host-%03d", i))
		s.Region, s.Cell = "qld", "qld-1"
		s.FailureDomain = bramleytack.FailureDomainID(domainName(i))
		s.Listen, s.AdminListen, s.PeerListen = daemonAddr(i, 0), daemonAddr(i, 1), daemonAddr(i, 2)
		s.Platform = platformAddr
		s.EntriesValidFor, s.DrainTimeout = time.Millisecond, time.Second
		if s.PeerTLS, err = authority.issue(string(s.Host)); err != nil {
			return err
		}
		d, err := btdaemon.New(s, btevent.New(io.Discard, zerolog.WarnLevel, s.Host))
		if err != nil {
			return err
		}
		f.wg.Go(func() {
			if err := d.Run(ctx); err != nil {
				f.failed <- err
			}
		})
	}
	return nil
}

// await waits until all daemons have the same view and all records.
func (f *Fleet) await(ctx context.Context) error {
	for end := f.timers.Now().Add(startLimit); f.timers.Now().Before(end); {
		select {
		case err := <-f.failed:
			return err
		default:
		}
		if states, err := f.states(ctx); err == nil && f.complete(states) {
			return f.timers.Sleep(ctx, settleTime)
		}
		if err := f.timers.Sleep(ctx, startCheck); err != nil {
			return err
		}
	}
	return ErrNotComplete
}

func (f *Fleet) complete(states []state) bool {
	probes := 0
	for i := range states {
		if !states[i].complete(f.scenario) {
			return false
		}
		probes += len(states[i].Probes)
	}
	return probes == f.scenario.Upstreams
}

func (f *Fleet) measure(ctx context.Context, base runtime.MemStats) (Sample, error) {
	before, err := f.states(ctx)
	if err != nil {
		return Sample{}, err
	}
	start, used := f.timers.Now(), processor()
	if err := f.timers.Sleep(ctx, f.scenario.duration()); err != nil {
		return Sample{}, err
	}
	seconds, used := f.timers.Now().Sub(start).Seconds(), processor()-used
	after, err := f.states(ctx)
	if err != nil {
		return Sample{}, err
	}
	n := float64(f.scenario.Daemons)
	m := memory()
	s := Sample{
		Scenario: f.scenario, Processor: used.Seconds() / seconds / n,
		Heap: (float64(m.HeapAlloc) - float64(base.HeapAlloc)) / n, Stack: (float64(m.StackInuse) - float64(base.StackInuse)) / n,
		Goroutines: float64(runtime.NumGoroutine()) / n,
	}
	for i := range before {
		s.Daemons = append(s.Daemons, between(&before[i], &after[i], seconds))
	}
	return s, nil
}

func (f *Fleet) states(ctx context.Context) ([]state, error) {
	states := make([]state, f.scenario.Daemons)
	for i := range states {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemonAddr(i, 1).String()+"/debug/state", nil)
		if err != nil {
			return nil, err
		}
		resp, err := f.client.Do(req)
		if err != nil {
			return nil, err
		}
		err = json.NewDecoder(resp.Body).Decode(&states[i])
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "btcapacity: state dump")
		}
	}
	return states, nil
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the statistics after two collections, which also empty pools.
func memory() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}
