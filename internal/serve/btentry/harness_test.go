package btentry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/btidentity"
	"bramleytack/btretry"
	"bramleytack/bttimer"
	"bramleytack/internal/btmemnet"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btforecast"
	"bramleytack/internal/serve/btentry"
	"bramleytack/internal/standin/btworker"
	"bramleytack/internal/upstream/btconn"
)

// dialect is a dialect of the tests' own.
var dialect = bramleytack.FleetDialect{
	RequestID: "X-Request", DeadlineMillis: "X-Deadline", Workspace: "X-Workspace", ExpectInstance: "X-Instance",
	NotRun: "X-Not-Run", Load: "X-Load", Seal: "X-Seal", TokenCounts: "X-Tokens", LengthHint: "X-Hint",
	LastEvent: "X-Last-Event", Backup: "X-Backup", From: "X-From",
	Reserved: []string{"X-Workspace", "X-Instance", "X-Backup", "X-From", "Authorization"},
}

const (
	key       = "key-1"
	streams   = "engines"
	calls     = "shop"
	gap       = 30 * time.Millisecond
	streamLen = 60
)

// codec hands out a snapshot that the test builds itself.
type codec struct{ h *harness }

func (c codec) Config(_ []byte, s *bramleytack.Snapshot) error {
	s.Version = 1
	s.Routes = bramleytack.NewRouteTable(c.h.routes)
	s.Services = map[string]*bramleytack.ServiceRecord{
		streams: {Name: streams, Engine: &bramleytack.EngineProfile{Slots: 24, MemoryTokens: c.h.memory, TokensPerEvent: 4, Moves: true, Backups: true}},
		calls:   {Name: calls},
	}
	w := &bramleytack.Workspace{Name: "w1"}
	s.Workspaces = map[bramleytack.WorkspaceID]*bramleytack.Workspace{w.Name: w}
	s.ByKeyHash = map[string]*bramleytack.Workspace{btidentity.HashKey(key): w}
	return nil
}

func (c codec) Upstream(name string, _ []byte, _ time.Time) (*bramleytack.Upstream, error) {
	u := *c.h.upstreams[name]
	return &u, nil
}

// harness is one daemon's entry with stand-ins behind it.
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
	upto      bramleytack.Revision
	entry     netip.AddrPort
	requests  int
	// memory is the tokens that an engine holds.
	memory int
}

// run plays a test in fake time.
func run(t *testing.T, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{
			t: t, upstreams: map[string]*bramleytack.Upstream{}, workers: map[string]*btworker.Worker{},
			net:   &btmemnet.Network{},
			pool:  &btworker.Pool{Dialect: dialect, CopyDelay: 300 * time.Millisecond, MoveTime: 200 * time.Millisecond},
			timer: bttimer.New(1), entry: netip.MustParseAddrPort("10.0.0.1:80"), memory: 1 << 20,
			routes: []*bramleytack.Route{
				{Name: "guide", Host: "h", PathPrefix: "/guide/", Streaming: true, Timeout: 39 * time.Second, TargetLatency: 1800 * time.Millisecond, MaxPause: 180 * time.Millisecond, MaxAttempts: 1, Services: one(streams)},
				{Name: "tag", Host: "h", PathPrefix: "/tag/", Streaming: true, Resumable: true, Timeout: 6 * time.Second, TargetLatency: 1500 * time.Millisecond, MaxPause: 180 * time.Millisecond, MaxAttempts: 2, Services: one(streams)},
				{Name: "order", Host: "h", PathPrefix: "/order/", Timeout: 1200 * time.Millisecond, TargetLatency: 150 * time.Millisecond, MaxAttempts: 1, Services: one(calls)},
				{Name: "check", Host: "h", PathPrefix: "/check/", Idempotent: true, Timeout: 1200 * time.Millisecond, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2, Services: one(calls)},
			},
		}
		defer h.timer.Close()
		h.pool.Listen = func(a netip.AddrPort) (net.Listener, error) { return h.net.Listen(a), nil }
		log := btevent.New(io.Discard, 0, "h1")
		h.table = btreplica.NewTable(codec{h}, h.timer, log)
		h.accounts = &btaccount.Table{Timer: h.timer}
		h.handler = &btentry.Handler{
			Table: h.table, Accounts: h.accounts, Dialect: dialect, Mover: h.pool, Timer: h.timer, Log: log,
			Pool: &btconn.Pool{Dial: h.dial}, Metrics: btentry.NewMetrics(prometheus.NewRegistry()),
			Budget: &btretry.Budget{Timer: h.timer}, Lengths: btforecast.New(h.timer),
		}
		server := &http.Server{Handler: h.handler}
		go (&serving{server, h.net.Listen(h.entry)}).run()
		f(h)
		_ = server.Close()
		for _, w := range h.workers {
			w.Crash()
		}
		h.handler.Pool.DropAll()
		// Lets cut connections end before the bubble does.
		time.Sleep(time.Minute)
	})
}

// serving runs the entry's server.
type serving struct {
	server *http.Server
	l      net.Listener
}

func (s *serving) run() { _ = s.server.Serve(s.l) }

func one(service string) []bramleytack.ServiceShare {
	return []bramleytack.ServiceShare{{Service: service, Weight: 1}}
}

// dial connects from the entry's host.
func (h *harness) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	return btmemnet.Dialer{Network: h.net, From: h.entry.Addr()}.DialPeer(ctx, netip.MustParseAddrPort(addr))
}

// engine starts a model engine, shop a plain service.
func (h *harness) engine(name string) *btworker.Worker {
	return h.start(name, streams, btworker.Config{Events: streamLen, Read: 100 * time.Millisecond, Gap: gap})
}

func (h *harness) shop(name string) *btworker.Worker {
	return h.start(name, calls, btworker.Config{Work: 20 * time.Millisecond})
}

func (h *harness) start(name, service string, cfg btworker.Config) *btworker.Worker {
	cfg.ID = name
	cfg.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(h.workers) + 1)}), 80)
	w := h.pool.Start(cfg)
	h.workers[name] = w
	h.upstreams[name] = &bramleytack.Upstream{ID: bramleytack.UpstreamID(name), Addr: cfg.Addr, Service: service, FailureDomain: "d1", WarmLimit: 6}
	h.apply()
	return w
}

// leave gives notice of an upstream's end.
func (h *harness) leave(name string) {
	h.upstreams[name].State = bramleytack.UpstreamLeaving
	h.apply()
}

// apply publishes the upstreams.
func (h *harness) apply() {
	h.upto++
	config := bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindConfig, Name: "main"}, Version: 1}
	h.table.Apply(btreplica.Batch{Kind: bramleytack.KindConfig, Full: true, Upto: 1, Objects: []bramleytack.Object{config}})
	b := btreplica.Batch{Kind: bramleytack.KindUpstreams, Full: true, Upto: h.upto}
	for name := range h.upstreams {
		b.Objects = append(b.Objects, bramleytack.Object{Key: bramleytack.Key{Kind: bramleytack.KindUpstreams, Name: name}, Version: h.upto})
	}
	h.table.Apply(b)
}

// answer is what a caller got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err is set if the response broke off.
	err error
	// longest is the longest pause between events.
	longest time.Duration
	events  []string
}

// request sends a request as a caller does. The caller gives up after patience.
func (h *harness) request(method, target string, header map[string]string, patience time.Duration) answer {
	h.requests++
	return h.send(fmt.Sprintf("req-%d", h.requests), method, target, header, patience)
}

func (h *harness) send(id, method, target string, header map[string]string, patience time.Duration) answer {
	a := answer{id: id}
	c, err := btmemnet.Dialer{Network: h.net, From: netip.MustParseAddr("10.9.0.1")}.DialPeer(context.Background(), h.entry)
	assert.NilError(h.t, err)
	defer c.Close()
	assert.NilError(h.t, c.SetDeadline(time.Now().Add(patience)))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n", method, target, dialect.RequestID, a.id, key)
	for k, v := range header {
		text += k + ": " + v + "\r\n"
	}
	_, err = io.WriteString(c, text+"\r\nbody")
	assert.NilError(h.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	a.read(resp.Body)
	return a
}

func (a *answer) read(body io.Reader) {
	lines := bufio.NewReader(body)
	last := time.Now()
	for {
		line, err := lines.ReadString('\n')
		a.body += line
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if len(a.events) > 0 {
				a.longest = max(a.longest, time.Since(last))
			}
			last = time.Now()
			a.events = append(a.events, strings.TrimSpace(id))
		}
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			return
		}
	}
}

// stream is a request for a long generation.
func (h *harness) stream(target string) answer {
	return h.request(http.MethodPost, target, map[string]string{dialect.TokenCounts: "3000,900"}, 40*time.Second)
}

// checkWhole fails unless the caller got every event once and in order.
func (h *harness) checkWhole(a answer) {
	h.t.Helper()
	assert.NilError(h.t, a.err)
	assert.Equal(h.t, a.status, http.StatusOK)
	assert.Equal(h.t, len(a.events), streamLen)
	for i, id := range a.events {
		assert.Equal(h.t, id, fmt.Sprint(i+1))
	}
}

// after calls f once d has passed.
func after(d time.Duration, f func()) { time.AfterFunc(d, f) }
