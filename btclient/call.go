package btclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btfront"
)

// maxAnswerBytes bounds the answer of a call.
const maxAnswerBytes = 16 << 20

// Call is a call of a plain service.
type Call struct {
	Service string
	Method  string
	// Path is the path below the service, without a leading slash.
	Path        string
	Body        []byte
	ContentType string
	// Key marks all sendings of a call that must not run twice. A call without
	// one is sent again only if it surely has not run.
	Key     string
	Timeout time.Duration
}

// Call sends a call until it has an answer. Its errors carry an outcome.
func (c *Client) Call(ctx context.Context, call Call) (*bramleytack.Response, error) {
	for try := 1; ; try++ {
		resp, err := c.send(ctx, call)
		if err == nil {
			return resp, nil
		}
		e := bramleytack.AsError(err)
		if !repeatable(call, e) || !c.pause(ctx, try, e.RetryAfter) {
			return nil, err
		}
	}
}

// repeatable says whether a call may be sent again after an error.
func repeatable(call Call, e *bramleytack.Error) bool {
	switch e.Code {
	case bramleytack.CodeOverloaded, bramleytack.CodeNoUpstream, bramleytack.CodeShuttingDown, bramleytack.CodeStarting, bramleytack.CodeInProgress,
		bramleytack.CodeIsolated, bramleytack.CodeRateLimited, bramleytack.CodeStoreDown, bramleytack.CodeUpstreamFailed:
	default:
		return false
	}
	if e.Outcome == bramleytack.NotRun {
		return true
	}
	return call.Key != "" || call.Method == http.MethodGet || call.Method == http.MethodHead
}

func (c *Client) send(ctx context.Context, call Call) (*bramleytack.Response, error) {
	addr, err := c.entry(ctx)
	if err != nil {
		return nil, err
	}
	url := "http://" + addr.String() + "/v1/services/" + call.Service + "/" + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "call is not valid").WithCause(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		req.Header.Set(btfront.HeaderIdempotencyKey, call.Key)
	}
	if call.Timeout > 0 {
		req.Header.Set(btfront.HeaderTimeout, call.Timeout.String())
	}
	resp, err := c.answer(req)
	if errors.Is(err, errNoAnswer) {
		c.avoid(addr)
	}
	return resp, err
}

// errNoAnswer marks an entry that did not answer.
var errNoAnswer = errors.New("btclient: entry did not answer")

// answer sends a request once. A failed connection has an unknown outcome.
func (c *Client) answer(req *http.Request) (*bramleytack.Response, error) {
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "entry did not answer").
			WithCause(errors.Mark(err, errNoAnswer))
	}
	defer resp.Body.Close()
	if resp.Header.Get(btfront.HeaderOutcome) != bramleytack.Ran.String() || resp.Header.Get("Content-Type") == btfront.ErrorContentType {
		return nil, failure(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Unknown, "answer broke off").WithCause(err)
	}
	return &bramleytack.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
