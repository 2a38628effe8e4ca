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

// MaxKeptResponseBytes is the size of the largest response that is kept,
// counting its body and headers.
const MaxKeptResponseBytes = 4096

var errMalformed = errors.New("btclaim: malformed object")

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
	State     state                 `json:"state"`
	Attempt   AttemptID             `json:"attempt"`
	Body      []byte                `json:"body"`
	Entry     bramleytack.HostID    `json:"entry"`
	Request   bramleytack.RequestID `json:"request"`
	ClaimedAt time.Time             `json:"at"`
	// ChangeID identifies the commit that wrote the record.
	ChangeID string          `json:"change"`
	Response *storedResponse `json:"answer,omitempty"`
}

// storedResponse describes the response of a call that ran. Status and Digest
// are empty if the call ran without a response.
type storedResponse struct {
	Status int `json:"status"`
	// Digest is the SHA-256 hash of the response's body.
	Digest []byte `json:"digest"`
	// Kept reports whether Header and Body hold the whole response. Otherwise
	// they are empty.
	Kept   bool        `json:"kept"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func newStoredResponse(r *bramleytack.Response) *storedResponse {
	if r == nil {
		return &storedResponse{}
	}
	digest := sha256.Sum256(r.Body)
	stored := &storedResponse{Status: r.Status, Digest: digest[:]}
	if responseBytes(r) <= MaxKeptResponseBytes && validHeader(r.Header) {
		stored.Kept, stored.Header, stored.Body = true, r.Header, r.Body
	}
	return stored
}

func responseBytes(r *bramleytack.Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// validHeader reports whether a header is valid UTF-8, so that JSON does not
// change it.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !utf8.ValidString(name + strings.Join(values, "")) {
			return false
		}
	}
	return true
}

// decision returns the decision of a repeat of the call.
func (r *storedResponse) decision() Decision {
	if r == nil {
		return Decision{Kind: ResponseNotKept}
	}
	d := Decision{Kind: ResponseNotKept, Status: r.Status}
	copy(d.Digest[:], r.Digest)
	if r.Kept {
		d.Kind = Replay
		d.Response = &bramleytack.Response{Status: r.Status, Header: r.Header.Clone(), Body: bytes.Clone(r.Body)}
	}
	return d
}

// segment describes an object that holds records moved out of the head.
type segment struct {
	Name    string               `json:"name"`
	Version bramleytack.Revision `json:"version"`
	// Newest is the time of the newest claim in the segment.
	Newest time.Time `json:"newest"`
}

// schemaVersion is the version of the stored format.
const schemaVersion = 1

// header is the head object without its records.
type header struct {
	SchemaVersion int `json:"schemaVersion"`
	// Segments lists the shard's segments, oldest first.
	Segments []segment `json:"segments,omitempty"`
	// Dropped lists segments whose retention has ended and that are yet to be
	// deleted.
	Dropped []segment `json:"dropped,omitempty"`
}

// document is the stored format of the head and of a segment, whose header has
// only the schema version. The store takes one JSON value for each object.
type document struct {
	header
	Records []json.RawMessage `json:"records"`
}

// encodeDocument joins a header and encoded records, one a line. Each commit
// writes the whole head, so the records are not parsed and encoded again.
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

// decodeDocument returns the header, the encoded records, one a line, and the
// decoded records.
func decodeDocument(b []byte) (header, []byte, []record, error) {
	var d document
	if err := json.Unmarshal(b, &d); err != nil {
		return d.header, nil, nil, errors.Mark(errors.Wrap(err, "btclaim: decoding head"), errMalformed)
	}
	var lines bytes.Buffer
	for _, raw := range d.Records {
		if err := json.Compact(&lines, raw); err != nil {
			return d.header, nil, nil, errors.Mark(errors.Wrap(err, "btclaim: decoding record"), errMalformed)
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
			return nil, errors.Wrap(errMalformed, "record does not end with a newline")
		}
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "btclaim: decoding record"), errMalformed)
		}
		records = append(records, r)
		b = rest
	}
	return records, nil
}
