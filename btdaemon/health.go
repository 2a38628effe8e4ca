package btdaemon

import (
	"context"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btpeer"
	"bramleytack/btview"
)

const (
	// healthPeriod is how often the daemon checks its own state.
	healthPeriod = 500 * time.Millisecond
	// storeTimeout is the time without a response after which the store counts as
	// unavailable. In a cell of at most 32 members, each daemon calls the store at
	// least once in this time.
	storeTimeout = 10 * time.Second
)

// loggedState is the state that the daemon logged last. Only the goroutine of
// runHealth uses it.
type loggedState struct {
	isolated    bool
	storeDown   bool
	viewExpired bool
	fence       bramleytack.Fence
	undecodable int
	quarantined map[string]bool
	linkDown    map[bramleytack.HostID]bool
}

// runHealth logs changes of the daemon's state until the context ends. No other
// part depends on it: each checks the state itself before it acts.
func (d *Daemon) runHealth(ctx context.Context) {
	tick := d.timers.Every(healthPeriod, 0)
	defer tick.Stop()
	h := &loggedState{linkDown: map[bramleytack.HostID]bool{}}
	for {
		select {
		case now := <-tick.C():
			d.checkConnectivity(h, now)
			d.checkLease(h)
			d.checkLinks(h)
			d.checkConfig(h)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) checkConnectivity(h *loggedState, now time.Time) {
	if isolated := d.isolated(); isolated != h.isolated {
		h.isolated = isolated
		d.log.Event(chooseEvent(isolated, btevent.HostIsolated, btevent.HostRejoined)).Send()
	}
	down := now.Sub(d.store.LastResponse()) > storeTimeout && now.Sub(d.started) > storeTimeout
	if down && !h.storeDown {
		d.log.Event(btevent.StoreDown).Time("lastAnswer", d.store.LastResponse()).Send()
	}
	h.storeDown = down
	expired := d.cluster.cell.View() != nil && now.Sub(d.cluster.cell.ViewLeaseStart()) > btview.LeaseDuration
	if expired && !h.viewExpired {
		d.log.Event(btevent.ViewExpired).Send()
	}
	h.viewExpired = expired
}

func (d *Daemon) checkLease(h *loggedState) {
	fence, _, held := d.cluster.lease.Held()
	if !held {
		fence = 0
	}
	if fence == h.fence {
		return
	}
	e := chooseEvent(held, btevent.LeaseAcquired, btevent.LeaseLost)
	d.log.Event(e).Uint64("fence", uint64(max(fence, h.fence))).Send()
	h.fence = fence
}

func (d *Daemon) checkLinks(h *loggedState) {
	state, ok := d.cluster.node.Dump().(btpeer.State)
	if !ok {
		return
	}
	for _, l := range state.Links {
		// A link that was never up belongs to a peer that is starting.
		down := !l.Up && l.Dialed > 0
		if down && !h.linkDown[l.Host] {
			d.log.Event(btevent.PeerLost).Str("peer", string(l.Host)).Send()
		}
		h.linkDown[l.Host] = down
	}
}

func (d *Daemon) checkConfig(h *loggedState) {
	if n := d.config.Stats().Undecodable; n != h.undecodable {
		if n > h.undecodable {
			d.log.Event(btevent.RecordUndecodable).Int("records", n).Send()
		}
		h.undecodable = n
	}
	current := d.config.Snapshot().Quarantined
	for fp := range current {
		if !h.quarantined[fp] {
			d.log.Event(btevent.RequestQuarantined).Str("fingerprint", fp).Send()
		}
	}
	h.quarantined = current
}

func chooseEvent(b bool, yes, no btevent.Event) btevent.Event {
	if b {
		return yes
	}
	return no
}
