package btadmin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
)

const (
	// maxAttempts bounds the repeats of a read-modify-write.
	maxAttempts = 20
	baseDelay   = 10 * time.Millisecond
	maxDelay    = 500 * time.Millisecond
)

// Drain takes a failure domain out of service.
func (a *Admin) Drain(ctx context.Context, domain bramleytack.FailureDomainID) (bramleytack.Revision, error) {
	return a.setState(ctx, domain, bramleytack.DomainOut)
}

// Return puts a failure domain back into service.
func (a *Admin) Return(ctx context.Context, domain bramleytack.FailureDomainID) (bramleytack.Revision, error) {
	return a.setState(ctx, domain, bramleytack.DomainActive)
}

func (a *Admin) setState(ctx context.Context, domain bramleytack.FailureDomainID, state bramleytack.DomainState) (bramleytack.Revision, error) {
	key := bramleytack.Key{Kind: btrecord.KindFailureDomain, Name: string(domain)}
	return a.Modify(ctx, key, func(r btrecord.Record) (btrecord.Record, error) {
		d, findings := btrecord.FailureDomains.Value(r)
		if err := findings.Err(); err != nil {
			return r, err
		}
		d.State = state
		return btrecord.FailureDomains.Set(r, d)
	})
}

// Modify reads a record, changes it and writes it until no other change
// interferes. change may be called several times and must be idempotent, since
// a write with an unknown effect is repeated on top of what is stored then.
func (a *Admin) Modify(ctx context.Context, key bramleytack.Key, change func(btrecord.Record) (btrecord.Record, error)) (bramleytack.Revision, error) {
	var last error
	outcome := bramleytack.NotRun
	for attempt := range maxAttempts {
		if attempt > 0 && a.Timer.Sleep(ctx, delay(attempt)) != nil {
			break
		}
		v, err := a.modifyOnce(ctx, key, change)
		if err == nil {
			return v, nil
		}
		last = err
		e := bramleytack.AsError(err)
		if e.Outcome == bramleytack.Unknown {
			outcome = bramleytack.Unknown
		}
		if e.Code != bramleytack.CodeConflict && e.Code != bramleytack.CodeStoreDown {
			break
		}
	}
	if last == nil {
		return 0, bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.NotRun, "change was canceled").WithCause(ctx.Err())
	}
	return 0, bramleytack.AsError(last).WithOutcome(outcome)
}

func (a *Admin) modifyOnce(ctx context.Context, key bramleytack.Key, change func(btrecord.Record) (btrecord.Record, error)) (bramleytack.Revision, error) {
	o, err := a.newest(ctx, key)
	if err != nil {
		// A failed read has no effect.
		return 0, storeError(err).WithOutcome(bramleytack.NotRun)
	}
	if o.Deleted {
		return 0, notFound(key)
	}
	current, err := decode(o)
	if err != nil {
		return 0, err
	}
	wanted, err := change(current.Record)
	if err != nil {
		return 0, badRequest(err)
	}
	if wanted.Key() != key {
		return 0, badRequest(errors.Newf("btadmin: change renames %s/%s", key.Kind, key.Name))
	}
	return a.Apply(ctx, wanted, current.Version)
}

// delay returns a pause between half and all of a delay that doubles with each
// attempt, so that racing changes do not meet again.
func delay(attempt int) time.Duration {
	const maxShift = 6
	d := min(baseDelay<<min(attempt, maxShift), maxDelay)
	return d/2 + rand.N(d/2)
}
