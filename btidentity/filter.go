package btidentity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"bramleytack"
)

// Limits of a request's deadline, counted from its receipt.
const (
	// DefaultTimeout applies to requests without a timeout.
	DefaultTimeout = 10 * time.Minute
	// DefaultMaxTimeout allows outputs of tens of thousands of tokens at 70 ms
	// each.
	DefaultMaxTimeout = 2 * time.Hour
)

const (
	// configWait is how long a request waits for the configuration of a daemon
	// that has just started. Callers send it requests at once if they cached the
	// entry list before its restart.
	configWait = 5 * time.Second
	// configRetryAfter is the Retry-After of requests rejected after that wait.
	configRetryAfter = time.Second
)

// Filter implements bramleytack.Filter. Snapshots and Timer are required.
type Filter struct {
	Snapshots bramleytack.Snapshots
	Timer     bramleytack.Timer
	// Timeout and MaxTimeout replace the defaults when positive.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// ConfigLoaded is closed when the configuration is complete. Before that, a
	// caller whose record is not loaded yet would get CodeUnauthenticated, which
	// is a permanent error. Nil means that the configuration is complete.
	ConfigLoaded <-chan struct{}
}

// Handle sets the request's workspace, priority and deadline and clears its
// credential. Requests that it rejects have outcome NotRun.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if err := f.awaitConfig(ctx); err != nil {
		return err
	}
	ws, ok := f.Snapshots.Snapshot().ByKeyHash[HashKey(r.Credential)]
	if !ok || r.Credential == "" {
		return bramleytack.NewError(bramleytack.CodeUnauthenticated, bramleytack.NotRun, "API key is missing or unknown")
	}
	r.Credential = ""
	r.Workspace = ws.Name
	r.Priority = min(r.Priority, ws.Priority)
	f.setDeadline(r)
	if !f.Timer.Now().Before(r.Deadline) {
		return bramleytack.NewError(bramleytack.CodeTimeout, bramleytack.NotRun, "deadline has passed")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return next.Handle(ctx, r, w)
}

// awaitConfig waits until the configuration is complete. After configWait it
// returns an error with CodeStarting.
func (f *Filter) awaitConfig(ctx context.Context) error {
	if f.ConfigLoaded == nil {
		return nil
	}
	select {
	case <-f.ConfigLoaded:
		return nil
	default:
	}
	timeout := f.Timer.After(configWait)
	defer timeout.Stop()
	select {
	case <-f.ConfigLoaded:
		return nil
	case <-ctx.Done():
	case <-timeout.C():
	}
	return bramleytack.NewError(bramleytack.CodeStarting, bramleytack.NotRun, "configuration is loading").WithRetryAfter(configRetryAfter)
}

// setDeadline sets a default deadline and limits one that the caller set.
func (f *Filter) setDeadline(r *bramleytack.Request) {
	timeout, maxTimeout := f.Timeout, f.MaxTimeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if maxTimeout <= 0 {
		maxTimeout = DefaultMaxTimeout
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Received.Add(min(timeout, maxTimeout))
	}
	if latest := r.Received.Add(maxTimeout); r.Deadline.After(latest) {
		r.Deadline = latest
	}
}

// HashKey returns the hexadecimal SHA-256 hash of an API key, as workspace
// records hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
