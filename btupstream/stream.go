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

// streamBufferBytes is the size of a stream's read buffer, which holds a few dozen
// events.
const streamBufferBytes = 4 << 10

// Stream implements bramleytack.Stream. Next must not be called concurrently.
type Stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.Closer
	lines  *bufio.Reader
	id     bramleytack.RequestID
	once   sync.Once
	// sharedPrefix holds the first bytes of an event that the following ones repeat,
	// up to the index. sharedFields holds their decoded fields.
	sharedPrefix []byte
	sharedFields event
}

// newStream returns the stream of a request that was sent under ctx.
func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, id bramleytack.RequestID) *Stream {
	return &Stream{ctx: ctx, cancel: cancel, body: body, lines: bufio.NewReaderSize(body, streamBufferBytes), id: id}
}

// Next implements bramleytack.Stream. If the stream ends without an event that has
// Done set, Next returns an error.
func (s *Stream) Next(ctx context.Context) (bramleytack.StreamEvent, error) {
	if ctx != s.ctx {
		// net/http closes the connection by itself when s.ctx ends.
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	for {
		line, err := s.readLine()
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
		return s.toStreamEvent(ctx, &e)
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

// readLine returns the next line without its line break. The result is valid until
// the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, unexpectedEOF(err)
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > MaxEventBytes {
			return nil, errors.New("btupstream: event is longer than 1 MiB")
		}
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

// toStreamEvent converts an event. It fails if the event belongs to another
// request.
func (s *Stream) toStreamEvent(ctx context.Context, e *event) (bramleytack.StreamEvent, error) {
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

// fail closes the stream. The engine accepted the request, so the outcome is Ran.
func (s *Stream) fail(ctx context.Context, err error) error {
	_ = s.Close()
	return failureError(ctx, err, bramleytack.Ran)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
