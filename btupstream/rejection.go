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

// maxRejectionBytes bounds what is read of a rejection's body.
const maxRejectionBytes = 4 << 10

// rejection is the body of a typed rejection.
type rejection struct {
	NotRun bool   `json:"notRun"`
	Reason string `json:"reason"`
}

// mayReject says whether an answer with the status can be a typed rejection.
func mayReject(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// rejected turns an answer that is no success into an error. Only a typed
// rejection is NotRun.
func rejected(resp *http.Response) *bramleytack.Error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRejectionBytes))
	var r rejection
	if mayReject(resp.StatusCode) && json.Unmarshal(body, &r) == nil && r.NotRun {
		return bramleytack.NewError(bramleytack.CodeOverloaded, bramleytack.NotRun, "upstream rejected the request: %s", r.Reason).
			WithRetryAfter(retryAfter(resp.Header))
	}
	return bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Ran, "upstream answered with status %d", resp.StatusCode)
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// failed turns a failure without a complete answer into an error.
func failed(ctx context.Context, err error, o bramleytack.Outcome) *bramleytack.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bramleytack.NewError(bramleytack.CodeTimeout, o, "deadline passed before the upstream answered").WithCause(err)
	case ctx.Err() != nil:
		return bramleytack.NewError(bramleytack.CodeCanceled, o, "request was canceled").WithCause(err)
	default:
		return bramleytack.NewError(bramleytack.CodeUpstreamFailed, o, "upstream failed").WithCause(err)
	}
}
