package btoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btadmin"
)

const (
	// DefaultTimeout bounds one call of one address.
	DefaultTimeout = 10 * time.Second
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer. A list holds all records of a deployment.
	maxAnswerBytes = 64 << 20
)

// Client calls the operators' API. Admins, Key and Timer are required.
type Client struct {
	// Admins are the admin addresses, in the order in which they are tried.
	Admins []netip.AddrPort
	// Key is the operator key.
	Key   string
	Timer bramleytack.Timer
	// Timeout bounds one call of one address. Zero takes DefaultTimeout.
	Timeout time.Duration

	once sync.Once
	http *http.Client
}

// request is one call of the API.
type request struct {
	method string
	path   string
	// match is the If-Match header of a write.
	match string
	body  []byte
}

// RejectedError is an error answer of a daemon. It wraps a *bramleytack.Error
// and, as far as the answer holds them, the conflict and the findings.
type RejectedError struct {
	Detail btadmin.ErrorDetail
	cause  *bramleytack.Error
}

// Error returns the message, the conflict and the findings.
func (e *RejectedError) Error() string { return e.cause.Error() }

// Unwrap returns the *bramleytack.Error.
func (e *RejectedError) Unwrap() error { return e.cause }

func rejected(d btadmin.ErrorDetail) error {
	e := bramleytack.NewError(d.Code, bramleytack.ParseOutcome(d.Outcome), "%s", d.Message)
	switch {
	case d.Conflict != nil:
		e = e.WithCause(d.Conflict)
	case len(d.Findings) > 0:
		e = e.WithCause(d.Findings)
	}
	return &RejectedError{Detail: d, cause: e}
}

// read tries the addresses in turn until one answers. A daemon that is not able
// to answer counts as one that does not.
func (c *Client) read(ctx context.Context, path string, into any) error {
	last := noAdmin()
	for _, a := range c.Admins {
		err := c.send(ctx, a, request{method: http.MethodGet, path: path}, into)
		if err == nil || !c.mayMoveOn(ctx, err) {
			return err
		}
		last = err
	}
	return last
}

// mayMoveOn says whether a read may go to the next address.
func (*Client) mayMoveOn(ctx context.Context, err error) bool {
	var answer *RejectedError
	if !errors.As(err, &answer) {
		return ctx.Err() == nil
	}
	return answer.Detail.Code.Status() >= http.StatusInternalServerError
}

// write tries the addresses in turn while the write surely has not run and
// another daemon may accept it.
func (c *Client) write(ctx context.Context, r request, into any) error {
	last := noAdmin()
	for _, a := range c.Admins {
		err := c.send(ctx, a, r, into)
		if err == nil || bramleytack.OutcomeOf(err) != bramleytack.NotRun || !c.mayMoveOn(ctx, err) {
			return err
		}
		last = err
	}
	return last
}

func noAdmin() error {
	return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "no admin address is known")
}

// send calls one address once. Errors carry an outcome.
func (c *Client) send(ctx context.Context, a netip.AddrPort, r request, into any) error {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+a.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "call is not valid").WithCause(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if r.match != "" {
		req.Header.Set("If-Match", r.match)
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return noAnswer(a, err)
	}
	defer resp.Body.Close()
	return decode(a, resp, into)
}

func decode(a netip.AddrPort, resp *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noAnswer(a, err)
	}
	if resp.StatusCode == http.StatusOK {
		return noAnswer(a, json.Unmarshal(data, into))
	}
	var body btadmin.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return bramleytack.NewError(bramleytack.CodeInternal, bramleytack.Unknown, "%s answered with status %d", a, resp.StatusCode)
	}
	return rejected(body.Error)
}

// noAnswer returns the error of a call without a usable answer. The call surely
// has not run if no connection was established.
func noAnswer(a netip.AddrPort, err error) error {
	if err == nil {
		return nil
	}
	outcome := bramleytack.Unknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		outcome = bramleytack.NotRun
	}
	return bramleytack.NewError(bramleytack.CodeUpstreamFailed, outcome, "no answer from %s", a).WithCause(err)
}

// client returns the HTTP client. Connections are not kept, because an open one
// may have become silent and a write on it would have an unknown outcome.
func (c *Client) client() *http.Client {
	c.once.Do(func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.http = &http.Client{
			Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.http
}
