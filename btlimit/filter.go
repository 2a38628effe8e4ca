package btlimit

import (
	"context"

	"bramleytack"
)

// Filter rejects requests above their workspace's limits, before any other work
// is done for them. All fields must be set.
type Filter struct {
	Limiter   *Limiter
	Snapshots bramleytack.Snapshots
	Timer     bramleytack.Timer
}

// Handle passes a request on if it is within the limits. It does not count Resume
// and Cancel, which belong to a generation that was counted at its start.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call {
		return next.Handle(ctx, r, w)
	}
	ws, ok := f.Snapshots.Snapshot().Workspaces[r.Workspace]
	if !ok {
		return bramleytack.NewError(bramleytack.CodeForbidden, bramleytack.NotRun, "unknown workspace")
	}
	if err := f.Limiter.Admit(f.Timer.Now(), ws); err != nil {
		return err
	}
	if !unlimited(ws) {
		defer func() { f.Limiter.Done(f.Timer.Now(), ws) }()
	}
	return next.Handle(ctx, r, w)
}
