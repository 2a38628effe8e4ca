package btadmin

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/btrecord"
)

// storeIndex looks records up in the local configuration and then in the store.
type storeIndex struct {
	ctx      context.Context
	store    bramleytack.Store
	config   *btconfig.Config
	snapshot *bramleytack.Snapshot
	// err is the first failed look-up in the store.
	err error
}

// Has implements btrecord.Index.
func (x *storeIndex) Has(kind, name string) bool {
	key := bramleytack.Key{Kind: kind, Name: name}
	if _, ok := x.config.Get(key); ok {
		return true
	}
	_, err := x.store.Get(x.ctx, key)
	if err != nil && !errors.Is(err, bramleytack.ErrNotFound) && x.err == nil {
		x.err = err
	}
	return err == nil
}

// KeyHashOwner implements btrecord.Index.
func (x *storeIndex) KeyHashOwner(hash string) bramleytack.WorkspaceID {
	if w, ok := x.snapshot.ByKeyHash[hash]; ok {
		return w.Name
	}
	return ""
}

// findUser returns a record of the snapshot that refers to the key, or "".
func findUser(s *bramleytack.Snapshot, key bramleytack.Key) string {
	switch key.Kind {
	case btrecord.KindFailureDomain:
		for id, u := range s.Upstreams {
			if string(u.FailureDomain) == key.Name {
				return btrecord.KindUpstream + "/" + string(id)
			}
		}
	case btrecord.KindService:
		return firstUpstream(s.ByService[key.Name])
	case btrecord.KindModel:
		for name, c := range s.Commitments {
			if c.Model == key.Name {
				return btrecord.KindCommitment + "/" + name
			}
		}
		return firstUpstream(s.ByModel[key.Name])
	}
	return ""
}

func firstUpstream(list []*bramleytack.Upstream) string {
	if len(list) == 0 {
		return ""
	}
	return btrecord.KindUpstream + "/" + string(slices.MinFunc(list, func(a, b *bramleytack.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	}).ID)
}
