package btservice

import (
	"net/http"
	"time"

	"bramleytack"
)

// result says what became of a call at its beginning.
type result uint8

const (
	resultRuns result = iota
	resultRefused
	resultDead
	// resultOverload means that the call killed a cold service.
	resultOverload
)

var resultNames = [...]string{"runs", "refused", "dead", "overload"}

// String returns the result's name.
func (r result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "invalid"
}

// call is a call in progress.
type call struct {
	result     result
	work       time.Duration
	executions int
	instance   bramleytack.InstanceID
	gone       <-chan struct{}
}

// begin counts a call and says whether it runs.
func (s *Server) begin(r *http.Request) call {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return call{result: resultDead}
	}
	if s.opts.MaxCalls > 0 && s.running >= s.opts.MaxCalls {
		s.stats.Refused++
		return call{result: resultRefused}
	}
	c := call{work: s.workLocked(), instance: s.instanceLocked(), gone: s.gone}
	c.executions = s.countLocked(r)
	s.running++
	s.stats.PeakCalls = max(s.stats.PeakCalls, s.running)
	if s.overloadedLocked() {
		s.stats.ColdDeaths++
		s.dieLocked()
		c.result = resultOverload
	}
	s.recordLocked()
	return c
}

func (s *Server) overloadedLocked() bool {
	return s.cold && s.running > s.opts.ColdLimit && !s.timer.Now().Before(s.coldFrom)
}

func (s *Server) workLocked() time.Duration {
	if s.cold && s.opts.ColdFactor > 1 {
		return time.Duration(float64(s.opts.Work) * s.opts.ColdFactor)
	}
	return s.opts.Work
}

// countLocked counts an execution and returns the count of the call's
// idempotency key, or of its request id if it has no key.
func (s *Server) countLocked(r *http.Request) int {
	s.stats.Calls++
	if s.condition.Leaving {
		s.stats.CallsLeaving++
	}
	id := bramleytack.RequestID(r.Header.Get(requestIDHeader))
	s.executions.ByRequest[id]++
	key := r.Header.Get(idempotencyKeyHeader)
	if key == "" {
		return s.executions.ByRequest[id]
	}
	s.executions.ByKey[key]++
	return s.executions.ByKey[key]
}

// end counts a completed call, unless its instance has died.
func (s *Server) end(c call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || c.instance != s.instanceLocked() {
		return
	}
	s.running--
	s.completed++
	if s.cold && s.completed >= s.opts.WarmAfter {
		s.cold = false
	}
	s.recordLocked()
}
