package btroute

import (
	"time"

	"bramleytack"
)

// recorder passes a response on and records whether it has passed on any part.
// It delays the opening until the first token, so that the caller gets nothing
// from an attempt that fails before.
type recorder struct {
	writer bramleytack.ResponseWriter
	timer  bramleytack.Timer
	start  time.Time

	// opening is set until it is passed on.
	opening *bramleytack.Opening
	// delivered is set once a part of the response is passed on.
	delivered  bool
	tokens     int
	firstToken time.Duration
}

// neverOpened reports whether the upstream sent no opening, which names the
// generation.
func (r *recorder) neverOpened() bool { return r.opening == nil && !r.delivered }

// Open stores the opening until the first token.
func (r *recorder) Open(o bramleytack.Opening) error {
	r.opening = &o
	return nil
}

// Token passes a token on.
func (r *recorder) Token(t bramleytack.Token) error {
	if r.tokens == 0 {
		r.firstToken = max(r.timer.Now().Sub(r.start), 1)
	}
	r.tokens++
	if err := r.deliverOpening(); err != nil {
		return err
	}
	return r.writer.Token(t)
}

// Close ends the generation.
func (r *recorder) Close(c bramleytack.Completion) error {
	if err := r.deliverOpening(); err != nil {
		return err
	}
	return r.writer.Close(c)
}

// Respond passes the response of a service on.
func (r *recorder) Respond(resp *bramleytack.Response) error {
	r.delivered = true
	return r.writer.Respond(resp)
}

// deliverOpening passes the stored opening on, if there is one.
func (r *recorder) deliverOpening() error {
	r.delivered = true
	if r.opening == nil {
		return nil
	}
	o := *r.opening
	r.opening = nil
	return r.writer.Open(o)
}
