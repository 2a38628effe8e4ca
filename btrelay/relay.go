package btrelay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Limits of the resumption of a broken stream.
const (
	// DefaultResumeWindow is the default of Relay.ResumeWindow.
	DefaultResumeWindow = 5 * time.Second
	// firstBackoff is the first wait between two tries to resume. It doubles
	// up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// cancelTimeout bounds the call that cancels a generation at the engine.
	cancelTimeout = 2 * time.Second
)

// finishCanceled is the finish reason of a generation that was canceled. Its
// output is incomplete, so the relay returns an error instead of ending the
// response normally.
const finishCanceled = "canceled"

// Relay passes one generation to a ResponseWriter. Set Engine, Timer and
// NewOpening. A Relay is used once.
type Relay struct {
	Engine bramleytack.Engine
	Timer  bramleytack.Timer
	// NewOpening returns the opening of the response, once the engine's stream
	// id is known.
	NewOpening func(id bramleytack.StreamID) (bramleytack.Opening, error)
	// FirstIndex is the index of the first token to pass. The caller has the
	// tokens before it.
	FirstIndex int
	// IsGenerationLost, if set, reports whether an error of Engine.Resume means
	// that the engine no longer has the generation. There is no further try then.
	IsGenerationLost func(error) bool
	// ResumeWindow bounds the time in which the relay tries to resume after each
	// failure. Zero selects DefaultResumeWindow.
	ResumeWindow time.Duration

	stream bramleytack.Stream
	id     bramleytack.StreamID
	// nextIndex is the index of the next token to write.
	nextIndex int
	// opened is set once id is known, just before the opening is sent.
	opened bool
}

// Run passes the stream to w until it ends, and closes it. A failure before the
// first token returns the stream's error, so that another attempt may follow. A
// later one has CodeCanceled, CodeTimeout or CodeIncomplete and the outcome Ran.
// After a failure the generation is canceled at the engine.
func (r *Relay) Run(ctx context.Context, stream bramleytack.Stream, w bramleytack.ResponseWriter) error {
	r.stream = stream
	r.nextIndex = r.FirstIndex
	err := r.relayEvents(ctx, w)
	_ = r.stream.Close()
	if err != nil {
		r.cancel(ctx)
		return r.classify(err)
	}
	return nil
}

// Delivered returns the number of tokens that were written to the response.
func (r *Relay) Delivered() int { return r.nextIndex - r.FirstIndex }

// relayEvents passes events until the last one or a failure that no resumption
// repairs.
func (r *Relay) relayEvents(ctx context.Context, w bramleytack.ResponseWriter) error {
	for {
		ev, err := r.stream.Next(ctx)
		if err != nil {
			if err := r.resume(ctx, err); err != nil {
				return err
			}
			continue
		}
		done, err := r.writeEvent(ev, w)
		if errors.Is(err, errGap) {
			err = r.resume(ctx, err)
		}
		if err != nil || done {
			return err
		}
	}
}

// errGap means that the stream skipped at least one token.
var errGap = errors.New("btrelay: tokens are missing")

// writeEvent writes one event to the response, unless the caller has it already.
// It reports whether the event was the last.
func (r *Relay) writeEvent(ev bramleytack.StreamEvent, w bramleytack.ResponseWriter) (done bool, err error) {
	if err := r.open(ev.Stream, w); err != nil {
		return false, err
	}
	if ev.Done {
		if ev.Completion.Tokens != r.nextIndex {
			return false, errGap
		}
		if ev.Completion.FinishReason == finishCanceled {
			return false, bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.Ran, "generation was canceled after %d tokens", r.nextIndex)
		}
		return true, w.Close(ev.Completion)
	}
	switch {
	case ev.Token.Index < r.nextIndex:
		return false, nil
	case ev.Token.Index > r.nextIndex:
		return false, errGap
	}
	if err := w.Token(ev.Token); err != nil {
		return false, err
	}
	r.nextIndex++
	return false, nil
}

// open sends the opening before the first event. It returns an error if a later
// event belongs to another generation.
func (r *Relay) open(id bramleytack.StreamID, w bramleytack.ResponseWriter) error {
	if r.opened {
		if id != r.id {
			return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "engine changed from generation %q to %q", r.id, id)
		}
		return nil
	}
	o, err := r.NewOpening(id)
	if err != nil {
		return err
	}
	r.id = id
	r.opened = true
	return w.Open(o)
}

// resume replaces the stream with one that starts at the next token. It returns
// cause if it cannot, or the engine's error if the generation is lost.
func (r *Relay) resume(ctx context.Context, cause error) error {
	_ = r.stream.Close()
	if !r.opened {
		return cause
	}
	window := r.ResumeWindow
	if window <= 0 {
		window = DefaultResumeWindow
	}
	deadline := r.Timer.Now().Add(window)
	for wait := firstBackoff; ctx.Err() == nil && r.Timer.Now().Before(deadline); wait = min(2*wait, maxBackoff) {
		s, err := r.Engine.Resume(ctx, r.id, r.nextIndex)
		if err == nil {
			r.stream = s
			return nil
		}
		if r.IsGenerationLost != nil && r.IsGenerationLost(err) {
			return err
		}
		if err := r.Timer.Sleep(ctx, wait); err != nil {
			return cause
		}
	}
	return cause
}

// cancel cancels the generation at the engine, so that its memory is freed. The
// call continues when ctx ends, since the caller may have disconnected.
func (r *Relay) cancel(ctx context.Context) {
	if !r.opened {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_ = r.Engine.Cancel(ctx, r.id)
}

// classify returns err if no token was written. Otherwise it returns an error
// with the outcome Ran.
func (r *Relay) classify(err error) error {
	if r.Delivered() == 0 {
		return err
	}
	e := bramleytack.AsError(err)
	if e.Code == bramleytack.CodeCanceled || e.Code == bramleytack.CodeTimeout {
		return e.WithOutcome(bramleytack.Ran)
	}
	return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "generation ended after token %d", r.nextIndex-1).WithCause(err)
}
