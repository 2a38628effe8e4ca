package btstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"bramleytack/internal/node/btmemory"
)

const (
	// readBufferSize holds a few events of usual size.
	readBufferSize = 4 << 10
	// maxEventBytes bounds an event, and the bytes of a line that never ends.
	maxEventBytes = 1 << 20
	// minEventBytes is enough for an event of usual size.
	minEventBytes = 128
)

// ErrEventTooLong is returned for an event of more than 1 MiB.
var ErrEventTooLong = errors.New("btstream: event is longer than 1 MiB")

// Event is one event of an event stream.
type Event struct {
	// ID is the event's id. HasID reports whether the event has a numeric one.
	ID    uint64
	HasID bool
	// HasData reports whether the event has a data field. Without one it is a comment,
	// which upstreams may send while a generation makes no progress.
	HasData bool
	// Raw holds the event's bytes, including the closing empty line. It is not
	// reused by later calls of Next.
	Raw []byte
}

// Size returns the size of the event in memory in bytes.
func (e Event) Size() int { return cap(e.Raw) }

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	r    *bufio.Reader
	kept *btmemory.Account
	// expected is the size of the event before. Room for as much is made at once.
	expected int
}

// NewReader returns a Reader of the events in r. It reads ahead of the events that
// Next returns. The size of each event counts in kept, from its first byte on, until the
// caller of Next releases it. kept may be nil.
func NewReader(r io.Reader, kept *btmemory.Account) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize), kept: kept}
}

// Next returns the next event. It returns io.EOF after the last one, io.ErrUnexpectedEOF if
// the stream ends inside an event, and btmemory.ErrFull if there is no memory for the event.
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
			r.expected = len(e.Raw)
			return e, nil
		}
		e.parseField(text)
	}
}

// appendLine reads one line, appends it to e.Raw and returns it with its line end.
func (r *Reader) appendLine(e *Event) ([]byte, error) {
	start := len(e.Raw)
	for {
		part, err := r.r.ReadSlice('\n')
		if gerr := r.grow(e, len(part)); gerr != nil {
			return nil, gerr
		}
		e.Raw = append(e.Raw, part...)
		switch {
		case err == nil:
			return e.Raw[start:], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// grow makes room for n more bytes of an event.
func (r *Reader) grow(e *Event, n int) error {
	if len(e.Raw)+n > maxEventBytes {
		return ErrEventTooLong
	}
	raw, err := btmemory.Grow(e.Raw, max(n, min(max(r.expected, minEventBytes), maxEventBytes)-len(e.Raw)), maxEventBytes, r.kept)
	e.Raw = raw
	return err
}

// parseField evaluates a line that is an id or data field.
func (e *Event) parseField(line []byte) {
	if bytes.HasPrefix(line, []byte("data")) {
		e.HasData = true
		return
	}
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	e.ID, e.HasID = n, err == nil
}
