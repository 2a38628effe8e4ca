package btrelay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Limits of the resumption of a broken stream.
const (
	// DefaultResumeWindow is how long a relay tries to resume without progress.
	DefaultResumeWindow = 5 * time.Second
	// firstBackoff and maxBackoff bound the wait between two tries.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// cancelTimeout bounds the cancellation of an abandoned generation.
	cancelTimeout = 2 * time.Second
)

// finishCanceled is the finish reason of a generation that was canceled. Its
// output is cut, so that it must not look like a complete response.
const finishCanceled = "canceled"

// Relay passes one generation to a reply. A Relay is used once.
type Relay struct {
	Engine bramleytack.Engine
	Timer  bramleytack.Timer
	// NewOpening makes the announcement once the engine's stream id is known.
	NewOpening func(id bramleytack.StreamID) (bramleytack.Opening, error)
	// FirstIndex is the index of the first token to pass.
	FirstIndex int
	// IsGenerationLost says that an error means that the engine lost the generation.
	IsGenerationLost func(error) bool
	// ResumeWindow is how long resumption is tried without progress.
	ResumeWindow time.Duration

	stream bramleytack.Stream
	id     bramleytack.StreamID
	next   int
	opened bool
}

// Run reads the stream to its end. A failure before the first token keeps the
// stream's error, so that another attempt may follow; a later one is
// CodeIncomplete. An abandoned generation is canceled at the engine.
func (r *Relay) Run(ctx context.Context, stream bramleytack.Stream, w bramleytack.ResponseWriter) error {
	r.stream = stream
	r.next = r.FirstIndex
	err := r.pump(ctx, w)
	_ = r.stream.Close()
	if err != nil {
		r.cancel(ctx)
		return r.classify(err)
	}
	return nil
}

// Delivered returns the number of tokens that the caller was sent.
func (r *Relay) Delivered() int { return r.next - r.FirstIndex }

func (r *Relay) pump(ctx context.Context, w bramleytack.ResponseWriter) error {
	for {
		ev, err := r.stream.Next(ctx)
		if err != nil {
			if err := r.resume(ctx, err); err != nil {
				return err
			}
			continue
		}
		done, err := r.pass(ev, w)
		if errors.Is(err, errGap) {
			err = r.resume(ctx, err)
		}
		if err != nil || done {
			return err
		}
	}
}

// errGap marks an event that does not follow the last one.
var errGap = errors.New("btrelay: tokens are missing")

// pass hands one event to the reply. It reports whether it was the last.
func (r *Relay) pass(ev bramleytack.StreamEvent, w bramleytack.ResponseWriter) (done bool, err error) {
	if err := r.open(ev.Stream, w); err != nil {
		return false, err
	}
	if ev.Done {
		if ev.Completion.Tokens != r.next {
			return false, errGap
		}
		if ev.Completion.FinishReason == finishCanceled {
			return false, bramleytack.NewError(bramleytack.CodeCanceled, bramleytack.Ran, "generation was canceled after %d tokens", r.next)
		}
		return true, w.Close(ev.Completion)
	}
	switch {
	case ev.Token.Index < r.next:
		return false, nil
	case ev.Token.Index > r.next:
		return false, errGap
	}
	if err := w.Token(ev.Token); err != nil {
		return false, err
	}
	r.next++
	return false, nil
}

// open announces the generation and checks that it stays the same.
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

// resume replaces a broken stream with one that starts at the next token. It
// returns cause if that is not possible.
func (r *Relay) resume(ctx context.Context, cause error) error {
	_ = r.stream.Close()
	if !r.opened {
		return cause
	}
	window := r.ResumeWindow
	if window <= 0 {
		window = DefaultResumeWindow
	}
	end := r.Timer.Now().Add(window)
	for wait := firstBackoff; ctx.Err() == nil && r.Timer.Now().Before(end); wait = min(2*wait, maxBackoff) {
		s, err := r.Engine.Resume(ctx, r.id, r.next)
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

// cancel frees the engine's memory. It uses a context of its own, since the
// caller's may have ended.
func (r *Relay) cancel(ctx context.Context) {
	if !r.opened {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	_ = r.Engine.Cancel(ctx, r.id)
}

func (r *Relay) classify(err error) error {
	if r.Delivered() == 0 {
		return err
	}
	e := bramleytack.AsError(err)
	if e.Code == bramleytack.CodeCanceled || e.Code == bramleytack.CodeTimeout {
		return e.WithOutcome(bramleytack.Ran)
	}
	return bramleytack.NewError(bramleytack.CodeIncomplete, bramleytack.Ran, "generation ended after token %d", r.next-1).WithCause(err)
}
