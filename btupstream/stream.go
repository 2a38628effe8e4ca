package btupstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// streamBufferBytes is the read buffer of a stream, a few dozen events.
const streamBufferBytes = 4 << 10

// Stream implements bramleytack.Stream. One goroutine at a time reads it.
type Stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.Closer
	lines  *bufio.Reader
	id     bramleytack.RequestID
	once   sync.Once
	// shared are the first bytes that the stream's events have in common, and
	// last is what they say.
	shared []byte
	last   event
}

// newStream returns the stream of a request that was sent under ctx.
func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, id bramleytack.RequestID) *Stream {
	return &Stream{ctx: ctx, cancel: cancel, body: body, lines: bufio.NewReaderSize(body, streamBufferBytes), id: id}
}

// Next implements bramleytack.Stream. An end of the stream without a last
// event is an error.
func (s *Stream) Next(ctx context.Context) (bramleytack.StreamEvent, error) {
	if ctx != s.ctx {
		// The end of the request's own context closes the connection by itself.
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	for {
		line, err := s.line()
		if err != nil {
			return bramleytack.StreamEvent{}, s.fail(ctx, err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		e, err := s.decode(bytes.TrimSpace(data))
		if err != nil {
			return bramleytack.StreamEvent{}, s.fail(ctx, err)
		}
		return s.accept(ctx, &e)
	}
}

// Close implements bramleytack.Stream.
func (s *Stream) Close() error {
	var err error
	s.once.Do(func() {
		s.cancel()
		err = s.body.Close()
	})
	return err
}

// line returns the next line without its end. The result is valid until the
// next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, endOf(err)
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > MaxEventBytes {
			return nil, errors.New("btupstream: event is too long")
		}
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, endOf(err)
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

// accept checks that an event belongs to this stream's request.
func (s *Stream) accept(ctx context.Context, e *event) (bramleytack.StreamEvent, error) {
	if s.id == "" {
		s.id = e.RequestID
	}
	if e.RequestID != s.id || e.RequestID == "" {
		return bramleytack.StreamEvent{}, s.fail(ctx, errors.Newf("btupstream: event of request %q in the stream of %q", e.RequestID, s.id))
	}
	ev := bramleytack.StreamEvent{Stream: e.Generation, Done: e.Done}
	if e.Done {
		ev.Completion = bramleytack.Completion{FinishReason: e.FinishReason, PromptTokens: e.PromptTokens, Tokens: e.Tokens}
		return ev, nil
	}
	ev.Token = bramleytack.Token{Index: e.Index, Text: e.Text}
	return ev, nil
}

// fail closes the stream. The engine took the request, so the outcome is Ran.
func (s *Stream) fail(ctx context.Context, err error) error {
	_ = s.Close()
	return failed(ctx, err, bramleytack.Ran)
}

func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
