package btnode

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bramleytack"
	"bramleytack/internal/node/btlistener"
)

const (
	// callerFileShare is the share of the descriptors for callers' connections, and
	// peerFileShare that for other daemons' pulls. The rest is for connections to upstreams,
	// of which a request may need two, and to the store.
	callerFileShare = 0.45
	peerFileShare   = 0.125
	// reservedFiles are descriptors that are no connections.
	reservedFiles = 200
	// connCost is counted for each connection of a caller, which takes about 25 KB with its
	// buffers, its goroutine and garbage. It is less than that for the reason that requestCost
	// is. connMemoryShare is the share of all memory for data and requests that connections
	// get at most.
	connCost        = 10 << 10
	connMemoryShare = 0.5
	// defaultMaxConns is used without a limit on descriptors or memory.
	defaultMaxConns = 4096
	// headSlack and timeSlack are added to the limits of the configuration, so that a caller at
	// a limit is served.
	headSlack = 4 << 10
	timeSlack = time.Second
	// infoWriteTimeout bounds responses of readiness, the directory, metrics and the state dump.
	infoWriteTimeout = 10 * time.Second
	// maxDumps bounds the responses of metrics and of the state dump that are made at a time.
	// Each takes a multiple of its size.
	maxDumps = 2
)

// maxConns returns the bound of callers' connections.
func maxConns(s Settings) int {
	n := defaultMaxConns
	if s.MaxFiles > 0 {
		n = min(n, fileShare(s, callerFileShare))
	}
	if s.MemoryBytes > 0 {
		n = min(n, int(connMemoryShare*totalMemoryShare*float64(s.MemoryBytes)/connCost))
	}
	return max(n, 1)
}

// maxPeerConns returns the bound of other daemons' connections, zero for none.
func maxPeerConns(s Settings) int {
	if s.MaxFiles <= 0 {
		return 0
	}
	return max(fileShare(s, peerFileShare), 1)
}

func fileShare(s Settings, share float64) int {
	return int(share * float64(s.MaxFiles-reservedFiles))
}

// newGates creates the gates of callers and of other daemons.
func (n *Node) newGates() {
	n.gate = &btlistener.Gate{Memory: n.adapter.Memory, Timer: n.timer, Log: n.log, MaxConns: maxConns(n.settings), Limits: n.headLimits}
	n.peerGate = &btlistener.Gate{Timer: n.timer, Log: n.log, MaxConns: maxPeerConns(n.settings), Limits: n.headLimits}
}

// headLimits returns the limits on heads of the configuration in force, or the defaults
// where it has none.
func (n *Node) headLimits() btlistener.Limits {
	var l bramleytack.RequestLimits
	if s := n.table.Snapshot(); s != nil {
		l = s.Limits
	}
	limits := btlistener.Limits{HeadBytes: maxRequestHead, HeadLines: n.settings.MaxHeadLines, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout + timeSlack, KeepAlive: idleTimeout}
	if l.HeaderBytes > 0 {
		limits.HeadBytes = l.HeaderBytes + headSlack
	}
	if l.HeaderTimeout > 0 {
		limits.HeadTimeout = l.HeaderTimeout + timeSlack
	}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout, limits.KeepAlive = l.IdleTimeout+timeSlack, l.IdleTimeout
	}
	return limits
}

// serve starts a server of a handler on a listener. It returns the server with the listener
// whose connections it gets.
func (n *Node) serve(handler http.Handler, l net.Listener) (*http.Server, net.Listener) {
	server := newServer(handler)
	if handler != http.Handler(n.handler) {
		server.WriteTimeout = infoWriteTimeout
	}
	n.gate.Bind(server)
	l = n.gate.Listen(l)
	go (&listener{node: n, server: server, l: l}).run()
	return server, l
}

// limiter answers 503 to requests beyond the number of its slots.
type limiter struct {
	slots chan struct{}
	next  http.Handler
}

// limited returns a handler that serves maxDumps requests at a time.
func limited(next http.Handler) http.Handler {
	return &limiter{slots: make(chan struct{}, maxDumps), next: next}
}

// ServeHTTP implements http.Handler.
func (l *limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case l.slots <- struct{}{}:
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many requests", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-l.slots }()
	l.next.ServeHTTP(w, r)
}

// withoutBody returns a handler that refuses requests with a body, and closes their connections
// instead of reading it.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			http.Error(w, "request takes no body", http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// registerCallerMetrics registers the metrics of connections and heads.
func (n *Node) registerCallerMetrics() {
	n.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_caller_connections", Help: "Open connections of callers."}, func() float64 { return float64(n.gate.Conns()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bramleytack_peer_connections", Help: "Open connections of other daemons."}, func() float64 { return float64(n.peerGate.Conns()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bramleytack_peer_connections_refused_total", Help: "Connections of other daemons that were refused because there were too many."}, func() float64 { return float64(n.peerGate.Refused(btlistener.TooManyConns)) }),
	)
	for _, e := range btlistener.Enders() {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "bramleytack_callers_cut_total", Help: "Connections of callers that ended before a whole answer to their request, by who ended them.",
			ConstLabels: prometheus.Labels{"by": e.String()},
		}, func() float64 { return float64(n.gate.Cut(e)) }))
	}
	for _, r := range btlistener.Reasons() {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "bramleytack_heads_refused_total", Help: "Heads that were refused and connections that were closed for want of room.",
			ConstLabels: prometheus.Labels{"reason": r.String()},
		}, func() float64 { return float64(n.gate.Refused(r)) }))
	}
}
