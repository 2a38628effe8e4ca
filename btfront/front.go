package btfront

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"time"

	"bramleytack"
)

// Default limits of a Front.
const (
	// DefaultMaxBody is the largest request body in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultMaxHeader is the largest request header in bytes.
	DefaultMaxHeader = 16 << 10
	// serverMaxHeader is where net/http itself cuts a header off. It is larger
	// than DefaultMaxHeader, so that moderate excess gets a typed error.
	serverMaxHeader = 64 << 10
	// ReadHeaderTimeout bounds the receipt of a header, DefaultBodyTimeout that of
	// a body.
	ReadHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout = 10 * time.Second
	// WriteTimeout is how long a caller may leave a write blocked.
	WriteTimeout = 30 * time.Second
	// IdleTimeout closes connections between requests.
	IdleTimeout = 2 * time.Minute
	// HeartbeatPeriod is the longest silence of a healthy stream.
	HeartbeatPeriod = 5 * time.Second
	// MaxResumeWindow bounds Bramleytack-Resume-Window.
	MaxResumeWindow = time.Minute
)

// Headers of requests and answers.
const (
	HeaderGenerationToken = "Bramleytack-Generation-Token"
	HeaderPriority        = "Bramleytack-Priority"
	HeaderTimeout         = "Bramleytack-Timeout"
	HeaderResumeWindow    = "Bramleytack-Resume-Window"
	HeaderOutcome         = "Bramleytack-Outcome"
	HeaderRequestID       = "X-Request-Id"
	HeaderIdempotencyKey  = "Idempotency-Key"
)

// EntryLister tells which entry addresses callers should use.
type EntryLister interface {
	// Entries returns the addresses and how long callers may keep them.
	Entries() ([]netip.AddrPort, time.Duration)
}

// Front serves callers. Path and Timer are required.
type Front struct {
	RequestHandler bramleytack.Handler
	Timer          bramleytack.Timer
	Entries        EntryLister
	// MaxBody, MaxHeader and BodyTimeout replace the defaults when positive.
	MaxBody     int64
	MaxHeader   int
	BodyTimeout time.Duration
	// OnError is called with each error that a caller was sent. It may be nil.
	OnError func(*bramleytack.Request, *bramleytack.Error)

	streams streamSet
}

// Handler returns the HTTP routes.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", f.chat)
	mux.HandleFunc("GET /v1/generations/{token}", f.resume)
	mux.HandleFunc("DELETE /v1/generations/{token}", f.cancel)
	mux.HandleFunc("/v1/services/{service}/{path...}", f.call)
	mux.HandleFunc("GET /v1/entries", f.entries)
	mux.HandleFunc("/", f.unknown)
	return f.limitHeader(mux)
}

// Server returns an HTTP server with the front's limits.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    serverMaxHeader,
	}
}

// Run sends heartbeats on idle streams until the context ends.
func (f *Front) Run(ctx context.Context) {
	f.streams.run(ctx, f.Timer)
}

// OpenStreams returns the number of open event streams.
func (f *Front) OpenStreams() int { return f.streams.len() }

func (f *Front) unknown(w http.ResponseWriter, r *http.Request) {
	f.fail(w, f.request(r, bramleytack.Call), bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "no such path"))
}

// limitHeader refuses headers over the limit with a typed error.
func (f *Front) limitHeader(next http.Handler) http.Handler {
	limit := f.MaxHeader
	if limit <= 0 {
		limit = DefaultMaxHeader
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := headerBytes(r); n > limit {
			f.fail(w, f.request(r, bramleytack.Call),
				bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "header of %d bytes is over the limit of %d", n, limit))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// request returns a Request with what all kinds share.
func (f *Front) request(r *http.Request, kind bramleytack.Kind) *bramleytack.Request {
	return &bramleytack.Request{
		ID:         newRequestID(),
		Kind:       kind,
		Received:   f.Timer.Now(),
		Credential: bearer(r.Header.Get("Authorization")),
		Priority:   bramleytack.Interactive,
	}
}

func newRequestID() bramleytack.RequestID {
	var b [12]byte
	// rand.Read never fails since Go 1.24.
	_, _ = rand.Read(b[:])
	return bramleytack.RequestID(hex.EncodeToString(b[:]))
}
