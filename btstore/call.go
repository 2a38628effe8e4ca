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

// Reply sizes. The envelope of an object is small beside its value.
const (
	maxObjectReply = 2 * bramleytack.MaxObjectBytes
	maxListReply   = 64 * bramleytack.MaxObjectBytes
	maxErrorText   = 200
)

// call is one HTTP call.
type call struct {
	method string
	path   string
	body   []byte
	header http.Header
	// limit bounds the size of the reply.
	limit int64
}

// reply is a complete response.
type reply struct {
	status int
	body   []byte
}

// do makes one call. sent is false if no byte of the request can have reached
// the platform. The connection is reused only after the reply was read to its
// end in time.
func (c *Client) do(ctx context.Context, k call) (r reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, k)
	if err != nil {
		return reply{}, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, connected.Load(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, k.limit+1))
	if err != nil {
		return reply{}, true, err
	}
	if int64(len(body)) > k.limit {
		return reply{}, true, errors.Newf("reply is longer than %d bytes", k.limit)
	}
	if !unavailable(resp.StatusCode) && resp.StatusCode < http.StatusInternalServerError {
		now := c.timer.Now()
		c.answered.Store(&now)
	}
	return reply{status: resp.StatusCode, body: body}, true, nil
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	if k.body == nil {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	return req, nil
}

// read makes a GET call and repeats it within the retry budget.
func (c *Client) read(ctx context.Context, path string, limit int64) (reply, error) {
	for attempt := 0; ; attempt++ {
		c.counters.reads.Add(1)
		r, _, err := c.do(ctx, call{method: http.MethodGet, path: path, limit: limit})
		err = readError(r, err)
		if !errors.Is(err, bramleytack.ErrStoreDown) {
			c.budget.earn()
			return r, err
		}
		if attempt >= maxRetries || !c.budget.spend() || c.pause(ctx, attempt) != nil {
			return reply{}, err
		}
		c.counters.retries.Add(1)
	}
}

func (c *Client) pause(ctx context.Context, attempt int) error {
	return c.timer.Sleep(ctx, c.budget.delay(attempt))
}

// readError returns the error of a call without an effect.
func readError(r reply, err error) error {
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

// unavailable says whether the status promises that a call had no effect.
func unavailable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func statusError(r reply) error {
	text := r.body[:min(len(r.body), maxErrorText)]
	return errors.Newf("status %d: %q", r.status, text)
}
