package btupstream

import (
	"bytes"
	"encoding/json"
	"strconv"

	"bramleytack"
)

// event is the JSON form of one event of an engine's stream.
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

// decode decodes an event. Nearly all events of a stream differ from the previous
// one only in index and text. Comparing the bytes that they share costs a tenth
// of decoding the JSON.
func (s *Stream) decode(data []byte) (event, error) {
	if e, ok := s.decodeWithPrefix(data); ok {
		return e, nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return e, err
	}
	s.setSharedPrefix(data, e)
	return e, nil
}

var (
	indexField = []byte(`"index":`)
	textField  = []byte(`,"text":"`)
	textEnd    = []byte(`"}`)
)

// setSharedPrefix stores the bytes of an event up to its index, if they hold all
// fields that the following events can share.
func (s *Stream) setSharedPrefix(data []byte, e event) {
	s.sharedPrefix = s.sharedPrefix[:0]
	i := bytes.Index(data, indexField)
	if i < 0 || e.Done {
		return
	}
	i += len(indexField)
	var fields event
	// The prefix is usable if it holds all fields of the event but index and text.
	if json.Unmarshal(append(bytes.Clone(data[:i]), "0}"...), &fields) != nil {
		return
	}
	if fields != (event{RequestID: e.RequestID, Generation: e.Generation}) {
		return
	}
	s.sharedPrefix = append(s.sharedPrefix, data[:i]...)
	s.sharedFields = fields
}

// decodeWithPrefix decodes an event that consists of the shared prefix, an index
// and a text without escapes. It reports false for any other event.
func (s *Stream) decodeWithPrefix(data []byte) (event, bool) {
	if len(s.sharedPrefix) == 0 || !bytes.HasPrefix(data, s.sharedPrefix) {
		return event{}, false
	}
	digits, rest, ok := bytes.Cut(data[len(s.sharedPrefix):], textField)
	if !ok || len(digits) == 0 || len(digits) > 1 && digits[0] == '0' {
		return event{}, false
	}
	index, err := strconv.ParseUint(string(digits), 10, 31)
	if err != nil {
		return event{}, false
	}
	text, ok := bytes.CutSuffix(rest, textEnd)
	if !ok || !isPlainASCII(text) {
		return event{}, false
	}
	e := s.sharedFields
	e.Index = int(index)
	e.Text = string(text)
	return e, true
}

// isPlainASCII reports whether a JSON string needs no decoding. Text that is not
// ASCII goes to the full decoder, which checks its encoding.
func isPlainASCII(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
