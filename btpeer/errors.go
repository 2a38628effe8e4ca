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
	// ErrUnknownPeer means that no address was set for the peer.
	ErrUnknownPeer = errors.New("btpeer: address of the peer is not known")
	// ErrLinkDown means that there is no connection to the peer.
	ErrLinkDown = errors.New("btpeer: link is down")
)

// callError returns the Error of a call that failed without a reply. written
// reports whether any part of the request may have reached the peer.
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

// remoteError is an error reply of the peer.
type remoteError struct{ e *btwire.Error }

// Error returns the peer's message.
func (r *remoteError) Error() string { return "btpeer: error from peer: " + r.e.GetMessage() }

func asRemote(err error, target **remoteError) bool { return err != nil && errors.As(err, target) }
