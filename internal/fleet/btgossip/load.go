package btgossip

import (
	"context"
	"time"
)

// minLoadInterval is the minimum time between two load reports. Changes that come
// together, such as those of a leaving engine, share one report.
const minLoadInterval = 15 * time.Millisecond

// LoadChanged schedules a report of this daemon's load at each upstream to all
// live daemons. It never blocks.
func (n *Node) LoadChanged() {
	select {
	case n.loadSignal <- struct{}{}:
	default:
	}
}

// loadSender sends changed loads to all live daemons without waiting for the next
// digest. With loads that are a digest period old, many daemons would choose the
// same engine.
type loadSender struct{ n *Node }

func (s *loadSender) run(ctx context.Context) {
	n := s.n
	for {
		select {
		case <-n.loadSignal:
		case <-ctx.Done():
			return
		}
		data := n.encode(&Packet{Digest: &Digest{Loads: n.ownLoads()}})
		n.broadcast(data)
		if n.Timer.Sleep(ctx, minLoadInterval) != nil {
			return
		}
	}
}
