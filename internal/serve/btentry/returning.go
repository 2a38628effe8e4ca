package btentry

import (
	"net"
	"net/http"
	"strconv"

	"bramleytack/internal/route/btreturn"
)

// returnKey is the same for all attempts of a caller at a request, from any of its connections.
// Callers without an API key are told apart by their addresses.
func (req *activeRequest) returnKey() btreturn.Key {
	caller := string(req.workspace)
	if caller == "" {
		caller, _, _ = net.SplitHostPort(req.caller)
	}
	return btreturn.KeyOf(caller, req.method, req.target, req.header.Get(req.h.Dialect.PromptParts), strconv.Itoa(req.need.Prompt), string(req.body))
}

// takeReturn reports whether the caller was told to come back now, by any daemon.
func (req *activeRequest) takeReturn() bool {
	callers := req.h.Admission.Returns()
	return callers.Len() > 0 && callers.Take(req.returnKey(), req.h.Timer.Now())
}

// rejectForReturn rejects a request that has not run and tells its caller when to come back.
// Callers of calls that do so come before new ones.
func (req *activeRequest) rejectForReturn(reason string) {
	after := req.retryAfter()
	if !req.route.Streaming && after > 0 {
		req.h.Admission.Returns().Tell(btreturn.Told{Key: req.returnKey(), After: after}, 0, req.h.Timer.Now())
	}
	req.reject(http.StatusServiceUnavailable, after, reason)
}
