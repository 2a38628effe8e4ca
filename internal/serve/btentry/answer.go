package btentry

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"bramleytack/btevent"
)

// writeHead sends the head of the response. It says how long the connection stays open without
// another request, or that it closes after the response. That of a daemon that is leaving does,
// so that its caller connects to another one.
func (req *activeRequest) writeHead(status int) {
	if req.connCloses() || req.h.Leaving != nil && req.h.Leaving() {
		req.w.Header().Set("Connection", "close")
	} else if v := req.keepAlive(); v != "" {
		req.w.Header().Set("Keep-Alive", v)
	}
	req.answered = true
	req.w.WriteHeader(status)
}

// answerPanic ends a request whose goroutine panics. It answers the caller unless that may
// have got a part of the response.
func (req *activeRequest) answerPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	req.h.Metrics.panicked()
	req.log(btevent.RequestPanicked).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Send()
	if req.answered {
		panic(http.ErrAbortHandler)
	}
	clear(req.w.Header())
	req.reject(http.StatusInternalServerError, 0, "daemon failed")
}
