package btadmin

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
)

// ConflictError says that a record changed after the operator read it.
type ConflictError struct {
	Key bramleytack.Key `json:"key"`
	// Expected is the version that the operator started from, Stored the
	// version in the store. 0 means that the record does not exist.
	Expected bramleytack.Revision `json:"expected"`
	Stored   bramleytack.Revision `json:"stored"`
	// BaseKnown says whether the expected version is known. If not, Theirs is
	// empty and Ours are the differences to the stored record.
	BaseKnown bool `json:"baseKnown"`
	// Theirs are the changes that came first, Ours the ones that were wanted.
	Theirs []Change `json:"theirs,omitempty"`
	Ours   []Change `json:"ours,omitempty"`
	// Overlap are the paths that both changed in different ways.
	Overlap []string `json:"overlap,omitempty"`
}

// Error returns both changes, one field per line.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "btadmin: %s/%s has version %d, not %d", e.Key.Kind, e.Key.Name, e.Stored, e.Expected)
	for _, c := range e.Theirs {
		fmt.Fprintf(&b, "\nstored: %s", c)
	}
	for _, c := range e.Ours {
		fmt.Fprintf(&b, "\nwanted: %s", c)
	}
	return b.String()
}

// conflict explains why a write of the wanted object failed.
func (a *Admin) conflict(ctx context.Context, wanted bramleytack.Object, expected bramleytack.Revision) error {
	stored, err := a.newest(ctx, wanted.Key)
	if err != nil {
		return conflictError(&ConflictError{Key: wanted.Key, Expected: expected})
	}
	e := &ConflictError{Key: wanted.Key, Expected: expected, Stored: stored.Version}
	base, known := a.seen.get(wanted.Key, expected)
	e.BaseKnown = known || expected == 0
	storedFields, wantedFields := fieldsOf(stored), fieldsOf(wanted)
	if !e.BaseKnown {
		e.Ours = diff(storedFields, wantedFields)
		return conflictError(e)
	}
	baseFields := fieldsOf(base)
	e.Theirs = diff(baseFields, storedFields)
	e.Ours = diff(baseFields, wantedFields)
	e.Overlap = overlap(e.Theirs, e.Ours)
	return conflictError(e)
}

// newest returns the stored object, or the local one if a stale read of the
// store gave an older version. A missing object is marked as deleted.
func (a *Admin) newest(ctx context.Context, key bramleytack.Key) (bramleytack.Object, error) {
	o, err := a.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, bramleytack.ErrNotFound) {
		return o, err
	}
	if a.Config.Version(key) > o.Version {
		o, _ = a.Config.Get(key)
	}
	if o.Version == 0 || o.Deleted {
		return bramleytack.Object{Key: key, Deleted: true}, nil
	}
	a.seen.add(o)
	return o, nil
}

func conflictError(e *ConflictError) error {
	return bramleytack.NewError(bramleytack.CodeConflict, bramleytack.NotRun, "%s/%s has changed", e.Key.Kind, e.Key.Name).WithCause(e)
}

// fieldsOf returns the fields of an object's record, without any for an object
// that does not exist or cannot be decoded.
func fieldsOf(o bramleytack.Object) btrecord.Fields {
	if o.Deleted || len(o.Data) == 0 {
		return nil
	}
	r, err := btrecord.Decode(o)
	if err != nil {
		return nil
	}
	f := btrecord.Fields{"schemaVersion": r.SchemaVersion, "spec": r.Spec}
	for name, v := range r.Extra {
		f[name] = v
	}
	return f
}
