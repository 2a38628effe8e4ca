package btplatform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/bthttptest"
	"bramleytack/internal/btmemstore"
)

func newServer(t *testing.T, opts Options) (*Server, *btmemstore.Store) {
	timers := bttimer.New(1)
	t.Cleanup(timers.Close)
	store := btmemstore.New()
	return NewServer(opts, store, timers), store
}

// write sends a write with version and change id. Its status is 0 if the
// connection was closed.
func write(h http.Handler, method, path, version, body string) (status int, answer string) {
	w := bthttptest.Call(h, bthttptest.Request(context.Background(), method, path, body, "If-Match", version, ChangeIDHeader, "c"+version))
	if w.Aborted {
		return 0, ""
	}
	return w.Code, strings.TrimSpace(w.Body.String())
}

func get(h http.Handler, path string) (int, string) { return write(h, http.MethodGet, path, "", "") }

// Guards against an object API whose answers differ from the protocol.
func TestObjects(t *testing.T) {
	s, _ := newServer(t, Options{})
	h := s.Handler()
	large := `"` + strings.Repeat("x", bramleytack.MaxObjectBytes) + `"`
	for _, test := range []struct {
		method, path, version, body string
		status                      int
		answer                      string
	}{
		{"GET", "/objects/k/n", "", "", http.StatusNotFound, ""},
		{"PUT", "/objects/k/n", "", `1`, http.StatusBadRequest, ""},
		{"PUT", "/objects/k/n", "0", `{"a":`, http.StatusBadRequest, ""},
		{"PUT", "/objects/k/n", "0", ``, http.StatusBadRequest, ""},
		{"PUT", "/objects/k/n", "0", `1 2`, http.StatusBadRequest, ""},
		{"PUT", "/objects/k/n", "0", large, http.StatusRequestEntityTooLarge, ""},
		{"PUT", "/objects/k/n", "0", `{"a": "<"}`, http.StatusOK, `{"version":1}`},
		{"PUT", "/objects/k/n", "0", `2`, http.StatusPreconditionFailed, ""},
		{"GET", "/objects/k/n", "", "", http.StatusOK, `{"kind":"k","name":"n","version":1,"changeId":"c0","data":{"a":"<"}}`},
		{"PUT", "/objects/k/n", `"1"`, `2`, http.StatusOK, `{"version":2}`},
		{"PUT", "/objects/k/a%2Fb", "0", `3`, http.StatusOK, `{"version":3}`},
		{"DELETE", "/objects/k/n", "1", "", http.StatusPreconditionFailed, ""},
		{"DELETE", "/objects/k/n", "2", "", http.StatusOK, `{"version":4}`},
		{"GET", "/objects/k", "", "", http.StatusOK, `{"revision":4,"objects":[{"kind":"k","name":"a/b","version":3,"changeId":"c0","data":3}]}`},
		{"GET", "/objects/none", "", "", http.StatusOK, `{"revision":4,"objects":[]}`},
		{"GET", "/watch/k", "", "", http.StatusBadRequest, ""},
	} {
		status, answer := write(h, test.method, test.path, test.version, test.body)
		assert.Equal(t, status, test.status, "%s %s %s", test.method, test.path, answer)
		if test.answer != "" {
			assert.Equal(t, answer, test.answer)
		}
	}
}

// Guards against faults of the store that do not reach the caller.
func TestStoreFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fault  string
		status int
		takes  bool
	}{
		"down":       {`{"down":true}`, http.StatusServiceUnavailable, false},
		"lost reply": {`{"loseReplies":1}`, 0, true},
		"drop write": {`{"dropWrites":1}`, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, store := newServer(t, Options{})
			h := s.Handler()
			status, answer := write(h, "PUT", "/debug/store", "", test.fault)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, answer, test.fault)
			status, _ = write(h, "PUT", "/objects/k/n", "0", `1`)
			assert.Equal(t, status, test.status)
			assert.Equal(t, store.Revision() == 1, test.takes)
			status, _ = write(h, "PUT", "/debug/store", "", `{"donw":true}`)
			assert.Equal(t, status, http.StatusBadRequest)
		})
	}
}

// Guards against quotas that do not bound, or that bound the next second too.
func TestQuota(t *testing.T) {
	bthttptest.Fake(t, "fake time", func(t *testing.T, timers *bttimer.Service) {
		s := NewServer(Options{ReadsPerSecond: 3, WritesPerSecond: 1}, btmemstore.New(), timers)
		h := s.Handler()
		allowed := func(n int) (ok int) {
			for range n {
				if status, _ := get(h, "/objects/k"); status == http.StatusOK {
					ok++
				}
			}
			return ok
		}
		assert.Equal(t, allowed(5), 3)
		status, _ := write(h, "PUT", "/objects/k/n", "0", `1`)
		assert.Equal(t, status, http.StatusOK)
		status, _ = write(h, "PUT", "/objects/k/n", "1", `1`)
		assert.Equal(t, status, http.StatusTooManyRequests)
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "GET", "/watch/k?after=0", nil))
		synctest.Wait()
		assert.Equal(t, allowed(5), 2)
		time.Sleep(time.Second)
		assert.Equal(t, allowed(5), 2)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		assert.Equal(t, allowed(5), 3)
		assert.Equal(t, s.Counts().RefusedWrites, 1)
	})
}

// Guards against a host list that shows changes before its lag.
func TestHosts(t *testing.T) {
	bthttptest.Fake(t, "fake time", func(t *testing.T, timers *bttimer.Service) {
		s := NewServer(Options{HostLag: 2 * time.Second}, btmemstore.New(), timers)
		h := s.Handler()
		hosts := func() Hosts {
			return bthttptest.Decode[Hosts](t, bthttptest.Call(h, bthttptest.Request(t.Context(), "GET", "/hosts", "")))
		}
		status, _ := write(h, "PUT", "/debug/hosts", "", `{"hosts":[{"addr":"127.0.0.1","leaving":true}]}`)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(2*time.Second - 1)
		assert.Equal(t, len(hosts().Hosts), 0)
		time.Sleep(1)
		assert.Equal(t, hosts().Hosts[0], Host{Addr: netip.MustParseAddr("127.0.0.1"), Leaving: true})
	})
}

// lines collects the lines of a watch while its handler runs.
type lines struct {
	*httptest.ResponseRecorder
	mu sync.Mutex
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ResponseRecorder.Write(p)
}

func (l *lines) take(t *testing.T) (list []WatchLine) {
	t.Helper()
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := bufio.NewScanner(bytes.NewReader(l.Body.Bytes())); s.Scan(); {
		var line WatchLine
		assert.NilError(t, json.Unmarshal(s.Bytes(), &line))
		list = append(list, line)
	}
	l.Body.Reset()
	return list
}

// Guards against watches that lose changes, send no tombstones or heartbeats,
// or are not silent when they must be.
func TestWatch(t *testing.T) {
	bthttptest.Fake(t, "fake time", func(t *testing.T, timers *bttimer.Service) {
		store := btmemstore.New()
		s := NewServer(Options{}, store, timers)
		h := s.Handler()
		write(h, "PUT", "/objects/k/n", "0", `1`)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := &lines{ResponseRecorder: httptest.NewRecorder()}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, "GET", "/watch/k?after=0", nil))
		}()
		list := w.take(t)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, string(list[0].Object.Data), "1")
		write(h, "PUT", "/objects/other/n", "0", `1`)
		write(h, "DELETE", "/objects/k/n", "1", "")
		list = w.take(t)
		assert.Equal(t, len(list), 1)
		assert.Assert(t, list[0].Object.Deleted)
		time.Sleep(3 * time.Second)
		list = w.take(t)
		assert.Equal(t, len(list), 3)
		assert.DeepEqual(t, list[2], WatchLine{Heartbeat: true, Revision: 3})
		store.SetFault(btmemstore.Fault{SilentWatches: true})
		write(h, "PUT", "/objects/k/n", "0", `2`)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(w.take(t)), 0)
		store.SetFault(btmemstore.Fault{})
		assert.Equal(t, w.take(t)[0].Object.Version, bramleytack.Revision(4))
		store.SetFault(btmemstore.Fault{Down: true})
		<-ended
	})
}

// Guards against a lost reply that the caller's HTTP client takes for an answer.
func TestLostReplyOverHTTP(t *testing.T) {
	s, store := newServer(t, Options{})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	store.SetFault(btmemstore.Fault{LoseReplies: 1})
	r, err := http.NewRequestWithContext(t.Context(), "PUT", srv.URL+"/objects/k/n", strings.NewReader(`1`))
	assert.NilError(t, err)
	r.Header.Set("If-Match", "0")
	_, err = srv.Client().Do(r)
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, store.Revision(), bramleytack.Revision(1))
}

func FuzzDecodeWrite(f *testing.F) {
	f.Add([]byte(`{"kind":"k","name":"n","data":{"a": [1, 2]}}`), `"12"`)
	f.Add([]byte(`null`), "-1")
	f.Fuzz(func(t *testing.T, data []byte, version string) {
		if v, err := ParseVersion(version); err != nil {
			assert.Equal(t, v, bramleytack.Revision(0))
		}
		key := bramleytack.Key{Kind: "k", Name: "n"}
		o, err := DecodeWrite(bytes.NewReader(data), key)
		if err != nil {
			return
		}
		assert.Equal(t, o.Key, key)
		assert.Assert(t, json.Valid(o.Data) && len(o.Data) <= bramleytack.MaxObjectBytes)
	})
}
