package btstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// readAll returns the events of a stream and the error that ended it.
func readAll(r io.Reader) ([]Event, error) {
	reader := NewReader(r, nil)
	var events []Event
	for {
		e, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// Guards against events that are changed, joined or returned incomplete.
func TestReader(t *testing.T) {
	long := "id: 3\ndata: " + strings.Repeat("x", 3*readBufferSize) + "\n\n"
	cases := []struct {
		name, text string
		ids        []uint64
		err        error
	}{
		{"empty", "", nil, io.EOF},
		{"two", "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", []uint64{1, 2}, io.EOF},
		{"long", long, []uint64{3}, io.EOF},
		{"cut after a line", "id: 1\ndata: a\n\nid: 2\ndata: b\n", []uint64{1}, io.ErrUnexpectedEOF},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []uint64{1}, io.ErrUnexpectedEOF},
		{"no id", "data: a\n\n", []uint64{0}, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
				events, err := readAll(r)
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
				assert.Equal(t, len(events), len(c.ids))
				joined := ""
				for i, e := range events {
					assert.Equal(t, e.ID, c.ids[i])
					joined += string(e.Raw)
				}
				assert.Assert(t, strings.HasPrefix(c.text, joined))
			}
		})
	}
}

// endless repeats a text without end.
type endless struct {
	text string
	at   int
	read int
}

func (e *endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = e.text[e.at]
		e.at = (e.at + 1) % len(e.text)
	}
	e.read += len(b)
	return len(b), nil
}

// Guards against events without end that exhaust the memory: one long line, and short
// lines without an empty one (3.2 MB passed before).
func TestEndlessEvent(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "id: 1\n"} {
		t.Run(text, func(t *testing.T) {
			r := &endless{text: text}
			_, err := readAll(r)
			assert.ErrorIs(t, err, ErrEventTooLong)
			assert.Assert(t, r.read <= maxEventBytes+2*readBufferSize, "%d bytes read", r.read)
		})
	}
}

// Guards against comments that count as progress of a generation.
func TestCommentsHaveNoData(t *testing.T) {
	events, err := readAll(strings.NewReader(": ping\n\nid: 1\ndata: a\n\n"))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, len(events), 2)
	assert.Assert(t, !events[0].HasData && events[1].HasData)
}

// Guards against a reader that drops or adds bytes.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\nid: x\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(strings.NewReader(text))
		joined := ""
		for _, e := range events {
			joined += string(e.Raw)
		}
		if !strings.HasPrefix(text, joined) {
			t.Fatalf("events %q are not a prefix of %q", joined, text)
		}
		if errors.Is(err, io.EOF) && joined != text {
			t.Fatalf("io.EOF after %q of %q", joined, text)
		}
	})
}
