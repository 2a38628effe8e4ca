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

// ErrUnknownGeneration says that an engine does not know a generation.
var ErrUnknownGeneration = errors.New("btupstream: engine does not hold the generation")

// ErrStaleFence says that an engine refused an order's fencing number.
var ErrStaleFence = errors.New("btupstream: engine refused the fencing number")

// Engine implements bramleytack.Engine over HTTP.
type Engine struct {
	addr netip.AddrPort
	pool *Pool
}

// Start implements bramleytack.Engine.
func (e *Engine) Start(ctx context.Context, r bramleytack.GenerationRequest) (bramleytack.Stream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, failed(ctx, err, bramleytack.NotRun)
	}
	req, err := e.request(ctx, http.MethodPost, "/v1/generations", bytes.NewReader(body))
	if err != nil {
		return nil, failed(ctx, err, bramleytack.NotRun)
	}
	return e.stream(ctx, req, r.ID)
}

// Resume implements bramleytack.Engine. It returns ErrUnknownGeneration if the engine no
// longer holds the generation.
func (e *Engine) Resume(ctx context.Context, id bramleytack.StreamID, from int) (bramleytack.Stream, error) {
	path := generationPath(id) + "?from=" + strconv.Itoa(from)
	req, err := e.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, failed(ctx, err, bramleytack.Ran)
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
	resp, err := e.pool.poll.Do(req)
	if err != nil {
		return failed(ctx, err, bramleytack.Unknown)
	}
	defer drain(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return rejected(resp)
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
// checks fencing numbers and has seen a higher one.
func (e *Engine) Command(ctx context.Context, o bramleytack.Command) error {
	body, err := json.Marshal(o)
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
		return failed(ctx, err, x.outcome())
	}
	defer drain(resp.Body)
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrStaleFence
	case resp.StatusCode >= http.StatusBadRequest:
		return rejected(resp)
	default:
		return nil
	}
}

func (e *Engine) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	return newRequest(ctx, e.addr, method, path, body)
}

// stream sends a request whose answer is an event stream. An empty id accepts
// the request id of the first event.
func (e *Engine) stream(ctx context.Context, req *http.Request, id bramleytack.RequestID) (bramleytack.Stream, error) {
	// Errors are classified by the caller's context: the stream's own is also
	// canceled here to free its connection.
	own, cancel := context.WithCancel(ctx)
	x := e.pool.exchange(e.pool.opts.Silence)
	resp, err := x.client.Do(req.WithContext(own))
	if err != nil {
		cancel()
		return nil, failed(ctx, err, x.outcome())
	}
	if resp.StatusCode == http.StatusNotFound && req.Method == http.MethodGet {
		drain(resp.Body)
		cancel()
		return nil, failed(ctx, ErrUnknownGeneration, bramleytack.Ran)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer drain(resp.Body)
		return nil, rejected(resp)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		defer cancel()
		defer drain(resp.Body)
		return nil, bramleytack.NewError(bramleytack.CodeUpstreamFailed, bramleytack.Ran, "upstream sent no event stream")
	}
	return newStream(ctx, cancel, resp.Body, id), nil
}

func generationPath(id bramleytack.StreamID) string {
	return "/v1/generations/" + url.PathEscape(string(id))
}

// newRequest returns a request that net/http does not repeat by itself: the
// body can't be read twice.
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
	resp, err := p.poll.Do(req)
	if err != nil {
		return v, errors.Wrap(err, "btupstream: fetch")
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("btupstream: %s answered with status %d", path, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&v)
	return v, errors.Wrap(err, "btupstream: decode")
}

// drain reads a short rest so that the connection can be reused, and closes
// the body.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRejectionBytes)
	_ = body.Close()
}
