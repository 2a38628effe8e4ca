package btquarantine

import (
	"context"

	"bramleytack"
)

var (
	errQuarantined = bramleytack.NewError(bramleytack.CodeQuarantined, bramleytack.NotRun, "request is quarantined: upstreams that ran it crashed")
	errSuspect     = bramleytack.NewError(bramleytack.CodeQuarantined, bramleytack.NotRun, "request may have crashed an upstream and is not repeated yet")
)

// Filter refuses quarantined requests and marks suspects. The outcome of a
// refusal is that of this sending, which reached no upstream.
type Filter struct {
	Table *Table
	// Arbiter grants the single run of a suspect over all entries, such as
	// Table.Grant at the fingerprint's owner by rendezvous hash. Without one
	// each entry grants a run until the Started report of another arrives.
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
		if err := f.start(ctx, fp, r.ID); err != nil {
			return err
		}
		r.Suspect = true
	}
	err = next.Handle(ctx, r, w)
	f.Table.end(fp, r.ID, alone, err)
	return err
}

func (f *Filter) start(ctx context.Context, fp bramleytack.Fingerprint, request bramleytack.RequestID) error {
	if f.Arbiter != nil {
		if err := f.Arbiter(ctx, fp, request); err != nil {
			refused := errSuspect.WithCause(err)
			f.Table.end(fp, request, true, refused)
			return refused
		}
	}
	f.Table.notify(Report{Kind: Started, Fingerprints: []bramleytack.Fingerprint{fp}, Request: request})
	return nil
}

// Tracker notes what is in flight at which upstream. It stands directly before
// dispatch, where the request's target is known.
type Tracker struct {
	Table *Table
}

// Handle implements bramleytack.Filter.
func (f *Tracker) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call || r.Target.Upstream == nil {
		return next.Handle(ctx, r, w)
	}
	c := crash{r.Target.Upstream.ID, r.Target.Grant.Instance}
	leave := f.Table.enter(c, r.Fingerprint(), r.Suspect)
	err := next.Handle(ctx, r, w)
	leave(err != nil && bramleytack.OutcomeOf(err) != bramleytack.NotRun)
	return err
}
