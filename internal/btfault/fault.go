package btfault

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Point is a place in a response: after a number of bytes if Bytes is set,
// otherwise after a number of tokens. The zero value is the place between the
// effect of the request and the first byte of its response.
type Point struct {
	Tokens int `json:"tokens,omitempty"`
	Bytes  int `json:"bytes,omitempty"`
}

// Refuse describes how requests are refused.
type Refuse struct {
	// Status is the HTTP status. Zero means 503.
	Status int `json:"status,omitempty"`
	// Untyped omits the statement that the request did not run.
	Untyped bool `json:"untyped,omitempty"`
}

// Condition is the part of a Fault that lasts until the fault is replaced,
// whatever the number of requests.
type Condition struct {
	// MemoryLimit replaces the configured memory of an engine, in tokens.
	MemoryLimit int `json:"memoryLimit,omitempty"`
	// Leaving makes the system report that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// StaleReports keeps the load report as it was when the fault was set.
	StaleReports bool `json:"staleReports,omitempty"`
	// ReportLag is added to the configured lag of load reports.
	ReportLag time.Duration `json:"reportLag,omitempty"`
}

// Fault says how a simulated system misbehaves. The zero value is a healthy
// system. Durations are nanoseconds in JSON.
type Fault struct {
	// Requests limits the faults of requests and connections to the next N.
	// Zero sets no limit. A reader sees the number that is left.
	Requests int `json:"requests,omitempty"`
	// Method and Path limit the faults of requests to a method and to a path
	// prefix. Paths under /debug/ are always healthy.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// For ends the fault after a time. Zero lets it last until it is replaced.
	For time.Duration `json:"for,omitempty"`

	// RefuseConnections resets new connections. Open connections still work.
	RefuseConnections bool `json:"refuseConnections,omitempty"`
	// FreezeOpen makes the connections that are open now silent for ever. New
	// connections work.
	FreezeOpen bool `json:"freezeOpen,omitempty"`

	// Refuse answers requests with a refusal.
	Refuse *Refuse `json:"refuse,omitempty"`
	// Freeze accepts requests and never executes or answers them.
	Freeze bool `json:"freeze,omitempty"`
	// FreezeAt stops the response at a point and keeps the connection open.
	FreezeAt *Point `json:"freezeAt,omitempty"`
	// Cut closes the connection at a point of the response.
	Cut *Point `json:"cut,omitempty"`
	// Truncate ends the response at a point, without a length or end marker.
	Truncate *Point `json:"truncate,omitempty"`
	// Slow is the delay before each token.
	Slow time.Duration `json:"slow,omitempty"`
	// Late is the delay between the effect and the response.
	Late time.Duration `json:"late,omitempty"`
	// LoseReply closes the connection after the effect, without a response.
	LoseReply bool `json:"loseReply,omitempty"`
	// Cross answers each of two concurrent requests with the response to the other.
	Cross bool `json:"cross,omitempty"`
	// DuplicateToken sends the token of this number twice, counted from 1.
	DuplicateToken int `json:"duplicateToken,omitempty"`
	// CrashAt crashes the system at a point of the response. A Switch without a
	// Target closes the connection.
	CrashAt *Point `json:"crashAt,omitempty"`

	// Crash crashes the system at once.
	Crash bool `json:"crash,omitempty"`
	// Restart gives the system a new instance id and loses its state at once.
	Restart bool `json:"restart,omitempty"`
	// Cold makes the system cold at once, without a new instance id.
	Cold bool `json:"cold,omitempty"`

	Condition
}

// maxFaultBytes bounds the body of a control request.
const maxFaultBytes = 1 << 16

// DecodeFault reads a fault from JSON. Unknown fields are errors, so that a
// misspelled fault is not taken for a healthy system.
func DecodeFault(r io.Reader) (Fault, error) {
	var f Fault
	d := json.NewDecoder(io.LimitReader(r, maxFaultBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return Fault{}, errors.Wrap(err, "btfault: decode fault")
	}
	return f, nil
}

// matches says whether the faults of requests apply to a request.
func (f *Fault) matches(r *http.Request) bool {
	if f.Method != "" && f.Method != r.Method {
		return false
	}
	return strings.HasPrefix(r.URL.Path, f.Path)
}

// changesResponse says whether the fault needs a writer of its own.
func (f *Fault) changesResponse() bool {
	return f.FreezeAt != nil || f.Cut != nil || f.Truncate != nil || f.CrashAt != nil ||
		f.Slow > 0 || f.Late > 0 || f.LoseReply || f.DuplicateToken > 0
}
