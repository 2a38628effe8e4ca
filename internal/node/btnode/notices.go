package btnode

import (
	"context"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// noticePeriod is the time between two questions to an engine. Engines leave
	// two seconds after their notice.
	noticePeriod = 400 * time.Millisecond
	// noticeEcho is how long after an outage engines are still asked: their own
	// writes to the store may take seconds to get through again.
	noticeEcho = 5 * time.Second
	// noticeTimeout bounds one question.
	noticeTimeout = 200 * time.Millisecond
)

// notices asks engines for their leaving while the store cannot tell this daemon
// or any other. It asks only engines that run work of this daemon.
type notices struct {
	node *Node
	// unreadAt is the last time at which no daemon read the store.
	unreadAt time.Time
}

func (q *notices) run(ctx context.Context) {
	tick := q.node.timer.Every(noticePeriod, noticePeriod/10)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		if q.due() {
			q.ask(ctx)
		}
	}
}

// due says whether the store may be hiding a notice. Most daemons learn from
// others that the store is away: only a few read it.
func (q *notices) due() bool {
	n := q.node
	now := n.timer.Now()
	if !n.gossip.HasStoreReader() {
		q.unreadAt = now
	}
	return !q.unreadAt.IsZero() && now.Sub(q.unreadAt) < noticeEcho
}

func (q *notices) ask(ctx context.Context) {
	n := q.node
	s := n.table.Snapshot()
	if s == nil {
		return
	}
	for id, l := range n.accounts.OwnLoads() {
		u := s.Upstreams[id]
		if u == nil || l.Memory == 0 || u.State == bramleytack.UpstreamLeaving {
			continue
		}
		go (&question{node: n, upstream: u}).run(ctx)
	}
}

// question is one question to an engine.
type question struct {
	node     *Node
	upstream *bramleytack.Upstream
}

func (q *question) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	r, err := q.node.engines.Report(ctx, q.upstream.Addr)
	if err != nil {
		q.node.log.Event(btevent.UpstreamFailed).Str("upstream", string(q.upstream.ID)).Err(err).Send()
		return
	}
	// One that does not know its end serves until the store has noted its leaving,
	// which an outage delays.
	if r.EndsIn > 0 {
		q.node.table.MarkLeaving(q.upstream.ID)
	}
}
