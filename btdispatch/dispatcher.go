package btdispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrelay"
	"bramleytack/btupstream"
)

// tokenLifetime is how long a generation token is valid after the request's
// deadline.
const tokenLifetime = 10 * time.Minute

// Dispatcher implements bramleytack.Handler. It may be used concurrently; its
// fields must not be changed after the first request.
type Dispatcher struct {
	Snapshots bramleytack.Snapshots
	Upstreams bramleytack.Upstreams
	Tokens    bramleytack.GenerationTokens
	Timer     bramleytack.Timer
	// Isolated reports whether the daemon reaches neither the store nor a peer.
	// While it does, requests are rejected. It may be nil.
	Isolated func() bool
}

// Handle sends the request to its target, or to the upstream of its generation
// token, and writes the response.
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

// checkTarget reports an error if the target upstream may not get the request now.
// It must be called directly before the request is sent.
func (d *Dispatcher) checkTarget(r *bramleytack.Request) error {
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
		return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream is not an engine").WithCause(err)
	}
	if err := d.checkTarget(r); err != nil {
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
	relay := d.newRelay(engine, r, r.Target.Upstream.ID, r.Target.Grant.Instance, r.Target.Version)
	return relay.Run(ctx, stream, w)
}

func (d *Dispatcher) resume(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	ref, engine, err := d.findGeneration(ctx, r)
	if err != nil {
		return err
	}
	stream, err := engine.Resume(ctx, ref.Stream, r.From)
	if errors.Is(err, btupstream.ErrUnknownGeneration) {
		return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "engine no longer holds the generation").WithCause(err)
	}
	if err != nil {
		return err
	}
	r.Model = ref.Model
	relay := d.newRelay(engine, r, ref.Upstream, ref.Instance, ref.Version)
	relay.FirstIndex = r.From
	return relay.Run(ctx, stream, w)
}

func (d *Dispatcher) cancel(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter) error {
	ref, engine, err := d.findGeneration(ctx, r)
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
		return bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream is not a plain service").WithCause(err)
	}
	if err := d.checkTarget(r); err != nil {
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

// findGeneration returns the generation that the request's token refers to and its
// engine. The upstream may be leaving, since running generations continue.
func (d *Dispatcher) findGeneration(ctx context.Context, r *bramleytack.Request) (bramleytack.GenerationRef, bramleytack.Engine, error) {
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
		return ref, nil, bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "upstream is not an engine").WithCause(err)
	}
	return ref, engine, nil
}

// newRelay returns a relay for a generation of the given upstream instance.
func (d *Dispatcher) newRelay(
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
		IsGenerationLost: func(err error) bool { return errors.Is(err, btupstream.ErrUnknownGeneration) },
		NewOpening: func(s bramleytack.StreamID) (bramleytack.Opening, error) {
			ref.Stream = s
			token, err := d.Tokens.Seal(ref)
			return bramleytack.Opening{RequestID: r.ID, Model: r.Model, Version: version, GenerationToken: token}, err
		},
	}
}
