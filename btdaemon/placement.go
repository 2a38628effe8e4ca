package btdaemon

import (
	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btplace"
	"bramleytack/btupstream"
)

// buildPlacement makes the controller that acts while this daemon holds the
// lease of its cell. It reads the engines itself, since digests have neither an
// engine's role nor the age of its figures.
func (d *Daemon) buildPlacement() {
	d.placement = &btplace.Controller{
		Cell:         d.settings.Cell,
		Lease:        d.cluster.lease,
		Store:        d.store,
		Timer:        d.timers,
		Snapshots:    d.snapshots,
		Upstreams:    d.pool,
		InCell:       func(u *bramleytack.Upstream) bool { return u.In(d.settings.Cell) },
		IsStaleFence: func(err error) bool { return errors.Is(err, btupstream.ErrStaleFence) },
		Notify:       d.ordered,
	}
}

var orderEvents = map[btplace.EventKind]btevent.Event{
	btplace.Sent:   btevent.CommandSent,
	btplace.Failed: btevent.CommandFailed,
	btplace.Fenced: btevent.CommandFenced,
}

// ordered logs the end of an order.
func (d *Daemon) ordered(e btplace.Event) {
	o := e.Command
	d.log.Event(orderEvents[e.Kind]).Str("upstream", string(e.Upstream)).Uint64("fence", uint64(o.Fence)).
		Str("kind", string(o.Kind)).Str("model", o.Model).Str("version", o.Version).Str("adapter", o.Adapter).
		Str("role", o.Role).AnErr("error", e.Err).Send()
}
