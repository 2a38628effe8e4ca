package btdispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrelay"
	"bramleytack/btupstream"
)

// tokenLifetime is how long a generation can be resumed after its deadline.
const tokenLifetime = 10 * time.Minute

// Dispatcher implements bramleytack.Handler.
type Dispatcher struct {
	Snapshots bramleytack.Snapshots
	Upstreams bramleytack.Upstreams
	Tokens    bramleytack.GenerationTokens
	Timer     bramleytack.Timer
	// Isolated says that the process reaches neither the store nor a peer. It
	// may be nil.
	Isolated func() bool
}

// Handle runs the request on its target, or on the upstream of its generation
// token.
func (d *Dispatcher) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	switch r.Kind {
	case bramleytack.Generate:
		return d.generate(ctx, r, w)
	case bramleytack.Resume:
		return d.resume(ctx, r, w)
	case bramleytack.Cancel:
		return d.cancel(ctx, r, w)
	case bramleytack.Call:
		return d.call(ctx, r, w)
	default:
		return bramleytack.NewError(bramleytack.CodeInternal, bramleytack.NotRun, "request has no kind")
	}
}

// check makes the checks at the point of use.
func (d *Dispatcher) check(r *bramleytack.Request) error {
	t := r.Target
	switch {
	case t.Upstream == nil:
		return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "no upstream was chosen")
	case !d.Snapshots.Snapshot().Accepts(t.Upstream.ID):
		return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream %s takes no new work", t.Upstream.ID)
	case !d.Timer.Now().Before(t.Grant.ValidUntil):
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "grant of upstream %s has expired", t.Upstream.ID)
	case d.Isolated != nil && d.Isolated():
		return bramleytack.NewError(bramleytack.CodeIsolated, bramleytack.NotRun, "host reaches neither the store nor a peer")
	default:
		return nil
	}
}

func (d *Dispatcher) generate(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	engine, err := d.Upstreams.Engine(r.Target.Upstream)
	if err != nil {
		return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream is no engine").WithCause(err)
	}
	if err := d.check(r); err != nil {
		return err
	}
	stream, err := engine.Start(ctx, bramleytack.GenerationRequest{
		ID:        r.AttemptID(),
		Model:     r.Model,
		Version:   r.Target.Version,
		Adapter:   r.Target.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Priority:  r.Priority.String(),
		Workspace: r.Workspace,
	})
	if err != nil {
		return err
	}
	relay := d.relay(engine, r, r.Target.Upstream.ID, r.Target.Grant.Instance, r.Target.Version)
	return relay.Run(ctx, stream, w)
}

func (d *Dispatcher) resume(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	ref, engine, err := d.find(ctx, r)
	if err != nil {
		return err
	}
	stream, err := engine.Resume(ctx, ref.Stream, r.From)
	if errors.Is(err, btupstream.ErrGone) {
		return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "engine no longer holds the generation").WithCause(err)
	}
	if err != nil {
		return err
	}
	r.Model = ref.Model
	relay := d.relay(engine, r, ref.Upstream, ref.Instance, ref.Version)
	relay.FirstIndex = r.From
	return relay.Run(ctx, stream, w)
}

func (d *Dispatcher) cancel(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	ref, engine, err := d.find(ctx, r)
	if err != nil {
		return err
	}
	if err := engine.Cancel(ctx, ref.Stream); err != nil {
		return err
	}
	return w.Close(bramleytack.Completion{FinishReason: "canceled"})
}

func (d *Dispatcher) call(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	service, err := d.Upstreams.Service(r.Target.Upstream)
	if err != nil {
		return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream is no plain service").WithCause(err)
	}
	if err := d.check(r); err != nil {
		return err
	}
	resp, err := service.Call(ctx, bramleytack.ServiceCall{
		ID:             r.AttemptID(),
		Workspace:      r.Workspace,
		IdempotencyKey: r.IdempotencyKey,
		Request:        r,
	})
	if err != nil {
		return err
	}
	return w.Respond(resp)
}

// find returns the generation that the request's token names. Its upstream may
// be leaving: running generations go on.
func (d *Dispatcher) find(ctx context.Context, r *bramleytack.Request) (bramleytack.GenerationRef, bramleytack.Engine, error) {
	ref, err := d.Tokens.Open(ctx, r.GenerationToken, r.Workspace)
	if err != nil {
		return ref, nil, err
	}
	u, ok := d.Snapshots.Snapshot().Upstreams[ref.Upstream]
	if !ok {
		return ref, nil, bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "upstream of the generation was removed")
	}
	engine, err := d.Upstreams.Engine(u)
	if err != nil {
		return ref, nil, bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "upstream is no engine").WithCause(err)
	}
	return ref, engine, nil
}

func (d *Dispatcher) relay(
	engine bramleytack.Engine, r *bramleytack.Request, id bramleytack.UpstreamID, instance bramleytack.InstanceID, version string,
) *btrelay.Relay {
	ref := bramleytack.GenerationRef{
		Upstream: id, Instance: instance, Request: r.ID, Attempt: r.Attempt,
		Workspace: r.Workspace, Model: r.Model, Version: version,
		Expires: r.Deadline.Add(tokenLifetime),
	}
	return &btrelay.Relay{
		Engine:           engine,
		Timer:            d.Timer,
		IsGenerationLost: func(err error) bool { return errors.Is(err, btupstream.ErrGone) },
		NewOpening: func(s bramleytack.StreamID) (bramleytack.Opening, error) {
			ref.Stream = s
			token, err := d.Tokens.Seal(ref)
			return bramleytack.Opening{RequestID: r.ID, Model: r.Model, Version: version, GenerationToken: token}, err
		},
	}
}
