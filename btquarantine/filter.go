package btquarantine

import (
	"context"

	"bramleytack"
)

var (
	errQuarantined = bramleytack.NewError(bramleytack.CodeQuarantined, bramleytack.NotRun, "request is quarantined: upstreams that ran it crashed")
	errSuspect     = bramleytack.NewError(bramleytack.CodeQuarantined, bramleytack.NotRun, "request may have crashed an upstream and is not repeated yet")
)

// Filter rejects quarantined requests and marks suspects. A rejection has the
// outcome NotRun, which holds for this request only: an earlier one with the
// same content may have run.
type Filter struct {
	Table *Table
	// Arbiter decides for all entries which request gets the single run of a
	// suspect. It may call Table.Grant at the daemon that a rendezvous hash
	// selects for the fingerprint. Without an Arbiter, each entry grants a run
	// until the Started report of another entry arrives.
	Arbiter func(ctx context.Context, fp bramleytack.Fingerprint, request bramleytack.RequestID) error
}

// Handle implements bramleytack.Filter.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call {
		return next.Handle(ctx, r, w)
	}
	fp := r.Fingerprint()
	alone, err := f.Table.admit(fp, r.ID)
	if err != nil {
		return err
	}
	if alone {
		if err := f.startSingleRun(ctx, fp, r.ID); err != nil {
			return err
		}
		r.Suspect = true
	}
	err = next.Handle(ctx, r, w)
	f.Table.finish(fp, r.ID, alone, err)
	return err
}

// startSingleRun obtains the single run of a suspect and reports it to the
// peers.
func (f *Filter) startSingleRun(ctx context.Context, fp bramleytack.Fingerprint, request bramleytack.RequestID) error {
	if f.Arbiter != nil {
		if err := f.Arbiter(ctx, fp, request); err != nil {
			rejected := errSuspect.WithCause(err)
			f.Table.finish(fp, request, true, rejected)
			return rejected
		}
	}
	f.Table.notify(Report{Kind: Started, Fingerprints: []bramleytack.Fingerprint{fp}, Request: request})
	return nil
}

// Tracker is a filter that records which requests are in flight at which
// upstream. It goes directly before dispatch, where the request's target is
// known.
type Tracker struct {
	Table *Table
}

// Handle implements bramleytack.Filter.
func (t *Tracker) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call || r.Target.Upstream == nil {
		return next.Handle(ctx, r, w)
	}
	key := upstreamInstance{r.Target.Upstream.ID, r.Target.Grant.Instance}
	end := t.Table.track(key, r.Fingerprint(), r.Suspect)
	err := next.Handle(ctx, r, w)
	end(err != nil && bramleytack.OutcomeOf(err) != bramleytack.NotRun)
	return err
}
