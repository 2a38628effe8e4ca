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

// Headers of a call.
const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Bramleytack-Workspace"
	// headerKey is not in canonical form on purpose: net/http takes a request
	// with the canonical header for repeatable and sends it again by itself
	// when a connection breaks.
	headerKey = "idempotency-key"
)

// passedHeaders are the caller's headers that reach a service.
var passedHeaders = []string{"Accept", "Content-Type", "Accept-Language"}

// Service implements bramleytack.Service over HTTP.
type Service struct {
	addr netip.AddrPort
	pool *Pool
}

// Call implements bramleytack.Service. The answer must echo the request id and
// have a length or an end marker.
func (s *Service) Call(ctx context.Context, c bramleytack.ServiceCall) (*bramleytack.Response, error) {
	req, err := s.request(ctx, c)
	if err != nil {
		return nil, failed(ctx, err, bramleytack.NotRun)
	}
	x := s.pool.exchange(0)
	resp, err := x.client.Do(req)
	if err != nil {
		return nil, failed(ctx, err, x.outcome())
	}
	defer drain(resp.Body)
	if mayReject(resp.StatusCode) {
		return nil, rejected(resp)
	}
	return s.answer(ctx, c, resp)
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
	for _, name := range passedHeaders {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(headerRequestID, string(c.ID))
	req.Header.Set(headerWorkspace, string(c.Workspace))
	if c.IdempotencyKey != "" {
		req.Header[headerKey] = []string{c.IdempotencyKey}
	}
	return req, nil
}

// answer reads and checks a service's answer.
func (s *Service) answer(ctx context.Context, c bramleytack.ServiceCall, resp *http.Response) (*bramleytack.Response, error) {
	if got := resp.Header.Get(headerRequestID); got != string(c.ID) {
		return nil, failed(ctx, errors.Newf("btupstream: answer to request %q for request %q", got, c.ID), bramleytack.Unknown)
	}
	if c.Request.Method != http.MethodHead && !delimited(resp) {
		return nil, failed(ctx, errors.New("btupstream: answer has neither a length nor an end marker"), bramleytack.Ran)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.pool.opts.MaxAnswer+1))
	if err != nil {
		return nil, failed(ctx, err, bramleytack.Ran)
	}
	if int64(len(body)) > s.pool.opts.MaxAnswer {
		return nil, bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Ran, "answer is larger than %d bytes", s.pool.opts.MaxAnswer)
	}
	return &bramleytack.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// delimited says whether the end of a body can be told from a cut connection.
func delimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}
