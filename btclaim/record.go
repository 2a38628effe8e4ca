package btclaim

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// MaxAnswerBytes is the size of the largest answer that is kept, counting its
// body and headers.
const MaxAnswerBytes = 4096

var errFormat = errors.New("btclaim: malformed object")

// state is the state of a claim.
type state string

const (
	claimed state = "claimed"
	notRun  state = "notRun"
	done    state = "done"
)

// record is the state of one claim after one change.
type record struct {
	ClaimKey
	State   state                 `json:"state"`
	Attempt AttemptID             `json:"attempt"`
	Body    []byte                `json:"body"`
	Entry   bramleytack.HostID    `json:"entry"`
	Request bramleytack.RequestID `json:"request"`
	// At is when the key was claimed.
	At time.Time `json:"at"`
	// Change is the change id of the commit that wrote the record.
	Change string  `json:"change"`
	Answer *answer `json:"answer,omitempty"`
}

// answer describes the answer of a call that ran.
type answer struct {
	Status int    `json:"status"`
	Digest []byte `json:"digest"`
	// Kept says whether Header and Body are the whole answer.
	Kept   bool        `json:"kept"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func newAnswer(r *bramleytack.Response) *answer {
	if r == nil {
		return &answer{}
	}
	digest := sha256.Sum256(r.Body)
	a := &answer{Status: r.Status, Digest: digest[:]}
	if answerBytes(r) <= MaxAnswerBytes && validHeader(r.Header) {
		a.Kept, a.Header, a.Body = true, r.Header, r.Body
	}
	return a
}

func answerBytes(r *bramleytack.Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// validHeader says whether a header survives a round trip through JSON.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !utf8.ValidString(name + strings.Join(values, "")) {
			return false
		}
	}
	return true
}

func (a *answer) decision() Decision {
	if a == nil {
		return Decision{Kind: NotKept}
	}
	d := Decision{Kind: NotKept, Status: a.Status}
	copy(d.Digest[:], a.Digest)
	if a.Kept {
		d.Kind = Replay
		d.Response = &bramleytack.Response{Status: a.Status, Header: a.Header.Clone(), Body: bytes.Clone(a.Body)}
	}
	return d
}

// segment describes an object that holds records moved out of the head.
type segment struct {
	Name    string               `json:"name"`
	Version bramleytack.Revision `json:"version"`
	// Newest is the time of the newest claim.
	Newest time.Time `json:"newest"`
}

// header is the first line of the head object. Records follow, one a line.
type header struct {
	SchemaVersion int `json:"schemaVersion"`
	// Segments lists the shard's segments, oldest first.
	Segments []segment `json:"segments,omitempty"`
	// Dropped lists segments past their retention that are yet to be deleted.
	Dropped []segment `json:"dropped,omitempty"`
}

func encodeHead(h header, lines []byte) ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "btclaim: encoding head")
	}
	b = append(b, '\n')
	return append(b, lines...), nil
}

func decodeHead(b []byte) (header, []byte, []record, error) {
	var h header
	first, lines, ok := bytes.Cut(b, []byte{'\n'})
	if !ok {
		return h, nil, nil, errors.Wrap(errFormat, "head without header")
	}
	if err := json.Unmarshal(first, &h); err != nil {
		return h, nil, nil, errors.Mark(errors.Wrap(err, "btclaim: decoding head"), errFormat)
	}
	records, err := decodeRecords(lines)
	return h, lines, records, err
}

func encodeRecord(r record) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "btclaim: encoding record")
	}
	return append(b, '\n'), nil
}

func decodeRecords(b []byte) ([]record, error) {
	var records []record
	for len(b) > 0 {
		line, rest, ok := bytes.Cut(b, []byte{'\n'})
		if !ok {
			return nil, errors.Wrap(errFormat, "record without end")
		}
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "btclaim: decoding record"), errFormat)
		}
		records = append(records, r)
		b = rest
	}
	return records, nil
}
