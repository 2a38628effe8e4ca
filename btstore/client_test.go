package btstore_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btstore"
	"bramleytack/internal/btcontract"
	"bramleytack/internal/btmemstore"
)

var testKey = bramleytack.Key{Kind: "workspace", Name: "a"}

func TestContract(t *testing.T) {
	t.Run("in memory", func(t *testing.T) {
		btcontract.TestStore(t, func(*testing.T) bramleytack.Store { return btmemstore.New() })
	})
	t.Run("client", func(t *testing.T) {
		btcontract.TestStore(t, func(t *testing.T) bramleytack.Store { return newPlatform(t).client(t) })
	})
}

// runSynctest runs a subtest with the fake clock of synctest.
func runSynctest(t *testing.T, name string, f func(t *testing.T, p *platform, c *btstore.Client)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform(t)
			f(t, p, p.client(t))
		})
	})
}

func object(data string) bramleytack.Object {
	return bramleytack.Object{Key: testKey, ChangeID: "change-" + data, Data: []byte(data)}
}

func put(t *testing.T, s bramleytack.Store, data string, expected bramleytack.Revision) bramleytack.Revision {
	t.Helper()
	v, err := s.Put(t.Context(), object(data), expected)
	assert.NilError(t, err)
	return v
}

func assertData(t *testing.T, s bramleytack.Store, want string) {
	t.Helper()
	o, err := s.Get(t.Context(), testKey)
	assert.NilError(t, err)
	assert.Equal(t, string(o.Data), want)
}

// Guards against writes that take effect twice, are lost or are reported with
// the wrong result when the platform's response does not arrive.
func TestLostResponses(t *testing.T) {
	runSynctest(t, "a create with a lost response is confirmed", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{LoseReplies: 1})
		assert.Equal(t, put(t, c, "1", 0), p.Revision())
		assert.Equal(t, c.Counts().Writes, uint64(1))
	})
	runSynctest(t, "a dropped update is sent again", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{DropWrites: 1})
		put(t, c, "2", v)
		assertData(t, p, "2")
		assert.Equal(t, c.Counts().Writes, uint64(3))
	})
	runSynctest(t, "a dropped create is unknown", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{DropWrites: 1})
		_, err := c.Put(t.Context(), object("1"), 0)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
	})
	runSynctest(t, "a write that another write replaced is found among the events", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{LoseReplies: 1})
		p.beforeLoss = func() { put(t, p.Store, "3", p.Revision()) }
		v2 := put(t, c, "2", v)
		assert.Equal(t, v2, v+1)
		assertData(t, p, "3")
	})
	runSynctest(t, "a dropped write followed by another write is unknown", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{DropWrites: 1})
		p.beforeLoss = func() { put(t, p.Store, "3", v) }
		_, err := c.Put(t.Context(), object("2"), v)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
		assertData(t, p, "3")
	})
	runSynctest(t, "a stale read neither confirms a write nor causes a retry", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{LoseReplies: 1, StaleReads: uint64(v)})
		_, err := c.Put(t.Context(), object("2"), v)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
		assert.Equal(t, p.Revision(), v+1)
	})
	runSynctest(t, "a write during an outage has no effect", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{Down: true})
		_, err := c.Put(t.Context(), object("1"), 0)
		assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		assert.Equal(t, p.Revision(), bramleytack.Revision(0))
	})
}

// Guards against a watch that hangs on a silent connection, and against one
// that ends while heartbeats arrive.
func TestSilentWatch(t *testing.T) {
	runSynctest(t, "heartbeats keep a watch open until they stop", func(t *testing.T, p *platform, c *btstore.Client) {
		w, err := c.Watch(t.Context(), testKey.Kind, 0)
		assert.NilError(t, err)
		defer w.Close()
		silent := 10*time.Second + 500*time.Millisecond
		start := time.Now()
		go func() {
			time.Sleep(silent)
			p.SetFault(btmemstore.Fault{SilentWatches: true})
		}()
		_, err = w.Next(t.Context())
		assert.ErrorIs(t, err, bramleytack.ErrWatchSilent)
		assert.Equal(t, time.Since(start), 10*time.Second+btstore.SilenceLimit)
	})
}

// Guards against a late response that is taken for the response to another call.
func TestAbandonedCall(t *testing.T) {
	runSynctest(t, "the connection of an abandoned call is not used again", func(t *testing.T, p *platform, c *btstore.Client) {
		put(t, c, "1", 0)
		assert.Equal(t, p.dials.Load(), int64(1))
		p.beforeCall = func(*http.Request) { time.Sleep(150 * time.Millisecond) }
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := c.List(ctx, "lease")
		assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		assertData(t, c, "1")
		assert.Equal(t, p.dials.Load(), int64(2))
	})
	runSynctest(t, "each call has a deadline", func(t *testing.T, p *platform, c *btstore.Client) {
		p.beforeCall = func(r *http.Request) { <-r.Context().Done() }
		start := time.Now()
		_, err := c.Hosts(t.Context())
		assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		assert.Assert(t, time.Since(start) < 4*time.Second)
	})
}

// Guards against retries that multiply the load on a platform during an outage.
func TestRetryBudget(t *testing.T) {
	runSynctest(t, "an outage exhausts the budget", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{Down: true})
		for range 100 {
			_, err := c.Get(t.Context(), testKey)
			assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		}
		assert.DeepEqual(t, c.Counts(), btstore.Counts{Reads: 110, Retries: 10})
	})
	runSynctest(t, "a single failure is retried", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetHosts(bramleytack.HostList{At: time.Now().UTC(), Hosts: []bramleytack.HostState{{Addr: netip.MustParseAddr("::1"), Leaving: true}}})
		p.beforeCall = func(*http.Request) {
			p.beforeCall = nil
			panic(http.ErrAbortHandler)
		}
		l, err := c.Hosts(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, l.Hosts[0].Leaving)
	})
}
