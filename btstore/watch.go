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

// SilenceLimit is how long a watch waits for any line. The platform sends a
// heartbeat each second.
const SilenceLimit = 1500 * time.Millisecond

// ErrWatchClosed is returned by a watch that its owner closed.
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

// Watch implements bramleytack.Store. The context bounds the opening only.
func (c *Client) Watch(ctx context.Context, kind string, after bramleytack.Revision) (bramleytack.Watch, error) {
	c.counters.watches.Add(1)
	w, err := c.openWatch(ctx, kind, after)
	if err != nil {
		return nil, fmt.Errorf("btstore: watch %s: %w", kind, err)
	}
	go w.loop()
	return w, nil
}

func (c *Client) openWatch(ctx context.Context, kind string, after bramleytack.Revision) (*watch, error) {
	opening, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	streaming, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(opening, cancel)
	path := "/watch/" + url.PathEscape(kind) + "?after=" + formatRevision(after)
	req, err := c.request(streaming, call{method: http.MethodGet, path: path})
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := c.watchResponse(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if !detach() {
		resp.Body.Close()
		return nil, readError(reply{}, opening.Err())
	}
	return &watch{
		kind: kind, after: after, timer: c.timer, body: resp.Body, cancel: cancel,
		lines: make(chan line), done: make(chan struct{}),
	}, nil
}

func (c *Client) watchResponse(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, readError(reply{}, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	return nil, readError(reply{status: resp.StatusCode, body: text}, err)
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

// loop reads lines until the stream ends or the watch is closed.
func (w *watch) loop() {
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
	data, err := readLimited(r)
	if err != nil {
		return w.failed(err)
	}
	o, heartbeat, err := decodeEvent(data)
	if err == nil && !heartbeat && o.Kind != w.kind {
		err = errors.Newf("event of kind %q", o.Kind)
	}
	if err != nil {
		return w.failed(err)
	}
	return line{object: o, heartbeat: heartbeat}
}

func (w *watch) failed(err error) line {
	return line{err: fmt.Errorf("btstore: watch %s: %w: %w", w.kind, bramleytack.ErrStoreDown, err)}
}

// readLimited returns one line of bounded length.
func readLimited(r *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		part, err := r.ReadSlice('\n')
		data = append(data, part...)
		switch {
		case len(data) > maxObjectReply:
			return nil, errors.Newf("line is longer than %d bytes", maxObjectReply)
		case err == nil:
			return bytes.TrimSpace(data), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}
