package btadmin

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/btrecord"
)

// Admin makes changes to records. The fields must be set before the first use.
type Admin struct {
	Store  bramleytack.Store
	Config *btconfig.Config
	Timer  bramleytack.Timer
	// Changed is told of each change that was written, or that came second to
	// another one. It may be nil.
	Changed func(key bramleytack.Key, version bramleytack.Revision, conflict error)

	seen history
}

// Versioned is a record with its version in the store.
type Versioned struct {
	Version bramleytack.Revision `json:"version"`
	Record  btrecord.Record      `json:"record"`
}

// Apply validates and writes a record whose version is expected, where 0
// creates it. Errors are *bramleytack.Error; their causes may be a
// *ConflictError or btrecord.Findings.
func (a *Admin) Apply(ctx context.Context, r btrecord.Record, expected bramleytack.Revision) (bramleytack.Revision, error) {
	if err := a.validate(ctx, r); err != nil {
		return 0, err
	}
	o, err := btrecord.Encode(r)
	if err != nil {
		return 0, badRequest(err)
	}
	o.ChangeID = rand.Text()
	a.remember(o.Key)
	v, err := a.Store.Put(ctx, o, expected)
	if errors.Is(err, bramleytack.ErrConflict) {
		err = a.conflict(ctx, o, expected)
		a.notify(o.Key, expected, err)
		return 0, err
	}
	if err != nil {
		return 0, storeError(err)
	}
	o.Version = v
	a.accept(o)
	return v, nil
}

// Delete removes a record whose version is expected, unless another record
// refers to it.
func (a *Admin) Delete(ctx context.Context, key bramleytack.Key, expected bramleytack.Revision) (bramleytack.Revision, error) {
	if user := findUser(a.Config.Snapshot(), key); user != "" {
		return 0, bramleytack.NewError(bramleytack.CodeConflict, bramleytack.NotRun, "%s/%s is used by %s", key.Kind, key.Name, user)
	}
	a.remember(key)
	v, err := a.Store.Delete(ctx, key, expected)
	if errors.Is(err, bramleytack.ErrConflict) {
		err = a.conflict(ctx, bramleytack.Object{Key: key, Deleted: true}, expected)
		a.notify(key, expected, err)
		return 0, err
	}
	if err != nil {
		return 0, storeError(err)
	}
	a.accept(bramleytack.Object{Key: key, Version: v, Deleted: true})
	return v, nil
}

func (a *Admin) notify(key bramleytack.Key, version bramleytack.Revision, conflict error) {
	if a.Changed != nil {
		a.Changed(key, version, conflict)
	}
}

// Get returns a record from the store. While the store is unavailable it
// returns the record that the daemon acts on.
func (a *Admin) Get(ctx context.Context, key bramleytack.Key) (Versioned, error) {
	o, err := a.newest(ctx, key)
	if errors.Is(err, bramleytack.ErrStoreDown) {
		if local, ok := a.Config.Get(key); ok {
			o, err = local, nil
		}
	}
	if err != nil {
		return Versioned{}, storeError(err)
	}
	if o.Deleted {
		return Versioned{}, notFound(key)
	}
	return decode(o)
}

// List returns the records of a kind, or of all kinds if kind is empty, as this
// daemon knows them. Records that cannot be decoded are left out.
func (a *Admin) List(kind string) []Versioned {
	list := []Versioned{}
	for _, o := range a.Config.All() {
		if o.Deleted || o.Kind == btconfig.KindQuarantine || kind != "" && o.Kind != kind {
			continue
		}
		if v, err := decode(o); err == nil {
			list = append(list, v)
		}
	}
	return list
}

func decode(o bramleytack.Object) (Versioned, error) {
	r, err := btrecord.Decode(o)
	if err != nil {
		return Versioned{}, bramleytack.NewError(bramleytack.CodeInternal, bramleytack.Ran, "stored record %s/%s cannot be decoded", o.Kind, o.Name).WithCause(err)
	}
	return Versioned{Version: o.Version, Record: r}, nil
}

// accept makes a written object known to this daemon before the watch does.
func (a *Admin) accept(o bramleytack.Object) {
	a.notify(o.Key, o.Version, nil)
	a.seen.add(o)
	a.Config.Apply([]bramleytack.Object{o})
}

// remember keeps the version that the daemon knows now as a base for conflicts.
func (a *Admin) remember(key bramleytack.Key) {
	if o, ok := a.Config.Get(key); ok {
		a.seen.add(o)
	}
}

func (a *Admin) validate(ctx context.Context, r btrecord.Record) error {
	findings := btrecord.Validate(r)
	if err := findings.Err(); err != nil {
		return badRequest(err)
	}
	index := &storeIndex{ctx: ctx, store: a.Store, snapshot: a.Config.Snapshot(), config: a.Config}
	findings = btrecord.CheckReferences(r, index)
	if index.err != nil {
		return storeError(index.err).WithOutcome(bramleytack.NotRun)
	}
	if err := findings.Err(); err != nil {
		return badRequest(err)
	}
	return nil
}

func badRequest(err error) *bramleytack.Error {
	return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "record is not valid").WithCause(err)
}

func notFound(key bramleytack.Key) *bramleytack.Error {
	return bramleytack.NewError(bramleytack.CodeNotFound, bramleytack.NotRun, "%s/%s does not exist", key.Kind, key.Name)
}

// storeError returns an error with the outcome that the store's error implies.
func storeError(err error) *bramleytack.Error {
	switch {
	case errors.Is(err, bramleytack.ErrStoreUnknown):
		return bramleytack.NewError(bramleytack.CodeStoreDown, bramleytack.Unknown, "effect of the change is unknown").WithCause(err)
	case errors.Is(err, bramleytack.ErrStoreDown):
		return bramleytack.NewError(bramleytack.CodeStoreDown, bramleytack.NotRun, "store is unavailable").WithCause(err)
	}
	return bramleytack.NewError(bramleytack.CodeInternal, bramleytack.Unknown, "change failed").WithCause(fmt.Errorf("btadmin: %w", err))
}
