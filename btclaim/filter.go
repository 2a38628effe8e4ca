package btclaim

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// ReplayedHeader is set to "true" on a response that was kept from an earlier
// call.
const ReplayedHeader = "Bramleytack-Replayed"

// DefaultFinishTimeout is the default of Filter.FinishTimeout.
const DefaultFinishTimeout = 5 * time.Second

// Filter is the deduplicate step of the request path.
// It claims a call that has an idempotency key and a method other than GET,
// HEAD and those that the service declares idempotent. All other requests pass
// unchanged.
type Filter struct {
	Snapshots bramleytack.Snapshots
	Claims    Claims
	// Entry is the host of this daemon. It is stored in each claim.
	Entry bramleytack.HostID
	// FinishTimeout bounds the recording of an outcome. Zero selects
	// DefaultFinishTimeout.
	FinishTimeout time.Duration
	// OnFinishError, if set, is called for each outcome that could not be
	// recorded. The claim may then stay without outcome.
	OnFinishError func(key ClaimKey, request bramleytack.RequestID, err error)
}

// Handle implements bramleytack.Filter.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Call || r.IdempotencyKey == "" {
		return next.Handle(ctx, r, w)
	}
	service, ok := f.Snapshots.Snapshot().Services[r.Service]
	if !ok {
		// A later filter may read a newer snapshot that has the service. The
		// call would then run without a claim, so it is not passed on.
		return bramleytack.NewError(bramleytack.CodeUnknownService, bramleytack.NotRun, "service %q is unknown", r.Service)
	}
	if idempotent(service, r.Method) {
		return next.Handle(ctx, r, w)
	}
	key := ClaimKey{Workspace: r.Workspace, Service: r.Service, Key: r.IdempotencyKey}
	d, err := f.Claims.Begin(ctx, key, r.Fingerprint(), f.Entry, r.ID)
	if err != nil {
		return rejection(err)
	}
	if d.Kind != Run {
		return respondToRepeat(d, w)
	}
	return f.run(ctx, r, w, next, key, d.Attempt)
}

// run dispatches a claimed call and records its outcome. A panic in next
// leaves the claim without outcome, since the call may have run.
func (f *Filter) run(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler, key ClaimKey, attempt AttemptID) error {
	rec := &recorder{ResponseWriter: w}
	err := next.Handle(ctx, r, rec)
	outcome := bramleytack.OutcomeOf(err)
	if rec.response != nil {
		outcome = bramleytack.Ran
	}
	// The outcome is recorded even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orDefault(f.FinishTimeout, DefaultFinishTimeout))
	defer cancel()
	finishErr := f.Claims.Finish(ctx, key, attempt, outcome, rec.response)
	if finishErr != nil && f.OnFinishError != nil {
		f.OnFinishError(key, r.ID, finishErr)
	}
	return err
}

// recorder passes a response on and keeps it for Finish.
type recorder struct {
	bramleytack.ResponseWriter
	response *bramleytack.Response
}

// Respond implements bramleytack.ResponseWriter.
func (r *recorder) Respond(response *bramleytack.Response) error {
	r.response = response
	return r.ResponseWriter.Respond(response)
}

func idempotent(s *bramleytack.ServiceRecord, method string) bool {
	return method == http.MethodGet || method == http.MethodHead || slices.Contains(s.IdempotentMethods, method)
}

// rejection returns an error of Begin with the outcome NotRun, since no call is
// dispatched without a claim.
func rejection(err error) error {
	var e *bramleytack.Error
	if errors.As(err, &e) {
		return e.WithOutcome(bramleytack.NotRun)
	}
	return errStore.WithCause(err)
}

// respondToRepeat responds to a call whose key was claimed before, or returns
// the error to respond with.
func respondToRepeat(d Decision, w bramleytack.ResponseWriter) error {
	switch d.Kind {
	case Replay:
		response := *d.Response
		if response.Header = d.Response.Header.Clone(); response.Header == nil {
			response.Header = http.Header{}
		}
		response.Header.Set(ReplayedHeader, "true")
		return w.Respond(&response)
	case ResponseNotKept:
		return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran,
			"an earlier call with this idempotency key ran with status %d; its response was not kept", d.Status)
	case InProgress:
		return bramleytack.NewError(bramleytack.CodeInProgress, bramleytack.Unknown,
			"an earlier call with this idempotency key has no outcome yet")
	case KeyReused:
		return bramleytack.NewError(bramleytack.CodeKeyReused, bramleytack.NotRun,
			"idempotency key belongs to a call with different content")
	}
	return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Unknown,
		"an earlier call with this idempotency key has no recorded outcome")
}
