package btgossip

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack/internal/route/btgrant"
)

// heldGranter is a daemon that grants for an upstream. It is alive for the others, but the
// datagrams to it come to a test, which answers in its place.
type heldGranter struct {
	c     *cell
	index int
	conn  *packetConn
	// asker is a daemon that asks it.
	asker int
}

func holdGranter(c *cell) *heldGranter {
	time.Sleep(4 * time.Second)
	c.limit(1, 5)
	time.Sleep(time.Second)
	g := &heldGranter{c: c, index: c.granterIndex(1)}
	g.asker = (g.index + 1) % len(c.nodes)
	g.conn = &packetConn{lan: c.lan, addr: addrOf(g.index), in: make(chan datagram, 1<<12), done: make(chan struct{})}
	c.lan.mu.Lock()
	defer c.lan.mu.Unlock()
	c.lan.conns[g.conn.addr] = g.conn
	return g
}

// ask asks for a token. replies returns the replies that arrive while the first request of the
// asker waits, nil for none.
func (g *heldGranter) ask(replies func(number uint64) []*GrantReply) (granted bool, number uint64) {
	for len(g.conn.in) > 0 {
		<-g.conn.in
	}
	result := make(chan bool, 1)
	go func() {
		w := btgrant.Word{Upstream: limitedUpstream.ID, Started: limitedUpstream.Started, At: time.Now(), Limit: btgrant.LimitOf(5)}
		reply, answered := g.c.nodes[g.asker].AskGrant(context.Background(), btgrant.Request{Word: w})
		result <- answered && reply.Granted
	}()
	number = g.nextNumber()
	if replies != nil {
		for _, r := range replies(number) {
			n := g.c.nodes[g.index]
			n.write(CauseGrant, n.encode(&Packet{GrantReply: r}), addrOf(g.asker))
		}
	}
	return <-result, number
}

// nextNumber returns the number of the next request that arrives, zero if none does.
func (g *heldGranter) nextNumber() uint64 {
	for {
		select {
		case d := <-g.conn.in:
			var p Packet
			if assert.Check(g.c.t, proto.Unmarshal(d.data, &p)); p.GrantRequest != nil {
				return p.GrantRequest.Number
			}
		case <-time.After(time.Second):
			assert.Check(g.c.t, false, "no request for a grant")
			return 0
		}
	}
}

func granted(number uint64) *GrantReply { return &GrantReply{Number: number, Granted: true} }

// Guards against a reply that comes twice, late or after a restart of the daemon that asked, and
// is taken for the reply to another request: one token would allow two sends, or a send to another
// upstream.
func TestReplyGrantsOneRequest(t *testing.T) {
	check := func(t *testing.T, f func(g *heldGranter)) {
		runCell(t, 3, 0, func(c *cell) { f(holdGranter(c)) })
	}
	t.Run("twice", func(t *testing.T) {
		check(t, func(g *heldGranter) {
			var first uint64
			ok, _ := g.ask(func(number uint64) []*GrantReply {
				first = number
				return []*GrantReply{granted(number), granted(number)}
			})
			assert.Check(g.c.t, ok)
			ok, _ = g.ask(func(uint64) []*GrantReply { return []*GrantReply{granted(first)} })
			assert.Check(g.c.t, !ok)
		})
	})
	t.Run("late", func(t *testing.T) {
		check(t, func(g *heldGranter) {
			ok, first := g.ask(nil)
			assert.Check(g.c.t, !ok)
			ok, _ = g.ask(func(uint64) []*GrantReply { return []*GrantReply{granted(first)} })
			assert.Check(g.c.t, !ok)
		})
	})
	t.Run("restart", func(t *testing.T) {
		check(t, func(g *heldGranter) {
			ok, first := g.ask(nil)
			assert.Check(g.c.t, !ok)
			g.c.stops[g.asker]()
			g.c.start(g.asker)
			time.Sleep(500 * time.Millisecond)
			ok, _ = g.ask(func(uint64) []*GrantReply { return []*GrantReply{granted(first)} })
			assert.Check(g.c.t, !ok, "reply to number %d of the earlier process", first)
		})
	})
}
