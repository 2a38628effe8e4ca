package btoperator

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btconfig"
	"bramleytack/btrecord"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

const operatorKey = "secret"

var domainKey = bramleytack.Key{Kind: btrecord.KindFailureDomain, Name: "qld-a"}

// deployment is a daemon's admin API with a fault on writes.
type deployment struct {
	*Client
	writes atomic.Int32
	// fault may answer a write instead of the API.
	fault func(api http.Handler, w http.ResponseWriter, r *http.Request)
	// admin makes changes beside the client.
	admin *btadmin.Admin
}

func start(t *testing.T) *deployment {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	d := &deployment{admin: &btadmin.Admin{Store: btmemstore.New(), Config: btconfig.New(), Timer: timers}}
	api := (&btadmin.Handler{Admin: d.admin, KeyHashes: [][sha256.Size]byte{sha256.Sum256([]byte(operatorKey))}}).Mux()
	addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			api.ServeHTTP(w, r)
			return
		}
		d.writes.Add(1)
		if d.fault != nil {
			d.fault(api, w, r)
			return
		}
		api.ServeHTTP(w, r)
	}))
	d.Client = &Client{Admins: []netip.AddrPort{addr}, Key: operatorKey, Timer: timers}
	return d
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// closed returns a loopback address that refuses connections.
func closed(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func domain(state bramleytack.DomainState) btrecord.Record {
	return btrecord.FailureDomains.New(bramleytack.FailureDomain{Name: "qld-a", Region: "qld", State: state})
}

// loseAnswer lets a write take effect and drops its answer.
func loseAnswer(api http.Handler, _ http.ResponseWriter, r *http.Request) {
	api.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

// Guards against a write that is repeated or reported wrongly after its answer
// was lost.
func TestLostAnswer(t *testing.T) {
	dropWrite := func(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name  string
		fault func(d *deployment) func(http.Handler, http.ResponseWriter, *http.Request)
		// stored is the expected state, lost whether the outcome is unknown.
		stored bramleytack.DomainState
		lost   bool
	}{
		{"the write took effect", func(*deployment) func(http.Handler, http.ResponseWriter, *http.Request) { return loseAnswer }, bramleytack.DomainOut, false},
		{"the write had no effect", func(*deployment) func(http.Handler, http.ResponseWriter, *http.Request) { return dropWrite }, bramleytack.DomainActive, true},
		{"another change followed", func(d *deployment) func(http.Handler, http.ResponseWriter, *http.Request) {
			return func(api http.Handler, w http.ResponseWriter, r *http.Request) {
				api.ServeHTTP(httptest.NewRecorder(), r)
				_, err := d.admin.Return(r.Context(), "qld-a")
				assert.Check(t, err)
				dropWrite(api, w, r)
			}
		}, bramleytack.DomainActive, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := start(t)
			v, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
			assert.NilError(t, err)
			d.writes.Store(0)
			d.fault = c.fault(d)
			_, err = d.Put(t.Context(), domain(bramleytack.DomainOut), v)
			var lost *LostError
			assert.Equal(t, errors.As(err, &lost), c.lost, "%v", err)
			if c.lost {
				assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.Unknown)
				assert.Equal(t, len(lost.Differences), 1)
			}
			assert.Equal(t, d.writes.Load(), int32(1))
			stored, err := d.Get(t.Context(), domainKey)
			assert.NilError(t, err)
			value, _ := btrecord.FailureDomains.Value(stored.Record)
			assert.Equal(t, value.State, c.stored)
		})
	}
	t.Run("a deletion took effect", func(t *testing.T) {
		d := start(t)
		v, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
		assert.NilError(t, err)
		d.fault = loseAnswer
		_, err = d.Delete(t.Context(), domainKey, v)
		assert.NilError(t, err)
	})
}

// Guards against a client that gives up at the first address, and against one
// that moves on although the write may have run.
func TestAddresses(t *testing.T) {
	t.Run("an address that refuses is passed over", func(t *testing.T) {
		d := start(t)
		d.Admins = append([]netip.AddrPort{closed(t)}, d.Admins...)
		_, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
		assert.NilError(t, err)
		_, err = d.Get(t.Context(), domainKey)
		assert.NilError(t, err)
	})
	t.Run("a daemon that did not write is passed over", func(t *testing.T) {
		d := start(t)
		busy := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"error":{"code":"storeUnavailable","message":"down","outcome":"notRun"}}`)
		}))
		d.Admins = append([]netip.AddrPort{busy}, d.Admins...)
		_, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
		assert.NilError(t, err)
	})
	t.Run("a lost answer ends the write", func(t *testing.T) {
		d := start(t)
		silent := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		d.Admins = append([]netip.AddrPort{silent}, d.Admins...)
		_, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.Unknown)
		assert.Equal(t, d.writes.Load(), int32(0))
	})
	t.Run("no address answers", func(t *testing.T) {
		d := start(t)
		d.Admins = []netip.AddrPort{closed(t)}
		_, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
		assert.Equal(t, bramleytack.OutcomeOf(err), bramleytack.NotRun)
	})
}

// Guards against a drain that gives up, or drops another operator's change, on
// a conflict.
func TestDrain(t *testing.T) {
	d := start(t)
	_, err := d.Put(t.Context(), domain(bramleytack.DomainActive), 0)
	assert.NilError(t, err)
	d.writes.Store(0)
	d.fault = func(api http.Handler, w http.ResponseWriter, r *http.Request) {
		if d.writes.Load() == 1 {
			_, err := d.admin.Modify(context.WithoutCancel(r.Context()), domainKey, func(r btrecord.Record) (btrecord.Record, error) {
				r = r.Clone()
				r.Spec["note"] = "cable work"
				return r, nil
			})
			assert.Check(t, err)
		}
		api.ServeHTTP(w, r)
	}
	_, err = d.Drain(t.Context(), "qld-a")
	assert.NilError(t, err)
	assert.Equal(t, d.writes.Load(), int32(2))
	stored, err := d.Get(t.Context(), domainKey)
	assert.NilError(t, err)
	assert.Equal(t, stored.Record.Spec["state"], "out")
	assert.Equal(t, stored.Record.Spec["note"], "cable work")
}

// Guards against a wait that ends before every daemon has the revision, also
// when a stale report or a silent address stands beside a current one.
func TestWait(t *testing.T) {
	report := func(s string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"daemons":[`+s+`]}`) })
	}
	one := `{"host":"h1","config":{"revision":7},"views":3}`
	cases := []struct {
		name   string
		addrs  []netip.AddrPort
		behind string
	}{
		{"all are current", []netip.AddrPort{serve(t, report(one))}, ""},
		{"a stale report", []netip.AddrPort{serve(t, report(one)), serve(t, report(`{"host":"h1","config":{"revision":6}}`))}, "h1"},
		{"another daemon is behind", []netip.AddrPort{serve(t, report(one+`,{"host":"h2","config":{"revision":1}}`))}, "h2"},
	}
	timers := bttimer.New(1)
	defer timers.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := &Client{Admins: c.addrs, Timer: timers}
			behind := client.Wait(t.Context(), 7, time.Millisecond)
			if c.behind == "" {
				assert.Assert(t, behind.None())
				return
			}
			assert.Equal(t, len(behind.Daemons), 1)
			assert.Equal(t, string(behind.Daemons[0].Host), c.behind)
		})
	}
	t.Run("a silent address", func(t *testing.T) {
		client := &Client{Admins: []netip.AddrPort{closed(t)}, Timer: timers}
		assert.Equal(t, len(client.Wait(t.Context(), 0, 0).Failures), 1)
	})
}
