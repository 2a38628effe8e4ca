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
	// releaseTimeout bounds the wait for an owner that does not answer a
	// release. The owner then frees the place by load report or deadline.
	releaseTimeout = time.Second
	// suspectAsk is the time between two reservations of a suspect, and
	// suspectWait the time for which it asks. The owner drains the upstream
	// meanwhile, so that asking elsewhere would start anew.
	suspectAsk  = 250 * time.Millisecond
	suspectWait = 15 * time.Second
	// maxRuns bounds the attempts that an upstream may have run.
	maxRuns = 2
)

// Filter is the route step of a request. Resume and Cancel go to the upstream
// that their generation token names and pass through unchanged.
type Filter struct {
	Entry bramleytack.HostID
	// Cell is the entry's cell. Only upstreams of the same cell are asked, since
	// an entry knows the owners of its own cell alone.
	Cell      bramleytack.CellID
	Snapshots bramleytack.Snapshots
	Owner     bramleytack.Owner
	Timer     bramleytack.Timer
	Policy    Policy
	// Retry decides about further attempts. A nil Retry allows none.
	Retry Retry
	// Loads may be nil.
	Loads *Loads
	// Models may be nil: then each upstream in a model's list holds it.
	Models ModelIndex
	// AllowOtherVersions lets an engine that holds another version of the model run
	// requests. Placement replaces engines a few at a time after a change of
	// version, and those that wait for their turn go on serving. It has an
	// effect if Models implements VersionFallback.
	AllowOtherVersions bool
	// SubsetSize bounds the upstreams per model that this entry uses. Zero
	// takes a default.
	SubsetSize int
	// Granted is told that a request got a reservation. It may be nil.
	Granted func(*bramleytack.Request)
	// NewGrant returns a new grant id. A nil NewGrant uses random ids.
	NewGrant func() bramleytack.GrantID

	subsets subsets
}

// Handle offers the request to upstreams until one completes it or no further
// attempt is allowed.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if r.Kind != bramleytack.Generate && r.Kind != bramleytack.Call {
		return next.Handle(ctx, r, w)
	}
	run := &run{Filter: f, request: r, reply: w, next: next, worst: bramleytack.NotRun}
	return run.loop(ctx)
}

// run is the state of one request over its attempts.
type run struct {
	*Filter
	request *bramleytack.Request
	reply   bramleytack.ResponseWriter
	next    bramleytack.Handler

	visits visits
	// worst is the outcome over all attempts; runs counts the attempts that
	// were not NotRun.
	worst     bramleytack.Outcome
	runs      int
	delivered bool
}

func (r *run) loop(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		err := r.attempt(ctx, attempt)
		if err == nil {
			return nil
		}
		if !r.mayRepeat(ctx, err) || !r.wait(ctx, attempt+1) {
			return err.WithOutcome(r.worst)
		}
	}
}

// attempt offers the request to one upstream.
func (r *run) attempt(ctx context.Context, attempt int) *bramleytack.Error {
	q := Query{Request: r.request, Snapshot: r.Snapshots.Snapshot(), Now: r.Timer.Now(), Attempt: attempt, Suspect: r.request.Suspect}
	candidates, err := r.candidates(q)
	if err != nil {
		return bramleytack.AsError(err)
	}
	candidates = r.visits.remaining(candidates)
	picked := candidates[r.Policy.Pick(q, candidates)]
	u := picked.Upstream
	r.visits.add(u.ID)
	r.request.Attempt = attempt
	grant, refused := r.reserve(ctx, u.ID, q.Suspect)
	if q.Suspect {
		grant, refused = r.insist(ctx, u.ID, grant, refused)
	}
	if refused != nil {
		return refused
	}
	r.request.Target = bramleytack.Target{Upstream: u, Grant: grant, Version: picked.Version}
	if m, ok := q.Snapshot.Models[r.request.Model]; ok {
		r.request.Target.Adapter = m.Adapter
	}
	return r.dispatch(ctx)
}

// reserve asks the owner. A failure is always NotRun, since a reservation
// alone sends nothing to the upstream.
func (r *run) reserve(ctx context.Context, id bramleytack.UpstreamID, suspect bool) (bramleytack.Grant, *bramleytack.Error) {
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
		r.Loads.refuse(r.Timer.Now(), id, e.RetryAfter)
	}
	if e.Outcome != bramleytack.NotRun {
		// The owner may have counted the reservation although its answer
		// was lost.
		r.release(ctx, bramleytack.Release{Grant: v.Grant, Upstream: id, Outcome: bramleytack.NotRun})
	}
	return bramleytack.Grant{}, e.WithOutcome(bramleytack.NotRun)
}

// insist asks again for a suspect while its upstream drains.
func (r *run) insist(ctx context.Context, id bramleytack.UpstreamID, grant bramleytack.Grant, refused *bramleytack.Error) (bramleytack.Grant, *bramleytack.Error) {
	end := r.Timer.Now().Add(suspectWait)
	if d := r.request.Deadline; !d.IsZero() && d.Before(end) {
		end = d
	}
	for refused != nil && refused.Code == bramleytack.CodeOverloaded && r.Timer.Now().Add(suspectAsk).Before(end) {
		if r.Timer.Sleep(ctx, suspectAsk) != nil || !r.Snapshots.Snapshot().Accepts(id) {
			return grant, refused
		}
		grant, refused = r.reserve(ctx, id, true)
	}
	return grant, refused
}

func (r *run) dispatch(ctx context.Context) *bramleytack.Error {
	grant := r.request.Target.Grant
	id := r.request.Target.Upstream.ID
	r.started(id)
	rec := &recorder{reply: r.reply, timer: r.Timer, start: r.Timer.Now()}
	err := r.next.Handle(ctx, r.request, rec)
	e := bramleytack.AsError(err)
	outcome := bramleytack.OutcomeOf(err)
	release := bramleytack.Release{
		Grant:      grant.ID,
		Upstream:   id,
		Outcome:    outcome,
		Failed:     failed(e),
		Abandoned:  e != nil && outcome != bramleytack.NotRun && rec.unopened() && r.request.Kind == bramleytack.Generate,
		FirstToken: rec.firstToken,
	}
	// The length of an interrupted output says nothing about the length of a
	// complete one.
	if e == nil {
		release.Tokens = rec.tokens
	}
	r.release(ctx, release)
	if r.Loads != nil {
		r.Loads.end(id)
	}
	r.delivered = r.delivered || rec.delivered
	if e != nil && outcome != bramleytack.NotRun {
		r.runs++
		r.worst = worse(r.worst, outcome)
		r.request.Suspect = r.request.Suspect || failed(e)
	}
	return e
}

// started tells all that follow the entry's own requests.
func (r *run) started(id bramleytack.UpstreamID) {
	if r.Loads != nil {
		r.Loads.start(id)
	}
	if r.Granted != nil {
		r.Granted(r.request)
	}
	if o, ok := r.Policy.(Observer); ok {
		o.Started(r.Timer.Now(), r.request, id)
	}
}

// release gives a grant back even if the client has left.
func (r *run) release(ctx context.Context, v bramleytack.Release) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// Without an answer the owner finds the end by load report or deadline.
	_ = r.Owner.Release(ctx, v)
}

func (r *run) mayRepeat(ctx context.Context, err *bramleytack.Error) bool {
	if ctx.Err() != nil || r.delivered || final(err.Code) || r.Retry == nil {
		return false
	}
	if err.Outcome == bramleytack.NotRun {
		return true
	}
	return r.runs < maxRuns && r.repeatable()
}

// repeatable says whether the request may run twice.
func (r *run) repeatable() bool {
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

func (r *run) wait(ctx context.Context, attempt int) bool {
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

// final says whether another upstream would give the same answer.
func final(c bramleytack.Code) bool {
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

// failed says whether the upstream failed, in contrast to a refusal, a
// deadline or a client that left.
func failed(e *bramleytack.Error) bool {
	if e == nil {
		return false
	}
	return e.Code == bramleytack.CodeUpstreamFailed || e.Code == bramleytack.CodeIncomplete
}

// worse returns the outcome that promises less to a caller who wants to
// repeat the request.
func worse(a, b bramleytack.Outcome) bramleytack.Outcome {
	if a == bramleytack.Ran || b == bramleytack.Ran {
		return bramleytack.Ran
	}
	if a == bramleytack.Unknown || b == bramleytack.Unknown {
		return bramleytack.Unknown
	}
	return bramleytack.NotRun
}
