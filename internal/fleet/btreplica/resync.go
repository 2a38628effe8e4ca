package btreplica

import (
	"context"
	"sync"
)

// Resync makes watchers read their kinds anew. When the store drops its history
// or loses connections for one kind, the polls of the other kinds may hang
// without an answer. The zero value is ready to use.
type Resync struct {
	mu    sync.Mutex
	polls map[*Watcher]context.CancelFunc
	// stale holds the watchers that must list their kind.
	stale map[*Watcher]bool
}

// begin returns the context of a poll, and whether the kind must be listed.
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

// interrupted says whether the poll of a watcher was ended for a new list.
func (r *Resync) interrupted(w *Watcher) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stale[w]
}

// All ends the polls of all watchers but one, which may be nil.
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
