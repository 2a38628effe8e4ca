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
	"bramleytack/internal/node/btdrain"
	"bramleytack/internal/node/btlistener"
	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btforecast"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/route/btpace"
	"bramleytack/internal/route/btrollout"
	"bramleytack/internal/route/btsuspect"
	"bramleytack/internal/serve/btentry"
	"bramleytack/internal/upstream/btconn"
)

const (
	// logBufferLines is the number of log lines that are buffered for a slow reader.
	// Further lines are dropped and counted.
	logBufferLines = 2048
	// softMemoryShare is the share of Settings.MemoryBytes that is the garbage
	// collector's soft limit.
	softMemoryShare = 0.6
	// keptMemoryShare is the share of Settings.MemoryBytes for data that others sent. Under
	// load the heap has up to three times as much, with garbage and buffers that grow.
	keptMemoryShare = 0.16
	// totalMemoryShare is the share for that data and for the requests together, each
	// counted as requestCost: a request takes about 60 KB, with its connections and
	// goroutines, but leaves less garbage than data does.
	totalMemoryShare = 0.3
	requestCost      = 25 << 10
	// defaultKeptMemory replaces it without a limit on the process.
	defaultKeptMemory = 24 << 20
	// maxRequestHead bounds the head of a caller's request in bytes where the configuration
	// does not.
	maxRequestHead = 64 << 10
	// gcPercent is below Go's default of 100 because memory is scarcer than
	// processor time here.
	gcPercent = 60
	// headerTimeout and idleTimeout limit slow and idle callers where the configuration does
	// not. They exceed the limits in all known configurations, since callers rely on those.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// retryBudgetShare is the share of the retry bounds that the daemons together
	// use. The rest is a margin for times when their views of each other differ.
	retryBudgetShare = 0.7
	// housekeepingPeriod is the period of the checks that no event triggers.
	housekeepingPeriod = 250 * time.Millisecond
	// upstreamsPollPause is the time between two polls of the upstream
	// registrations. Changes that occur together, such as those of upstreams that
	// leave on one notice, then arrive in one response.
	upstreamsPollPause = 60 * time.Millisecond
	// largeUpstreamsPollPause replaces it in a fleet with hubs, in which each answer is
	// sent to hundreds of daemons. Two daemons poll in turns, and termination notices
	// are given more than a second ahead.
	largeUpstreamsPollPause = 200 * time.Millisecond
)

// NewMemory returns the bound of the bytes that a daemon keeps of what others sent.
func NewMemory(s Settings) *btmemory.Budget {
	if s.MemoryBytes <= 0 {
		return &btmemory.Budget{Limit: defaultKeptMemory}
	}
	return &btmemory.Budget{
		Limit: int64(keptMemoryShare * float64(s.MemoryBytes)), Total: int64(totalMemoryShare * float64(s.MemoryBytes)),
		RequestCost: requestCost, ConnCost: connCost,
	}
}

// Adapter holds the implementations that depend on the platform. New needs Engines,
// and Run needs all fields but Memory.
type Adapter struct {
	// Memory is shared with the client of the store. Nil means no bound.
	Memory   *btmemory.Budget
	Feed     bramleytack.Feed
	Registry bramleytack.Registry
	Codec    bramleytack.CatalogCodec
	Dialect  bramleytack.FleetDialect
	// Engines returns a client for engine control that uses pool.
	Engines func(pool *btconn.Pool) Engines
	// EncodeAddrs encodes a directory response.
	EncodeAddrs btdirectory.Encoder
	// Calls returns the number of calls to the store since the start.
	Calls func() uint64
}

// Engines is a client for calls to model engines other than callers' requests.
type Engines interface {
	bramleytack.EngineMover
	bramleytack.EngineReporter
}

// Node is one daemon. New creates it, and Run may be called once.
type Node struct {
	settings    Settings
	adapter     Adapter
	timer       *bttimer.Service
	log         *btevent.Logger
	logs        diode.Writer
	dropped     atomic.Int64
	table       *btreplica.Table
	storeStatus btreplica.StoreStatus
	accounts    *btaccount.Table
	suspects    *btsuspect.Table
	grants      *btgrant.Table
	rollouts    *btrollout.Table
	paces       *btpace.Table
	admission   *btadmission.Controller
	gossip      *btgossip.Node
	pool        *btconn.Pool
	engines     Engines
	handler     *btentry.Handler
	dump        btdump.Registry
	registry    *prometheus.Registry
	leaving     btdrain.Drain
	resync      btreplica.Resync
	// gate bounds the connections and the heads of callers, peerGate the connections of other
	// daemons.
	gate     *btlistener.Gate
	peerGate *btlistener.Gate
	// entry serves callers. It is set by start.
	entry *btdrain.HTTPServer
}

// New returns a daemon that writes its log to logs. It opens no connection.
func New(s Settings, a Adapter, logs io.Writer) *Node {
	n := &Node{settings: s, adapter: a, timer: bttimer.New(uint64(time.Now().UnixNano()))}
	n.logs = diode.NewWriter(logs, logBufferLines, 0, func(dropped int) { n.dropped.Add(int64(dropped)) })
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	n.log = btevent.New(n.logs, zerolog.InfoLevel, s.Host)
	if a.Memory != nil {
		a.Memory.Timer = n.timer
	}
	n.table = btreplica.NewTable(a.Codec, n.timer, n.log)
	n.pool = &btconn.Pool{Memory: a.Memory}
	n.engines = a.Engines(n.pool)
	n.registry = prometheus.NewRegistry()
	n.paces = &btpace.Table{Timer: n.timer}
	n.accounts = &btaccount.Table{Paces: n.paces, Timer: n.timer, Domain: s.FailureDomain, MaxPause: s.Bounds.MaxPause, Log: n.log}
	n.suspects = btsuspect.New(&btsuspect.Table{Timer: n.timer, Log: n.log})
	n.grants = &btgrant.Table{Timer: n.timer, Log: n.log}
	n.rollouts = newRollouts(n)
	n.admission = btadmission.New(n.timer, uint64(time.Now().UnixNano()))
	n.gossip = btgossip.New(&btgossip.Node{
		Self: btgossip.Self{
			Host: s.Host, Addr: s.Addr, FailureDomain: s.FailureDomain,
			Port: s.Peer.Port(), Incarnation: uint64(time.Now().UnixMilli()), Processor: s.ProcessorMillis,
		},
		Table: n.table, Accounts: n.accounts, StoreStatus: &n.storeStatus, Suspects: n.suspects, Grants: n.grants, Admission: n.admission, Rollouts: n.rollouts, Paces: n.paces, Timer: n.timer, Log: n.log,
		Memory: a.Memory, Ready: n.Ready, Leaving: n.isLeaving, Seeds: addrsOf(s.Seeds),
	})
	n.suspects.Share, n.suspects.Elected = n.gossip.ShareSuspicions, n.gossip.Elected
	n.grants.Ask, n.grants.Share, n.grants.Part, n.grants.Daemons = n.gossip.AskGrant, n.gossip.ShareWords, n.gossip.GrantPart, n.gossip.Count
	n.paces.Share = n.gossip.SharePaces
	n.accounts.HeldUntil = n.grants.HeldUntil
	n.connectRollouts()
	n.storeStatus.OnDown, n.storeStatus.PeerReads = n.gossip.Announce, n.gossip.PeerReadsStore
	n.accounts.Daemons = n.gossip.Count
	n.accounts.Changed = n.gossip.LoadChanged
	n.accounts.RemoteLate = n.gossip.HasHubs
	n.admission.Host = s.Host
	n.admission.Alone = n.gossip.DemandUnknown
	n.handler = &btentry.Handler{
		Table: n.table, Accounts: n.accounts, Suspects: n.suspects, Grants: n.grants, Admission: n.admission, Rollouts: n.rollouts, Paces: n.paces, Pool: n.pool, Dialect: a.Dialect, Mover: n.engines,
		Timer: n.timer, Log: n.log, Metrics: btentry.NewMetrics(n.registry), Leaving: n.isLeaving, Accepts: n.leaving.Accepts,
		Lengths: btforecast.New(n.timer), Memory: a.Memory,
		Budget: newBudget(n.timer, s.Bounds, uint64(time.Now().UnixNano()), n.gossip.Count),
	}
	n.handler.ShareLeaving = n.gossip.ShareLeaving
	n.leaving = btdrain.Drain{Timer: n.timer, Grace: s.Bounds.Grace, Active: n.handler.Active, Changed: n.phaseChanged}
	n.handler.FinishAt, n.handler.Finish = n.leaving.FinishAt, n.leaving.Finish()
	n.newGates()
	n.registerMetrics()
	n.registerCallerMetrics()
	return n
}

// newBudget returns a daemon's part of the budget for retries. Within a window a full bucket
// and what is added to it are used, so that each gets half of the slack.
func newBudget(timer bramleytack.Timer, b Bounds, seed uint64, daemons func() int) *btretry.Budget {
	half := retryBudgetShare * b.RetrySlack / 2
	return &btretry.Budget{
		Timer: timer, Ratio: retryBudgetShare * b.RetryRatio, Minimum: half / max(b.RetryWindow.Seconds(), 1), Burst: half, Processes: daemons, Seed: seed,
	}
}

func (n *Node) isLeaving() bool { return n.leaving.Phase() != btdrain.Serving }

func addrsOf(list []netip.AddrPort) []netip.Addr {
	out := make([]netip.Addr, len(list))
	for i, a := range list {
		out[i] = a.Addr()
	}
	return out
}

// registerMetrics registers the metrics and the parts of the state dump.
func (n *Node) registerMetrics() {
	n.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_store_calls_total", Help: "Calls to the store."}, func() float64 { return float64(n.adapter.Calls()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_upstream_connections_total", Help: "Connections opened to upstreams."}, func() float64 { return float64(n.pool.Opened.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_log_lines_dropped_total", Help: "Log lines dropped because of a slow reader."}, func() float64 { return float64(n.dropped.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_peers_alive", Help: "Other daemons that are alive."}, func() float64 { return float64(len(n.gossip.Alive())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_body_bytes", Help: "Bytes that are kept of requests, responses and answers of others."}, func() float64 { return float64(n.adapter.Memory.Kept()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_requests_active", Help: "Requests being served."}, func() float64 { return float64(n.handler.Active()) }),
	)
	for _, c := range btgossip.Causes() {
		labels := prometheus.Labels{"cause": c.String()}
		n.registry.MustRegister(
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_peer_datagrams_total", Help: "Datagrams sent to other daemons.", ConstLabels: labels}, func() float64 { return float64(n.gossip.Traffic.Datagrams(c)) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_peer_bytes_total", Help: "Bytes of datagrams sent to other daemons.", ConstLabels: labels}, func() float64 { all, _ := n.gossip.Traffic.Bytes(c); return float64(all) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_peer_remote_bytes_total", Help: "Bytes of datagrams sent to daemons of other failure domains.", ConstLabels: labels}, func() float64 { _, remote := n.gossip.Traffic.Bytes(c); return float64(remote) }),
		)
	}
	n.dump.Add("peers", func() any { return n.gossip.Alive() })
	n.dump.Add("fleet", func() any { return n.gossip.State() })
	n.dump.Add("requests", func() any { return n.handler.Stages() })
	n.dump.Add("loads", func() any { return n.accounts.OwnLoads() })
	n.dump.Add("suspects", func() any { return n.suspects.State() })
	n.dump.Add("paces", func() any { return n.paces.Records() })
	n.dump.Add("admission", func() any { return n.admission.State() })
	n.dump.Add("limits", func() any { return n.grants.State() })
	n.registerRollouts()
	n.dump.Add("snapshot", func() any { return n.table.Snapshot() })
}

// Ready reports whether callers should connect to this daemon: it has a
// configuration, knows at least one upstream and is not leaving.
func (n *Node) Ready() bool {
	s := n.table.Snapshot()
	return s != nil && len(s.Upstreams) > 0 && !n.isLeaving()
}

// Run serves until the context ends, then drains. It returns an error only if the
// start fails.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if n.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(n.settings.MemoryBytes)))
	}
	defer n.logs.Close()
	n.log.Event(btevent.ProcessStarted).Str("domain", string(n.settings.FailureDomain)).
		Stringer("entry", n.settings.Entry).Uint64("incarnation", n.gossip.Self.Incarnation).Send()
	// Draining continues after ctx has ended.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := n.start(serving); err != nil {
		n.log.Event(btevent.ProcessFailed).Err(err).Send()
		return err
	}
	go n.housekeep(serving)
	<-ctx.Done()
	n.leaving.Run(n.entry)
	n.log.Event(btevent.ProcessStopped).Int("active", n.handler.Active()).Int64("logLinesDropped", n.dropped.Load()).Send()
	return nil
}

// start opens all listeners and starts the background tasks.
func (n *Node) start(ctx context.Context) error {
	packets, err := net.ListenPacket("udp4", n.settings.Peer.String())
	if err != nil {
		return errors.Wrap(err, "btnode: listen on peer address")
	}
	pulls, err := net.Listen("tcp4", n.settings.Peer.String())
	if err != nil {
		return errors.Wrap(err, "btnode: listen on peer address")
	}
	n.gossip.Start(ctx, packets, n.peerGate.ListenRaw(pulls))
	go n.suspects.Run(ctx)
	go (&btsuspect.Archive{
		Table: n.suspects, Feed: n.adapter.Feed, Registry: n.adapter.Registry, Timer: n.timer, Log: n.log,
		Reads: n.gossip.ReadsArchive, Writes: n.gossip.WritesArchive, Epoch: n.table.Epoch,
	}).Run(ctx)
	n.startStoreTasks(ctx)
	n.startRollouts(ctx)
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
		server, l := n.serve(s.handler, l)
		if s.addr == n.settings.Entry {
			n.entry = &btdrain.HTTPServer{Server: server, Listener: l}
		}
	}
	return nil
}

// newServer returns a server that passes all requests whose heads can be read to a handler.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestHead, DisableGeneralOptionsHandler: true}
}

// listener serves HTTP on one address.
type listener struct {
	node   *Node
	server *http.Server
	l      net.Listener
}

func (l *listener) run() {
	err := l.server.Serve(l.l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && l.node.isLeaving() {
		return
	}
	l.node.log.Event(btevent.ProcessFailed).Stringer("addr", l.l.Addr()).Err(err).Send()
}

// infoMux serves readiness, the directory, metrics and the state dump.
func (n *Node) infoMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.adapter.Dialect.ReadyPath, n.serveReady)
	mux.Handle("GET "+n.adapter.Dialect.ResolvePath, &btdirectory.Handler{
		Peers: n.gossip.Alive, Entry: n.settings.Entry, Domain: n.settings.FailureDomain, DomainParam: n.adapter.Dialect.CallerDomain,
		Ready: n.Ready, Encode: n.adapter.EncodeAddrs,
		MaxValidity: n.settings.Bounds.DirectoryValidity, Log: n.log,
	})
	mux.Handle("GET /metrics", limited(promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})))
	mux.Handle("GET /debug/state", limited(&n.dump))
	return n.gate.Handler(withoutBody(mux))
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// startStoreTasks starts the watchers of the store, the registration of this daemon
// and the polls of engines during store outages.
func (n *Node) startStoreTasks(ctx context.Context) {
	for _, kind := range bramleytack.ReplicatedKinds {
		w := &btreplica.Watcher{
			Feed: n.adapter.Feed, Table: n.table, Timer: n.timer, Log: n.log, Kind: kind,
			Active: n.gossip.Follows, StoreDownCount: n.gossip.StoreDownCount, StoreStatus: &n.storeStatus, Resync: &n.resync,
		}
		if kind == bramleytack.KindUpstreams {
			w.Pause = n.upstreamsPause
		}
		go w.Run(ctx)
	}
	go (&registration{node: n}).run(ctx)
	go (&endPoller{node: n}).run(ctx)
}

// upstreamsPause returns the time between two polls of the upstream registrations.
func (n *Node) upstreamsPause() time.Duration {
	if n.gossip.HasHubs() {
		return largeUpstreamsPollPause
	}
	return upstreamsPollPause
}

// housekeep runs the checks that no event triggers until the context ends.
func (n *Node) housekeep(ctx context.Context) {
	tick := n.timer.Every(housekeepingPeriod, 0)
	defer tick.Stop()
	clock := newSuspendClock()
	for last := n.timer.Now(); ; {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		if d := clock.suspended(); d > 0 {
			n.log.Event(btevent.ProcessSuspended).Dur("away", d).Send()
			n.dropStaleState()
		}
		now := n.timer.Now()
		if n.storeStatus.ReadsUpstreams(now) || n.gossip.PeerReadsStore() {
			n.table.Expire()
		} else {
			n.table.Postpone(now.Sub(last))
		}
		last = now
		if s := n.table.Snapshot(); s != nil {
			n.accounts.Retain(s, n.gossip.ValidSource())
			n.grants.Retain(s)
			n.paces.Retain(s)
		}
	}
}

// dropStaleState discards what may be outdated after a suspension: pooled
// connections, the liveness of other daemons and pending polls of the store.
func (n *Node) dropStaleState() {
	n.pool.DropAll()
	n.gossip.ResetLiveness()
	n.resync.All(nil)
}

// phaseChanged announces that this daemon leaves, and logs each phase of its end.
func (n *Node) phaseChanged(p btdrain.Phase) {
	if p == btdrain.Leaving {
		n.gossip.TriggerDigest()
	}
	n.log.Event(btevent.ProcessDraining).Stringer("phase", p).Int("active", n.handler.Active()).Interface("stages", n.handler.Stages()).Send()
	if p == btdrain.Ended {
		n.handler.LogCut()
	}
}
