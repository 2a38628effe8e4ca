package btmetric

import (
	"context"
	"time"

	"bramleytack"
)

// Filter counts the requests that pass and times their tokens.
type Filter struct {
	Metrics *Metrics
	Timer   bramleytack.Timer
}

// Handle implements bramleytack.Filter.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	f.Metrics.InFlight.Inc()
	defer f.Metrics.InFlight.Dec()
	err := next.Handle(ctx, r, &timedReply{ResponseWriter: w, filter: f, last: r.Received})
	code, outcome := "ok", bramleytack.Ran
	if err != nil {
		e := bramleytack.AsError(err)
		code, outcome = string(e.Code), e.Outcome
	}
	f.Metrics.Requests.WithLabelValues(r.Kind.String(), code, outcome.String()).Inc()
	return err
}

// timedReply observes the time between tokens.
type timedReply struct {
	bramleytack.ResponseWriter
	filter *Filter
	last   time.Time
	begun  bool
}

// Token implements bramleytack.ResponseWriter.
func (t *timedReply) Token(tok bramleytack.Token) error {
	now := t.filter.Timer.Now()
	gap := now.Sub(t.last).Seconds()
	t.last = now
	if t.begun {
		t.filter.Metrics.TokenGap.Observe(gap)
	} else {
		t.begun = true
		t.filter.Metrics.FirstToken.Observe(gap)
	}
	t.filter.Metrics.Tokens.Inc()
	return t.ResponseWriter.Token(tok)
}
