package btpeer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btwire"
)

// Guards against messages that are missing from the counts, counted twice or
// counted in the wrong direction.
func TestTraffic(t *testing.T) {
	withPair(t, "both sides count the same", func(t *testing.T, p *pair) {
		for range 3 {
			_, err := p.call(t, "g", time.Second)
			assert.NilError(t, err)
		}
		_, err := p.call(t, "refuse", time.Second)
		assert.Assert(t, err != nil)
		// The sender counts a reply after it has written it.
		synctest.Wait()
		request, reply := &btwire.Release{}, &btwire.ReleaseReply{}
		sent, received := count(p.a, request), count(p.b, request)
		assert.Equal(t, sent.Sent, uint64(4))
		assert.Equal(t, sent.Received, uint64(0))
		assert.Equal(t, received.Received, uint64(4))
		assert.Equal(t, received.ReceivedBytes, sent.SentBytes)
		assert.Equal(t, count(p.b, reply).Sent, uint64(3))
		assert.Equal(t, count(p.b, &btwire.Envelope{}).Sent, uint64(1))
		assert.Equal(t, count(p.a, reply).Received, uint64(4))
		total := p.a.Traffic()
		assert.Assert(t, total.SentBytes > sent.SentBytes)
		assert.Assert(t, total.ReceivedBytes > 0)
	})
	withPair(t, "an unknown type adds one counter", func(t *testing.T, p *pair) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := Call[btwire.Reserve, btwire.ReserveReply](ctx, p.a, "b", &btwire.Reserve{})
		assertFails(t, err, bramleytack.CodeBadRequest, bramleytack.NotRun)
		synctest.Wait()
		assert.Equal(t, count(p.b, &btwire.Reserve{}).Received, uint64(0))
		for _, c := range p.b.Traffic().Messages {
			if c.Type == unknownType {
				assert.Equal(t, c.Received, uint64(1))
				return
			}
		}
		t.Fatal("no counter of unknown types")
	})
}

// Guards against larger heartbeats: they are most of the traffic of an idle link,
// and a member has 62 links in a full cell.
func TestIdleLink(t *testing.T) {
	withPair(t, "a heartbeat is one frame header each way", func(t *testing.T, p *pair) {
		const (
			periods     = 20
			headerBytes = 12
		)
		time.Sleep(pingPeriod)
		synctest.Wait()
		before := p.a.Traffic()
		time.Sleep(periods * pingPeriod)
		synctest.Wait()
		after := p.a.Traffic()
		sent := after.SentBytes - before.SentBytes
		assert.Equal(t, after.ReceivedBytes-before.ReceivedBytes, sent)
		assert.Equal(t, sent%headerBytes, uint64(0))
		assert.Assert(t, sent/headerBytes >= periods-2 && sent/headerBytes <= periods+2, "%d heartbeats", sent/headerBytes)
		assert.Assert(t, p.link().Up)
	})
}

func count(n *Node, m proto.Message) MessageCount {
	for _, c := range n.Traffic().Messages {
		if c.Type == typeName(m) {
			return c
		}
	}
	return MessageCount{}
}
