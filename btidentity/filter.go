package btidentity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"bramleytack"
)

// Bounds of a request's deadline, counted from its receipt.
const (
	// DefaultTimeout holds for requests that name no timeout.
	DefaultTimeout = 10 * time.Minute
	// DefaultMaxTimeout leaves room for outputs of tens of thousands of tokens
	// at 70 ms each.
	DefaultMaxTimeout = 2 * time.Hour
)

const (
	// startWait is how long a request waits for the configuration of a daemon
	// that has just started. Callers reach it by an entry list from before its
	// restart.
	startWait = 5 * time.Second
	// startRetry is the advice to callers after that.
	startRetry = time.Second
)

// Filter implements bramleytack.Filter.
type Filter struct {
	Snapshots bramleytack.Snapshots
	Timer     bramleytack.Timer
	// Timeout and MaxTimeout replace the defaults when positive.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// ConfigLoaded is closed when the configuration is complete. A part of it could
	// refuse a caller for good whose record is yet to come. Nil takes it as
	// complete.
	ConfigLoaded <-chan struct{}
}

// Handle sets the request's workspace, priority and deadline and clears its
// credential.
func (f *Filter) Handle(ctx context.Context, r *bramleytack.Request, w bramleytack.ResponseWriter, next bramleytack.Handler) error {
	if err := f.await(ctx); err != nil {
		return err
	}
	ws, ok := f.Snapshots.Snapshot().ByKeyHash[HashKey(r.Credential)]
	if !ok || r.Credential == "" {
		return bramleytack.NewError(bramleytack.CodeUnauthenticated, bramleytack.NotRun, "API key is missing or unknown")
	}
	r.Credential = ""
	r.Workspace = ws.Name
	r.Priority = min(r.Priority, ws.Priority)
	f.limit(r)
	if !f.Timer.Now().Before(r.Deadline) {
		return bramleytack.NewError(bramleytack.CodeTimeout, bramleytack.NotRun, "deadline has passed")
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return next.Handle(ctx, r, w)
}

// await returns when the configuration is complete.
func (f *Filter) await(ctx context.Context) error {
	if f.ConfigLoaded == nil {
		return nil
	}
	select {
	case <-f.ConfigLoaded:
		return nil
	default:
	}
	end := f.Timer.After(startWait)
	defer end.Stop()
	select {
	case <-f.ConfigLoaded:
		return nil
	case <-ctx.Done():
	case <-end.C():
	}
	return bramleytack.NewError(bramleytack.CodeStarting, bramleytack.NotRun, "configuration is loading").WithRetryAfter(startRetry)
}

// limit sets the deadline within its bounds.
func (f *Filter) limit(r *bramleytack.Request) {
	timeout, longest := f.Timeout, f.MaxTimeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if longest <= 0 {
		longest = DefaultMaxTimeout
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.Received.Add(min(timeout, longest))
	}
	if last := r.Received.Add(longest); r.Deadline.After(last) {
		r.Deadline = last
	}
}

// HashKey returns the hash under which a workspace's record holds an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
