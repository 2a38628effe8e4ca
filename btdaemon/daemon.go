package btdaemon

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btconfig"
	"bramleytack/btdump"
	"bramleytack/btevent"
	"bramleytack/btfront"
	"bramleytack/bthost"
	"bramleytack/btlength"
	"bramleytack/btlimit"
	"bramleytack/btmetric"
	"bramleytack/btowner"
	"bramleytack/btplace"
	"bramleytack/btprobe"
	"bramleytack/btquarantine"
	"bramleytack/btqueue"
	"bramleytack/btroute"
	"bramleytack/btsettings"
	"bramleytack/btstore"
	"bramleytack/bttimer"
	"bramleytack/bttoken"
	"bramleytack/btupstream"
	"bramleytack/internal/node/btlistener"
)

// Daemon is one serving process. It is built by New and can run once.
type Daemon struct {
	settings btsettings.Settings
	log      *btevent.Logger
	timers   *bttimer.Service
	store    *btstore.Client
	config   *btconfig.Config
	watcher  *btconfig.Watcher
	hosts    *bthost.Watcher
	// snapshots provides the configuration with leaving hosts marked.
	snapshots *bthost.Overlay
	pool      *btupstream.Pool
	lengths   *btlength.Estimator
	table     *btowner.Table
	loads     *btroute.Loads
	queue     *btqueue.Filter
	limiter   *btlimit.Limiter
	suspects  *btquarantine.Table
	keys      *bttoken.Keyring
	probes    *btprobe.Prober
	placement *btplace.Controller
	cluster   cluster
	ownership ownership
	front     *btfront.Front
	admin     *btadmin.Admin
	metrics   *btmetric.Metrics
	// gate bounds the connections and heads of callers and operators, peerGate the connections
	// of other daemons.
	gate     *btlistener.Gate
	peerGate *btlistener.Gate
	dumps    btdump.Registry

	started    time.Time
	draining   atomic.Bool
	keysLoaded atomic.Bool
	// configLoaded is set, and configComplete closed, once the configuration is
	// complete.
	configLoaded   atomic.Bool
	configComplete chan struct{}
	wg             sync.WaitGroup
}

// New returns a daemon that has not started. It fails if the store client
// cannot be created or the certificates for peers cannot be read.
func New(s btsettings.Settings, log *btevent.Logger) (*Daemon, error) {
	seed := hostSeed(s.Host)
	d := &Daemon{settings: s, log: log, timers: bttimer.New(seed), metrics: btmetric.New(), configComplete: make(chan struct{})}
	d.started = d.timers.Now()
	store, err := btstore.New(btstore.Config{URL: "http://" + s.Platform.String(), Timer: d.timers, Seed: seed})
	if err != nil {
		return nil, errors.Wrap(err, "btdaemon: store")
	}
	d.store = store
	d.config = btconfig.New()
	d.watcher = &btconfig.Watcher{Store: store, Config: d.config, Timer: d.timers, Seed: seed, OnError: d.watchFailed}
	d.hosts = &bthost.Watcher{Store: store, Timer: d.timers, Period: d.hostPeriod, OnChange: d.hostsChanged}
	d.snapshots = &bthost.Overlay{Config: d.config, Hosts: d.hosts}
	d.pool = btupstream.NewPool(btupstream.Options{OnConnLost: d.upstreamConnLost})
	d.keys = &bttoken.Keyring{Store: store, Timer: d.timers}
	d.buildOwner()
	if err := d.buildCluster(); err != nil {
		return nil, err
	}
	d.buildRequestPath()
	d.buildPlacement()
	d.buildGates()
	d.admin = &btadmin.Admin{Store: store, Config: d.config, Timer: d.timers, Changed: d.recordChanged}
	d.registerDiagnostics()
	return d, nil
}

// Run serves until the context ends and the daemon is drained, or until a server
// fails, and returns that server's error.
func (d *Daemon) Run(ctx context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	defer d.timers.Close()
	defer d.pool.Close()
	defer d.store.Close()
	// The parts outlive ctx, since requests in flight need them during the drain.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer d.wg.Wait()
	defer d.cluster.node.Close()
	defer stop()
	d.start(parts, l)
	failed := make(chan error, 1)
	servers := d.serve(l, failed)
	d.log.Event(btevent.ProcessStarted).Stringer("listen", d.settings.Listen).Stringer("admin", d.settings.AdminListen).
		Stringer("peer", d.settings.PeerListen).Send()
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
func (d *Daemon) start(ctx context.Context, l listeners) {
	c := &d.cluster
	d.spawn(func() { _ = c.node.Serve(ctx, d.peerGate.ListenRaw(l.peers)) })
	d.spawn(func() { c.lease.Run(ctx) })
	d.spawn(func() { c.cell.Run(ctx) })
	d.spawn(func() { c.configSync.Run(ctx) })
	d.spawn(func() { c.owners.Run(ctx) })
	d.spawn(func() { c.exchange.Run(ctx) })
	d.spawn(func() { c.suspects.Run(ctx) })
	for _, s := range c.claims.Shards {
		d.spawn(func() { s.Run(ctx) })
	}
	d.spawn(func() { d.runWatch(ctx) })
	d.spawn(func() { d.hosts.Run(ctx) })
	d.spawn(func() { d.probes.Run(ctx) })
	d.spawn(func() { d.placement.Run(ctx) })
	d.spawn(func() { d.front.Run(ctx) })
	d.spawn(func() { d.suspects.Run(ctx) })
	d.spawn(func() { d.runKeys(ctx) })
	d.spawn(func() { d.runHousekeeping(ctx) })
	d.spawn(func() { d.runHealth(ctx) })
}

func (d *Daemon) spawn(run func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		run()
	}()
}

const (
	// keyRetryPeriod is the wait between two attempts to load the signing keys.
	keyRetryPeriod = 500 * time.Millisecond
	// queueTickPeriod is the time between two calls of the queue's Tick.
	queueTickPeriod = 250 * time.Millisecond
	// limiterRefreshPeriod is how often the limiter's shares are computed.
	limiterRefreshPeriod = time.Second
)

// runKeys loads the signing keys, which needs the store, and rotates them.
func (d *Daemon) runKeys(ctx context.Context) {
	for d.keys.Load(ctx) != nil {
		if d.timers.Sleep(ctx, keyRetryPeriod) != nil {
			return
		}
	}
	d.keysLoaded.Store(true)
	d.keys.Run(ctx)
}

// runHousekeeping applies changes of the configuration, and calls the queue and
// the limiter periodically, which have no goroutines of their own.
func (d *Daemon) runHousekeeping(ctx context.Context) {
	changes, cancel := d.config.Subscribe()
	defer cancel()
	tick := d.timers.Every(queueTickPeriod, 0)
	defer tick.Stop()
	refresh := d.timers.Every(limiterRefreshPeriod, 0)
	defer refresh.Stop()
	for {
		select {
		case <-changes:
			d.applyConfig()
		case <-tick.C():
			d.queue.Tick()
		case now := <-refresh.C():
			d.limiter.Refresh(now, d.config.Snapshot().Workspaces)
		case <-ctx.Done():
			return
		}
	}
}

// applyConfig updates the owner table, the load table and the owned upstreams
// from the current snapshot.
func (d *Daemon) applyConfig() {
	s := d.snapshots.Snapshot()
	d.log.Event(btevent.ConfigApplied).Uint64("revision", uint64(s.Revision)).Send()
	d.loads.Retain(s)
	d.updateOwnership()
	d.table.Configure(s)
}

// drain removes the daemon from the entry list, waits until no caller uses an
// older list, waits for the requests in flight and leaves the cell.
func (d *Daemon) drain(ctx context.Context, servers []*http.Server) {
	d.log.Event(btevent.ProcessDraining).Int("streams", d.front.OpenStreams()).Send()
	d.draining.Store(true)
	// The other members learn this with their next exchange. The entry lists that
	// they returned before stay valid for EntriesValidFor.
	_ = d.timers.Sleep(ctx, d.settings.EntriesValidFor+2*d.cluster.exchange.Period())
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(ctx)
	}
	ctx, cancel = context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_ = d.cluster.cell.Leave(ctx)
	// All members have the next view now, but calls that they sent before may still
	// arrive.
	_ = d.timers.Sleep(ctx, lateCallPeriod)
}

func (d *Daemon) watchFailed(kind string, err error) {
	d.log.Event(btevent.WatchReopened).Str("kind", kind).Err(err).Send()
}

func (d *Daemon) recordChanged(key bramleytack.Key, version bramleytack.Revision, conflict error) {
	e := chooseEvent(conflict == nil, btevent.RecordChanged, btevent.RecordConflict)
	d.log.Event(e).Str("kind", key.Kind).Str("name", key.Name).Uint64("version", uint64(version)).Send()
}

func (d *Daemon) hostsChanged(l *bthost.Leaving) {
	d.log.Event(btevent.LeavingHostsChanged).Int("hosts", l.Len()).Send()
	if l.Has(d.settings.Listen.Addr()) {
		d.log.Event(btevent.HostLeaving).Send()
	}
}

func hostSeed(h bramleytack.HostID) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h))
	return f.Sum64()
}
