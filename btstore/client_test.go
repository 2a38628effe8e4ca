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

// run runs a test on fake time.
func run(t *testing.T, name string, f func(t *testing.T, p *platform, c *btstore.Client)) {
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

// Guards against writes that take effect twice, get lost or are reported wrong
// when the platform's response does not arrive.
func TestLostResponses(t *testing.T) {
	run(t, "a create with a lost response is confirmed", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{LoseReplies: 1})
		assert.Equal(t, put(t, c, "1", 0), p.Revision())
		assert.Equal(t, c.Counts().Writes, uint64(1))
	})
	run(t, "a dropped update is sent again", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{DropWrites: 1})
		put(t, c, "2", v)
		assertData(t, p, "2")
		assert.Equal(t, c.Counts().Writes, uint64(3))
	})
	run(t, "a dropped create is unknown", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{DropWrites: 1})
		_, err := c.Put(t.Context(), object("1"), 0)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
	})
	run(t, "a write that another one replaced is found among the events", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{LoseReplies: 1})
		p.beforeLoss = func() { put(t, p.Store, "3", p.Revision()) }
		v2 := put(t, c, "2", v)
		assert.Equal(t, v2, v+1)
		assertData(t, p, "3")
	})
	run(t, "a write that lost to another one is unknown", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{DropWrites: 1})
		p.beforeLoss = func() { put(t, p.Store, "3", v) }
		_, err := c.Put(t.Context(), object("2"), v)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
		assertData(t, p, "3")
	})
	run(t, "a stale read does not confirm or repeat a write", func(t *testing.T, p *platform, c *btstore.Client) {
		v := put(t, c, "1", 0)
		p.SetFault(btmemstore.Fault{LoseReplies: 1, StaleReads: uint64(v)})
		_, err := c.Put(t.Context(), object("2"), v)
		assert.ErrorIs(t, err, bramleytack.ErrStoreUnknown)
		assert.Equal(t, p.Revision(), v+1)
	})
	run(t, "an outage has no effect", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{Down: true})
		_, err := c.Put(t.Context(), object("1"), 0)
		assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		assert.Equal(t, p.Revision(), bramleytack.Revision(0))
	})
}

// Guards against a watch that hangs on a silent connection, and against one
// that ends although heartbeats come.
func TestSilentWatch(t *testing.T) {
	run(t, "heartbeats keep a watch open until they stop", func(t *testing.T, p *platform, c *btstore.Client) {
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

// Guards against a late response that answers another call.
func TestAbandonedCall(t *testing.T) {
	run(t, "the connection of an abandoned call is not used again", func(t *testing.T, p *platform, c *btstore.Client) {
		put(t, c, "1", 0)
		assert.Equal(t, p.dials.Load(), int64(1))
		p.hold = func(*http.Request) { time.Sleep(150 * time.Millisecond) }
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := c.List(ctx, "lease")
		assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		assertData(t, c, "1")
		assert.Equal(t, p.dials.Load(), int64(2))
	})
	run(t, "each call has a deadline", func(t *testing.T, p *platform, c *btstore.Client) {
		p.hold = func(r *http.Request) { <-r.Context().Done() }
		start := time.Now()
		_, err := c.Hosts(t.Context())
		assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		assert.Assert(t, time.Since(start) < 4*time.Second)
	})
}

// Guards against repeats that multiply the load on a platform in trouble.
func TestRetryBudget(t *testing.T) {
	run(t, "an outage exhausts the budget", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetFault(btmemstore.Fault{Down: true})
		for range 100 {
			_, err := c.Get(t.Context(), testKey)
			assert.ErrorIs(t, err, bramleytack.ErrStoreDown)
		}
		assert.DeepEqual(t, c.Counts(), btstore.Counts{Reads: 110, Retries: 10})
	})
	run(t, "a single failure is repeated", func(t *testing.T, p *platform, c *btstore.Client) {
		p.SetHosts(bramleytack.HostList{At: time.Now().UTC(), Hosts: []bramleytack.HostState{{Addr: netip.MustParseAddr("::1"), Leaving: true}}})
		p.hold = func(*http.Request) {
			p.hold = nil
			panic(http.ErrAbortHandler)
		}
		l, err := c.Hosts(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, l.Hosts[0].Leaving)
	})
}
