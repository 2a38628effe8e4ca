package bramleytack

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxObjectBytes is the size of the largest value that the platform's store
// accepts.
const MaxObjectBytes = 1 << 20

// Errors of a Store and its Watch. ErrStoreUnknown means that a write may have
// taken effect.
var (
	ErrNotFound     = errors.New("bramleytack: object not found")
	ErrConflict     = errors.New("bramleytack: object has another version")
	ErrStoreDown    = errors.New("bramleytack: store is unavailable")
	ErrStoreUnknown = errors.New("bramleytack: effect of the write is unknown")
	ErrWatchSilent  = errors.New("bramleytack: watch is silent")
)

// Key names an object in the store.
type Key struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Object is a value in the store. Version is 0 for an object that does not
// exist. The versions of all objects come from one counter that never decreases.
type Object struct {
	Key
	Version Revision
	// ChangeID identifies the write that created this version.
	ChangeID string
	// Deleted is set in the change that reports the object's deletion.
	Deleted bool
	Data    []byte
	// Err is set if the store's entry cannot be read. Data is then empty, and Name too if
	// it is unknown.
	Err error
}

// HostState is the state of a host in the platform's host list.
type HostState struct {
	Addr    netip.Addr
	Leaving bool
}

// HostList is the platform's list of hosts. It lags behind their actual state.
type HostList struct {
	At    time.Time
	Hosts []HostState
}

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns the objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) ([]Object, Revision, error)
	// Put writes o.Data if the object still has the expected version, where 0
	// means that it must not exist. It returns the new version, or ErrConflict
	// if another write came first, ErrStoreUnknown if the write may have taken
	// effect, and ErrStoreDown if it certainly did not.
	Put(ctx context.Context, o Object, expected Revision) (Revision, error)
	// Delete removes an object under the same condition as Put.
	Delete(ctx context.Context, key Key, expected Revision) (Revision, error)
	// Watch returns the changes of a kind after a revision.
	Watch(ctx context.Context, kind string, after Revision) (Watch, error)
	// Hosts returns the platform's host list.
	Hosts(ctx context.Context) (HostList, error)
}

// Watch is a stream of changes.
type Watch interface {
	// Next returns the next change. It returns ErrWatchSilent if neither a change
	// nor a heartbeat arrives in time. The watch is then unusable.
	Next(ctx context.Context) (Object, error)
	Close() error
}
