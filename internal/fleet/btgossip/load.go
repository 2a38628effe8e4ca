package btgossip

import (
	"context"
	"time"
)

// loadPause is the least time between two reports of this daemon's work. It
// joins changes that come together, such as those of a leaving engine.
const loadPause = 15 * time.Millisecond

// LoadChanged tells all daemons of this daemon's work soon. It never blocks.
func (n *Node) LoadChanged() {
	select {
	case n.loads <- struct{}{}:
	default:
	}
}

// loadSender reports changed work to all daemons that are alive. Choices by
// reports of another daemon's last period would all meet at one engine.
type loadSender struct{ n *Node }

func (s *loadSender) run(ctx context.Context) {
	n := s.n
	for {
		select {
		case <-n.loads:
		case <-ctx.Done():
			return
		}
		data := n.encode(&Packet{Digest: &Digest{Loads: n.ownLoads()}})
		n.broadcast(data)
		if n.Timer.Sleep(ctx, loadPause) != nil {
			return
		}
	}
}
