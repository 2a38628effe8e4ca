package btroute

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"time"

	"bramleytack"
)

const (
	// releaseTimeout bounds the wait for the reply to a release. Without a
	// release, the owner ends the reservation by load report or deadline.
	releaseTimeout = time.Second
	// suspectRetryInterval is the time between two requests for a reservation
	// of a suspect, suspectTimeout the total time of them. The owner drains the
	// upstream meanwhile. Another upstream would have to drain from the start.
	suspectRetryInterval = 250 * time.Millisecond
	suspectTimeout       = 15 * time.Second
	// maxRuns bounds the attempts that an upstream may have run.
	maxRuns = 2
)

// Filter chooses an upstream for each attempt of a request, reserves capacity
// there and calls the next handler. Resume and Cancel pass through unchanged:
// their generation token names the upstream.
type Filter struct {
	// Entry is the host of this daemon.
	Entry bramleytack.HostID
	// Cell is the entry's cell. Upstreams of other cells are not used, since an
	// entry knows only the owners in its own cell.
	Cell      bramleytack.CellID
	Snapshots bramleytack.Snapshots
	Owner     bramleytack.Owner
	Timer     bramleytack.Timer
	Policy    Policy
	// Retry decides about further attempts. A nil Retry allows none.
	Retry Retry
	// Loads may be nil.
	Loads *Loads
	// Models knows which upstreams have loaded a model. If it is nil, each
	// upstream in a model's list is assumed to have loaded it.
	Models ModelIndex
	// AllowOtherVersions lets engines with another version of the model run
	// requests. After a change of version, placement replaces a few engines at
	// a time, and the others continue to serve. It has an effect only if Models
	// implements VersionFallback.
	AllowOtherVersions bool
	// SubsetSize is the number of upstreams for each model that this entry
	// uses at first. Zero selects a default.
	SubsetSize int
	// Granted is called when a request gets a reservation. It may be nil.
	Granted func(*bramleytack.Request)
	// NewGrant returns a new grant id. If it is nil, ids are random.
	NewGrant func() bramleytack.GrantID

	subsets subsetCache
}

// Handle offers the request to upstreams until one completes it or no further
// attempt is allowed.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call {
		return next.Handle(ctx, r, w)
	}
	routing := &routing{Filter: f, request: r, writer: w, next: next, outcome: bramleytack.NotRun}
	return routing.loop(ctx)
}

// routing is the state of one request over its attempts.
type routing struct {
	*Filter
	request *bramleytack.Request
	writer  bramleytack.ResponseWriter
	next    bramleytack.Handler

	tried triedUpstreams
	// outcome is the combined outcome of all attempts. runs counts the attempts
	// whose outcome was not NotRun.
	outcome bramleytack.Outcome
	runs    int
	// delivered is set once a part of the response was passed to the caller.
	delivered bool
}

func (r *routing) loop(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		err := r.attempt(ctx, attempt)
		if err == nil {
			return nil
		}
		if !r.mayRetry(ctx, err) || !r.waitForAttempt(ctx, attempt+1) {
			return err.WithOutcome(r.outcome)
		}
	}
}

// attempt offers the request to one upstream.
func (r *routing) attempt(ctx context.Context, attempt int) *bramleytack.Error {
	q := Query{Request: r.request, Snapshot: r.Snapshots.Snapshot(), Now: r.Timer.Now(), Attempt: attempt, Suspect: r.request.Suspect}
	candidates, err := r.candidates(q)
	if err != nil {
		return bramleytack.AsError(err)
	}
	candidates = r.tried.untried(candidates)
	picked := candidates[r.Policy.Pick(q, candidates)]
	u := picked.Upstream
	r.tried.add(u.ID)
	r.request.Attempt = attempt
	grant, rejected := r.reserve(ctx, u.ID, q.Suspect)
	if q.Suspect {
		grant, rejected = r.retryReserve(ctx, u.ID, grant, rejected)
	}
	if rejected != nil {
		return rejected
	}
	r.request.Target = bramleytack.Target{Upstream: u, Grant: grant, Version: picked.Version}
	if m, ok := q.Snapshot.Models[r.request.Model]; ok {
		r.request.Target.Adapter = m.Adapter
	}
	return r.dispatch(ctx)
}

// reserve asks the owner for a reservation. An error always has the outcome
// NotRun, since a reservation alone sends nothing to the upstream.
func (r *routing) reserve(ctx context.Context, id bramleytack.UpstreamID, suspect bool) (bramleytack.Grant, *bramleytack.Error) {
	req := r.request
	v := bramleytack.Reservation{
		Grant:        r.newGrant(),
		Upstream:     id,
		Entry:        r.Entry,
		Request:      req.AttemptID(),
		Workspace:    req.Workspace,
		Model:        req.Model,
		Priority:     req.Priority,
		PromptTokens: req.PromptTokens(),
		MaxTokens:    req.MaxTokens,
		Deadline:     req.Deadline,
		Suspect:      suspect,
	}
	grant, err := r.Owner.Reserve(ctx, v)
	if err == nil {
		return grant, nil
	}
	e := bramleytack.AsError(err)
	if r.Loads != nil && e.Code == bramleytack.CodeOverloaded {
		r.Loads.recordRejection(r.Timer.Now(), id, e.RetryAfter)
	}
	if e.Outcome != bramleytack.NotRun {
		// The owner may have made the reservation although its reply was
		// lost.
		r.release(ctx, bramleytack.Release{Grant: v.Grant, Upstream: id, Outcome: bramleytack.NotRun})
	}
	return bramleytack.Grant{}, e.WithOutcome(bramleytack.NotRun)
}

// retryReserve repeats the reservation of a suspect while the upstream drains.
// It takes and returns the result of the last reservation.
func (r *routing) retryReserve(ctx context.Context, id bramleytack.UpstreamID, grant bramleytack.Grant, rejected *bramleytack.Error) (bramleytack.Grant, *bramleytack.Error) {
	end := r.Timer.Now().Add(suspectTimeout)
	if d := r.request.Deadline; !d.IsZero() && d.Before(end) {
		end = d
	}
	for rejected != nil && rejected.Code == bramleytack.CodeOverloaded && r.Timer.Now().Add(suspectRetryInterval).Before(end) {
		if r.Timer.Sleep(ctx, suspectRetryInterval) != nil || !r.Snapshots.Snapshot().Accepts(id) {
			return grant, rejected
		}
		grant, rejected = r.reserve(ctx, id, true)
	}
	return grant, rejected
}

func (r *routing) dispatch(ctx context.Context) *bramleytack.Error {
	grant := r.request.Target.Grant
	id := r.request.Target.Upstream.ID
	r.notifyStarted(id)
	rec := &recorder{writer: r.writer, timer: r.Timer, start: r.Timer.Now()}
	err := r.next.Handle(ctx, r.request, rec)
	e := bramleytack.AsError(err)
	outcome := bramleytack.OutcomeOf(err)
	release := bramleytack.Release{
		Grant:      grant.ID,
		Upstream:   id,
		Outcome:    outcome,
		Failed:     upstreamFailed(e),
		Abandoned:  e != nil && outcome != bramleytack.NotRun && rec.neverOpened() && r.request.Kind == bramleytack.Generate,
		FirstToken: rec.firstToken,
	}
	// The length of an interrupted output says nothing about the length of a
	// complete one.
	if e == nil {
		release.Tokens = rec.tokens
	}
	r.release(ctx, release)
	if r.Loads != nil {
		r.Loads.requestEnded(id)
	}
	r.delivered = r.delivered || rec.delivered
	if e != nil && outcome != bramleytack.NotRun {
		r.runs++
		r.outcome = combineOutcomes(r.outcome, outcome)
		r.request.Suspect = r.request.Suspect || upstreamFailed(e)
	}
	return e
}

// notifyStarted informs Loads, Granted and the policy that the request has a
// reservation.
func (r *routing) notifyStarted(id bramleytack.UpstreamID) {
	if r.Loads != nil {
		r.Loads.requestStarted(id)
	}
	if r.Granted != nil {
		r.Granted(r.request)
	}
	if o, ok := r.Policy.(Observer); ok {
		o.Started(r.Timer.Now(), r.request, id)
	}
}

// release ends a reservation, even if the caller has disconnected.
func (r *routing) release(ctx context.Context, v bramleytack.Release) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// If this fails, the owner ends the reservation by load report or deadline.
	_ = r.Owner.Release(ctx, v)
}

func (r *routing) mayRetry(ctx context.Context, err *bramleytack.Error) bool {
	if ctx.Err() != nil || r.delivered || isFinal(err.Code) || r.Retry == nil {
		return false
	}
	if err.Outcome == bramleytack.NotRun {
		return true
	}
	return r.runs < maxRuns && r.mayRunTwice()
}

// mayRunTwice reports whether the request may run more than once.
func (r *routing) mayRunTwice() bool {
	req := r.request
	if req.Kind == bramleytack.Generate {
		return true
	}
	if req.Method == http.MethodGet || req.Method == http.MethodHead {
		return true
	}
	s, ok := r.Snapshots.Snapshot().Services[req.Service]
	return ok && slices.Contains(s.IdempotentMethods, req.Method)
}

// waitForAttempt waits for the backoff before an attempt and reports whether
// the attempt may be made.
func (r *routing) waitForAttempt(ctx context.Context, attempt int) bool {
	deadline := r.request.Deadline
	d, ok := r.Retry.Next(attempt, deadline)
	if !ok || (!deadline.IsZero() && !r.Timer.Now().Add(d).Before(deadline)) {
		return false
	}
	return d <= 0 || r.Timer.Sleep(ctx, d) == nil
}

func (f *Filter) newGrant() bramleytack.GrantID {
	if f.NewGrant == nil {
		return bramleytack.GrantID(rand.Text())
	}
	return f.NewGrant()
}

// isFinal reports whether another upstream would return the same error.
func isFinal(c bramleytack.Code) bool {
	switch c {
	case bramleytack.CodeBadRequest, bramleytack.CodeBodyTooLarge,
		bramleytack.CodeUnauthenticated, bramleytack.CodeForbidden,
		bramleytack.CodeUnknownModel, bramleytack.CodeUnknownService,
		bramleytack.CodeNotFound, bramleytack.CodeRateLimited,
		bramleytack.CodeCanceled, bramleytack.CodeKeyReused,
		bramleytack.CodeInProgress, bramleytack.CodeQuarantined,
		bramleytack.CodeConflict:
		return true
	default:
		return false
	}
}

// upstreamFailed reports whether the upstream failed, as opposed to a
// rejection, an expired deadline or a caller that disconnected.
func upstreamFailed(e *bramleytack.Error) bool {
	if e == nil {
		return false
	}
	return e.Code == bramleytack.CodeUpstreamFailed || e.Code == bramleytack.CodeIncomplete
}

// combineOutcomes returns the outcome of two attempts together: Ran if one ran,
// else Unknown if one may have run, else NotRun.
func combineOutcomes(a, b bramleytack.Outcome) bramleytack.Outcome {
	if a == bramleytack.Ran || b == bramleytack.Ran {
		return bramleytack.Ran
	}
	if a == bramleytack.Unknown || b == bramleytack.Unknown {
		return bramleytack.Unknown
	}
	return bramleytack.NotRun
}
