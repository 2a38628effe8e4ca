package btentry

import (
	"net/http"
	"sync"
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

// execution is what is known of a request at all upstreams that it was sent to. It is safe
// for concurrent use.
type execution struct {
	mu sync.Mutex
	// sent counts the sends, ruledOut those that did not run and will not.
	sent     int
	ruledOut int
}

// begin records that the request is sent to an upstream, which may run it from then on.
func (e *execution) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent++
}

// ruleOut records that one of the sends did not run and will not.
func (e *execution) ruleOut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ruledOut++
}

// counts returns the number of sends, and of those that may have run or may still run.
func (e *execution) counts() (sent, open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent, e.sent - e.ruledOut
}

// logTo adds the counts to a log entry.
func (e *execution) logTo(line *logEvent) *logEvent {
	sent, open := e.counts()
	return line.Int("sent", sent).Int("mayHaveRun", open)
}
