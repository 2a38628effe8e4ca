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
	// claimShards is the number of shards of a cell's claims. It must not
	// change while claims are kept.
	claimShards = 8
	// leaveTimeout bounds the giving up of roles at the end of a drain.
	leaveTimeout = 15 * time.Second
	// answerTime is how long a daemon that has left its cell goes on to answer
	// the calls of its peers.
	answerTime = 2 * time.Second
	// hostReadsPerSecond is the rate at which the members of a cell together
	// read the host list.
	hostReadsPerSecond = 4
	// storeFirst is how long a starting daemon waits for the store before it
	// takes the configuration from a peer.
	storeFirst = 2 * time.Second
	// watchCheck is how often a member decides whether it watches the store and
	// whether its configuration is complete.
	watchCheck = 50 * time.Millisecond
	// heartbeatLimit is the time without a heartbeat from which on a member
	// watches the store itself: three heartbeats and a round trip.
	heartbeatLimit = 2500 * time.Millisecond
	// isolationLimit is the time without an answer of the store or a peer from
	// which on a host takes itself for isolated.
	isolationLimit = 3 * time.Second
)

// cluster is a daemon's part in its cell.
type cluster struct {
	mux      *btpeer.Mux
	node     *btpeer.Node
	lease    *btlease.Lease
	cell     *btview.Cell
	owners   *btremote.Owners
	claims   *btremote.Claims
	spread   *btremote.ConfigSync
	exchange *btremote.Exchange
	suspects *btremote.Suspects
}

// buildCluster makes the parts that speak to other daemons. It fails if the
// certificates can't be read.
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
	c.owners = &btremote.Owners{Self: s.Host, Node: c.node, Cell: c.cell, Table: d.table, Loads: d.loads, Timer: d.timers, OnFreeCapacity: d.room}
	d.table.Ownership = c.owners
	c.claims = &btremote.Claims{Self: s.Host, Node: c.node, Cell: c.cell}
	for n := range claimShards {
		c.claims.Shards = append(c.claims.Shards, &btclaim.Shard{Store: d.store, Timer: d.timers, Cell: s.Cell, Number: n, Interval: s.ClaimInterval})
	}
	c.spread = &btremote.ConfigSync{Self: s.Host, Node: c.node, Cell: c.cell, Config: d.config, Timer: d.timers, Complete: d.loaded.Load}
	c.cell.OnConfigRevision = c.spread.ObserveRevision
	c.exchange = &btremote.Exchange{
		Self: s.Host, Node: c.node, Cell: c.cell, Timer: d.timers, Table: d.table, Loads: d.loads, Limiter: d.limiter,
		ConfigSync: c.spread, Hosts: d.hosts, OwnState: d.state,
	}
	c.suspects = &btremote.Suspects{Self: s.Host, Node: c.node, Cell: c.cell, Table: d.suspects}
	d.suspects.Notify = c.suspects.Notify
	btview.Register(c.mux, c.cell)
	c.owners.Register(c.mux)
	c.claims.Register(c.mux)
	c.spread.Register(c.mux)
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
	d.own()
	d.cluster.owners.ReportReservations(context.Background())
}

// own brings the owned upstreams in line with the view.
func (d *Daemon) own() {
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

// assign takes an upstream over, or gives it up, by the view.
func (d *Daemon) assign(view *btview.View, u *bramleytack.Upstream) {
	if !d.owner(view, u) {
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

// owner says whether this host owns an upstream by a view. Upstreams of other
// cells have their owners there.
func (d *Daemon) owner(view *btview.View, u *bramleytack.Upstream) bool {
	if view == nil || !u.In(d.settings.Cell) {
		return false
	}
	m, ok := view.Owner(u.ID)
	return ok && m.Host == d.settings.Host
}

// state is what the daemon tells the other members.
func (d *Daemon) state() btremote.State {
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

// isolated says whether the host reaches neither the store nor a peer.
func (d *Daemon) isolated() bool {
	now := d.timers.Now()
	return now.Sub(d.cluster.cell.LastContact()) > isolationLimit && now.Sub(d.store.LastResponse()) > isolationLimit
}

// hostPeriod is the time between two reads of the host list by this host.
func (d *Daemon) hostPeriod() time.Duration {
	return time.Second * time.Duration(d.members()) / hostReadsPerSecond
}

func (d *Daemon) members() int {
	if v := d.cluster.cell.View(); v != nil {
		return max(len(v.Members), 1)
	}
	return 1
}

// runWatch watches the store while this member is one of the cell's watchers,
// or while it hears nothing from the coordinator. The others get changes over
// their links.
func (d *Daemon) runWatch(ctx context.Context) {
	tick := d.timers.Every(watchCheck, 0)
	defer tick.Stop()
	var stop context.CancelFunc
	for {
		d.checkLoaded(ctx)
		switch wanted := d.watches(); {
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

// checkLoaded notes when the configuration is complete: after the first list of
// all kinds, or from a member that has it while the store is away.
func (d *Daemon) checkLoaded(ctx context.Context) {
	if d.loaded.Load() {
		return
	}
	if d.watcher.Synced() || d.loadFromPeer(ctx) {
		d.loaded.Store(true)
		close(d.complete)
	}
}

// loadFromPeer asks the members one after the other. A daemon that has just
// started first gives the store a chance.
func (d *Daemon) loadFromPeer(ctx context.Context) bool {
	v := d.cluster.cell.View()
	if v == nil || d.timers.Now().Sub(d.started) < storeFirst {
		return false
	}
	for _, m := range v.Members {
		if m.Host != d.settings.Host && d.cluster.spread.Load(ctx, m.Host) {
			return true
		}
	}
	return false
}

func (d *Daemon) watches() bool {
	v := d.cluster.cell.View()
	if v == nil || slices.Contains(v.Watchers(), d.settings.Host) {
		return true
	}
	if !d.loaded.Load() {
		return true
	}
	return d.timers.Now().Sub(d.cluster.cell.ViewLeaseStart()) > heartbeatLimit
}
