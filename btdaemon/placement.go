package btdaemon

import (
	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btplace"
	"bramleytack/btupstream"
)

// buildPlacement creates the placement controller, which acts while this daemon
// holds the lease of its cell. It reads the engines' load reports itself, since
// digests contain neither an engine's role nor the age of its values.
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
		Notify:       d.commandEnded,
	}
}

var commandEvents = map[btplace.EventKind]btevent.Event{
	btplace.Sent:   btevent.CommandSent,
	btplace.Failed: btevent.CommandFailed,
	btplace.Fenced: btevent.CommandFenced,
}

// commandEnded logs the result of a command.
func (d *Daemon) commandEnded(e btplace.Event) {
	cmd := e.Command
	d.log.Event(commandEvents[e.Kind]).Str("upstream", string(e.Upstream)).Uint64("fence", uint64(cmd.Fence)).
		Str("kind", string(cmd.Kind)).Str("model", cmd.Model).Str("version", cmd.Version).Str("adapter", cmd.Adapter).
		Str("role", cmd.Role).AnErr("error", e.Err).Send()
}
