package btpeer

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"bramleytack"
	"bramleytack/btwire"
)

// Causes of failed calls.
var (
	// ErrUnknownPeer is the cause when no address of the peer is known.
	ErrUnknownPeer = errors.New("btpeer: address of the peer is not known")
	// ErrLinkDown is the cause when there is no link to the peer.
	ErrLinkDown = errors.New("btpeer: link is down")
)

// callError returns the Error of an exchange that failed on this side.
func callError(ctx context.Context, to bramleytack.HostID, written bool, err error) error {
	outcome, code := bramleytack.NotRun, bramleytack.CodeNoUpstream
	if written {
		outcome, code = bramleytack.Unknown, bramleytack.CodeUpstreamFailed
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = bramleytack.CodeTimeout
	case ctx.Err() != nil:
		code = bramleytack.CodeCanceled
	}
	return bramleytack.NewError(code, outcome, "call of peer %s failed", to).WithCause(err)
}

func encodeError(err error) *btwire.Error {
	e := bramleytack.AsError(err)
	return &btwire.Error{
		Code:       string(e.Code),
		Outcome:    e.Outcome.String(),
		Message:    e.Message,
		RetryAfter: durationpb.New(e.RetryAfter),
	}
}

func decodeError(e *btwire.Error) error {
	return bramleytack.NewError(bramleytack.Code(e.GetCode()), bramleytack.ParseOutcome(e.GetOutcome()), "%s", e.GetMessage()).
		WithRetryAfter(e.GetRetryAfter().AsDuration())
}

// remoteError is a failure that the peer reported.
type remoteError struct{ e *btwire.Error }

// Error returns the peer's message.
func (r *remoteError) Error() string { return "btpeer: peer reports " + r.e.GetMessage() }

func asRemote(err error, target **remoteError) bool { return err != nil && errors.As(err, target) }
