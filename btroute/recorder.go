package btroute

import (
	"time"

	"bramleytack"
)

// recorder passes an answer on and records whether any of it was passed on.
// It holds the opening back until the first token, so that an attempt which
// fails before its first token leaves nothing at the client.
type recorder struct {
	reply bramleytack.ResponseWriter
	timer bramleytack.Timer
	start time.Time

	opening    *bramleytack.Opening
	delivered  bool
	tokens     int
	firstToken time.Duration
}

// unopened says that the upstream has not named the generation.
func (r *recorder) unopened() bool { return r.opening == nil && !r.delivered }

// Open keeps the opening for the first token.
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
	if err := r.flush(); err != nil {
		return err
	}
	return r.reply.Token(t)
}

// Close ends the generation.
func (r *recorder) Close(c bramleytack.Completion) error {
	if err := r.flush(); err != nil {
		return err
	}
	return r.reply.Close(c)
}

// Respond passes a service's answer on.
func (r *recorder) Respond(resp *bramleytack.Response) error {
	r.delivered = true
	return r.reply.Respond(resp)
}

func (r *recorder) flush() error {
	r.delivered = true
	if r.opening == nil {
		return nil
	}
	o := *r.opening
	r.opening = nil
	return r.reply.Open(o)
}
