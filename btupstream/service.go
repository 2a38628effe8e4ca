package btupstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Headers of a service call.
const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Bramleytack-Workspace"
	// headerIdempotencyKey is deliberately not in canonical form: net/http
	// treats a request with the canonical header as idempotent and retries it
	// when a connection breaks.
	headerIdempotencyKey = "idempotency-key"
)

// forwardedHeaders are the headers of the caller that reach a service.
var forwardedHeaders = []string{"Accept", "Content-Type", "Accept-Language"}

// Service implements bramleytack.Service over HTTP.
type Service struct {
	addr netip.AddrPort
	pool *Pool
}

// Call implements bramleytack.Service. The response must echo the request id and
// have a Content-Length or be chunked, so that a truncated body is detected.
func (s *Service) Call(ctx context.Context, c bramleytack.ServiceCall) (*bramleytack.Response, error) {
	req, err := s.request(ctx, c)
	if err != nil {
		return nil, failureError(ctx, err, bramleytack.NotRun)
	}
	x := s.pool.exchange(0)
	resp, err := x.client.Do(req)
	if err != nil {
		return nil, failureError(ctx, err, x.outcome())
	}
	defer discardAndClose(resp.Body)
	// A rejection may lack the request id.
	got := resp.Header.Get(headerRequestID)
	rejection := canBeRejection(resp.StatusCode)
	if got != string(c.ID) && (got != "" || !rejection) {
		return nil, failureError(ctx, errors.Newf("btupstream: response has request id %q, want %q", got, c.ID), bramleytack.Unknown)
	}
	if rejection {
		return nil, statusError(resp)
	}
	return s.readResponse(ctx, c, resp)
}

// Load implements bramleytack.Service.
func (s *Service) Load(ctx context.Context) (bramleytack.LoadReport, error) {
	return fetch[bramleytack.LoadReport](ctx, s.pool, s.addr, "/v1/load")
}

func (s *Service) request(ctx context.Context, c bramleytack.ServiceCall) (*http.Request, error) {
	r := c.Request
	u := url.URL{Scheme: "http", Host: s.addr.String(), Path: "/" + r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(headerRequestID, string(c.ID))
	req.Header.Set(headerWorkspace, string(c.Workspace))
	if c.IdempotencyKey != "" {
		req.Header[headerIdempotencyKey] = []string{c.IdempotencyKey}
	}
	return req, nil
}

// readResponse reads and checks a response that belongs to the call.
func (s *Service) readResponse(ctx context.Context, c bramleytack.ServiceCall, resp *http.Response) (*bramleytack.Response, error) {
	if c.Request.Method != http.MethodHead && !delimited(resp) {
		return nil, failureError(ctx, errors.New("btupstream: response has no Content-Length and is not chunked"), bramleytack.Ran)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.pool.opts.MaxResponseBytes+1))
	if err != nil {
		return nil, failureError(ctx, err, bramleytack.Ran)
	}
	if int64(len(body)) > s.pool.opts.MaxResponseBytes {
		return nil, bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Ran, "response is larger than %d bytes", s.pool.opts.MaxResponseBytes)
	}
	return &bramleytack.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// delimited reports whether the end of a body can be told from a broken
// connection.
func delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}
