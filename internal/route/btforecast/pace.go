package btforecast

import (
	"sync"
	"time"
)

const (
	// defaultPace is the time per token that is assumed before there are samples.
	defaultPace = 12 * time.Millisecond
	// paceWeight is the weight of the newest sample in the mean.
	paceWeight = 0.1
)

// Pace forecasts how long a generation takes after its first event. The zero value is
// ready to use. It is safe for concurrent use.
type Pace struct {
	mu sync.Mutex
	// perToken is the mean time per token in nanoseconds, zero without samples.
	perToken float64
}

// Learn adds a generation that took d from its first event to its end.
func (p *Pace) Learn(tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sample := float64(d) / float64(tokens)
	if p.perToken == 0 {
		p.perToken = sample
	}
	p.perToken += paceWeight * (sample - p.perToken)
}

// Duration returns the expected time for a number of tokens.
func (p *Pace) Duration(tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perToken == 0 {
		return time.Duration(tokens) * defaultPace
	}
	return time.Duration(float64(tokens) * p.perToken)
}
