package btdaemon

import (
	"net/netip"

	"bramleytack"
	"bramleytack/btclaim"
	"bramleytack/btdispatch"
	"bramleytack/btevent"
	"bramleytack/btfront"
	"bramleytack/btidentity"
	"bramleytack/btlength"
	"bramleytack/btlimit"
	"bramleytack/btmetric"
	"bramleytack/btowner"
	"bramleytack/btplace"
	"bramleytack/btprobe"
	"bramleytack/btquarantine"
	"bramleytack/btqueue"
	"bramleytack/btroute"
)

// buildOwner creates the parts that admit requests to owned upstreams.
func (d *Daemon) buildOwner() {
	d.lengths = btlength.New(btlength.Config{})
	d.table = btowner.NewTable(btowner.Config{Lengths: d.lengths}, d.timers)
	d.loads = &btroute.Loads{}
	d.limiter = &btlimit.Limiter{Self: d.settings.Host}
	d.suspects = &btquarantine.Table{Store: d.store, Timer: d.timers, Snapshots: d.config}
	d.probes = &btprobe.Prober{
		Snapshots:      d.config,
		Upstreams:      d.pool,
		Timer:          d.timers,
		ShouldProbe:    d.table.Owns,
		OnReport:       d.handleLoadReport,
		OnHealthChange: d.upstreamHealthChanged,
	}
}

// buildRequestPath creates the dispatcher and the filters before it. A request
// passes the filters in the order of the list.
func (d *Daemon) buildRequestPath() {
	s := d.settings
	c := &d.cluster
	d.queue = &btqueue.Filter{
		Timer: d.timers, Snapshots: d.snapshots, MaxWaiting: s.Limits.MaxQueued, MaxWait: s.Limits.MaxQueueTime,
	}
	dispatch := &btdispatch.Dispatcher{
		Snapshots: d.snapshots, Upstreams: d.pool, Tokens: d.keys, Timer: d.timers, Isolated: d.isolated,
	}
	path := bramleytack.Chain(
		dispatch,
		&btmetric.Filter{Metrics: d.metrics, Timer: d.timers},
		&btidentity.Filter{Snapshots: d.snapshots, Timer: d.timers, MaxTimeout: s.Limits.MaxTimeout, ConfigLoaded: d.configComplete},
		&btclaim.Filter{
			Snapshots: d.snapshots, Claims: &btclaim.Router{Count: claimShardCount, Owner: c.claims.Owner},
			Entry: s.Host, OnFinishError: d.claimNotStored,
		},
		&btlimit.Filter{Limiter: d.limiter, Snapshots: d.snapshots, Timer: d.timers},
		&btquarantine.Filter{Table: d.suspects, Arbiter: c.suspects.Arbitrate},
		d.queue,
		&btroute.Filter{
			Entry: s.Host, Cell: s.Cell, Snapshots: d.snapshots, Owner: c.owners, Timer: d.timers, Loads: d.loads, Models: d.loads,
			AllowOtherVersions: true,
			Policy:             &btroute.Scored{Domain: s.FailureDomain, Prefixes: &btroute.Prefixes{}},
			Retry:              &btroute.Backoff{Timer: d.timers},
			Granted:            d.queue.Granted,
		},
		&btquarantine.Detector{Table: d.suspects, Snapshots: d.snapshots, Upstreams: d.pool, Crashed: d.upstreamCrashed, Flush: c.suspects.Flush},
		&btquarantine.Tracker{Table: d.suspects},
	)
	d.front = &btfront.Front{
		RequestHandler: path, Timer: d.timers, Entries: d, MaxBody: s.Limits.MaxBody, MaxHeader: s.Limits.MaxHeader, OnError: d.requestFailed,
	}
}

// handleLoadReport updates the tables with a load report of an owned upstream, and
// wakes queued requests if the upstream has free capacity.
func (d *Daemon) handleLoadReport(u *bramleytack.Upstream, r bramleytack.LoadReport) {
	// A draining engine gets no new work, as if it were leaving.
	r.Leaving = r.Leaving || r.Role == btplace.RoleDraining
	d.table.Report(u.ID, r)
	g, ok := d.table.Digest(u.ID)
	if !ok {
		return
	}
	d.loads.SetDigest(d.timers.Now(), g)
	if free := g.Limit - g.Running; free > 0 {
		d.wakeQueued(u, g.Models, free)
	}
}

// upstreamConnLost handles a lost connection: the process at the address may have
// ended. A new one there is cold, and up to half a second passes until the next
// load report.
func (d *Daemon) upstreamConnLost(addr netip.AddrPort) {
	for id, u := range d.config.Snapshot().Upstreams {
		if u.Addr == addr {
			d.table.MarkPossibleRestart(id)
		}
	}
}

// capacityFreed wakes a queued request when an upstream may have a free slot.
func (d *Daemon) capacityFreed(id bramleytack.UpstreamID) {
	u, ok := d.snapshots.Snapshot().Upstreams[id]
	if !ok {
		return
	}
	g, _ := d.loads.Digest(id)
	d.wakeQueued(u, g.Models, 1)
}

// wakeQueued lets up to n queued requests of each of the upstream's models, and of
// its service, try again.
func (d *Daemon) wakeQueued(u *bramleytack.Upstream, models []bramleytack.LoadedModel, n int) {
	for _, m := range models {
		d.queue.Wake(m.Model, n)
	}
	if u.Service != "" {
		d.queue.WakeService(u.Service, n)
	}
}

func (d *Daemon) upstreamHealthChanged(u *bramleytack.Upstream, failed bool, err error) {
	if failed {
		d.log.Event(btevent.UpstreamFailed).Str("upstream", string(u.ID)).Err(err).Send()
		return
	}
	d.log.Event(btevent.UpstreamStarted).Str("upstream", string(u.ID)).Send()
}

func (d *Daemon) upstreamCrashed(u bramleytack.UpstreamID, i bramleytack.InstanceID, fps []bramleytack.Fingerprint) {
	d.log.Event(btevent.RequestSuspected).Str("upstream", string(u)).Str("instance", string(i)).Int("requests", len(fps)).Send()
}

func (d *Daemon) claimNotStored(key btclaim.ClaimKey, id bramleytack.RequestID, err error) {
	d.log.Event(btevent.ClaimNotStored).Str("workspace", string(key.Workspace)).Str("service", key.Service).
		Str("request", string(id)).Err(err).Send()
}

func (d *Daemon) requestFailed(r *bramleytack.Request, e *bramleytack.Error) {
	event := btevent.RequestFailed
	if e.Outcome == bramleytack.NotRun {
		event = btevent.RequestNotRun
	}
	d.log.Event(event).Str("request", string(r.ID)).Str("workspace", string(r.Workspace)).Stringer("kind", r.Kind).
		Str("code", string(e.Code)).Stringer("outcome", e.Outcome).Str("message", e.Message).AnErr("cause", e.Cause).Send()
}
