package btmetric

import (
	"context"
	"time"

	"bramleytack"
)

// Filter counts requests by result and measures the time between their tokens.
// Both fields are required.
type Filter struct {
	Metrics *Metrics
	Timer   bramleytack.Timer
}

// Handle implements bramleytack.Filter.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	f.Metrics.InFlight.Inc()
	defer f.Metrics.InFlight.Dec()
	err := next.Handle(ctx, r, &timedWriter{ResponseWriter: w, filter: f, last: r.Received})
	code, outcome := "ok", bramleytack.Ran
	if err != nil {
		e := bramleytack.AsError(err)
		code, outcome = string(e.Code), e.Outcome
	}
	f.Metrics.Requests.WithLabelValues(r.Kind.String(), code, outcome.String()).Inc()
	return err
}

// timedWriter observes the time to the first token and between tokens.
type timedWriter struct {
	bramleytack.ResponseWriter
	filter  *Filter
	last    time.Time
	started bool
}

// Token implements bramleytack.ResponseWriter.
func (t *timedWriter) Token(tok bramleytack.Token) error {
	now := t.filter.Timer.Now()
	gap := now.Sub(t.last).Seconds()
	t.last = now
	if t.started {
		t.filter.Metrics.TokenGap.Observe(gap)
	} else {
		t.started = true
		t.filter.Metrics.FirstToken.Observe(gap)
	}
	t.filter.Metrics.Tokens.Inc()
	return t.ResponseWriter.Token(tok)
}
