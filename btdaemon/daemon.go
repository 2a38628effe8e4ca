package btdaemon

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btclaim"
	"bramleytack/btconfig"
	"bramleytack/btdump"
	"bramleytack/btevent"
	"bramleytack/btfront"
	"bramleytack/btlength"
	"bramleytack/btlimit"
	"bramleytack/btmetric"
	"bramleytack/btowner"
	"bramleytack/btprobe"
	"bramleytack/btquarantine"
	"bramleytack/btqueue"
	"bramleytack/btroute"
	"bramleytack/btsettings"
	"bramleytack/btstore"
	"bramleytack/bttimer"
	"bramleytack/bttoken"
	"bramleytack/btupstream"
)

// claimShards is the number of shards of a cell's claims.
const claimShards = 8

// Daemon is one process of the system.
type Daemon struct {
	settings btsettings.Settings
	log      *btevent.Logger
	timers   *bttimer.Service
	store    *btstore.Client
	config   *btconfig.Config
	watcher  *btconfig.Watcher
	pool     *btupstream.Pool
	lengths  *btlength.Estimator
	table    *btowner.Table
	loads    *btroute.Loads
	queue    *btqueue.Filter
	limiter  *btlimit.Limiter
	shards   []*btclaim.Shard
	suspects *btquarantine.Table
	keys     *bttoken.Keyring
	probes   *btprobe.Prober
	front    *btfront.Front
	admin    *btadmin.Admin
	metrics  *btmetric.Metrics
	dumps    btdump.Registry

	started  time.Time
	draining atomic.Bool
	ready    atomic.Bool
	wg       sync.WaitGroup
}

// New returns a daemon that has not started.
func New(s btsettings.Settings, log *btevent.Logger) (*Daemon, error) {
	seed := seedOf(s.Host)
	d := &Daemon{settings: s, log: log, timers: bttimer.New(seed), metrics: btmetric.New()}
	d.started = d.timers.Now()
	store, err := btstore.New(btstore.Config{URL: "http://" + s.Platform.String(), Timer: d.timers, Seed: seed})
	if err != nil {
		return nil, errors.Wrap(err, "btdaemon: store")
	}
	d.store = store
	d.config = btconfig.New()
	d.watcher = &btconfig.Watcher{Store: store, Config: d.config, Timer: d.timers, Seed: seed, OnError: d.watchFailed}
	d.pool = btupstream.NewPool(btupstream.Options{})
	d.buildOwner()
	d.buildPath()
	d.admin = &btadmin.Admin{Store: store, Config: d.config, Timer: d.timers}
	d.register()
	return d, nil
}

// Run serves until the context ends and the requests in flight are done.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	defer d.timers.Close()
	defer d.pool.Close()
	defer d.store.Close()
	// The parts outlive ctx: they serve the requests that are drained.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer d.wg.Wait()
	defer stop()
	d.start(parts)
	failed := make(chan error, 1)
	servers := d.serve(listeners, failed)
	d.log.Event(btevent.ProcessStarted).Stringer("listen", d.settings.Listen).Stringer("admin", d.settings.AdminListen).Send()
	select {
	case <-ctx.Done():
		d.drain(parts, servers)
		d.log.Event(btevent.ProcessStopped).Send()
		return nil
	case err := <-failed:
		d.log.Event(btevent.ProcessFailed).Err(err).Send()
		return err
	}
}

// start runs the daemon's parts until the context ends.
func (d *Daemon) start(ctx context.Context) {
	d.spawn(func() { _ = d.watcher.Run(ctx) })
	d.spawn(func() { d.probes.Run(ctx) })
	d.spawn(func() { d.front.Run(ctx) })
	d.spawn(func() { d.suspects.Run(ctx) })
	d.spawn(func() { d.runKeys(ctx) })
	d.spawn(func() { d.runHousekeeping(ctx) })
	for _, s := range d.shards {
		d.spawn(func() { s.Run(ctx) })
	}
}

func (d *Daemon) spawn(run func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		run()
	}()
}

// runKeys loads the signing keys, which needs the store, and rotates them.
func (d *Daemon) runKeys(ctx context.Context) {
	for d.keys.Load(ctx) != nil {
		if d.timers.Sleep(ctx, keyRetry) != nil {
			return
		}
	}
	d.ready.Store(true)
	d.keys.Run(ctx)
}

const (
	// keyRetry is the wait between two tries to load the signing keys.
	keyRetry = 500 * time.Millisecond
	// housekeepingPeriod drives the queue's and the limiter's ticks.
	housekeepingPeriod = 250 * time.Millisecond
	// limitPeriod is how often the limiter's shares are computed.
	limitPeriod = time.Second
)

// runHousekeeping follows the configuration and drives what has no goroutine
// of its own.
func (d *Daemon) runHousekeeping(ctx context.Context) {
	changes, cancel := d.config.Subscribe()
	defer cancel()
	tick := d.timers.Every(housekeepingPeriod, 0)
	defer tick.Stop()
	refresh := d.timers.Every(limitPeriod, 0)
	defer refresh.Stop()
	for {
		select {
		case <-changes:
			d.configure()
		case <-tick.C():
			d.queue.Tick()
		case now := <-refresh.C():
			d.limiter.Refresh(now, d.config.Snapshot().Workspaces)
		case <-ctx.Done():
			return
		}
	}
}

// configure brings the owner's table and the load table in line with a new
// snapshot.
func (d *Daemon) configure() {
	s := d.config.Snapshot()
	d.log.Event(btevent.ConfigApplied).Uint64("revision", uint64(s.Revision)).Send()
	d.loads.Retain(s)
	for _, u := range s.Upstreams {
		d.table.Own(u)
	}
	d.table.Configure(s)
}

// Entries implements btfront.Entries.
func (d *Daemon) Entries() ([]netip.AddrPort, time.Duration) {
	if d.draining.Load() {
		return nil, d.settings.EntriesValidFor
	}
	return []netip.AddrPort{d.settings.Listen}, d.settings.EntriesValidFor
}

// drain lets the requests in flight end.
func (d *Daemon) drain(ctx context.Context, servers []*http.Server) {
	d.log.Event(btevent.ProcessDraining).Int("streams", d.front.Streams()).Send()
	d.draining.Store(true)
	_ = d.timers.Sleep(ctx, d.settings.EntriesValidFor)
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
}

func (d *Daemon) watchFailed(kind string, err error) {
	d.log.Event(btevent.WatchReopened).Str("kind", kind).Err(err).Send()
}

func seedOf(h bramleytack.HostID) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h))
	return f.Sum64()
}
