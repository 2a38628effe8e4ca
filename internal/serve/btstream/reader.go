package btstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// readBufferSize holds a few events of usual size.
	readBufferSize = 4 << 10
	// maxEventBytes bounds an event with a line longer than the read buffer.
	maxEventBytes = 1 << 20
)

// ErrEventTooLong is returned for an event of more than 1 MiB. The size is checked
// only while a line longer than the read buffer of 4 KiB is read.
var ErrEventTooLong = errors.New("btstream: event is longer than 1 MiB")

// Event is one event of an event stream.
type Event struct {
	// ID is the event's id. HasID reports whether the event has a numeric one.
	ID    uint64
	HasID bool
	// Raw holds the event's bytes, including the closing empty line. It is not
	// reused by later calls of Next.
	Raw []byte
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader of the events in r. It reads ahead of the events that
// Next returns.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBufferSize)} }

// Next returns the next event. It returns io.EOF after the last one, and
// io.ErrUnexpectedEOF if the stream ends inside an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		start := len(e.Raw)
		line, err := r.appendLine(&e)
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && start > 0 {
			return e, nil
		}
		e.parseID(text)
	}
}

// appendLine reads one line, appends it to e.Raw and returns it with its line end.
func (r *Reader) appendLine(e *Event) ([]byte, error) {
	start := len(e.Raw)
	for {
		part, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, part...)
		switch {
		case err == nil:
			return e.Raw[start:], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(e.Raw) > maxEventBytes:
			return nil, ErrEventTooLong
		}
	}
}

// parseID sets the event's id if the line is an id field.
func (e *Event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	e.ID, e.HasID = n, err == nil
}
