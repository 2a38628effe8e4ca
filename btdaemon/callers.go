package btdaemon

import (
	"net/http"
	"time"

	"bramleytack/btfront"
	"bramleytack/btmetric"
	"bramleytack/internal/node/btlistener"
	"bramleytack/internal/node/btmemory"
)

const (
	// maxHeadMemory bounds the memory of all heads that are being read or whose requests are
	// served, in bytes. Requests of ordinary size take a few KiB.
	maxHeadMemory = 24 << 20
	// maxHead bounds a head in bytes. It is larger than any limits.maxHeader, over which the
	// front rejects with a typed error.
	maxHead = 64 << 10
	// maxCallerConns bounds the connections of callers and operators, and maxPeerConns those
	// that other daemons open, of which a cell has some ten.
	maxCallerConns = 16 << 10
	maxPeerConns   = 1 << 10
	// idleSlack is the time beyond the one that callers are told of for which an idle connection
	// is kept. Their requests arrive in it.
	idleSlack = time.Second
)

// buildGates creates the gates of callers and operators, and of other daemons.
func (d *Daemon) buildGates() {
	limits := func() btlistener.Limits {
		return btlistener.Limits{HeadBytes: maxHead, HeadTimeout: btfront.ReadHeaderTimeout, IdleTimeout: btfront.IdleTimeout + idleSlack, KeepAlive: btfront.IdleTimeout}
	}
	d.gate = &btlistener.Gate{
		Memory: &btmemory.Budget{Limit: maxHeadMemory, Timer: d.timers}, Timer: d.timers, Log: d.log, MaxConns: maxCallerConns, Limits: limits,
	}
	d.peerGate = &btlistener.Gate{Timer: d.timers, Log: d.log, MaxConns: maxPeerConns, Limits: limits}
}

// bind makes a server use the gate.
func (d *Daemon) bind(s *http.Server) {
	s.Handler = d.gate.Handler(s.Handler)
	d.gate.Bind(s)
}

// registerGateMetrics adds the metrics of connections and heads.
func (d *Daemon) registerGateMetrics() {
	d.metrics.Gauge("caller_connections", "Open connections of callers and operators.", func() float64 { return float64(d.gate.Conns()) })
	d.metrics.Counters("heads_refused_total", "Heads that were refused and connections that were closed for want of room.", []string{"reason"},
		func() []btmetric.Sample {
			var list []btmetric.Sample
			for _, r := range btlistener.Reasons() {
				list = append(list, btmetric.Sample{Labels: []string{r.String()}, Value: float64(d.gate.Refused(r))})
			}
			return list
		})
}
