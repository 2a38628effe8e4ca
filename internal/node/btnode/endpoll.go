package btnode

import (
	"context"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// endPollPeriod is the time between two queries to an engine. Engines leave two
	// seconds after their termination notice.
	endPollPeriod = 400 * time.Millisecond
	// endPollAfterOutage is how long engines are still asked after a store outage:
	// their own writes to the store may take seconds to succeed again.
	endPollAfterOutage = 5 * time.Second
	// endPollTimeout bounds one query.
	endPollTimeout = 200 * time.Millisecond
)

// endPoller asks engines directly whether they will shut down while no daemon can
// read that from the store. It asks only engines that run generations of this
// daemon.
type endPoller struct {
	node *Node
	// storeUnreadAt is the latest time at which no daemon could read the store.
	storeUnreadAt time.Time
}

// run polls each endPollPeriod until the context ends, if a poll is due.
func (p *endPoller) run(ctx context.Context) {
	tick := p.node.timer.Every(endPollPeriod, endPollPeriod/10)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		if p.due() {
			p.poll(ctx)
		}
	}
}

// due reports whether the replica of the store may lack the notice of an engine. It
// depends on all daemons alive, since only a few of them read the store.
func (p *endPoller) due() bool {
	n := p.node
	now := n.timer.Now()
	if !n.gossip.HasStoreReader() {
		p.storeUnreadAt = now
	}
	return !p.storeUnreadAt.IsZero() && now.Sub(p.storeUnreadAt) < endPollAfterOutage
}

// poll starts a query of each engine that runs generations of this daemon.
func (p *endPoller) poll(ctx context.Context) {
	n := p.node
	s := n.table.Snapshot()
	if s == nil {
		return
	}
	for id, l := range n.accounts.OwnLoads() {
		u := s.Upstreams[id]
		if u == nil || l.Memory == 0 || u.State == bramleytack.UpstreamLeaving {
			continue
		}
		go (&endQuery{node: n, upstream: u}).run(ctx)
	}
}

// endQuery asks one engine for its end and marks it as leaving.
type endQuery struct {
	node     *Node
	upstream *bramleytack.Upstream
}

func (q *endQuery) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endPollTimeout)
	defer cancel()
	r, err := q.node.engines.Report(ctx, q.upstream.Addr)
	if err != nil {
		q.node.log.Event(btevent.UpstreamFailed).Str("upstream", string(q.upstream.ID)).Err(err).Send()
		return
	}
	// An engine that reports no end keeps serving until the store has recorded that
	// it leaves, which an outage delays.
	if r.EndsIn > 0 {
		if q.node.table.MarkLeaving(q.upstream) {
			q.node.gossip.ShareLeaving(q.upstream)
		}
	}
}
