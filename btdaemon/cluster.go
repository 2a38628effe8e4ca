package btdaemon

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bramleytack"
	"bramleytack/btclaim"
	"bramleytack/btevent"
	"bramleytack/btlease"
	"bramleytack/btpeer"
	"bramleytack/btremote"
	"bramleytack/btview"
)

const (
	// claimShardCount is the number of shards of a cell's claims. It must not
	// change while claims are stored, since they would belong to other shards.
	claimShardCount = 8
	// leaveTimeout limits leaving the cell at the end of a drain.
	leaveTimeout = 15 * time.Second
	// lateCallPeriod is how long a daemon that has left its cell keeps answering
	// calls of its peers.
	lateCallPeriod = 2 * time.Second
	// hostReadsPerSecond is the rate at which the members of a cell together
	// read the host list.
	hostReadsPerSecond = 4
	// storeGracePeriod is how long a starting daemon waits for the store before it
	// loads the configuration from a peer.
	storeGracePeriod = 2 * time.Second
	// watchCheckPeriod is how often a member checks whether it should watch the
	// store and whether its configuration is complete.
	watchCheckPeriod = 50 * time.Millisecond
	// heartbeatTimeout is the time without a successful heartbeat after which a
	// member watches the store itself: three heartbeats and a round trip.
	heartbeatTimeout = 2500 * time.Millisecond
	// isolationTimeout is the time without a response of the store or a reply of a
	// peer after which a host counts as isolated.
	isolationTimeout = 3 * time.Second
)

// cluster holds the parts of a daemon that communicate with its peers.
type cluster struct {
	mux        *btpeer.Mux
	node       *btpeer.Node
	lease      *btlease.Lease
	cell       *btview.Cell
	owners     *btremote.Owners
	claims     *btremote.Claims
	configSync *btremote.ConfigSync
	exchange   *btremote.Exchange
	suspects   *btremote.Suspects
}

// buildCluster creates the parts that communicate with other daemons. It fails if
// the certificates cannot be read.
func (d *Daemon) buildCluster() error {
	s := d.settings
	c := &d.cluster
	c.mux = &btpeer.Mux{}
	c.node = &btpeer.Node{Host: s.Host, Timer: d.timers, Mux: c.mux, AllowPlaintext: s.PeerTLS.Plain}
	if !s.PeerTLS.Plain {
		c.node.Certificates = &btpeer.Certificates{
			CertFile: s.PeerTLS.Certificate, KeyFile: s.PeerTLS.Key, CAFile: s.PeerTLS.Authority,
		}
		if _, _, err := c.node.Certificates.Load(); err != nil {
			d.log.Event(btevent.CertificateError).Err(err).Send()
			return err
		}
	}
	c.lease = &btlease.Lease{Store: d.store, Timer: d.timers, Cell: s.Cell, Host: s.Host, PeerAddr: s.PeerListen}
	c.cell = &btview.Cell{
		Name: s.Cell, Lease: c.lease, Store: d.store, Timer: d.timers, Transport: btview.PeerTransport{Node: c.node},
		Self: btview.Member{
			Host: s.Host, Incarnation: uint64(d.started.UnixNano()), PeerAddr: s.PeerListen, FailureDomain: s.FailureDomain,
		},
		OnView:         d.viewChanged,
		ConfigRevision: func() bramleytack.Revision { return d.config.Digest().Revision },
	}
	c.owners = &btremote.Owners{Self: s.Host, Node: c.node, Cell: c.cell, Table: d.table, Loads: d.loads, Timer: d.timers, OnFreeCapacity: d.capacityFreed}
	d.table.Ownership = c.owners
	c.claims = &btremote.Claims{Self: s.Host, Node: c.node, Cell: c.cell}
	for n := range claimShardCount {
		c.claims.Shards = append(c.claims.Shards, &btclaim.Shard{Store: d.store, Timer: d.timers, Cell: s.Cell, Number: n, Interval: s.ClaimInterval})
	}
	c.configSync = &btremote.ConfigSync{Self: s.Host, Node: c.node, Cell: c.cell, Config: d.config, Timer: d.timers, Complete: d.configLoaded.Load}
	c.cell.OnConfigRevision = c.configSync.ObserveRevision
	c.exchange = &btremote.Exchange{
		Self: s.Host, Node: c.node, Cell: c.cell, Timer: d.timers, Table: d.table, Loads: d.loads, Limiter: d.limiter,
		ConfigSync: c.configSync, Hosts: d.hosts, OwnState: d.ownState,
	}
	c.suspects = &btremote.Suspects{Self: s.Host, Node: c.node, Cell: c.cell, Table: d.suspects}
	d.suspects.Notify = c.suspects.Notify
	btview.Register(c.mux, c.cell)
	c.owners.Register(c.mux)
	c.claims.Register(c.mux)
	c.configSync.Register(c.mux)
	c.exchange.Register(c.mux)
	c.suspects.Register(c.mux)
	return nil
}

// viewChanged is called before a new view is acknowledged.
func (d *Daemon) viewChanged(v *btview.View) {
	d.log.Event(btevent.ViewChanged).Uint64("view", v.Number).Str("holder", string(v.Holder)).Int("members", len(v.Members)).Send()
	hosts := make([]bramleytack.HostID, 0, len(v.Members))
	for _, m := range v.Members {
		hosts = append(hosts, m.Host)
	}
	for _, s := range d.cluster.exchange.States() {
		if !slices.Contains(hosts, s.Host) {
			d.table.EntryGone(s.Host)
		}
	}
	d.limiter.SetMembers(hosts)
	d.cluster.exchange.Forget(v)
	d.updateOwnership()
	d.cluster.owners.ReportReservations(context.Background())
}

// updateOwnership assigns the upstreams whose owner may have changed since the
// last call, and disowns those whose record is gone.
func (d *Daemon) updateOwnership() {
	o := &d.ownership
	o.mu.Lock()
	defer o.mu.Unlock()
	view := d.cluster.cell.View()
	changed, removed := o.changed(view, d.snapshots.Snapshot().Upstreams)
	for _, u := range changed {
		d.assign(view, u)
	}
	for _, id := range removed {
		d.table.Disown(id)
	}
}

// assign adds an upstream to the owner table or removes it, as the view demands.
func (d *Daemon) assign(view *btview.View, u *bramleytack.Upstream) {
	if !d.isOwner(view, u) {
		d.table.Disown(u.ID)
		return
	}
	if d.table.Owns(u.ID) {
		return
	}
	d.table.Own(u)
	if g, ok := d.loads.Digest(u.ID); ok {
		d.table.Inherit(g)
	}
}

// isOwner reports whether the view makes this host the owner of an upstream.
// Upstreams of another cell are owned by that cell's members.
func (d *Daemon) isOwner(view *btview.View, u *bramleytack.Upstream) bool {
	if view == nil || !u.In(d.settings.Cell) {
		return false
	}
	m, ok := view.Owner(u.ID)
	return ok && m.Host == d.settings.Host
}

// ownState returns the state that the daemon sends to the other members.
func (d *Daemon) ownState() btremote.State {
	st := btremote.State{
		Host: d.settings.Host, EntryAddr: d.settings.Listen, AdminAddr: d.settings.AdminListen,
		FailureDomain: d.settings.FailureDomain, Draining: d.draining.Load(), Config: d.config.Digest(), Streams: d.front.OpenStreams(),
		Cell: d.settings.Cell, Ready: d.Ready(), Queued: d.queue.Waiting(), Uptime: d.timers.Now().Sub(d.started).Round(time.Second).String(),
	}
	if v := d.cluster.cell.View(); v != nil {
		st.View = v.Number
	}
	return st
}

// Entries implements btfront.EntryLister: the members that are ready and whose
// failure domain is in service. If there are none, it lists all that are not
// draining.
func (d *Daemon) Entries() ([]netip.AddrPort, time.Duration) {
	s := d.config.Snapshot()
	var serving, all []netip.AddrPort
	for _, st := range d.cluster.exchange.States() {
		if st.Draining || !st.EntryAddr.IsValid() {
			continue
		}
		all = append(all, st.EntryAddr)
		domain := s.FailureDomains[st.FailureDomain]
		if st.Ready && (domain == nil || domain.State == bramleytack.DomainActive) {
			serving = append(serving, st.EntryAddr)
		}
	}
	if len(serving) == 0 {
		serving = all
	}
	return serving, d.settings.EntriesValidFor
}

// isolated reports whether the host reaches neither the store nor a peer.
func (d *Daemon) isolated() bool {
	now := d.timers.Now()
	return now.Sub(d.cluster.cell.LastContact()) > isolationTimeout && now.Sub(d.store.LastResponse()) > isolationTimeout
}

// hostPeriod is the time between two reads of the host list by this host.
func (d *Daemon) hostPeriod() time.Duration {
	return time.Second * time.Duration(d.memberCount()) / hostReadsPerSecond
}

func (d *Daemon) memberCount() int {
	if v := d.cluster.cell.View(); v != nil {
		return max(len(v.Members), 1)
	}
	return 1
}

// runWatch watches the store while shouldWatchStore holds. Other members get
// changes of the configuration from their peers.
func (d *Daemon) runWatch(ctx context.Context) {
	tick := d.timers.Every(watchCheckPeriod, 0)
	defer tick.Stop()
	var stop context.CancelFunc
	for {
		d.checkLoaded(ctx)
		switch wanted := d.shouldWatchStore(); {
		case wanted && stop == nil:
			var watch context.Context
			watch, stop = context.WithCancel(ctx)
			d.spawn(func() { _ = d.watcher.Run(watch) })
		case !wanted && stop != nil:
			stop()
			stop = nil
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		}
	}
}

// checkLoaded records that the configuration is complete: after the first list of
// all kinds from the store, or after it was loaded from a peer.
func (d *Daemon) checkLoaded(ctx context.Context) {
	if d.configLoaded.Load() {
		return
	}
	if d.watcher.Synced() || d.loadFromPeer(ctx) {
		d.configLoaded.Store(true)
		close(d.configComplete)
	}
}

// loadFromPeer asks the other members for the configuration, one by one, and
// reports whether one had it. It asks none before storeGracePeriod is over.
func (d *Daemon) loadFromPeer(ctx context.Context) bool {
	v := d.cluster.cell.View()
	if v == nil || d.timers.Now().Sub(d.started) < storeGracePeriod {
		return false
	}
	for _, m := range v.Members {
		if m.Host != d.settings.Host && d.cluster.configSync.Load(ctx, m.Host) {
			return true
		}
	}
	return false
}

// shouldWatchStore reports whether this member is one of the cell's watchers, has
// no view or no complete configuration yet, or has lost the coordinator.
func (d *Daemon) shouldWatchStore() bool {
	v := d.cluster.cell.View()
	if v == nil || slices.Contains(v.Watchers(), d.settings.Host) {
		return true
	}
	if !d.configLoaded.Load() {
		return true
	}
	return d.timers.Now().Sub(d.cluster.cell.ViewLeaseStart()) > heartbeatTimeout
}
