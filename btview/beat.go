package btview

import (
	"context"
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/btwire"
)

// beatLoop sends heartbeats to the holder.
func (c *Cell) beatLoop(ctx context.Context) {
	tick := c.Timer.Every(HeartbeatPeriod, HeartbeatPeriod/20)
	defer tick.Stop()
	for {
		c.sendBeat(ctx)
		select {
		case <-tick.C():
		case <-c.beat:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cell) sendBeat(ctx context.Context) {
	to, ok := c.heartbeatTarget()
	if !ok {
		c.Lease.RequestRead()
		return
	}
	if to.host == c.Self.Host {
		return
	}
	switch c.exchange(ctx, to) {
	case fromHolder:
		c.failures = 0
		return
	case hinted:
		c.Lease.RequestRead()
		c.soon(ctx)
		return
	}
	c.Lease.RequestRead()
	c.failures++
	if c.failures == 1 {
		c.retry(ctx, to)
		return
	}
	c.retarget()
	c.soon(ctx)
}

// soon makes the next heartbeat follow early. A new holder waits for the
// members only for a short time.
func (c *Cell) soon(ctx context.Context) {
	if c.Timer.Sleep(ctx, searchPeriod) == nil {
		c.wake()
	}
}

// retry sends the next heartbeat over a new link to the same host, in time
// before the holder's silence limit. A silent link alone then costs no change
// of the view.
func (c *Cell) retry(ctx context.Context, to target) {
	c.Transport.Redial(to.host)
	if c.Timer.Sleep(ctx, tickPeriod) == nil {
		c.wake()
	}
}

// heartbeatTarget returns the holder as far as it is known.
func (c *Cell) heartbeatTarget() (target, bool) {
	if _, _, ok := c.Lease.Held(); ok {
		return target{c.Self.Host, c.Self.PeerAddr}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, _ := c.Lease.Holder()
	if c.target.host == "" || c.target.host == c.Self.Host || r.Term > c.term {
		c.term = r.Term
		c.target = target{r.Holder, r.PeerAddr}
	}
	ok := c.target.host != "" && c.target.host != c.Self.Host && c.target.addr.IsValid()
	return c.target, ok
}

// retarget chooses whom to ask next: by turns the holder that the lease object
// names and another member, who may know the holder and shows whether any peer
// can be reached.
func (c *Cell) retarget() {
	r, ok := c.Lease.Holder()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate++
	if ok && c.rotate%2 == 0 {
		c.target = target{r.Holder, r.PeerAddr}
		return
	}
	if c.member.view == nil {
		c.target = target{}
		return
	}
	members := c.member.view.Members
	if len(members) == 0 {
		return
	}
	m := members[c.rotate/2%len(members)]
	c.target = target{m.Host, m.PeerAddr}
}

// answer says what a heartbeat led to.
type answer uint8

const (
	// noAnswer means that there was no reply, or one without any use.
	noAnswer answer = iota
	// hinted means that another daemon named the holder.
	hinted
	// fromHolder means that the holder replied.
	fromHolder
)

// exchange sends one heartbeat.
func (c *Cell) exchange(ctx context.Context, to target) answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Transport.SetPeer(to.host, to.addr)
	sent := c.Timer.Now()
	r, err := c.Transport.Heartbeat(ctx, to.host, c.heartbeat())
	if err != nil {
		return noAnswer
	}
	c.mu.Lock()
	c.member.reached(c.Timer.Now())
	c.mu.Unlock()
	c.sawConfig(to.host, r.GetConfigRevision())
	if r.GetFence() == 0 {
		return c.follow(to, r)
	}
	c.Lease.Observe(bramleytack.Revision(r.GetLeaseVersion()))
	return c.confirm(sent, r)
}

func (c *Cell) heartbeat() *btwire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &btwire.Heartbeat{
		Cell: string(c.Name), Member: encodeMember(c.Self), ViewNumber: c.acked,
		ConfigRevision: c.configRevision(), Leaving: c.leaving,
	}
}

// confirm takes the reply of the holder to a heartbeat.
func (c *Cell) confirm(sent time.Time, r *btwire.HeartbeatReply) answer {
	if r.GetView() != nil {
		v, err := decodeView(r.GetView())
		if err != nil {
			return noAnswer
		}
		c.install(v)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.acknowledged(decodeAcks(r.GetAcknowledgements()))
	if r.GetViewLease().AsDuration() > 0 {
		c.member.confirm(sent, r.GetViewNumber())
	}
	return fromHolder
}

// follow takes the hint of a daemon that is not the holder.
func (c *Cell) follow(from target, r *btwire.HeartbeatReply) answer {
	// The link is well: nothing is gained by a new one.
	c.failures = max(c.failures, 1)
	host := bramleytack.HostID(r.GetHolder())
	addr, err := netip.ParseAddrPort(r.GetHolderAddr())
	if err != nil || host == "" || host == c.Self.Host || host == from.host {
		return noAnswer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = target{host, addr}
	return hinted
}

// HandleHeartbeat answers a member's heartbeat.
func (c *Cell) HandleHeartbeat(_ context.Context, from bramleytack.HostID, hb *btwire.Heartbeat) (*btwire.HeartbeatReply, error) {
	m, err := c.sender(from, hb.GetCell(), hb.GetMember())
	if err != nil {
		return nil, err
	}
	c.sawConfig(from, hb.GetConfigRevision())
	r := &btwire.HeartbeatReply{ConfigRevision: c.configRevision()}
	if rec, ok := c.Lease.Holder(); ok {
		r.Holder, r.HolderAddr = string(rec.Holder), rec.PeerAddr.String()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	c.member.reached(now)
	fence, _, ok := c.Lease.Held()
	if !ok || c.holder == nil || c.holder.fence != fence {
		return r, nil
	}
	c.holder.heartbeat(now, m, hb.GetViewNumber(), hb.GetLeaving())
	r.Fence, r.LeaseVersion = uint64(fence), uint64(c.Lease.Version())
	if !c.holder.confirms() {
		return r, nil
	}
	r.ViewNumber, r.ViewLease = c.holder.view.Number, encodeDuration(LeaseDuration)
	r.Acknowledgements = encodeAcks(c.holder.acks())
	if hb.GetViewNumber() < c.holder.view.Number {
		r.View = encodeView(c.Name, c.holder.view)
	}
	return r, nil
}

// HandlePush takes a view from the holder.
func (c *Cell) HandlePush(_ context.Context, from bramleytack.HostID, p *btwire.ViewPush) (*btwire.ViewAck, error) {
	v, err := decodeView(p.GetView())
	if err != nil {
		return nil, err
	}
	if v.Holder != from || p.GetView().GetCell() != string(c.Name) {
		return nil, bramleytack.NewError(bramleytack.CodeForbidden, bramleytack.NotRun, "view is not from its holder or for another cell")
	}
	c.install(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.reached(c.Timer.Now())
	c.member.acknowledged(decodeAcks(p.GetAcknowledgements()))
	return &btwire.ViewAck{Host: string(c.Self.Host), Incarnation: c.Self.Incarnation, ViewNumber: c.acked}, nil
}

// HandleState takes the announcement of a leaving daemon.
func (c *Cell) HandleState(_ context.Context, from bramleytack.HostID, s *btwire.EntryState) (*btwire.EntryStateReply, error) {
	m, err := c.sender(from, s.GetCell(), s.GetMember())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence, _, ok := c.Lease.Held(); ok && c.holder != nil && c.holder.fence == fence {
		c.holder.heartbeat(c.Timer.Now(), m, 0, s.GetLeaving())
	}
	return &btwire.EntryStateReply{}, nil
}

func (c *Cell) sender(from bramleytack.HostID, cell string, w *btwire.Member) (Member, error) {
	if cell != string(c.Name) || w.GetHost() != string(from) {
		return Member{}, bramleytack.NewError(bramleytack.CodeForbidden, bramleytack.NotRun, "message of another host or cell")
	}
	return decodeMember(w)
}
