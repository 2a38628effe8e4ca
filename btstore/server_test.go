package btstore_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btstore"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
)

// platform serves the object API over in-memory connections, which work with
// the fake clock of synctest.
type platform struct {
	*btmemstore.Store
	conns chan net.Conn
	dials atomic.Int64
	done  chan struct{}
	// beforeCall, if set, runs before each call.
	beforeCall func(*http.Request)
	// beforeLoss, if set, runs between a write and the loss of its response.
	beforeLoss func()
}

func newPlatform(t *testing.T) *platform {
	p := &platform{Store: btmemstore.New(), conns: make(chan net.Conn), done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	mux.HandleFunc("GET /objects/{kind}", p.list)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.delete)
	mux.HandleFunc("GET /watch/{kind}", p.watch)
	mux.HandleFunc("GET /hosts", p.hosts)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.beforeCall != nil {
			p.beforeCall(r)
		}
		mux.ServeHTTP(w, r)
	})}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.Serve(p)
	}()
	t.Cleanup(func() {
		assert.Check(t, s.Close())
		<-stopped
	})
	return p
}

func (p *platform) client(t *testing.T) *btstore.Client {
	timers := bttimer.New(1)
	c, err := btstore.New(btstore.Config{URL: "http://platform", Timer: timers, Dial: p.dial, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		timers.Close()
	})
	return c
}

func (p *platform) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		p.dials.Add(1)
		return client, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *platform) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *platform) Close() error {
	close(p.done)
	return nil
}

// Addr implements net.Listener.
func (p *platform) Addr() net.Addr { return &net.UnixAddr{Name: "platform"} }

func pathKey(r *http.Request) bramleytack.Key {
	return bramleytack.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func expectedVersion(r *http.Request) bramleytack.Revision {
	v, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	return bramleytack.Revision(v)
}

func encodeObject(o bramleytack.Object) map[string]any {
	return map[string]any{
		"kind": o.Kind, "name": o.Name, "version": o.Version, "changeId": o.ChangeID,
		"deleted": o.Deleted, "data": json.RawMessage(o.Data),
	}
}

func (p *platform) respond(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, bramleytack.ErrStoreUnknown):
		if p.beforeLoss != nil {
			p.beforeLoss()
		}
		panic(http.ErrAbortHandler)
	case errors.Is(err, bramleytack.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, bramleytack.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.Get(r.Context(), pathKey(r))
	p.respond(w, encodeObject(o), err)
}

func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	list, rev, err := p.List(r.Context(), pathKey(r).Kind)
	objects := []any{}
	for _, o := range list {
		objects = append(objects, encodeObject(o))
	}
	p.respond(w, map[string]any{"revision": rev, "objects": objects}, err)
}

func (p *platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o := bramleytack.Object{Key: pathKey(r), ChangeID: r.Header.Get("Bramleytack-Change-Id"), Data: data}
	v, err := p.Put(r.Context(), o, expectedVersion(r))
	p.respond(w, map[string]any{"version": v}, err)
}

func (p *platform) delete(w http.ResponseWriter, r *http.Request) {
	v, err := p.Delete(r.Context(), pathKey(r), expectedVersion(r))
	p.respond(w, map[string]any{"version": v}, err)
}

func (p *platform) hosts(w http.ResponseWriter, r *http.Request) {
	l, err := p.Hosts(r.Context())
	hosts := []any{}
	for _, h := range l.Hosts {
		hosts = append(hosts, map[string]any{"addr": h.Addr, "leaving": h.Leaving})
	}
	p.respond(w, map[string]any{"at": l.At, "hosts": hosts}, err)
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	changes, err := p.Watch(r.Context(), pathKey(r).Kind, bramleytack.Revision(after))
	if err != nil {
		p.respond(w, nil, err)
		return
	}
	w.WriteHeader(http.StatusOK)
	for r.Context().Err() == nil {
		_ = http.NewResponseController(w).Flush()
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		o, err := changes.Next(ctx)
		cancel()
		switch {
		case err == nil:
			_ = json.NewEncoder(w).Encode(map[string]any{"object": encodeObject(o)})
		case !p.Fault().SilentWatches:
			_ = json.NewEncoder(w).Encode(map[string]any{"heartbeat": true, "revision": p.Revision()})
		}
	}
}
