package btdaemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bramleytack"
	"bramleytack/btcert"
	"bramleytack/btevent"
	"bramleytack/btidentity"
	"bramleytack/btpeer"
	"bramleytack/btsettings"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
	"bramleytack/internal/btplatform"
)

// startTimeout is how long a daemon may take to start on a busy machine.
const startTimeout = 30 * time.Second

// Guards against a daemon that counts as isolated for lack of peers, and against
// one that stays ready when it reaches neither the store nor a peer.
func TestIsolation(t *testing.T) {
	store := btmemstore.New()
	_, err := store.Put(t.Context(), bramleytack.Object{
		Key:  bramleytack.Key{Kind: "workspace", Name: "w"},
		Data: []byte(`{"kind":"workspace","schemaVersion":2,"name":"w","spec":{"keyHashes":["` + btidentity.HashKey("key") + `"]}}`),
	}, 0)
	assert.NilError(t, err)
	d := startDaemon(t, store)
	waitFor(t, "readiness", d.Ready)
	assert.Assert(t, !d.isolated())
	store.SetFault(btmemstore.Fault{Down: true})
	waitFor(t, "isolation", d.isolated)
	assert.Assert(t, !d.Ready())
	store.SetFault(btmemstore.Fault{})
	waitFor(t, "readiness after the outage", d.Ready)
}

// Guards against state or metrics missing on the admin address, and against a
// status without a key.
func TestAdminAddress(t *testing.T) {
	d := startDaemon(t, btmemstore.New())
	admin := httptest.NewServer(d.adminMux())
	defer admin.Close()
	for path, want := range map[string]string{
		"/debug/state": `"lease"`, "/debug/state?part=links": `"links"`, "/metrics": "bramleytack_config_revision",
	} {
		resp, err := http.Get(admin.URL + path)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Assert(t, strings.Contains(string(body), want), "%s: %s", path, body)
	}
	resp, err := http.Get(admin.URL + "/admin/v1/status")
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
}

// Guards against daemons that join a cell with a certificate of another authority
// or of another host, and against a start with an unusable key.
func TestMutualTLS(t *testing.T) {
	platform := startPlatform(t, btmemstore.New())
	dir, foreignDir := t.TempDir(), t.TempDir()
	authority := writeAuthority(t, dir)
	daemons := map[bramleytack.HostID]*Daemon{}
	for _, host := range []bramleytack.HostID{"a-1", "a-2"} {
		daemons[host] = runDaemon(t, withTLS(t, platform, host, host, dir, authority))
	}
	for host, d := range daemons {
		waitFor(t, "view of both hosts at "+string(host), func() bool { return d.memberCount() == 2 })
	}
	foreign := runDaemon(t, withTLS(t, platform, "b-1", "b-1", foreignDir, writeAuthority(t, foreignDir)))
	impostor := runDaemon(t, withTLS(t, platform, "c-1", "a-2", dir, authority))
	waitFor(t, "dials by a daemon of another authority", func() bool { return dialAttempts(foreign) >= 3 })
	waitFor(t, "dials by a daemon with another host's certificate", func() bool { return dialAttempts(impostor) >= 1 })
	// Several heartbeats and views fit into this time.
	time.Sleep(3 * time.Second)
	assert.Equal(t, daemons["a-1"].memberCount(), 2)
	s := withTLS(t, platform, "d-1", "d-1", dir, authority)
	s.PeerTLS.Key = s.PeerTLS.Certificate
	_, err := New(s, &btevent.Logger{})
	assert.Assert(t, err != nil)
}

// dialAttempts returns how often a daemon has dialed any peer.
func dialAttempts(d *Daemon) int {
	n := 0
	for _, l := range d.cluster.node.Dump().(btpeer.State).Links {
		n += l.Dialed + l.FailedDials
	}
	return n
}

func writeAuthority(t *testing.T, dir string) *btcert.Authority {
	t.Helper()
	a, err := btcert.NewAuthority("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "authority.pem"), a.Pair.Certificate, 0o600))
	return a
}

// withTLS returns settings of a host whose certificate is issued for name.
func withTLS(t *testing.T, platform netip.AddrPort, host, name bramleytack.HostID, dir string, a *btcert.Authority) btsettings.Settings {
	t.Helper()
	pair, err := a.Issue(name, time.Now(), time.Hour)
	assert.NilError(t, err)
	s := testSettings(t, platform, host)
	s.PeerTLS = btsettings.PeerTLS{
		Certificate: filepath.Join(dir, string(host)+".pem"),
		Key:         filepath.Join(dir, string(host)+"-key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	assert.NilError(t, os.WriteFile(s.PeerTLS.Certificate, pair.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(s.PeerTLS.Key, pair.Key, 0o600))
	return s
}

func startPlatform(t *testing.T, store *btmemstore.Store) netip.AddrPort {
	t.Helper()
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	platform := httptest.NewServer(btplatform.NewServer(btplatform.Options{}, store, timers).Handler())
	t.Cleanup(platform.CloseClientConnections)
	return netip.MustParseAddrPort(strings.TrimPrefix(platform.URL, "http://"))
}

func testSettings(t *testing.T, platform netip.AddrPort, host bramleytack.HostID) btsettings.Settings {
	t.Helper()
	s := btsettings.Defaults()
	s.Host, s.Region, s.FailureDomain, s.Cell = host, "r", "a", "c"
	s.Listen, s.AdminListen, s.PeerListen = freeAddr(t), freeAddr(t), freeAddr(t)
	s.Platform = platform
	s.PeerTLS.Plain = true
	s.EntriesValidFor = time.Millisecond
	s.DrainTimeout = time.Second
	return s
}

func startDaemon(t *testing.T, store *btmemstore.Store) *Daemon {
	t.Helper()
	return runDaemon(t, testSettings(t, startPlatform(t, store), "a-1"))
}

func runDaemon(t *testing.T, s btsettings.Settings) *Daemon {
	t.Helper()
	d, err := New(s, &btevent.Logger{})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	return d
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("no %s yet", what)
	}, poll.WithTimeout(startTimeout))
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}
