package btcontract

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
)

const contractKind = "workspace"

var contractKey = bramleytack.Key{Kind: contractKind, Name: "a"}

// storeTest is a store under test.
type storeTest struct {
	*testing.T
	bramleytack.Store
}

// TestStore checks an implementation of bramleytack.Store. newStore returns an
// empty store without faults for each subtest.
func TestStore(t *testing.T, newStore func(t *testing.T) bramleytack.Store) {
	t.Helper()
	for name, test := range map[string]func(storeTest){
		"a create needs an absent object":            testCreate,
		"a write needs the current version":          testUpdate,
		"a delete needs the current version":         testDelete,
		"a deleted object can be created again":      testRecreate,
		"versions of all objects share one counter":  testVersions,
		"a list holds one kind and its revision":     testList,
		"a value over the limit is rejected":         testSize,
		"a watch delivers each change in order":      testWatch,
		"a watch continues a list without a gap":     testListThenWatch,
		"a watch ends with its context or its owner": testWatchEnd,
		"concurrent writers lose no change":          testConcurrent,
	} {
		t.Run(name, func(t *testing.T) { test(storeTest{t, newStore(t)}) })
	}
}

func (s storeTest) put(key bramleytack.Key, data string, expected bramleytack.Revision) bramleytack.Revision {
	s.Helper()
	v, err := s.Put(s.Context(), bramleytack.Object{Key: key, ChangeID: "change-" + data, Data: []byte(data)}, expected)
	assert.NilError(s, err)
	return v
}

func (s storeTest) assertConflict(data string, expected bramleytack.Revision) {
	s.Helper()
	_, err := s.Put(s.Context(), bramleytack.Object{Key: contractKey, Data: []byte(data)}, expected)
	assert.ErrorIs(s, err, bramleytack.ErrConflict)
}

func (s storeTest) assertObject(data string, version bramleytack.Revision) {
	s.Helper()
	o, err := s.Get(s.Context(), contractKey)
	assert.NilError(s, err)
	assertSame(s.T, o, data, version)
}

func assertSame(t *testing.T, o bramleytack.Object, data string, version bramleytack.Revision) {
	t.Helper()
	want := bramleytack.Object{Key: contractKey, Version: version, ChangeID: "change-" + data, Data: []byte(data)}
	assert.DeepEqual(t, o, want)
}

func testCreate(s storeTest) {
	_, err := s.Get(s.Context(), contractKey)
	assert.ErrorIs(s, err, bramleytack.ErrNotFound)
	s.assertConflict("1", 7)
	v := s.put(contractKey, "1", 0)
	s.assertConflict("2", 0)
	s.assertObject("1", v)
}

func testUpdate(s storeTest) {
	v1 := s.put(contractKey, "1", 0)
	v2 := s.put(contractKey, `{"x":[1.50,"é"]}`, v1)
	assert.Assert(s, v2 > v1)
	s.assertConflict("3", v1)
	s.assertConflict("3", v2+1)
	s.assertObject(`{"x":[1.50,"é"]}`, v2)
}

func testDelete(s storeTest) {
	v1 := s.put(contractKey, "1", 0)
	v2 := s.put(contractKey, "2", v1)
	_, err := s.Delete(s.Context(), contractKey, v1)
	assert.ErrorIs(s, err, bramleytack.ErrConflict)
	v3, err := s.Delete(s.Context(), contractKey, v2)
	assert.NilError(s, err)
	assert.Assert(s, v3 > v2)
	_, err = s.Get(s.Context(), contractKey)
	assert.ErrorIs(s, err, bramleytack.ErrNotFound)
	_, err = s.Delete(s.Context(), contractKey, v2)
	assert.ErrorIs(s, err, bramleytack.ErrConflict)
}

func testRecreate(s storeTest) {
	v1 := s.put(contractKey, "1", 0)
	v2, err := s.Delete(s.Context(), contractKey, v1)
	assert.NilError(s, err)
	s.assertConflict("2", v1)
	s.assertConflict("2", v2)
	v3 := s.put(contractKey, "2", 0)
	assert.Assert(s, v3 > v2)
	s.assertObject("2", v3)
}

func testVersions(s storeTest) {
	v1 := s.put(contractKey, "1", 0)
	v2 := s.put(bramleytack.Key{Kind: "lease", Name: "a"}, "1", 0)
	v3 := s.put(contractKey, "2", v1)
	assert.Assert(s, v1 < v2 && v2 < v3, "%d, %d, %d", v1, v2, v3)
}

func testList(s storeTest) {
	list, _, err := s.List(s.Context(), contractKind)
	assert.NilError(s, err)
	assert.Equal(s, len(list), 0)
	v1 := s.put(contractKey, "1", 0)
	gone := bramleytack.Key{Kind: contractKind, Name: "b"}
	v2 := s.put(gone, "2", 0)
	_, err = s.Delete(s.Context(), gone, v2)
	assert.NilError(s, err)
	v4 := s.put(bramleytack.Key{Kind: "lease", Name: "a"}, "3", 0)
	list, rev, err := s.List(s.Context(), contractKind)
	assert.NilError(s, err)
	assert.Equal(s, rev, v4)
	assert.Equal(s, len(list), 1)
	assertSame(s.T, list[0], "1", v1)
}

func testSize(s storeTest) {
	data := `"` + strings.Repeat("x", bramleytack.MaxObjectBytes-2) + `"`
	s.put(contractKey, data, 0)
	_, err := s.Put(s.Context(), bramleytack.Object{Key: bramleytack.Key{Kind: contractKind, Name: "b"}, Data: []byte(data + " ")}, 0)
	assert.ErrorContains(s, err, "limit")
}

func (s storeTest) watch(after bramleytack.Revision) bramleytack.Watch {
	s.Helper()
	w, err := s.Watch(s.Context(), contractKind, after)
	assert.NilError(s, err)
	s.Cleanup(func() { assert.Check(s, w.Close()) })
	return w
}

func (s storeTest) next(w bramleytack.Watch) bramleytack.Object {
	s.Helper()
	o, err := w.Next(s.Context())
	assert.NilError(s, err)
	return o
}

func testWatch(s storeTest) {
	v1 := s.put(contractKey, "1", 0)
	w := s.watch(v1)
	v2 := s.put(contractKey, "2", v1)
	s.put(bramleytack.Key{Kind: "lease", Name: "a"}, "1", 0)
	v3, err := s.Delete(s.Context(), contractKey, v2)
	assert.NilError(s, err)
	v4 := s.put(contractKey, "4", 0)
	assertSame(s.T, s.next(w), "2", v2)
	o := s.next(w)
	assert.Equal(s, o.Key, contractKey)
	assert.Equal(s, o.Version, v3)
	assert.Assert(s, o.Deleted)
	assertSame(s.T, s.next(w), "4", v4)
}

func testListThenWatch(s storeTest) {
	v := s.put(contractKey, "1", 0)
	_, rev, err := s.List(s.Context(), contractKind)
	assert.NilError(s, err)
	v = s.put(contractKey, "2", v)
	assertSame(s.T, s.next(s.watch(rev)), "2", v)
}

func testWatchEnd(s storeTest) {
	opening, cancel := context.WithCancel(s.Context())
	w, err := s.Watch(opening, contractKind, 0)
	assert.NilError(s, err)
	cancel()
	v := s.put(contractKey, "1", 0)
	assertSame(s.T, s.next(w), "1", v)
	_, err = w.Next(opening)
	assert.ErrorIs(s, err, context.Canceled)
	ended := make(chan error)
	go func() {
		_, err := w.Next(s.Context())
		ended <- err
	}()
	assert.NilError(s, w.Close())
	assert.Assert(s, <-ended != nil)
	assert.NilError(s, w.Close())
}

func testConcurrent(s storeTest) {
	const writers, changes = 4, 25
	s.put(contractKey, "0", 0)
	var done sync.WaitGroup
	for range writers {
		done.Go(func() {
			for range changes {
				assert.Check(s, increment(s.Context(), s.Store))
			}
		})
	}
	done.Wait()
	o, err := s.Get(s.Context(), contractKey)
	assert.NilError(s, err)
	assert.Equal(s, string(o.Data), "100")
}

// increment adds 1 to the object, again and again until no other write
// interferes.
func increment(ctx context.Context, store bramleytack.Store) error {
	for {
		o, err := store.Get(ctx, contractKey)
		if err != nil {
			return err
		}
		var n int
		if err := json.Unmarshal(o.Data, &n); err != nil {
			return err
		}
		data, err := json.Marshal(n + 1)
		if err != nil {
			return err
		}
		_, err = store.Put(ctx, bramleytack.Object{Key: contractKey, Data: data}, o.Version)
		if !errors.Is(err, bramleytack.ErrConflict) {
			return err
		}
	}
}
