package btload

import (
	"context"
	"fmt"
	"time"

	"bramleytack"
	"bramleytack/btclient"
)

// streamResult is what became of one generation.
type streamResult struct {
	name   string
	tokens int
	first  time.Duration
	// gaps are the times between two tokens.
	gaps    []time.Duration
	resumed int
	err     error
}

// stream runs one generation.
func (w *worker) stream(ctx context.Context, number int) streamResult {
	s := streamResult{name: fmt.Sprintf("%sstream-%d", w.Prefix, number)}
	v := NewVerifier(s.name, w.Tokens)
	p := btclient.Prompt{Model: w.Model, Text: v.Text(), Priority: w.Priority, ResumeWindow: w.ResumeWindow}
	last := w.Timer.Now()
	result, err := w.client(number).Generate(ctx, p, func(t bramleytack.Token) error {
		now := w.Timer.Now()
		if t.Index > 0 {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
		return v.Token(t)
	})
	if err == nil {
		err = v.Complete(result)
	}
	s.tokens, s.first, s.resumed, s.err = v.Tokens(), result.FirstToken, result.Resumed, err
	return s
}
