package btnode

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"bramleytack"
	"bramleytack/btevent"
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
	go (&rolloutTask{node: n, ends: rolloutEnds{log: n.log}}).run(ctx)
	go (&btrollout.Writer{
		Table: n.rollouts, Store: n.adapter.Registry.(bramleytack.StatusWriter), Codec: n.adapter.Codec.(bramleytack.RolloutCodec), Timer: n.timer,
		Writes: n.gossip.WritesArchive,
	}).Run(ctx)
}

// rolloutTask passes snapshots to the roll-outs and sends what they report and decide.
type rolloutTask struct {
	node *Node
	ends rolloutEnds
}

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
			r.ends.note(n.rollouts.States())
		case <-ctx.Done():
			return
		}
	}
}

// rolloutEnds logs when a daemon has learned how an order has ended, with what it had sent by then. Only the
// judge whose verdict it is logs the evidence.
type rolloutEnds struct {
	log *btevent.Logger
	// ended holds the orders that have ended, by service.
	ended map[string]endedRollout
}

type endedRollout struct{ target, result string }

// note logs the orders that have ended since the last call.
func (e *rolloutEnds) note(states []btrollout.State) {
	ended := make(map[string]endedRollout, len(states))
	for _, s := range states {
		result := ""
		switch {
		case s.Complete:
			result = "complete"
		case s.RolledBack:
			result = "rolledBack"
		default:
			continue
		}
		end := endedRollout{s.Target, result}
		if ended[s.Service] = end; e.ended[s.Service] != end {
			e.log.Event(btevent.RolloutEnded).Str("service", s.Service).Str("target", s.Target).Str("result", result).Str("stage", s.Stage).Dur("age", s.Age).
				Uint64("sent", s.Sent).Uint64("exposed", s.Exposed).Uint64("answers", s.Answers).Uint64("bad", s.Bad).Send()
		}
	}
	e.ended = ended
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
	rolloutAnswers = prometheus.NewDesc("bramleytack_rollout_answers_total", "Answers of the ordered version.", rolloutLabels, nil)
	rolloutBad     = prometheus.NewDesc("bramleytack_rollout_bad_answers_total", "Failed and broken answers of the ordered version.", rolloutLabels, nil)
	rolloutStage   = prometheus.NewDesc("bramleytack_rollout_stage", "Stage: 0 waiting, 1 trial, 2 quarter, 3 half, 4 full.", rolloutLabels, nil)
	rolloutBlind   = prometheus.NewDesc("bramleytack_rollout_blind", "1 if this daemon hears no judge.", rolloutLabels, nil)
	rolloutDone    = prometheus.NewDesc("bramleytack_rollout_complete", "1 if the ordered version is complete.", rolloutLabels, nil)
	rolloutState   = prometheus.NewDesc("bramleytack_rollout_rolled_back", "1 if the ordered version was rolled back.", rolloutLabels, nil)
)

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{rolloutShare, rolloutSent, rolloutExposed, rolloutAnswers, rolloutBad, rolloutStage, rolloutBlind, rolloutDone, rolloutState} {
		ch <- d
	}
}

// flag returns the value of a metric that is 1 or 0.
func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// stageNumber returns the number of a stage, as the status of an order has it.
func stageNumber(name string) float64 {
	for s := btrollout.Waiting; s < btrollout.Full; s++ {
		if s.String() == name {
			return float64(s)
		}
	}
	return float64(btrollout.Full)
}

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(ch chan<- prometheus.Metric) {
	for _, s := range c.table.States() {
		ch <- prometheus.MustNewConstMetric(rolloutShare, prometheus.GaugeValue, s.Share, s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutSent, prometheus.CounterValue, float64(s.Sent), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutExposed, prometheus.CounterValue, float64(s.Exposed), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutBad, prometheus.CounterValue, float64(s.Bad), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutAnswers, prometheus.CounterValue, float64(s.Answers), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutStage, prometheus.GaugeValue, stageNumber(s.Stage), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutBlind, prometheus.GaugeValue, flag(s.Blind && !s.RolledBack && !s.Complete), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutDone, prometheus.GaugeValue, flag(s.Complete), s.Service, s.Target)
		ch <- prometheus.MustNewConstMetric(rolloutState, prometheus.GaugeValue, flag(s.RolledBack), s.Service, s.Target)
	}
}
