package btquarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// inspectTimeout bounds the check of an upstream whose stream or call broke.
const inspectTimeout = time.Second

// Detector is a filter that checks an upstream when a request to it breaks, and
// reports a crash if IsCrash finds one. It goes between the route filter and
// Tracker.
type Detector struct {
	Table     *Table
	Snapshots bramleytack.Snapshots
	Upstreams bramleytack.Upstreams
	// Crashed is called for each crash. It may be nil.
	Crashed func(u bramleytack.UpstreamID, i bramleytack.InstanceID, fps []bramleytack.Fingerprint)
	// Flush waits until the peers know of the crash, for at most the time that
	// is left for the check. It is called before the caller gets the error,
	// because the caller may resend the request to another entry at once. It
	// may be nil.
	Flush func(ctx context.Context)
}

// Handle implements bramleytack.Filter.
func (d *Detector) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	err := next.Handle(ctx, r, w)
	if err != nil && r.Target.Upstream != nil && interrupted(bramleytack.AsError(err)) {
		d.inspect(ctx, r.Target)
	}
	return err
}

// interrupted reports whether an attempt that may have run ended early.
func interrupted(e *bramleytack.Error) bool {
	if e.Outcome == bramleytack.NotRun {
		return false
	}
	return e.Code == bramleytack.CodeUpstreamFailed || e.Code == bramleytack.CodeIncomplete
}

func (d *Detector) inspect(ctx context.Context, t bramleytack.Target) {
	// The peers need the report even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inspectTimeout)
	defer cancel()
	u := t.Upstream
	e := Evidence{Broken: true, Instance: t.Grant.Instance, Leaving: !d.Snapshots.Snapshot().Accepts(u.ID)}
	report, err := bramleytack.LoadOf(ctx, d.Upstreams, u)
	switch {
	case err == nil:
		e.ReportedInstance = report.Instance
		e.Leaving = e.Leaving || report.Leaving
	case errors.Is(err, syscall.ECONNREFUSED):
		e.ConnectionRefused = true
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
