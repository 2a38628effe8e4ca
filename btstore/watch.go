package btstore

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// SilenceLimit is how long Next waits for a line. The platform sends a heartbeat
// each second.
const SilenceLimit = 1500 * time.Millisecond

// ErrWatchClosed is returned by Next after Close.
var ErrWatchClosed = errors.New("btstore: watch is closed")

// watch reads the lines of one watch call.
type watch struct {
	kind  string
	after bramleytack.Revision
	timer bramleytack.Timer
	body  io.ReadCloser
	// cancel closes the connection.
	cancel context.CancelFunc
	lines  chan line
	done   chan struct{}
	once   sync.Once
}

// line is a decoded line of a watch, or the error that ended it.
type line struct {
	object    bramleytack.Object
	heartbeat bool
	err       error
}

// Watch implements bramleytack.Store. ctx bounds only the opening of the watch,
// which also ends after the call timeout.
func (c *Client) Watch(ctx context.Context, kind string, after bramleytack.Revision) (bramleytack.Watch, error) {
	c.counters.watches.Add(1)
	w, err := c.openWatch(ctx, kind, after)
	if err != nil {
		return nil, fmt.Errorf("btstore: watch %s: %w", kind, err)
	}
	go w.readLines()
	return w, nil
}

func (c *Client) openWatch(ctx context.Context, kind string, after bramleytack.Revision) (*watch, error) {
	openCtx, cancelOpen := context.WithTimeout(ctx, c.timeout)
	defer cancelOpen()
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopTimeout := context.AfterFunc(openCtx, cancel)
	path := "/watch/" + url.PathEscape(kind) + "?after=" + formatRevision(after)
	req, err := c.newRequest(streamCtx, httpCall{method: http.MethodGet, path: path})
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := c.requestWatch(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if !stopTimeout() {
		resp.Body.Close()
		return nil, readError(response{}, openCtx.Err())
	}
	return &watch{
		kind: kind, after: after, timer: c.timer, body: resp.Body, cancel: cancel,
		lines: make(chan line), done: make(chan struct{}),
	}, nil
}

func (c *Client) requestWatch(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, readError(response{}, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return nil, readError(response{status: resp.StatusCode, body: text}, err)
}

// Next implements bramleytack.Watch. It is not safe for concurrent use.
func (w *watch) Next(ctx context.Context) (bramleytack.Object, error) {
	for {
		l, err := w.nextLine(ctx)
		if err != nil {
			return bramleytack.Object{}, err
		}
		if l.heartbeat || l.object.Version <= w.after {
			continue
		}
		w.after = l.object.Version
		return l.object, nil
	}
}

func (w *watch) nextLine(ctx context.Context) (line, error) {
	silence := w.timer.After(SilenceLimit)
	defer silence.Stop()
	select {
	case l := <-w.lines:
		return l, l.err
	case <-silence.C():
		w.cancel()
		return line{}, bramleytack.ErrWatchSilent
	case <-w.done:
		return line{}, ErrWatchClosed
	case <-ctx.Done():
		return line{}, ctx.Err()
	}
}

// Close implements bramleytack.Watch.
func (w *watch) Close() error {
	w.once.Do(func() {
		close(w.done)
		w.cancel()
	})
	return nil
}

// readLines passes lines to Next until the stream ends or the watch is closed.
func (w *watch) readLines() {
	defer w.body.Close()
	r := bufio.NewReader(w.body)
	for {
		l := w.readLine(r)
		select {
		case w.lines <- l:
		case <-w.done:
			return
		}
		if l.err != nil {
			return
		}
	}
}

func (w *watch) readLine(r *bufio.Reader) line {
	data, err := readBoundedLine(r)
	if err != nil {
		return w.errorLine(err)
	}
	o, heartbeat, err := decodeEvent(data)
	if err == nil && !heartbeat && o.Kind != w.kind {
		err = errors.Newf("event of kind %q", o.Kind)
	}
	if err != nil {
		return w.errorLine(err)
	}
	return line{object: o, heartbeat: heartbeat}
}

func (w *watch) errorLine(err error) line {
	return line{err: fmt.Errorf("btstore: watch %s: %w: %w", w.kind, bramleytack.ErrStoreDown, err)}
}

// readBoundedLine returns the next line. It fails if the line is longer than
// maxObjectResponse.
func readBoundedLine(r *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		part, err := r.ReadSlice('\n')
		data = append(data, part...)
		switch {
		case len(data) > maxObjectResponse:
			return nil, errors.Newf("line is longer than %d bytes", maxObjectResponse)
		case err == nil:
			return bytes.TrimSpace(data), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
