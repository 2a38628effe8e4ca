package bramleytack

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code classifies an Error for callers.
type Code string

// The codes of errors in responses to callers.
const (
	CodeBadRequest      Code = "badRequest"
	CodeBodyTooLarge    Code = "bodyTooLarge"
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
	CodeUnknownModel    Code = "unknownModel"
	CodeUnknownService  Code = "unknownService"
	CodeNotFound        Code = "notFound"
	CodeRateLimited     Code = "rateLimited"
	CodeOverloaded      Code = "overloaded"
	CodeNoUpstream      Code = "noUpstream"
	CodeTimeout         Code = "timeout"
	CodeCanceled        Code = "canceled"
	CodeKeyReused       Code = "idempotencyKeyReused"
	CodeInProgress      Code = "inProgress"
	CodeQuarantined     Code = "quarantined"
	CodeIncomplete      Code = "incomplete"
	CodeUpstreamFailed  Code = "upstreamFailed"
	// CodeIsolated means that the daemon reaches neither the store nor a peer.
	CodeIsolated     Code = "isolated"
	CodeShuttingDown Code = "shuttingDown"
	CodeStarting     Code = "starting"
	CodeConflict     Code = "conflict"
	CodeStoreDown    Code = "storeUnavailable"
	CodeInternal     Code = "internal"
)

var codeStatus = map[Code]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeBodyTooLarge:    http.StatusRequestEntityTooLarge,
	CodeUnauthenticated: http.StatusUnauthorized,
	CodeForbidden:       http.StatusForbidden,
	CodeUnknownModel:    http.StatusNotFound,
	CodeUnknownService:  http.StatusNotFound,
	CodeNotFound:        http.StatusNotFound,
	CodeRateLimited:     http.StatusTooManyRequests,
	CodeOverloaded:      http.StatusServiceUnavailable,
	CodeNoUpstream:      http.StatusServiceUnavailable,
	CodeTimeout:         http.StatusGatewayTimeout,
	CodeCanceled:        499, // nginx's status for requests that the client closed
	CodeKeyReused:       http.StatusUnprocessableEntity,
	CodeInProgress:      http.StatusConflict,
	CodeQuarantined:     http.StatusUnprocessableEntity,
	CodeIncomplete:      http.StatusBadGateway,
	CodeUpstreamFailed:  http.StatusBadGateway,
	CodeIsolated:        http.StatusServiceUnavailable,
	CodeShuttingDown:    http.StatusServiceUnavailable,
	CodeStarting:        http.StatusServiceUnavailable,
	CodeConflict:        http.StatusConflict,
	CodeStoreDown:       http.StatusServiceUnavailable,
	CodeInternal:        http.StatusInternalServerError,
}

// Status returns the HTTP status that goes with the code.
func (c Code) Status() int {
	if s, ok := codeStatus[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error is a failure with its code and its outcome.
type Error struct {
	Code    Code
	Outcome Outcome
	Message string
	// RetryAfter is the delay after which a repeat may succeed. Zero means that
	// none is known.
	RetryAfter time.Duration
	// Cause is the underlying error. It is logged, never sent to callers.
	Cause error
}

// NewError returns an Error with a formatted message.
func NewError(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy of the error with an underlying error.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithRetryAfter returns a copy of the error with d as its RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// Error returns the message with the code, the outcome and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("bramleytack: %s (%s, %s)", e.Message, e.Code, e.Outcome)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// AsError returns the Error in err's chain. An error without one becomes
// CodeInternal with an unknown outcome. It returns nil for a nil error.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(CodeInternal, Unknown, "internal error").WithCause(err)
}

// OutcomeOf returns the outcome that err carries: Ran for nil, Unknown for an
// error without an outcome.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Ran
	}
	return AsError(err).Outcome
}
