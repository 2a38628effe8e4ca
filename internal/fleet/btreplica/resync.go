package btreplica

import (
	"context"
	"sync"
)

// Resync makes the watchers that share it list their kinds again. When the store
// drops its history or a connection for one kind, the polls of the other kinds may
// hang without an answer. The zero value is ready to use.
type Resync struct {
	mu sync.Mutex
	// polls holds the function that cancels the latest poll of each watcher.
	polls map[*Watcher]context.CancelFunc
	// stale holds the watchers that must list their kind.
	stale map[*Watcher]bool
}

// begin registers a poll of w and returns its context, the function that cancels it,
// and whether the poll must list the kind.
func (r *Resync) begin(ctx context.Context, w *Watcher) (context.Context, context.CancelFunc, bool) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polls == nil {
		r.polls, r.stale = map[*Watcher]context.CancelFunc{}, map[*Watcher]bool{}
	}
	r.polls[w] = cancel
	stale := r.stale[w]
	delete(r.stale, w)
	return ctx, cancel, stale
}

// interrupted reports whether All canceled the poll of a watcher.
func (r *Resync) interrupted(w *Watcher) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stale[w]
}

// All cancels the polls of all watchers but one, which may be nil, and makes them list
// their kinds.
func (r *Resync) All(except *Watcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w, cancel := range r.polls {
		if w != except {
			r.stale[w] = true
			cancel()
		}
	}
}
