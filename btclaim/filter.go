package btclaim

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// ReplayedHeader marks an answer that was kept from an earlier call.
const ReplayedHeader = "Bramleytack-Replayed"

// DefaultFinishTimeout bounds the recording of an outcome.
const DefaultFinishTimeout = 5 * time.Second

// Filter is the deduplicate step. It claims calls that carry an idempotency
// key and use a method that the service does not declare idempotent. All
// other requests pass.
type Filter struct {
	Snapshots bramleytack.Snapshots
	Claims    Claims
	// Entry is the host that this process runs on.
	Entry bramleytack.HostID
	// FinishTimeout is DefaultFinishTimeout if zero.
	FinishTimeout time.Duration
	// OnFinishError is told of outcomes that could not be recorded. The claim
	// then stays without outcome. It may be nil.
	OnFinishError func(key ClaimKey, request bramleytack.RequestID, err error)
}

// Handle implements bramleytack.Filter.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Call || r.IdempotencyKey == "" {
		return next.Handle(ctx, r, w)
	}
	service, ok := f.Snapshots.Snapshot().Services[r.Service]
	if !ok {
		// A later filter may read a newer snapshot that has the service, so
		// passing the call on could run it without a claim.
		return bramleytack.NewError(bramleytack.CodeUnknownService, bramleytack.NotRun, "service %q is unknown", r.Service)
	}
	if idempotent(service, r.Method) {
		return next.Handle(ctx, r, w)
	}
	key := ClaimKey{Workspace: r.Workspace, Service: r.Service, Key: r.IdempotencyKey}
	d, err := f.Claims.Begin(ctx, key, r.Fingerprint(), f.Entry, r.ID)
	if err != nil {
		return refusal(err)
	}
	if d.Kind != Run {
		return answerRepeat(d, w)
	}
	return f.run(ctx, r, w, next, key, d.Attempt)
}

// run dispatches a claimed call. A panic below leaves the claim without
// outcome, as it should.
func (f *Filter) run(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler, key ClaimKey, attempt AttemptID) error {
	rec := &recorder{ResponseWriter: w}
	err := next.Handle(ctx, r, rec)
	outcome := bramleytack.OutcomeOf(err)
	if rec.response != nil {
		outcome = bramleytack.Ran
	}
	// The outcome is recorded even if the caller has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), or(f.FinishTimeout, DefaultFinishTimeout))
	defer cancel()
	failed := f.Claims.Finish(ctx, key, attempt, outcome, rec.response)
	if failed != nil && f.OnFinishError != nil {
		f.OnFinishError(key, r.ID, failed)
	}
	return err
}

// recorder passes an answer on and remembers it.
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

// refusal gives an error of Begin the outcome NotRun: no call is dispatched
// without a claim.
func refusal(err error) error {
	var e *bramleytack.Error
	if errors.As(err, &e) {
		return e.WithOutcome(bramleytack.NotRun)
	}
	return errStore.WithCause(err)
}

// answerRepeat answers a call whose key was claimed before.
func answerRepeat(d Decision, w bramleytack.ResponseWriter) error {
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
			"an earlier call with this idempotency key ran with status %d; its answer was not kept", d.Status)
	case InProgress:
		return bramleytack.NewError(bramleytack.CodeInProgress, bramleytack.Unknown,
			"an earlier call with this idempotency key has no outcome yet")
	case KeyReused:
		return bramleytack.NewError(bramleytack.CodeKeyReused, bramleytack.NotRun,
			"idempotency key belongs to a call with another content")
	}
	return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Unknown,
		"an earlier call with this idempotency key has no recorded outcome")
}
