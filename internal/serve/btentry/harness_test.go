package btentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btidentity"
	"bramleytack/btretry"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemnet"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/node/btlistener"
	"bramleytack/internal/node/btmemory"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btadmission"
	"bramleytack/internal/route/btforecast"
	"bramleytack/internal/route/btgrant"
	"bramleytack/internal/route/btpace"
	"bramleytack/internal/route/btsuspect"
	"bramleytack/internal/serve/btentry"
	"bramleytack/internal/standin/btworker"
	"bramleytack/internal/upstream/btconn"
)

// dialect is used by these tests only.
var dialect = bramleytack.FleetDialect{
	RequestID: "X-Request", DeadlineMillis: "X-Deadline", Workspace: "X-Workspace", ExpectInstance: "X-Instance",
	NotRun: "X-Not-Run", Load: "X-Load", Leaving: "X-Leaving", Limit: "X-Limit", Seal: "X-Seal", TokenCounts: "X-Tokens", LengthHint: "X-Hint", PromptParts: "X-Parts",
	LastEvent: "X-Last-Event", Backup: "X-Backup", From: "X-From",
	Reserved: []string{"X-Workspace", "X-Instance", "X-Backup", "X-From", "Authorization"},
}

const (
	apiKey        = "key-1"
	engineService = "engines"
	callService   = "shop"
	eventGap      = 30 * time.Millisecond
	// keptMemory is room for bodies of 24 MiB, and for heads.
	keptMemory   = 24<<20 + 64<<10
	streamEvents = 60
	// orderDialTimeout bounds the connection of an order to an engine, as in platform.
	orderDialTimeout = 150 * time.Millisecond
)

// codec fills snapshots from the harness and ignores the encoded objects.
type codec struct{ h *harness }

func (c codec) Config(_ []byte, s *bramleytack.Snapshot) error {
	s.Version = 1
	s.Routes = bramleytack.NewRouteTable(c.h.routes)
	s.Services = map[string]*bramleytack.ServiceRecord{
		engineService: {Name: engineService, Engine: &bramleytack.EngineProfile{Slots: c.h.slots, MemoryTokens: c.h.memory, TokensPerEvent: 4, Moves: true, Backups: true}},
		callService:   {Name: callService},
	}
	w := &bramleytack.Workspace{Name: "w1"}
	s.Workspaces = map[bramleytack.WorkspaceID]*bramleytack.Workspace{w.Name: w}
	s.ByKeyHash = map[string]*bramleytack.Workspace{btidentity.HashKey(apiKey): w}
	if c.h.reconfigure != nil {
		c.h.reconfigure(s)
	}
	return nil
}

func (c codec) Upstream(name string, _ []byte, _ time.Time) (*bramleytack.Upstream, error) {
	u := *c.h.upstreams[name]
	return &u, nil
}

// harness is the handler of one daemon with stand-in upstreams.
type harness struct {
	t         *testing.T
	net       *btmemnet.Network
	pool      *btworker.Pool
	table     *btreplica.Table
	accounts  *btaccount.Table
	handler   *btentry.Handler
	timer     *bttimer.Service
	routes    []*bramleytack.Route
	upstreams map[string]*bramleytack.Upstream
	workers   map[string]*btworker.Worker
	revision  bramleytack.Revision
	// limits are those of serveBehindGate, besides the bytes of heads.
	limits btlistener.Limits
	// reconfigure changes configurations from configRevision on. It may be nil.
	reconfigure    func(s *bramleytack.Snapshot)
	configRevision bramleytack.Revision
	entryAddr      netip.AddrPort
	requests       atomic.Int64
	store          *memoryStore
	// mu guards daemons and losses.
	mu      sync.Mutex
	daemons []*daemon
	// recordDelay is the mean time that a record of a suspect takes to another daemon.
	recordDelay time.Duration
	// slots is the number of places of an engine, as registered.
	slots int
	// memory is the capacity of an engine in tokens.
	memory int
	// losses are the losses of paths in the order in which they began.
	losses []loss
}

// run calls f with a new harness in fake time.
func run(t *testing.T, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{
			t: t, upstreams: map[string]*bramleytack.Upstream{}, workers: map[string]*btworker.Worker{},
			net:   &btmemnet.Network{},
			store: &memoryStore{},
			pool:  &btworker.Pool{Dialect: dialect, CopyDelay: 300 * time.Millisecond, MoveTime: 200 * time.Millisecond},
			timer: bttimer.New(1), entryAddr: netip.MustParseAddrPort("10.0.0.1:80"), configRevision: 1, memory: 1 << 20, slots: 24, recordDelay: 5 * time.Millisecond,
			routes: []*bramleytack.Route{
				{Name: "guide", Host: "h", PathPrefix: "/guide/", Streaming: true, Timeout: 39 * time.Second, TargetLatency: 1800 * time.Millisecond, MaxPause: 180 * time.Millisecond, MaxAttempts: 1, Services: singleService(engineService)},
				{Name: "tag", Host: "h", PathPrefix: "/tag/", Streaming: true, Resumable: true, Timeout: 6 * time.Second, TargetLatency: 1500 * time.Millisecond, MaxPause: 180 * time.Millisecond, MaxAttempts: 2, Services: singleService(engineService)},
				{Name: "order", Host: "h", PathPrefix: "/order/", Timeout: 1200 * time.Millisecond, TargetLatency: 150 * time.Millisecond, MaxAttempts: 1, Services: singleService(callService)},
				{Name: "check", Host: "h", PathPrefix: "/check/", Idempotent: true, Timeout: 1200 * time.Millisecond, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2, Services: singleService(callService)},
			},
		}
		defer h.timer.Close()
		h.pool.Reach = h.reach
		h.pool.Listen = func(addr netip.AddrPort) (net.Listener, error) { return h.net.Listen(addr), nil }
		h.startDaemon(h.entryAddr)
		d := h.daemons[0]
		h.table, h.accounts, h.handler = d.handler.Table, d.handler.Accounts, d.handler
		f(h)
		for _, d := range h.running() {
			d.stop()
		}
		for _, w := range h.workers {
			w.Crash()
		}
		// Checks of upstreams that were under way have left their connections in the pools.
		time.Sleep(time.Second)
		for _, d := range h.running() {
			d.handler.Pool.DropAll()
		}
		// Goroutines of closed connections must end before the synctest bubble does.
		time.Sleep(time.Minute)
	})
}

// reach connects to an upstream from the first daemon's host, as an order to it does.
func (h *harness) reach(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, orderDialTimeout)
	defer cancel()
	c, err := btmemnet.Dialer{Network: h.net, From: h.entryAddr.Addr()}.DialPeer(ctx, addr)
	if err != nil {
		return errors.Mark(err, btconn.ErrUnsent)
	}
	return c.Close()
}

// daemon is one daemon of the harness. Daemons exchange nothing but suspects.
type daemon struct {
	addr     netip.AddrPort
	handler  *btentry.Handler
	server   *http.Server
	listener net.Listener
	stopRun  context.CancelFunc
	// isolated daemons neither send records of suspects nor get any.
	isolated atomic.Bool
	started  time.Time
}

// share sends records of suspects to the other daemons, twice and in any order.
func (h *harness) share(from *daemon, records []btsuspect.Record) {
	for _, d := range h.running() {
		if d == from || d.isolated.Load() || from.isolated.Load() {
			continue
		}
		for range 2 {
			time.AfterFunc(h.recordDelay/2+rand.N(h.recordDelay), func() { d.handler.Suspects.Merge(records) })
		}
	}
}

// running returns the daemons that run.
func (h *harness) running() []*daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.daemons)
}

// restart ends a daemon and starts it again. As in a fleet, the others send the new
// process their records at once.
func (h *harness) restart(d *daemon) {
	d.stop()
	h.mu.Lock()
	h.daemons = slices.DeleteFunc(h.daemons, func(o *daemon) bool { return o == d })
	h.mu.Unlock()
	h.startDaemon(d.addr)
	h.shareAll()
}

// restartAll ends all daemons before it starts them again.
func (h *harness) restartAll() {
	all := h.running()
	for _, d := range all {
		d.stop()
	}
	h.mu.Lock()
	h.daemons = nil
	h.mu.Unlock()
	for _, d := range all {
		h.startDaemon(d.addr)
	}
}

// shareAll sends the records that daemons send periodically.
func (h *harness) shareAll() {
	for _, d := range h.running() {
		if records := d.handler.Suspects.Records(64); len(records) > 0 {
			h.share(d, records)
		}
	}
}

// startDaemon starts a daemon that serves callers at an address.
func (h *harness) startDaemon(addr netip.AddrPort) *daemon {
	log := btevent.New(io.Discard, 0, bramleytack.HostID(addr.String()))
	table := btreplica.NewTable(codec{h}, h.timer, log)
	d := &daemon{addr: addr, started: time.Now()}
	suspects := btsuspect.New(&btsuspect.Table{Timer: h.timer, Log: log})
	suspects.Share = func(records []btsuspect.Record) { h.share(d, records) }
	ctx, cancel := context.WithCancel(context.Background())
	d.stopRun = cancel
	isFirst := func() bool {
		all := h.running()
		return len(all) > 0 && all[0] == d
	}
	// One daemon runs trials, as in a fleet.
	suspects.Elected = func(btsuspect.Key) bool { return isFirst() }
	go suspects.Run(ctx)
	go (&btsuspect.Archive{Table: suspects, Feed: h.store, Registry: h.store, Timer: h.timer, Reads: isFirst, Writes: isFirst}).Run(ctx)
	d.handler = &btentry.Handler{
		Table: table, Accounts: &btaccount.Table{Timer: h.timer}, Suspects: suspects, Dialect: dialect, Mover: h.pool, Timer: h.timer, Log: log,
		Grants: h.grants(d), Pool: &btconn.Pool{Dial: d.dial(h.net)}, Metrics: btentry.NewMetrics(prometheus.NewRegistry()),
		Budget: &btretry.Budget{Timer: h.timer}, Lengths: btforecast.New(h.timer), Memory: &btmemory.Budget{Limit: keptMemory},
		Admission: btadmission.New(h.timer, 1), Paces: &btpace.Table{Timer: h.timer},
	}
	d.handler.Accounts.HeldUntil, d.handler.Accounts.Paces = d.handler.Grants.HeldUntil, d.handler.Paces
	d.server = &http.Server{Handler: d.handler}
	h.mu.Lock()
	h.daemons = append(h.daemons, d)
	h.mu.Unlock()
	if h.revision > 0 {
		h.publishTo(d)
	}
	d.listener = h.net.Listen(addr)
	go (&entryServer{d.server, d.listener}).run()
	return d
}

// stop ends the daemon at once.
func (d *daemon) stop() {
	_ = d.server.Close()
	d.stopRun()
	d.handler.Pool.DropAll()
}

// entryServer serves callers' connections.
type entryServer struct {
	server *http.Server
	l      net.Listener
}

func (s *entryServer) run() { _ = s.server.Serve(s.l) }

// singleService sends all requests of a route to one service.
func singleService(service string) []bramleytack.ServiceShare {
	return []bramleytack.ServiceShare{{Service: service, Weight: 1}}
}

// dial returns a function that connects from the daemon's host.
func (d *daemon) dial(n *btmemnet.Network) func(ctx context.Context, _, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return btmemnet.Dialer{Network: n, From: d.addr.Addr()}.DialPeer(ctx, netip.MustParseAddrPort(addr))
	}
}

const (
	// grantDelay is the time that a message between daemons takes.
	grantDelay = time.Millisecond
	// settleTime is how long a daemon that has just started grants nothing.
	settleTime = 1500 * time.Millisecond
)

// grants returns the limits of a daemon. The daemon with the lowest address grants for all
// upstreams that it is not isolated from.
func (h *harness) grants(d *daemon) *btgrant.Table {
	t := &btgrant.Table{Timer: h.timer, Daemons: func() int { return len(h.running()) }}
	t.Part = func() float64 {
		if time.Since(d.started) < settleTime {
			return 0
		}
		reached := 0
		for _, o := range h.running() {
			if o == d || !o.isolated.Load() && !d.isolated.Load() {
				reached++
			}
		}
		return float64(reached) / float64(len(h.running()))
	}
	t.Ask = func(ctx context.Context, r btgrant.Request) (btgrant.Reply, bool) {
		to := d
		for _, o := range h.running() {
			if !o.isolated.Load() && !d.isolated.Load() && o.addr.Addr().Less(to.addr.Addr()) {
				to = o
			}
		}
		if to != d && h.timer.Sleep(ctx, 2*grantDelay) != nil {
			return btgrant.Reply{}, false
		}
		return to.handler.Grants.Grant(r), true
	}
	t.Share = func(words []btgrant.Word) {
		for _, o := range h.running() {
			if o != d && !o.isolated.Load() && !d.isolated.Load() {
				time.AfterFunc(grantDelay, func() { o.handler.Grants.Merge(words) })
			}
		}
	}
	return t
}

// startEngine starts an upstream that is a model engine.
func (h *harness) startEngine(name string) *btworker.Worker {
	return h.start(name, engineService, btworker.Config{Events: streamEvents, Read: 100 * time.Millisecond, Gap: eventGap})
}

// startShop starts an upstream of a plain service.
func (h *harness) startShop(name string) *btworker.Worker {
	return h.start(name, callService, btworker.Config{Work: 20 * time.Millisecond})
}

func (h *harness) start(name, service string, cfg btworker.Config) *btworker.Worker {
	cfg.ID = name
	cfg.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(h.workers) + 1)}), 80)
	w := h.pool.Start(cfg)
	h.workers[name] = w
	warm := 6
	if cfg.Slots > 0 {
		warm = cfg.Slots
	}
	h.upstreams[name] = &bramleytack.Upstream{ID: bramleytack.UpstreamID(name), Addr: cfg.Addr, Service: service, FailureDomain: "d1", WarmLimit: warm}
	h.publish()
	return w
}

// setLeaving publishes that an upstream is leaving.
func (h *harness) setLeaving(name string) {
	h.upstreams[name].State = bramleytack.UpstreamLeaving
	h.publish()
}

// publish applies the configuration and the current upstreams to all daemons.
func (h *harness) publish() {
	h.revision++
	for _, d := range h.running() {
		h.publishTo(d)
	}
}

func (h *harness) publishTo(d *daemon) {
	config := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: h.configRevision}
	d.handler.Table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: h.configRevision, Objects: []bramleytack.Object{config}})
	b := btreplica.Batch{Kind: bramleytack.KindUpstreams, Full: true, Upto: h.revision}
	for name := range h.upstreams {
		b.Objects = append(b.Objects, bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindUpstreams, Name: name}, Version: h.revision})
	}
	d.handler.Table.Apply(b)
}

// response is what a caller got.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	// closes is set if the connection closes after the response.
	closes bool
	// err is set if the response did not arrive or is incomplete.
	err error
	// longestPause is the longest time between two events.
	longestPause time.Duration
	// firstEventAt is zero without an event.
	firstEventAt time.Time
	events       []string
}

// request sends a request with a new id, as a caller does. The caller closes the
// connection after timeout.
func (h *harness) request(method, target string, header map[string]string, timeout time.Duration) response {
	n := h.requests.Add(1)
	return h.send(fmt.Sprintf("req-%d", n), method, target, header, timeout)
}

// send sends a request with the given id to the first daemon.
func (h *harness) send(id, method, target string, header map[string]string, timeout time.Duration) response {
	return h.sendTo(h.entryAddr, id, method, target, header, timeout)
}

// sendTo sends a request with the given id to a daemon.
func (h *harness) sendTo(entry netip.AddrPort, id, method, target string, header map[string]string, timeout time.Duration) response {
	c, err := h.dialEntry(entry)
	assert.NilError(h.t, err)
	return h.exchange(c, id, method, target, header, timeout)
}

// dialEntry connects to a daemon as a caller does.
func (h *harness) dialEntry(entry netip.AddrPort) (net.Conn, error) {
	return btmemnet.Dialer{Network: h.net, From: netip.MustParseAddr("10.9.0.1")}.DialPeer(context.Background(), entry)
}

// exchange sends a request on a connection, reads the response and closes the connection.
func (h *harness) exchange(c net.Conn, id, method, target string, header map[string]string, timeout time.Duration) response {
	got := response{id: id}
	defer c.Close()
	assert.NilError(h.t, c.SetDeadline(time.Now().Add(timeout)))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n", method, target, dialect.RequestID, got.id, apiKey)
	for k, v := range header {
		text += k + ": " + v + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\nbody")
	assert.NilError(h.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		got.err = err
		return got
	}
	defer resp.Body.Close()
	got.status, got.header, got.closes = resp.StatusCode, resp.Header, resp.Close
	got.read(resp.Body)
	return got
}

// read reads the body and the ids of its events.
func (r *response) read(body io.Reader) {
	lines := bufio.NewReader(body)
	last := time.Now()
	for {
		line, err := lines.ReadString('\n')
		r.body += line
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if len(r.events) > 0 {
				r.longestPause = max(r.longestPause, time.Since(last))
			} else {
				r.firstEventAt = time.Now()
			}
			last = time.Now()
			r.events = append(r.events, strings.TrimSpace(id))
		}
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			return
		}
	}
}

// generate requests a long generation.
func (h *harness) generate(target string) response {
	return h.request(http.MethodPost, target, map[string]string{dialect.TokenCounts: "3000,900"}, 40*time.Second)
}

// checkComplete fails the test unless the caller got every event once and in order.
func (h *harness) checkComplete(got response) {
	h.t.Helper()
	// A test that ends at once would leave the goroutines of its bubble.
	assert.Check(h.t, got.err == nil, "%v", got.err)
	assert.Check(h.t, got.status == http.StatusOK, "status %d", got.status)
	assert.Check(h.t, len(got.events) == streamEvents, "%d events instead of %d", len(got.events), streamEvents)
	for i, id := range got.events {
		assert.Check(h.t, id == fmt.Sprint(i+1), "event %s in place %d", id, i+1)
	}
}

// after calls f once d has passed.
func after(d time.Duration, f func()) { time.AfterFunc(d, f) }
