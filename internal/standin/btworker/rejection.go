package btworker

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// UndeclaredStatuses are those of rejections that upstreams have to declare.
var UndeclaredStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// PromisesNotRun reports whether a status tells callers that their request has not run and
// will not.
func PromisesNotRun(status int) bool {
	return status == http.StatusMisdirectedRequest || slices.Contains(UndeclaredStatuses, status)
}

// SetRejection sets the status of undeclared rejections.
func (w *Worker) SetRejection(status int) { w.rejection.Store(int32(status)) }

// SetPause makes a full upstream ask for a pause in its rejections.
func (w *Worker) SetPause(d time.Duration) {
	if d <= 0 {
		w.SetRetryAfter("")
		return
	}
	w.SetRetryAfter(strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
}

// SetRetryAfter sets the Retry-After value of rejections. An empty one ends it.
func (w *Worker) SetRetryAfter(value string) { w.retryAfter.Store(&value) }

// refuse answers a request that does not run.
func (w *Worker) refuse(rw http.ResponseWriter, r *http.Request, cause error) {
	rw.Header().Set(w.pool.Dialect.NotRun, cause.Error())
	w.nameLoad(rw.Header())
	w.setRetryAfter(rw.Header())
	w.copyRefusal(r, http.StatusServiceUnavailable, rw.Header())
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// reject answers a request after it has run, as if it had not.
func (w *Worker) reject(ctx context.Context, rw http.ResponseWriter) {
	if !pause(ctx, w.cfg.Work) {
		return
	}
	w.setRetryAfter(rw.Header())
	status := int(w.rejection.Load())
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, "rejected")
}

// setRetryAfter adds the Retry-After value of rejections.
func (w *Worker) setRetryAfter(header http.Header) {
	if v := w.retryAfter.Load(); v != nil && *v != "" {
		header.Set("Retry-After", *v)
	}
}
