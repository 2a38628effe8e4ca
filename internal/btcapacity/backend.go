package btcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemstore"
	"bramleytack/internal/btplatform"
)

// shutdownTimeout bounds the end of the backend's servers.
const shutdownTimeout = time.Second

// Backend simulates the platform and the upstreams' load reports, and writes
// the configuration changes of a scenario.
type Backend struct {
	scenario Scenario
	timers   *bttimer.Service
	store    *btmemstore.Store
	servers  []*http.Server
	versions map[int]bramleytack.Revision
	clients  *clients
	wg       sync.WaitGroup
}

// RunBackend serves until the context ends. It calls ready when all addresses
// answer.
func RunBackend(ctx context.Context, s Scenario, ready func()) error {
	b := &Backend{scenario: s, timers: bttimer.New(1), store: btmemstore.New(), versions: map[int]bramleytack.Revision{}, clients: newClients()}
	defer b.timers.Close()
	if err := b.fill(ctx); err != nil {
		return err
	}
	defer b.close()
	platform := btplatform.NewServer(btplatform.Options{}, b.store, b.timers)
	if err := b.serve(platformAddr, platform.Handler()); err != nil {
		return err
	}
	if err := b.serve(backendAddr, b.control(ctx)); err != nil {
		return err
	}
	engine := http.NewServeMux()
	engine.HandleFunc("GET /v1/load", b.report)
	engine.HandleFunc("POST /v1/generations", b.generate)
	for i := range s.Upstreams {
		if err := b.serve(upstreamAddr(i), engine); err != nil {
			return err
		}
	}
	ready()
	return b.change(ctx)
}

func (b *Backend) fill(ctx context.Context) error {
	objects, err := b.scenario.Objects()
	if err != nil {
		return err
	}
	first := len(objects) - b.scenario.Workspaces
	for i, o := range objects {
		v, err := b.store.Put(ctx, o, 0)
		if err != nil {
			return err
		}
		if i >= first {
			b.versions[i-first] = v
		}
	}
	list := bramleytack.HostList{At: b.timers.Now()}
	for i := range b.scenario.Hosts {
		list.Hosts = append(list.Hosts, bramleytack.HostState{Addr: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})})
	}
	b.store.SetHosts(list)
	return nil
}

func (b *Backend) serve(addr netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "btcapacity: listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	b.servers = append(b.servers, s)
	b.wg.Go(func() { _ = s.Serve(l) })
	return nil
}

func (b *Backend) close() {
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.wg.Wait()
}

// report answers like an idle engine.
func (b *Backend) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(bramleytack.LoadReport{
		Instance: "instance-0001", At: b.timers.Now(), MemoryTotal: 1_000_000_000,
		Models: []bramleytack.LoadedModel{{Model: modelName, Version: "3"}},
	})
}

// change writes the scenario's changes until the context ends.
func (b *Backend) change(ctx context.Context) error {
	if b.scenario.Changes == 0 {
		<-ctx.Done()
		return nil
	}
	tick := b.timers.Every(time.Second/time.Duration(b.scenario.Changes), 0)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return nil
		}
		i := n % b.scenario.Workspaces
		o, err := btrecord.Encode(workspaceRecord(i, n%8+1))
		if err != nil {
			return err
		}
		o.ChangeID = fmt.Sprintf("change-%d", n)
		if b.versions[i], err = b.store.Put(ctx, o, b.versions[i]); err != nil && ctx.Err() == nil {
			return err
		}
	}
}
