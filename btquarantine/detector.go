package btquarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// evidenceTimeout bounds the look at an upstream whose stream broke.
const evidenceTimeout = time.Second

// Detector looks at an upstream after a request to it broke off, and reports a
// crash if IsCrash says so. It stands between the route filter and Tracker.
type Detector struct {
	Table     *Table
	Snapshots bramleytack.Snapshots
	Upstreams bramleytack.Upstreams
	// Crashed is told of each crash. It may be nil.
	Crashed func(u bramleytack.UpstreamID, i bramleytack.InstanceID, fps []bramleytack.Fingerprint)
	// Flush returns when the peers know of the crash, or after a short time. It
	// is called before the failure goes on to the caller, who may send the
	// request to another entry at once. It may be nil.
	Flush func(ctx context.Context)
}

// Handle implements bramleytack.Filter.
func (d *Detector) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	err := next.Handle(ctx, r, w)
	if err != nil && r.Target.Upstream != nil && broken(bramleytack.AsError(err)) {
		d.inspect(ctx, r.Target)
	}
	return err
}

func broken(e *bramleytack.Error) bool {
	if e.Outcome == bramleytack.NotRun {
		return false
	}
	return e.Code == bramleytack.CodeUpstreamFailed || e.Code == bramleytack.CodeIncomplete
}

func (d *Detector) inspect(ctx context.Context, t bramleytack.Target) {
	// The caller may be gone, and the others still need to be told.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evidenceTimeout)
	defer cancel()
	u := t.Upstream
	e := Evidence{Broken: true, Instance: t.Grant.Instance, Leaving: !d.Snapshots.Snapshot().Accepts(u.ID)}
	report, err := bramleytack.LoadOf(ctx, d.Upstreams, u)
	switch {
	case err == nil:
		e.Seen = report.Instance
		e.Leaving = e.Leaving || report.Leaving
	case errors.Is(err, syscall.ECONNREFUSED):
		e.Refused = true
	}
	if !IsCrash(e) {
		return
	}
	fps := d.Table.InFlight(u.ID, e.Instance)
	d.Table.ReportCrash(u.ID, e.Instance, fps)
	if d.Crashed != nil {
		d.Crashed(u.ID, e.Instance, fps)
	}
	if d.Flush != nil {
		d.Flush(ctx)
	}
}
