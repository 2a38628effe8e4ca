package bramleytack

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"
)

// Kind is what a request asks for.
type Kind uint8

// The kinds of requests.
const (
	// Generate starts a generation.
	Generate Kind = iota
	// Resume continues a generation at a token index.
	Resume
	// Cancel ends a generation.
	Cancel
	// Call is a call of a plain service.
	Call
)

var kindNames = [...]string{"generate", "resume", "cancel", "call"}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Request is one request of a caller. The front fills in what the caller
// sent, later filters add their decisions. Only the goroutine that handles a
// request may use it.
type Request struct {
	ID       RequestID
	Kind     Kind
	Received time.Time
	Deadline time.Time
	// Credential is the API key as sent. The identify filter clears it.
	Credential string
	Workspace  WorkspaceID
	Priority   Priority

	// Model, Prompt and MaxTokens belong to Generate.
	Model     string
	Prompt    string
	MaxTokens int

	// GenerationToken belongs to Resume and Cancel, From to Resume.
	GenerationToken string
	From            int

	// Service, Method, Path, Query, Header and Body belong to Call.
	Service string
	Method  string
	Path    string
	Query   string
	Header  http.Header
	Body    []byte
	// IdempotencyKey is the same whenever a caller repeats a Call. It may be empty.
	IdempotencyKey string

	// Suspect is set if the request may have crashed an upstream. It then runs
	// alone on its upstream.
	Suspect bool
	// Target is the upstream that the route filter chose for this attempt.
	Target Target
	// Attempt is the number of the current attempt, from 1. Attempts whose
	// reservation was rejected count too.
	Attempt int
}

// Target is an upstream together with the reservation for one attempt.
type Target struct {
	Upstream *Upstream
	Grant    Grant
	// Version and Adapter are those of the model that the attempt asks for.
	Version string
	Adapter string
}

// Fingerprint identifies the content of a request. Repeats have the same one.
type Fingerprint [sha256.Size]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Fingerprint returns the hash of everything that an upstream would see of the
// request, together with its workspace.
func (r *Request) Fingerprint() Fingerprint {
	return FingerprintOf(
		string(r.Workspace), r.Kind.String(), r.Model, r.Prompt,
		r.Service, r.Method, r.Path, r.Query, string(r.Body),
	)
}

// FingerprintOf returns the hash of a list of parts.
func FingerprintOf(parts ...string) Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		// The length prefix separates parts: without it, "ab", "c" and "a", "bc"
		// would have the same hash.
		var n [8]byte
		for i, v := 0, uint64(len(part)); i < len(n); i, v = i+1, v>>8 {
			n[i] = byte(v)
		}
		h.Write(n[:])
		h.Write([]byte(part))
	}
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// AttemptID returns the id by which upstreams and owners know the current
// attempt. Each attempt has its own, so that responses and load reports of
// different attempts cannot be confused.
func (r *Request) AttemptID() RequestID {
	return RequestID(fmt.Sprintf("%s.%d", r.ID, r.Attempt))
}

// PromptTokens estimates the number of tokens in the prompt at four bytes a
// token.
func (r *Request) PromptTokens() int {
	const bytesPerToken = 4
	return (len(r.Prompt) + bytesPerToken - 1) / bytesPerToken
}
