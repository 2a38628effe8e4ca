package btmemstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
)

var key = bramleytack.Key{Kind: "workspace", Name: "a"}

// Guards against a simulated store that is kinder or harsher than the platform.
func TestStore(t *testing.T) {
	put := func(t *testing.T, s *Store, data string, expected bramleytack.Revision) bramleytack.Revision {
		t.Helper()
		v, err := s.Put(t.Context(), bramleytack.Object{Key: key, Data: []byte(data)}, expected)
		assert.NilError(t, err)
		return v
	}
	t.Run("a write needs the current version", func(t *testing.T) {
		s := New()
		v := put(t, s, "1", 0)
		_, err := s.Put(t.Context(), bramleytack.Object{Key: key, Data: []byte("1")}, 0)
		assert.ErrorIs(t, err, bramleytack.ErrConflict)
		put(t, s, "2", v)
	})
	t.Run("a value is one JSON value", func(t *testing.T) {
		_, err := New().Put(t.Context(), bramleytack.Object{Key: key, Data: []byte("1 2")}, 0)
		assert.ErrorContains(t, err, "not JSON")
	})
	t.Run("a lost reply leaves the write in effect", func(t *testing.T) {
		s := New()
		s.SetFault(Fault{LoseReplies: 1})
		_, err := s.Put(t.Context(), bramleytack.Object{Key: key, Data: []byte("1")}, 0)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
		o, err := s.Get(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, string(o.Data), "1")
	})
	t.Run("a watch delivers each change once and in order", func(t *testing.T) {
		s := New()
		v := put(t, s, "1", 0)
		w, err := s.Watch(t.Context(), key.Kind, v)
		assert.NilError(t, err)
		v = put(t, s, "2", v)
		_, err = s.Delete(t.Context(), key, v)
		assert.NilError(t, err)
		o, err := w.Next(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, string(o.Data), "2")
		o, err = w.Next(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, o.Deleted)
	})
	t.Run("stale reads show an old revision", func(t *testing.T) {
		s := New()
		v := put(t, s, "1", 0)
		put(t, s, "2", v)
		s.SetFault(Fault{StaleReads: uint64(v)})
		o, err := s.Get(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, string(o.Data), "1")
	})
}
