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
	// healthPeriod is how often the daemon looks at its own state.
	healthPeriod = 500 * time.Millisecond
	// storeSilence is the time without an answer from which on the store counts
	// as unavailable. Each daemon calls it at least once in this time while the
	// cell has at most 32 members.
	storeSilence = 10 * time.Second
)

// health is what the daemon last logged of its own state. Only runHealth uses
// it.
type health struct {
	isolated    bool
	storeDown   bool
	viewExpired bool
	fence       bramleytack.Fence
	undecodable int
	quarantined map[string]bool
	linkDown    map[bramleytack.HostID]bool
}

// runHealth logs changes of the daemon's state until the context ends. It
// decides nothing: whoever acts on these states checks them when it acts.
func (d *Daemon) runHealth(ctx context.Context) {
	tick := d.timers.Every(healthPeriod, 0)
	defer tick.Stop()
	h := &health{linkDown: map[bramleytack.HostID]bool{}}
	for {
		select {
		case now := <-tick.C():
			d.checkContact(h, now)
			d.checkLease(h)
			d.checkLinks(h)
			d.checkConfig(h)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) checkContact(h *health, now time.Time) {
	if is := d.isolated(); is != h.isolated {
		h.isolated = is
		d.log.Event(either(is, btevent.HostIsolated, btevent.HostRejoined)).Send()
	}
	down := now.Sub(d.store.LastResponse()) > storeSilence && now.Sub(d.started) > storeSilence
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

func (d *Daemon) checkLease(h *health) {
	fence, _, held := d.cluster.lease.Held()
	if !held {
		fence = 0
	}
	if fence == h.fence {
		return
	}
	e := either(held, btevent.LeaseAcquired, btevent.LeaseLost)
	d.log.Event(e).Uint64("fence", uint64(max(fence, h.fence))).Send()
	h.fence = fence
}

func (d *Daemon) checkLinks(h *health) {
	state, ok := d.cluster.node.Dump().(btpeer.State)
	if !ok {
		return
	}
	for _, l := range state.Links {
		// A link that never came up belongs to a peer that is starting.
		down := !l.Up && l.Dialed > 0
		if down && !h.linkDown[l.Host] {
			d.log.Event(btevent.PeerLost).Str("peer", string(l.Host)).Send()
		}
		h.linkDown[l.Host] = down
	}
}

func (d *Daemon) checkConfig(h *health) {
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

func either(b bool, yes, no btevent.Event) btevent.Event {
	if b {
		return yes
	}
	return no
}
