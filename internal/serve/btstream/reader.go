package btstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// readerBuffer holds a few events of usual size.
	readerBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// ErrEventTooLong is returned for an event of more than 1 MiB.
var ErrEventTooLong = errors.New("btstream: event is too long")

// Event is one whole event.
type Event struct {
	// ID is the event's id. HasID reports whether the event has a numeric one.
	ID    uint64
	HasID bool
	// Raw are the event's bytes with the closing empty line.
	Raw []byte
}

// Reader reads events.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readerBuffer)} }

// Next returns the next event. It returns io.EOF after the last one, and
// io.ErrUnexpectedEOF if the stream ends inside an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		start := len(e.Raw)
		line, err := r.line(&e)
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
		e.readID(text)
	}
}

func (r *Reader) line(e *Event) ([]byte, error) {
	start := len(e.Raw)
	for {
		part, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, part...)
		switch {
		case err == nil:
			return e.Raw[start:], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(e.Raw) > maxEvent:
			return nil, ErrEventTooLong
		}
	}
}

func (e *Event) readID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	e.ID, e.HasID = n, err == nil
}
