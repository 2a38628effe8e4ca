package btentry

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// promisesNotRun reports whether a status tells callers that their request has not run and
// will not. An upstream's response with such a status is no such promise unless it says so.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// execution is what is known of a request at all upstreams that it was sent to. The caller is
// told that the request has not run only if it tells so, and nothing is sent from then on.
// It is safe for concurrent use.
type execution struct {
	mu sync.Mutex
	// conns are the numbers of the connections of all sends. ruledOut counts the sends that did
	// not run and will not.
	conns    []uint64
	ruledOut int
	// first and last are when the request was first and last sent.
	first time.Time
	last  time.Time
	// rejected is set once the caller is told that the request has not run.
	rejected bool
}

// begin records that the request is sent on a connection to an upstream, which may run it from
// then on. It reports false if it must not be sent, since its caller is told that it does not run.
func (e *execution) begin(conn uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rejected {
		return false
	}
	e.conns = append(e.conns, conn)
	return true
}

// sent records when a send began.
func (e *execution) sent(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.first.IsZero() {
		e.first = now
	}
	e.last = now
}

// sentAt returns when the request was first and last sent, zero if it was not.
func (e *execution) sentAt() (first, last time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.first, e.last
}

// sentOn returns the numbers of the connections that the request was sent on.
func (e *execution) sentOn() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.conns)
}

// ruleOut records that one of the sends did not run and will not.
func (e *execution) ruleOut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ruledOut++
}

// reject ends the sends of the request. It reports false if one of them may have run or may
// still run: its caller must not be told then that it does not run.
func (e *execution) reject() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) > e.ruledOut {
		return false
	}
	e.rejected = true
	return true
}

// counts returns the number of sends, and of those that may have run or may still run.
func (e *execution) counts() (sent, open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns), len(e.conns) - e.ruledOut
}

// mayHaveRun reports whether one of the sends may have run or may still run.
func (e *execution) mayHaveRun() bool {
	_, open := e.counts()
	return open > 0
}

// logTo adds the counts to a log entry.
func (e *execution) logTo(line *logEvent) *logEvent {
	sent, open := e.counts()
	return line.Int("sent", sent).Int("mayHaveRun", open)
}
