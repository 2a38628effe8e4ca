package btnode

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"bramleytack"
	"bramleytack/btdump"
	"bramleytack/btevent"
	"bramleytack/btretry"
	"bramleytack/bttimer"
	"bramleytack/internal/fleet/btdirectory"
	"bramleytack/internal/fleet/btgossip"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btforecast"
	"bramleytack/internal/serve/btentry"
	"bramleytack/internal/upstream/btconn"
)

const (
	// logLines is the number of log lines that wait for a slow reader. Later
	// ones are dropped and counted.
	logLines = 2048
	// memoryShare is the share of the process's memory that the collector aims
	// to stay under.
	memoryShare = 0.6
	// gcPercent trades processor time for memory, which is the dearer here.
	gcPercent = 60
	// headerTimeout and idleTimeout bound slow and idle callers. They lie above
	// the limits of every configuration so far, which callers rely on.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// budgetShare keeps the repeats of all daemons together under the bound
	// while their views of each other differ.
	budgetShare = 0.7
	// housekeeping is the period of the checks that no event starts.
	housekeeping = 250 * time.Millisecond
	// joinUpstreams joins the registrations that change together, such as those
	// of upstreams that leave on one notice.
	joinUpstreams = 60 * time.Millisecond
	// leaveFor is how long a daemon serves callers after it left the directory.
	// Callers may keep an answer three times as long as it is valid.
	leaveFor = 4 * time.Second
	// killMargin is left before the platform kills the process.
	killMargin = 400 * time.Millisecond
)

// Adapter is the platform as the daemon sees it.
type Adapter struct {
	Feed     bramleytack.Feed
	Registry bramleytack.Registry
	Codec    bramleytack.CatalogCodec
	Dialect  bramleytack.FleetDialect
	// Engines returns the calls of engines over a pool.
	Engines func(pool *btconn.Pool) Engines
	// EncodeAddrs writes a directory answer.
	EncodeAddrs btdirectory.Encoder
	// Calls returns the number of calls to the store.
	Calls func() uint64
}

// Engines are the calls of model engines that are no requests of callers.
type Engines interface {
	bramleytack.EngineMover
	bramleytack.EngineReporter
}

// Node is one daemon.
type Node struct {
	settings Settings
	adapter  Adapter
	timer    *bttimer.Service
	log      *btevent.Logger
	logs     diode.Writer
	dropped  atomic.Int64
	table    *btreplica.Table
	contact  btreplica.StoreStatus
	accounts *btaccount.Table
	gossip   *btgossip.Node
	pool     *btconn.Pool
	engines  Engines
	handler  *btentry.Handler
	dump     btdump.Registry
	registry *prometheus.Registry
	leaving  atomic.Bool
	resync   btreplica.Resync
}

// New returns a daemon. It opens no connection.
func New(s Settings, a Adapter, logs io.Writer) *Node {
	n := &Node{settings: s, adapter: a, timer: bttimer.New(uint64(time.Now().UnixNano()))}
	n.logs = diode.NewWriter(logs, logLines, 0, func(missed int) { n.dropped.Add(int64(missed)) })
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	n.log = btevent.New(n.logs, zerolog.InfoLevel, s.Host)
	n.table = btreplica.NewTable(a.Codec, n.timer, n.log)
	n.pool = &btconn.Pool{}
	n.engines = a.Engines(n.pool)
	n.registry = prometheus.NewRegistry()
	n.accounts = &btaccount.Table{Timer: n.timer, Domain: s.FailureDomain, Log: n.log}
	n.gossip = btgossip.New(&btgossip.Node{
		Self: btgossip.Self{
			Host: s.Host, Addr: s.Addr, FailureDomain: s.FailureDomain,
			Port: s.Peer.Port(), Incarnation: uint64(time.Now().UnixMilli()),
		},
		Table: n.table, Accounts: n.accounts, StoreStatus: &n.contact, Timer: n.timer, Log: n.log,
		Ready: n.Ready, Leaving: n.leaving.Load, Seeds: addrsOf(s.Seeds),
	})
	n.contact.OnDown = n.gossip.Announce
	n.accounts.Daemons = n.gossip.Count
	n.accounts.Changed = n.gossip.LoadChanged
	n.handler = &btentry.Handler{
		Table: n.table, Accounts: n.accounts, Pool: n.pool, Dialect: a.Dialect, Mover: n.engines,
		Timer: n.timer, Log: n.log, Metrics: btentry.NewMetrics(n.registry), Leaving: n.leaving.Load,
		Lengths: btforecast.New(n.timer),
		Budget: &btretry.Budget{
			Timer: n.timer, Ratio: budgetShare * s.Bounds.RetryRatio,
			Minimum:   budgetShare * s.Bounds.RetrySlack / max(s.Bounds.RetryWindow.Seconds(), 1),
			Burst:     budgetShare * s.Bounds.RetrySlack,
			Processes: n.gossip.Count,
		},
	}
	n.observe()
	return n
}

func addrsOf(list []netip.AddrPort) []netip.Addr {
	out := make([]netip.Addr, len(list))
	for i, a := range list {
		out[i] = a.Addr()
	}
	return out
}

// observe registers metrics and the parts of the state dump.
func (n *Node) observe() {
	n.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_store_calls_total", Help: "Calls to the store."}, func() float64 { return float64(n.adapter.Calls()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_upstream_connections_total", Help: "Connections opened to upstreams."}, func() float64 { return float64(n.pool.Opened.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_log_lines_dropped_total", Help: "Log lines dropped because of a slow reader."}, func() float64 { return float64(n.dropped.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_peers_alive", Help: "Other daemons that are alive."}, func() float64 { return float64(len(n.gossip.Alive())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_requests_active", Help: "Requests being served."}, func() float64 { return float64(n.handler.Active()) }),
	)
	n.dump.Add("peers", func() any { return n.gossip.Alive() })
	n.dump.Add("loads", func() any { return n.accounts.OwnLoads() })
	n.dump.Add("snapshot", func() any { return n.table.Snapshot() })
}

// Ready says whether callers should connect to this daemon.
func (n *Node) Ready() bool {
	s := n.table.Snapshot()
	return s != nil && len(s.Upstreams) > 0 && !n.leaving.Load()
}

// Run serves until the context ends, and then until callers have left.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if n.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryBytes)))
	}
	defer n.logs.Close()
	n.log.Event(btevent.ProcessStarted).Str("domain", string(n.settings.FailureDomain)).
		Stringer("entry", n.settings.Entry).Uint64("incarnation", n.gossip.Self.Incarnation).Send()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := n.start(inner); err != nil {
		n.log.Event(btevent.ProcessFailed).Err(err).Send()
		return err
	}
	go n.loop(inner)
	<-ctx.Done()
	n.drain()
	n.log.Event(btevent.ProcessStopped).Int("active", n.handler.Active()).Int64("logLinesDropped", n.dropped.Load()).Send()
	return nil
}

// start opens all listeners and starts the daemon's parts.
func (n *Node) start(ctx context.Context) error {
	packets, err := net.ListenPacket("udp4", n.settings.Peer.String())
	if err != nil {
		return errors.Wrap(err, "btnode: peer address")
	}
	pulls, err := net.Listen("tcp4", n.settings.Peer.String())
	if err != nil {
		return errors.Wrap(err, "btnode: peer address")
	}
	n.gossip.Start(ctx, packets, pulls)
	n.follow(ctx)
	mux := n.infoMux()
	for _, s := range []struct {
		addr    netip.AddrPort
		handler http.Handler
	}{{n.settings.Entry, n.handler}, {n.settings.Ready, mux}, {n.settings.Directory, mux}, {n.settings.Control, mux}, {n.settings.Metrics, mux}} {
		if !s.addr.IsValid() {
			continue
		}
		l, err := net.Listen("tcp4", s.addr.String())
		if err != nil {
			return errors.Wrapf(err, "btnode: listen on %s", s.addr)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: nil}
		go (&listener{node: n, server: server, l: l}).run()
	}
	return nil
}

// listener serves one address.
type listener struct {
	node   *Node
	server *http.Server
	l      net.Listener
}

func (l *listener) run() {
	err := l.server.Serve(l.l)
	l.node.log.Event(btevent.ProcessFailed).Stringer("addr", l.l.Addr()).Err(err).Send()
}

// infoMux serves readiness, the directory, metrics and the state dump.
func (n *Node) infoMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.adapter.Dialect.ReadyPath, n.serveReady)
	mux.Handle("GET "+n.adapter.Dialect.ResolvePath, &btdirectory.Handler{
		Peers: n.gossip.Alive, Entry: n.settings.Entry, Ready: n.Ready, Encode: n.adapter.EncodeAddrs,
		MaxValidity: n.settings.Bounds.DirectoryValidity, Log: n.log,
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.Handle("GET /debug/state", &n.dump)
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// follow starts the watchers of the store.
func (n *Node) follow(ctx context.Context) {
	for _, kind := range bramleytack.ReplicatedKinds {
		w := &btreplica.Watcher{
			Feed: n.adapter.Feed, Table: n.table, Timer: n.timer, Log: n.log, Kind: kind,
			Active: n.gossip.Follows, StoreDownCount: n.gossip.StoreDownCount, StoreStatus: &n.contact, Resync: &n.resync,
		}
		if kind == bramleytack.KindUpstreams {
			w.Pause = joinUpstreams
		}
		go w.Run(ctx)
	}
	go (&registration{node: n}).run(ctx)
	go (&notices{node: n}).run(ctx)
}

// loop does what no event starts.
func (n *Node) loop(ctx context.Context) {
	tick := n.timer.Every(housekeeping, 0)
	defer tick.Stop()
	clock := newSuspendClock()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		if away := clock.suspended(); away > 0 {
			n.log.Event(btevent.ProcessSuspended).Dur("away", away).Send()
			n.wake()
		}
		n.table.Expire()
		if s := n.table.Snapshot(); s != nil {
			n.accounts.Retain(s, n.aliveHosts())
		}
	}
}

func (n *Node) aliveHosts() map[bramleytack.HostID]bool {
	alive := map[bramleytack.HostID]bool{}
	for _, p := range n.gossip.Alive() {
		alive[p.Host] = true
	}
	return alive
}

// wake drops what was believed before a suspension.
func (n *Node) wake() {
	n.pool.DropAll()
	n.gossip.ResetLiveness()
	n.resync.All(nil)
}

// drain serves on until callers have learned of the leaving.
func (n *Node) drain() {
	n.leaving.Store(true)
	n.gossip.TriggerDigest()
	n.log.Event(btevent.ProcessDraining).Int("active", n.handler.Active()).Send()
	started := n.timer.Now()
	limit := max(n.settings.Bounds.Grace-killMargin, 0)
	for {
		spent := n.timer.Now().Sub(started)
		if spent >= limit || spent >= leaveFor && n.handler.Active() == 0 {
			return
		}
		if n.timer.Sleep(context.Background(), min(housekeeping, limit-spent)) != nil {
			return
		}
	}
}
