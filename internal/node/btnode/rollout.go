package btnode

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"bramleytack"
	"bramleytack/internal/fleet/btreplica"
	"bramleytack/internal/route/btrollout"
)

// newRollouts returns the orders of versions, or nil if the settings or the platform know none.
func newRollouts(n *Node) *btrollout.Table {
	_, known := n.adapter.Codec.(bramleytack.RolloutCodec)
	if _, ok := n.adapter.Registry.(bramleytack.StatusWriter); !ok || !known || !n.settings.Bounds.Rollout.Enabled() {
		return nil
	}
	return &btrollout.Table{Timer: n.timer, Bounds: n.settings.Bounds.Rollout, Log: n.log}
}

// connectRollouts connects the roll-outs with what they need of other parts.
func (n *Node) connectRollouts() {
	r := n.rollouts
	if r == nil {
		return
	}
	r.Judges, r.Reach, r.Daemons = n.gossip.JudgesRollouts, n.gossip.GrantPart, n.gossip.Count
	r.StoreAway = func() bool { return !n.gossip.HasStoreReader() }
	r.Running, n.accounts.Admits = n.accounts.OwnRunning, r.Admits
	r.Alive = n.gossip.AliveHost
}

// startRollouts starts the tasks of roll-outs.
func (n *Node) startRollouts(ctx context.Context) {
	if n.rollouts == nil {
		return
	}
	go (&btreplica.Watcher{
		Feed: n.adapter.Feed, Table: n.table, Timer: n.timer, Log: n.log, Kind: bramleytack.KindRollouts,
		Active: n.gossip.Follows, StoreDownCount: n.gossip.StoreDownCount, StoreStatus: &n.storeStatus, Resync: &n.resync,
	}).Run(ctx)
	go (&rolloutTask{n}).run(ctx)
	go (&btrollout.Writer{
		Table: n.rollouts, Store: n.adapter.Registry.(bramleytack.StatusWriter), Codec: n.adapter.Codec.(bramleytack.RolloutCodec), Timer: n.timer,
		Writes: n.gossip.WritesArchive,
	}).Run(ctx)
}

// rolloutTask passes snapshots to the roll-outs and sends what they report and decide.
type rolloutTask struct{ node *Node }

func (r *rolloutTask) run(ctx context.Context) {
	n := r.node
	tick := n.timer.Every(btrollout.TickPeriod, 0)
	defer tick.Stop()
	for {
		s, changed := n.table.Current()
		n.rollouts.Update(s)
		select {
		case <-changed:
		case <-tick.C():
			n.gossip.SendRollouts(n.rollouts.Tick())
		case <-ctx.Done():
			return
		}
	}
}

// registerRollouts registers the metrics and the part of the state dump.
func (n *Node) registerRollouts() {
	if n.rollouts == nil {
		return
	}
	n.registry.MustRegister(&rolloutCollector{n.rollouts})
	n.dump.Add("rollouts", func() any { return n.rollouts.States() })
}

// rolloutCollector reports the metrics of all orders.
type rolloutCollector struct{ table *btrollout.Table }

// rolloutLabels are the labels of the metrics of roll-outs.
var rolloutLabels = []string{"service", "target"}

// The metrics of roll-outs.
var (
	rolloutShare   = prometheus.NewDesc("bramleytack_rollout_share", "Share of requests that go to the ordered version now.", rolloutLabels, nil)
	rolloutSent    = prometheus.NewDesc("bramleytack_rollout_requests_total", "Requests sent to the service since the order.", rolloutLabels, nil)
	rolloutExposed = prometheus.NewDesc("bramleytack_rollout_exposed_total", "Requests sent to the ordered version since the order.", rolloutLabels, nil)
	rolloutBad     = prometheus.NewDesc("bramleytack_rollout_bad_answers_total", "Failed and broken answers of the ordered version.", rolloutLabels, nil)
	rolloutState   = prometheus.NewDesc("bramleytack_rollout_rolled_back", "1 if the ordered version was rolled back.", rolloutLabels, nil)
)

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{rolloutShare, rolloutSent, rolloutExposed, rolloutBad, rolloutState} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(ch chan<- prometheus.Metric) {
	for _, s := range c.table.States() {
		rolledBack := 0.0
		if s.RolledBack {
			rolledBack = 1
		}
		ch <- prometheus.MustNewConstMetric(rolloutShare, prometheus.GaugeValue, s.Share, s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutSent, prometheus.CounterValue, float64(s.Sent), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutExposed, prometheus.CounterValue, float64(s.Exposed), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutBad, prometheus.CounterValue, float64(s.Bad), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutState, prometheus.GaugeValue, rolledBack, s.Service, s.Target)
	}
}
