package btstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Limits on response bodies. The fields of an object other than its value are
// small, so that twice the largest value is enough.
const (
	maxObjectResponse = 2 * bramleytack.MaxObjectBytes
	maxListResponse   = 64 * bramleytack.MaxObjectBytes
	maxErrorBytes     = 200
)

// httpCall is an HTTP request to the object API.
type httpCall struct {
	method string
	path   string
	body   []byte
	header http.Header
	// maxBytes bounds the size of the response body.
	maxBytes int64
}

// response is an HTTP response whose body was read completely.
type response struct {
	status int
	body   []byte
}

// do makes one call. sent is false if no byte of the request can have reached
// the platform. The connection is reused only if the whole response arrived
// before the timeout.
func (c *Client) do(ctx context.Context, call httpCall) (r response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return response{}, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, connected.Load(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.maxBytes+1))
	if err != nil {
		return response{}, true, err
	}
	if int64(len(body)) > call.maxBytes {
		return response{}, true, errors.Newf("response body is longer than %d bytes", call.maxBytes)
	}
	if !unavailable(resp.StatusCode) && resp.StatusCode < http.StatusInternalServerError {
		now := c.timer.Now()
		c.lastResponse.Store(&now)
	}
	return response{status: resp.StatusCode, body: body}, true, nil
}

func (c *Client) newRequest(ctx context.Context, call httpCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	if call.body == nil {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	return req, nil
}

// read makes a GET call and retries it within the retry budget.
func (c *Client) read(ctx context.Context, path string, maxBytes int64) (response, error) {
	for attempt := 0; ; attempt++ {
		c.counters.reads.Add(1)
		r, _, err := c.do(ctx, httpCall{method: http.MethodGet, path: path, maxBytes: maxBytes})
		err = readError(r, err)
		if !errors.Is(err, bramleytack.ErrStoreDown) {
			c.budget.refill()
			return r, err
		}
		if attempt >= maxRetries || !c.budget.take() || c.sleepBackoff(ctx, attempt) != nil {
			return response{}, err
		}
		c.counters.retries.Add(1)
	}
}

func (c *Client) sleepBackoff(ctx context.Context, attempt int) error {
	return c.timer.Sleep(ctx, c.budget.backoff(attempt))
}

// readError maps the result of a read or a failed watch request to an error.
// Failures that may be temporary wrap bramleytack.ErrStoreDown.
func readError(r response, err error) error {
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", bramleytack.ErrStoreDown, err)
	case r.status == http.StatusOK:
		return nil
	case r.status == http.StatusNotFound:
		return bramleytack.ErrNotFound
	case unavailable(r.status) || r.status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %w", bramleytack.ErrStoreDown, statusError(r))
	}
	return statusError(r)
}

// unavailable reports whether the platform rejected the call because of overload
// or an outage. Such a call had no effect.
func unavailable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func statusError(r response) error {
	text := r.body[:min(len(r.body), maxErrorBytes)]
	return errors.Newf("status %d: %q", r.status, text)
}
