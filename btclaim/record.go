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

// MaxKeptResponseBytes is the size of the largest answer that is kept, counting its
// body and headers.
const MaxKeptResponseBytes = 4096

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
	if answerBytes(r) <= MaxKeptResponseBytes && validHeader(r.Header) {
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
		return Decision{Kind: ResponseNotKept}
	}
	d := Decision{Kind: ResponseNotKept, Status: a.Status}
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

// schemaVersion is the version of the stored form.
const schemaVersion = 1

// header is the head object without its records.
type header struct {
	SchemaVersion int `json:"schemaVersion"`
	// Segments lists the shard's segments, oldest first.
	Segments []segment `json:"segments,omitempty"`
	// Dropped lists segments past their retention that are yet to be deleted.
	Dropped []segment `json:"dropped,omitempty"`
}

// document is the stored form of the head and of a segment, which has only
// records. A value of the store is one JSON value.
type document struct {
	header
	Records []json.RawMessage `json:"records"`
}

// encodeDocument joins a header and encoded records, which are not parsed
// again: each commit writes the whole head.
func encodeDocument(h header, lines []byte) ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "btclaim: encoding head")
	}
	b = append(bytes.TrimSuffix(b, []byte{'}'}), `,"records":[`...)
	// Encoded JSON holds no newline within a record.
	b = append(b, bytes.ReplaceAll(bytes.TrimSuffix(lines, []byte{'\n'}), []byte{'\n'}, []byte{','})...)
	return append(b, "]}"...), nil
}

// decodeDocument returns the header, the encoded records and the records.
func decodeDocument(b []byte) (header, []byte, []record, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return d.header, nil, nil, errors.Mark(errors.Wrap(err, "btclaim: decoding head"), errFormat)
	}
	var lines bytes.Buffer
	for _, raw := range d.Records {
		if err := json.Compact(&lines, raw); err != nil {
			return d.header, nil, nil, errors.Mark(errors.Wrap(err, "btclaim: decoding record"), errFormat)
		}
		lines.WriteByte('\n')
	}
	records, err := decodeRecords(lines.Bytes())
	return d.header, lines.Bytes(), records, err
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
