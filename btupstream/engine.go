package btupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// maxReportBytes bounds a load report or a page of cache events.
const maxReportBytes = 4 << 20

// ErrUnknownGeneration means that an engine does not know a generation, or no
// longer.
var ErrUnknownGeneration = errors.New("btupstream: engine does not know the generation")

// ErrStaleFence means that an engine rejected a command because it has seen a
// higher fencing token.
var ErrStaleFence = errors.New("btupstream: engine rejected a stale fencing token")

// Engine implements bramleytack.Engine over HTTP.
type Engine struct {
	addr netip.AddrPort
	pool *Pool
}

// Start implements bramleytack.Engine.
func (e *Engine) Start(ctx context.Context, r bramleytack.GenerationRequest) (bramleytack.Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, failureError(ctx, err, bramleytack.NotRun)
	}
	req, err := e.request(ctx, http.MethodPost, "/v1/generations", bytes.NewReader(body))
	if err != nil {
		return nil, failureError(ctx, err, bramleytack.NotRun)
	}
	return e.stream(ctx, req, r.ID)
}

// Resume implements bramleytack.Engine. It returns ErrUnknownGeneration if the
// engine no longer holds the generation. All its errors have the outcome Ran.
func (e *Engine) Resume(ctx context.Context, id bramleytack.StreamID, from int) (bramleytack.Stream, error) {
	path := generationPath(id) + "?from=" + strconv.Itoa(from)
	req, err := e.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, failureError(ctx, err, bramleytack.Ran)
	}
	s, err := e.stream(ctx, req, "")
	if err != nil {
		return nil, bramleytack.AsError(err).WithOutcome(bramleytack.Ran)
	}
	return s, nil
}

// Cancel implements bramleytack.Engine.
func (e *Engine) Cancel(ctx context.Context, id bramleytack.StreamID) error {
	req, err := e.request(ctx, http.MethodDelete, generationPath(id), nil)
	if err != nil {
		return err
	}
	resp, err := e.pool.pollClient.Do(req)
	if err != nil {
		return failureError(ctx, err, bramleytack.Unknown)
	}
	defer discardAndClose(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return statusError(resp)
	}
	return nil
}

// Load implements bramleytack.Engine.
func (e *Engine) Load(ctx context.Context) (bramleytack.LoadReport, error) {
	return fetch[bramleytack.LoadReport](ctx, e.pool, e.addr, "/v1/load")
}

// CacheEvents implements bramleytack.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]bramleytack.CacheEvent, error) {
	return fetch[[]bramleytack.CacheEvent](ctx, e.pool, e.addr, "/v1/cache-events?after="+strconv.FormatUint(after, 10))
}

// Command implements bramleytack.Engine. It returns ErrStaleFence if the engine
// checks fencing tokens and has seen a higher one.
func (e *Engine) Command(ctx context.Context, command bramleytack.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	req, err := e.request(ctx, http.MethodPost, "/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	x := e.pool.exchange(0)
	resp, err := x.client.Do(req)
	if err != nil {
		return failureError(ctx, err, x.outcome())
	}
	defer discardAndClose(resp.Body)
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrStaleFence
	case resp.StatusCode >= http.StatusBadRequest:
		return statusError(resp)
	default:
		return nil
	}
}

func (e *Engine) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	return newRequest(ctx, e.addr, method, path, body)
}

// stream sends a request whose response is an event stream. If id is empty, the
// request id of the first event is accepted.
func (e *Engine) stream(ctx context.Context, req *http.Request, id bramleytack.RequestID) (bramleytack.Stream, error) {
	// Errors are classified by ctx, since streamCtx is also canceled here to close
	// the connection.
	streamCtx, cancel := context.WithCancel(ctx)
	x := e.pool.exchange(e.pool.opts.StreamReadTimeout)
	resp, err := x.client.Do(req.WithContext(streamCtx))
	if err != nil {
		cancel()
		return nil, failureError(ctx, err, x.outcome())
	}
	if resp.StatusCode == http.StatusNotFound && req.Method == http.MethodGet {
		discardAndClose(resp.Body)
		cancel()
		return nil, failureError(ctx, ErrUnknownGeneration, bramleytack.Ran)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer discardAndClose(resp.Body)
		return nil, statusError(resp)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		defer cancel()
		defer discardAndClose(resp.Body)
		return nil, bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Ran, "upstream response is not an event stream")
	}
	return newStream(ctx, cancel, resp.Body, id), nil
}

func generationPath(id bramleytack.StreamID) string {
	return "/v1/generations/" + url.PathEscape(string(id))
}

// newRequest returns a request that net/http doesn't retry by itself once it has
// read the body: without GetBody it can't read it twice.
func newRequest(ctx context.Context, addr netip.AddrPort, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	return req, nil
}

// fetch reads a JSON value over a pooled connection.
func fetch[T any](ctx context.Context, p *Pool, addr netip.AddrPort, path string) (T, error) {
	var v T
	req, err := newRequest(ctx, addr, http.MethodGet, path, nil)
	if err != nil {
		return v, err
	}
	resp, err := p.pollClient.Do(req)
	if err != nil {
		return v, errors.Wrap(err, "btupstream: request failed")
	}
	defer discardAndClose(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("btupstream: %s responded with status %d", path, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&v)
	return v, errors.Wrap(err, "btupstream: decode response")
}

// discardAndClose reads up to maxRejectionBytes of the rest of a body, so that the
// connection can be reused, and closes the body.
func discardAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRejectionBytes)
	_ = body.Close()
}
