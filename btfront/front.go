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
	// serverMaxHeader is the header limit of net/http, which rejects without a
	// typed error. It is larger than DefaultMaxHeader, so that headers moderately
	// over DefaultMaxHeader get a typed error.
	serverMaxHeader = 64 << 10
	// ReadHeaderTimeout limits the time to receive a header, DefaultBodyTimeout
	// the time to receive a body.
	ReadHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout = 10 * time.Second
	// WriteTimeout limits how long a write to an event stream may block. The
	// deadline is not renewed on each write, so a write may fail after half of
	// this time.
	WriteTimeout = 30 * time.Second
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout = 2 * time.Minute
	// HeartbeatPeriod is the longest time without data on a healthy stream after
	// its first token.
	HeartbeatPeriod = 5 * time.Second
	// MaxResumeWindow is the longest resume window. Longer ones are shortened to
	// it.
	MaxResumeWindow = time.Minute
)

// HTTP headers of requests and responses.
const (
	HeaderGenerationToken = "Bramleytack-Generation-Token"
	HeaderPriority        = "Bramleytack-Priority"
	HeaderTimeout         = "Bramleytack-Timeout"
	HeaderResumeWindow    = "Bramleytack-Resume-Window"
	HeaderOutcome         = "Bramleytack-Outcome"
	HeaderRequestID       = "X-Request-Id"
	HeaderIdempotencyKey  = "Idempotency-Key"
)

// EntryLister provides the addresses of the daemons that callers should use.
type EntryLister interface {
	// Entries returns the addresses and how long callers may cache them.
	Entries() ([]netip.AddrPort, time.Duration)
}

// Front serves the HTTP API. RequestHandler and Timer are required. Without
// Entries, the entry list is empty.
type Front struct {
	RequestHandler bramleytack.Handler
	Timer          bramleytack.Timer
	Entries        EntryLister
	// MaxBody, MaxHeader and BodyTimeout replace the defaults when positive.
	MaxBody     int64
	MaxHeader   int
	BodyTimeout time.Duration
	// OnError is called with each request's error before the error is sent to the
	// caller. It may be called concurrently, and may be nil.
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
	mux.HandleFunc("/", f.notFound)
	return f.limitHeader(mux)
}

// Server returns an HTTP server for Handler with limits on the receipt of
// headers and on idle connections.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    serverMaxHeader,
	}
}

// Run sends heartbeats on idle streams until the context is done.
func (f *Front) Run(ctx context.Context) {
	f.streams.run(ctx, f.Timer)
}

// OpenStreams returns the number of open event streams.
func (f *Front) OpenStreams() int { return f.streams.len() }

func (f *Front) notFound(w http.ResponseWriter, r *http.Request) {
	f.fail(w, f.newRequest(r, bramleytack.Call), bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "path does not exist"))
}

// limitHeader rejects requests whose header is over the limit.
func (f *Front) limitHeader(next http.Handler) http.Handler {
	limit := f.MaxHeader
	if limit <= 0 {
		limit = DefaultMaxHeader
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := headerBytes(r); n > limit {
			f.fail(w, f.newRequest(r, bramleytack.Call),
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

// newRequest returns a Request with the fields that every kind of request sets.
func (f *Front) newRequest(r *http.Request, kind bramleytack.Kind) *bramleytack.Request {
	return &bramleytack.Request{
		ID:         newRequestID(),
		Kind:       kind,
		Received:   f.Timer.Now(),
		Credential: bearerToken(r.Header.Get("Authorization")),
		Priority:   bramleytack.Interactive,
	}
}

func newRequestID() bramleytack.RequestID {
	var b [12]byte
	// rand.Read never fails since Go 1.24.
	_, _ = rand.Read(b[:])
	return bramleytack.RequestID(hex.EncodeToString(b[:]))
}
