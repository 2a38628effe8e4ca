package btdaemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btadmin"
	"bramleytack/btmetric"
	"bramleytack/btpeer"
	"bramleytack/btremote"
)

// adminHeaderTimeout limits reading a request header on the admin address.
const adminHeaderTimeout = 5 * time.Second

// listeners are the open sockets of a daemon.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peers   net.Listener
}

// listen opens all addresses, or none.
func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var open []net.Listener
	for _, a := range []struct {
		addr netip.AddrPort
		to   *net.Listener
	}{{d.settings.Listen, &l.callers}, {d.settings.AdminListen, &l.admin}, {d.settings.PeerListen, &l.peers}} {
		listener, err := listen(a.addr)
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return listeners{}, err
		}
		open = append(open, listener)
		*a.to = listener
	}
	return l, nil
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	return l, errors.Wrap(err, "btdaemon: listen")
}

// serve starts the HTTP servers. An error of one of them goes to failed.
func (d *Daemon) serve(l listeners, failed chan<- error) []*http.Server {
	callers := d.front.Server()
	admin := &http.Server{Handler: d.adminMux(), ReadHeaderTimeout: adminHeaderTimeout}
	d.bind(callers)
	d.bind(admin)
	d.runServer(callers, d.gate.Listen(l.callers), failed)
	d.runServer(admin, d.gate.Listen(l.admin), failed)
	return []*http.Server{callers, admin}
}

func (d *Daemon) runServer(s *http.Server, l net.Listener, failed chan<- error) {
	d.spawn(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case failed <- err:
			default:
			}
		}
	})
}

func (d *Daemon) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	h := &btadmin.Handler{Admin: d.admin, KeyHashes: keyHashes(d.settings.OperatorKeyHashes), Status: d.status}
	mux.Handle("/admin/v1/", h.Mux())
	mux.Handle("GET /debug/state", &d.dumps)
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", d.readyz)
	return mux
}

// readyz answers 204 if the daemon can serve new callers, otherwise 503.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Ready reports whether the daemon can serve new callers.
func (d *Daemon) Ready() bool {
	return d.keysLoaded.Load() && d.configLoaded.Load() && !d.draining.Load() && d.cluster.cell.View() != nil && !d.isolated()
}

// Status is the response to the operators' status request: this daemon's own state
// and, in Daemons, the last known states of the members of its cell. Queued and
// Held count requests and reservations.
type Status struct {
	Host     bramleytack.HostID `json:"host"`
	Cell     bramleytack.CellID `json:"cell"`
	Uptime   string             `json:"uptime"`
	Ready    bool               `json:"ready"`
	Isolated bool               `json:"isolated"`
	Holder   bramleytack.HostID `json:"holder"`
	View     uint64             `json:"view"`
	Queued   int                `json:"queued"`
	Held     int                `json:"held"`
	Daemons  []btremote.State   `json:"daemons"`
}

func (d *Daemon) status(context.Context) any { return d.ownStatus() }

func (d *Daemon) ownStatus() Status {
	s := Status{
		Host:     d.settings.Host,
		Cell:     d.settings.Cell,
		Uptime:   d.timers.Now().Sub(d.started).Round(time.Second).String(),
		Ready:    d.Ready(),
		Isolated: d.isolated(),
		Queued:   d.queue.Waiting(),
		Held:     d.cluster.owners.ReservationCount(),
		Daemons:  d.cluster.exchange.States(),
	}
	if v := d.cluster.cell.View(); v != nil {
		s.Holder, s.View = v.Holder, v.Number
	}
	return s
}

// registerDiagnostics adds the parts to the state dump and the metrics.
func (d *Daemon) registerDiagnostics() {
	d.dumps.Add("status", func() any { return d.ownStatus() })
	d.dumps.Add("config", func() any { return d.config.Stats() })
	d.dumps.Add("watch", func() any { return d.watcher.Stats() })
	d.dumps.Add("lease", func() any { return d.cluster.lease.Dump() })
	d.dumps.Add("cell", func() any { return d.cluster.cell.Dump() })
	d.dumps.Add("links", func() any { return d.cluster.node.Dump() })
	d.dumps.Add("owner", func() any { return d.table.Dump() })
	d.dumps.Add("probes", func() any { return d.probes.Dump() })
	d.dumps.Add("placement", func() any { return d.placement.Dump() })
	d.dumps.Add("store", func() any { return d.store.Counts() })
	d.metrics.Gauge("streams_open", "Open event streams.", func() float64 { return float64(d.front.OpenStreams()) })
	d.metrics.Gauge("requests_queued", "Requests that wait for capacity.", func() float64 { return float64(d.queue.Waiting()) })
	d.metrics.Gauge("config_revision", "Revision of the configuration in force.", func() float64 { return float64(d.config.Digest().Revision) })
	d.metrics.Counter("store_reads_total", "Reads of the platform's store.", func() float64 { return float64(d.store.Counts().Reads) })
	d.metrics.Counter("store_writes_total", "Writes to the platform's store.", func() float64 { return float64(d.store.Counts().Writes) })
	d.registerTrafficMetrics()
	d.registerGateMetrics()
}

// registerTrafficMetrics adds the metrics of the peer links, the configuration,
// the owned upstreams and the store watches.
func (d *Daemon) registerTrafficMetrics() {
	traffic := func(value func(c btpeer.MessageCount) (sent, received uint64)) func() []btmetric.Sample {
		return func() []btmetric.Sample {
			var list []btmetric.Sample
			for _, c := range d.cluster.node.Traffic().Messages {
				sent, received := value(c)
				name := c.Type[strings.LastIndexByte(c.Type, '.')+1:]
				list = append(
					list,
					btmetric.Sample{Labels: []string{name, "sent"}, Value: float64(sent)},
					btmetric.Sample{Labels: []string{name, "received"}, Value: float64(received)},
				)
			}
			return list
		}
	}
	labels := []string{"type", "direction"}
	d.metrics.Counters("peer_messages_total", "Messages to and from other daemons.", labels,
		traffic(func(c btpeer.MessageCount) (uint64, uint64) { return c.Sent, c.Received }))
	d.metrics.Counters("peer_message_bytes_total", "Bytes of these messages with their envelopes.", labels,
		traffic(func(c btpeer.MessageCount) (uint64, uint64) { return c.SentBytes, c.ReceivedBytes }))
	d.metrics.Counters("peer_link_bytes_total", "Bytes on the connections to other daemons, with TLS and yamux.", []string{"direction"},
		func() []btmetric.Sample {
			t := d.cluster.node.Traffic()
			return []btmetric.Sample{
				{Labels: []string{"sent"}, Value: float64(t.SentBytes)},
				{Labels: []string{"received"}, Value: float64(t.ReceivedBytes)},
			}
		})
	d.metrics.Gauge("config_objects", "Records of the configuration, without deleted ones.", func() float64 { return float64(d.config.Stats().Objects) })
	d.metrics.Gauge("owned_upstreams", "Upstreams that this daemon owns.", func() float64 { return float64(len(d.table.Digests())) })
	d.metrics.Counter("store_watches_total", "Watches opened at the platform's store.", func() float64 { return float64(d.store.Counts().Watches) })
	d.metrics.Gauge("store_watches_open", "Watches of the configuration that are open.", func() float64 { return float64(d.watcher.Stats().OpenWatches) })
}

func keyHashes(hexHashes []string) [][sha256.Size]byte {
	hashes := make([][sha256.Size]byte, 0, len(hexHashes))
	for _, h := range hexHashes {
		var sum [sha256.Size]byte
		if n, err := hex.Decode(sum[:], []byte(h)); err == nil && n == len(sum) {
			hashes = append(hashes, sum)
		}
	}
	return hashes
}
