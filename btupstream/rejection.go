package btupstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// maxRejectionBytes bounds the body of a rejection.
const maxRejectionBytes = 4 << 10

// rejection is the body of a typed rejection.
type rejection struct {
	NotRun bool   `json:"notRun"`
	Reason string `json:"reason"`
}

// canBeRejection reports whether a response with the status can be a typed
// rejection.
func canBeRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// statusError turns a response with an error status into an error. Only a typed
// rejection has the outcome NotRun.
func statusError(resp *http.Response) *bramleytack.Error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRejectionBytes))
	var r rejection
	if canBeRejection(resp.StatusCode) && json.Unmarshal(body, &r) == nil && r.NotRun {
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "upstream rejected the request: %s", r.Reason).
			WithRetryAfter(retryAfter(resp.Header))
	}
	return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Ran, "upstream responded with status %d", resp.StatusCode)
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// failureError returns the error for a request without a complete response. Its
// code tells a passed deadline, a cancellation by the caller and a failure of the
// upstream apart.
func failureError(ctx context.Context, err error, o bramleytack.Outcome) *bramleytack.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bramleytack.NewError(bramleytack.CodeTimeout, o, "deadline passed before the upstream responded").WithCause(err)
	case ctx.Err() != nil:
		return bramleytack.NewError(bramleytack.CodeCanceled, o, "request was canceled").WithCause(err)
	default:
		return bramleytack.NewError(bramleytack.CodeUpstreamFailed, o, "upstream failed").WithCause(err)
	}
}
