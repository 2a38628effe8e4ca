package btgossip

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleytack"
	"bramleytack/internal/route/btgrant"
)

const (
	// grantTimeout is how long a daemon waits for a grant. It is several round trips
	// between failure domains.
	grantTimeout = 25 * time.Millisecond
	// grantAttempts bounds the requests for one token, those that were sent on to another
	// daemon included.
	grantAttempts = 3
	// missingRetention is how long a daemon that is silent keeps its part of each limit. It
	// may be cut off and grant too.
	missingRetention = 15 * time.Second
	// grantNumberBits are the lowest bits of a request's number, which count the requests. The
	// bits above start as the daemon's start in milliseconds, so that the reply to a request of
	// an earlier process at its address has the number of no other one, up to a million requests
	// a second.
	grantNumberBits = 10
	// maxWords is the number of words in one datagram, which then stays within
	// maxPacketSize.
	maxWords = 16
)

// AskGrant sends a request for a token to the daemon that grants for its upstream. It
// reports false if no answer came.
func (n *Node) AskGrant(ctx context.Context, r btgrant.Request) (btgrant.Reply, bool) {
	to := n.granter(r.Word.Upstream)
	for range grantAttempts {
		if to == n.Self.Addr {
			return n.Grants.Grant(r), true
		}
		reply := n.exchangeGrant(ctx, r, to)
		switch {
		case ctx.Err() != nil:
			return btgrant.Reply{}, false
		case reply == nil:
			// The datagram is lost, or the daemon has ended and the view shows another.
			to = n.granter(r.Word.Upstream)
		case reply.Granter != 0:
			to = decodeAddr(reply.Granter)
		default:
			return decodeGrantReply(reply, n.Timer.Now()), true
		}
	}
	return btgrant.Reply{}, false
}

// exchangeGrant returns the reply of a daemon, or nil without one.
func (n *Node) exchangeGrant(ctx context.Context, r btgrant.Request, to netip.Addr) *GrantReply {
	number := n.grantNumber.Add(1)
	arrived := make(chan *GrantReply, 1)
	n.grantReplies.Store(number, arrived)
	defer n.grantReplies.Delete(number)
	n.write(CauseGrant, n.encode(&Packet{GrantRequest: &GrantRequest{
		Number: number, Word: encodeWord(r.Word, n.Timer.Now()), WaitMillis: uint32(min(max(r.Terms.Wait.Milliseconds(), 0), math.MaxInt32)), Urgent: r.Terms.Urgent, MostPerSecond: r.Most,
	}}), to)
	timeout := n.Timer.After(grantTimeout)
	defer timeout.Stop()
	select {
	case reply := <-arrived:
		return reply
	case <-timeout.C():
	case <-ctx.Done():
	}
	return nil
}

// handleGrantRequest answers another daemon. If that one does not know of a better
// granting daemon, the answer names it.
func (n *Node) handleGrantRequest(r *GrantRequest, sender netip.Addr, now time.Time) {
	w, ok := decodeWord(r.Word, now)
	if !ok {
		return
	}
	reply := &GrantReply{Number: r.Number}
	if to := n.granter(w.Upstream); to != n.Self.Addr && to != sender {
		reply.Granter = encodeAddr(to)
	} else {
		g := n.Grants.Grant(btgrant.Request{Word: w, Terms: btgrant.Terms{Wait: time.Duration(r.WaitMillis) * time.Millisecond, Urgent: r.Urgent}, Most: r.MostPerSecond})
		reply.Granted, reply.Word = g.Granted, encodeWord(g.Word, now)
		reply.DelayMicros = uint32(min(g.Delay.Microseconds(), math.MaxInt32))
		reply.AfterMillis = uint32(min(math.Ceil(g.After.Seconds()*1000), math.MaxInt32))
	}
	n.write(CauseGrant, n.encode(&Packet{GrantReply: reply}), sender)
}

// handleGrantReply passes a reply to the request that waits for it.
func (n *Node) handleGrantReply(r *GrantReply) {
	if arrived, ok := n.grantReplies.LoadAndDelete(r.Number); ok {
		arrived.(chan *GrantReply) <- r
	}
}

func decodeGrantReply(r *GrantReply, now time.Time) btgrant.Reply {
	w, _ := decodeWord(r.Word, now)
	return btgrant.Reply{
		Word: w, Granted: r.Granted,
		Delay: time.Duration(r.DelayMicros) * time.Microsecond, After: time.Duration(r.AfterMillis) * time.Millisecond,
	}
}

// granter returns the address of the live daemon that grants for an upstream. Daemons that
// know of different ones may choose different ones.
func (n *Node) granter(id bramleytack.UpstreamID) netip.Addr {
	best, at := grantWeight(id, n.Self.Host), n.Self.Addr
	if n.Leaving() {
		best = 0
	}
	for _, p := range n.view().alive {
		if w := grantWeight(id, p.Host); w > best && !p.Leaving {
			best, at = w, p.Addr
		}
	}
	return at
}

func grantWeight(id bramleytack.UpstreamID, h bramleytack.HostID) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(h))
}

// GrantPart returns the part of the fleet that this daemon reaches, zero soon after its
// start or a suspension: it then knows neither the other daemons nor what they granted.
func (n *Node) GrantPart() float64 {
	now := n.Timer.Now()
	if n.recentlyStarted(now) || n.recentlyResumed(now) {
		return 0
	}
	v := n.view()
	reached := float64(len(v.alive) + 1)
	return reached / (reached + float64(v.missing))
}

// ShareWords sends what upstreams have said of themselves to all live daemons, through the
// hubs of their failure domains if there are any.
func (n *Node) ShareWords(words []btgrant.Word) {
	v := n.view()
	for part := range slices.Chunk(words, maxWords) {
		n.spread(CauseWord, &Packet{Words: n.encodeWords(part)}, v, addrsOf(v.usable))
	}
}

// ShareLeaving tells all live daemons that an upstream has said that it is leaving.
func (n *Node) ShareLeaving(u *bramleytack.Upstream) {
	v := n.view()
	n.spread(CauseWord, &Packet{Words: []*Word{leavingWord(u)}}, v, addrsOf(v.usable))
}

func leavingWord(u *bramleytack.Upstream) *Word {
	return &Word{Upstream: string(u.ID), Started: u.Started.UnixMilli(), Leaving: true}
}

// sendWords sends the words in force to some daemons, for those that lack them after a
// start, a cut or a lost datagram.
func (n *Node) sendWords(to []netip.Addr) {
	words := n.encodeWords(n.Grants.Words(maxWords / 2))
	for _, u := range n.Table.Leaving(maxWords / 2) {
		words = append(words, leavingWord(u))
	}
	if len(words) > 0 {
		n.writeAll(CauseWord, n.encode(&Packet{Words: words}), to)
	}
}

// handleWords merges the words of another daemon, and passes news on if that was asked
// for.
func (n *Node) handleWords(p *Packet, now time.Time) {
	var limits []btgrant.Word
	news := false
	for _, e := range p.Words {
		w, ok := decodeWord(e, now)
		switch {
		case !ok:
		case e.Leaving:
			news = n.Table.MarkLeaving(&bramleytack.Upstream{ID: w.Upstream, Started: w.Started}) || news
		default:
			limits = append(limits, w)
		}
	}
	news = n.Grants.Merge(limits) || news
	if news && p.Forward {
		n.writeAll(CauseWord, n.encode(&Packet{Words: p.Words}), addrsOf(n.view().near))
	}
}

func (n *Node) encodeWords(words []btgrant.Word) []*Word {
	now := n.Timer.Now()
	out := make([]*Word, len(words))
	for i, w := range words {
		out[i] = encodeWord(w, now)
	}
	return out
}

func encodeWord(w btgrant.Word, now time.Time) *Word {
	return &Word{
		Upstream: string(w.Upstream), Started: w.Started.UnixMilli(), Limited: w.Limit.Named, PerSecond: w.Limit.PerSecond,
		AgeMillis: uint64(max(now.Sub(w.At).Milliseconds(), 0)),
	}
}

// decodeWord returns the word of another daemon. It reports false if it names no upstream.
func decodeWord(w *Word, now time.Time) (btgrant.Word, bool) {
	if w == nil || w.Upstream == "" {
		return btgrant.Word{}, false
	}
	out := btgrant.Word{
		Upstream: bramleytack.UpstreamID(w.Upstream), Started: time.UnixMilli(w.Started),
		At: now.Add(-time.Duration(min(w.AgeMillis, math.MaxInt32)) * time.Millisecond),
	}
	if w.Limited {
		out.Limit = btgrant.LimitOf(w.PerSecond)
	}
	return out, true
}
