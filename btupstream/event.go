package btupstream

import (
	"bytes"
	"encoding/json"
	"strconv"

	"bramleytack"
)

// event is one event of an engine's stream as JSON.
type event struct {
	RequestID    bramleytack.RequestID `json:"requestId"`
	Generation   bramleytack.StreamID  `json:"generation"`
	Index        int                   `json:"index"`
	Text         string                `json:"text"`
	Done         bool                  `json:"done"`
	FinishReason string                `json:"finishReason"`
	PromptTokens int                   `json:"promptTokens"`
	Tokens       int                   `json:"tokens"`
}

// decode reads an event. Nearly all events of a stream differ from the last one
// in index and text only, so they are compared with its first bytes, which
// costs a tenth of decoding them.
func (s *Stream) decode(data []byte) (event, error) {
	if e, ok := s.decodeNext(data); ok {
		return e, nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return e, err
	}
	s.remember(data, e)
	return e, nil
}

var (
	indexField = []byte(`"index":`)
	textField  = []byte(`,"text":"`)
	textEnd    = []byte(`"}`)
)

// remember keeps the bytes of an event up to its index, if they hold all that
// the events of the stream share.
func (s *Stream) remember(data []byte, e event) {
	s.shared = s.shared[:0]
	i := bytes.Index(data, indexField)
	if i < 0 || e.Done {
		return
	}
	i += len(indexField)
	var head event
	// The prefix is usable if it says all that the event says but the text.
	if json.Unmarshal(append(bytes.Clone(data[:i]), "0}"...), &head) != nil {
		return
	}
	if head != (event{RequestID: e.RequestID, Generation: e.Generation}) {
		return
	}
	s.shared = append(s.shared, data[:i]...)
	s.last = head
}

// decodeNext decodes an event that starts with the shared bytes and goes on
// with an index and a text without escapes.
func (s *Stream) decodeNext(data []byte) (event, bool) {
	if len(s.shared) == 0 || !bytes.HasPrefix(data, s.shared) {
		return event{}, false
	}
	digits, rest, ok := bytes.Cut(data[len(s.shared):], textField)
	if !ok || len(digits) == 0 || len(digits) > 1 && digits[0] == '0' {
		return event{}, false
	}
	index, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil {
		return event{}, false
	}
	text, ok := bytes.CutSuffix(rest, textEnd)
	if !ok || !plain(text) {
		return event{}, false
	}
	e := s.last
	e.Index = int(index)
	e.Text = string(text)
	return e, true
}

// plain says whether a JSON string needs no decoding. Other characters than
// ASCII are left to the full decoder, which checks their encoding.
func plain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
