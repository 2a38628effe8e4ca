package btview

import (
	"context"
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/btwire"
)

// heartbeatLoop sends heartbeats until ctx ends.
func (c *Cell) heartbeatLoop(ctx context.Context) {
	tick := c.Timer.Every(HeartbeatPeriod, HeartbeatPeriod/20)
	defer tick.Stop()
	for {
		c.sendHeartbeat(ctx)
		select {
		case <-tick.C():
		case <-c.heartbeatNow:
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends one heartbeat to the current target and, unless the holder
// replies, chooses when and where to send the next one.
func (c *Cell) sendHeartbeat(ctx context.Context) {
	to, ok := c.heartbeatTarget()
	if !ok {
		c.Lease.RequestRead()
		return
	}
	if to.host == c.Self.Host {
		return
	}
	switch c.exchangeHeartbeat(ctx, to) {
	case fromHolder:
		c.failures = 0
		return
	case redirected:
		c.Lease.RequestRead()
		c.heartbeatSoon(ctx)
		return
	}
	c.Lease.RequestRead()
	c.failures++
	if c.failures == 1 {
		c.retryOverNewLink(ctx, to)
		return
	}
	c.nextTarget()
	c.heartbeatSoon(ctx)
}

// heartbeatSoon triggers the next heartbeat after searchPeriod, since a new
// holder waits for heartbeats only until gatherTimeout.
func (c *Cell) heartbeatSoon(ctx context.Context) {
	if c.Timer.Sleep(ctx, searchPeriod) == nil {
		c.triggerHeartbeat()
	}
}

// retryOverNewLink triggers a heartbeat to the same host over a new link. It
// arrives before MemberTimeout, so a link that went silent does not remove the
// member from the view.
func (c *Cell) retryOverNewLink(ctx context.Context, to target) {
	c.Transport.Redial(to.host)
	if c.Timer.Sleep(ctx, tickPeriod) == nil {
		c.triggerHeartbeat()
	}
}

// heartbeatTarget returns the daemon that the next heartbeat goes to: the holder
// if it is known. A newer term of the lease replaces the target. It returns
// false if no target is known.
func (c *Cell) heartbeatTarget() (target, bool) {
	if _, _, ok := c.Lease.Held(); ok {
		return target{c.Self.Host, c.Self.PeerAddr}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, _ := c.Lease.Holder()
	if c.target.host == "" || c.target.host == c.Self.Host || r.Term > c.targetTerm {
		c.targetTerm = r.Term
		c.target = target{r.Holder, r.PeerAddr}
	}
	ok := c.target.host != "" && c.target.host != c.Self.Host && c.target.addr.IsValid()
	return c.target, ok
}

// nextTarget changes the target after a failure. It alternates between the
// holder that the lease object names and a member of the view. Any member may
// know the holder, and its reply shows that a peer can be reached.
func (c *Cell) nextTarget() {
	r, ok := c.Lease.Holder()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetTurn++
	if ok && c.targetTurn%2 == 0 {
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
	m := members[c.targetTurn/2%len(members)]
	c.target = target{m.Host, m.PeerAddr}
}

// heartbeatResult is the outcome of one heartbeat.
type heartbeatResult uint8

const (
	// noResult means that there was no reply, or one that names no other holder.
	noResult heartbeatResult = iota
	// redirected means that another daemon named the holder.
	redirected
	// fromHolder means that the holder replied.
	fromHolder
)

// exchangeHeartbeat sends one heartbeat and processes the reply.
func (c *Cell) exchangeHeartbeat(ctx context.Context, to target) heartbeatResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.Transport.SetPeer(to.host, to.addr)
	sent := c.Timer.Now()
	r, err := c.Transport.Heartbeat(ctx, to.host, c.newHeartbeat())
	if err != nil {
		return noResult
	}
	c.mu.Lock()
	c.member.recordContact(c.Timer.Now())
	c.mu.Unlock()
	c.reportConfigRevision(to.host, r.GetConfigRevision())
	if r.GetFence() == 0 {
		return c.followRedirect(to, r)
	}
	c.Lease.Observe(bramleytack.Revision(r.GetLeaseVersion()))
	return c.handleHolderReply(sent, r)
}

func (c *Cell) newHeartbeat() *btwire.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &btwire.Heartbeat{
		Cell: string(c.Name), Member: encodeMember(c.Self), ViewNumber: c.acked,
		ConfigRevision: c.configRevision(), Leaving: c.leaving,
	}
}

// handleHolderReply installs the view in the holder's reply, if there is one, and
// renews the view lease from when the heartbeat was sent.
func (c *Cell) handleHolderReply(sent time.Time, r *btwire.HeartbeatReply) heartbeatResult {
	if r.GetView() != nil {
		v, err := decodeView(r.GetView())
		if err != nil {
			return noResult
		}
		c.install(v)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.setAcks(decodeAcks(r.GetAcknowledgements()))
	if r.GetViewLease().AsDuration() > 0 {
		c.member.confirm(sent, r.GetViewNumber())
	}
	return fromHolder
}

// followRedirect makes the holder that a reply names the next target.
func (c *Cell) followRedirect(from target, r *btwire.HeartbeatReply) heartbeatResult {
	// The link works. With at least one failure counted, the next failure
	// changes the target instead of the link.
	c.failures = max(c.failures, 1)
	host := bramleytack.HostID(r.GetHolder())
	addr, err := netip.ParseAddrPort(r.GetHolderAddr())
	if err != nil || host == "" || host == c.Self.Host || host == from.host {
		return noResult
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = target{host, addr}
	return redirected
}

// HandleHeartbeat replies to a member's heartbeat. The reply names the holder. If
// that is this daemon, the reply also has a view lease, except while a view is
// being written, and the view if the member has an older one.
func (c *Cell) HandleHeartbeat(_ context.Context, from bramleytack.HostID, hb *btwire.Heartbeat) (*btwire.HeartbeatReply, error) {
	m, err := c.checkSender(from, hb.GetCell(), hb.GetMember())
	if err != nil {
		return nil, err
	}
	c.reportConfigRevision(from, hb.GetConfigRevision())
	r := &btwire.HeartbeatReply{ConfigRevision: c.configRevision()}
	if rec, ok := c.Lease.Holder(); ok {
		r.Holder, r.HolderAddr = string(rec.Holder), rec.PeerAddr.String()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	c.member.recordContact(now)
	fence, _, ok := c.Lease.Held()
	if !ok || c.holder == nil || c.holder.fence != fence {
		return r, nil
	}
	c.holder.recordHeartbeat(now, m, hb.GetViewNumber(), hb.GetLeaving())
	r.Fence, r.LeaseVersion = uint64(fence), uint64(c.Lease.Version())
	if !c.holder.canConfirm() {
		return r, nil
	}
	r.ViewNumber, r.ViewLease = c.holder.view.Number, encodeDuration(LeaseDuration)
	r.Acknowledgements = encodeAcks(c.holder.acks())
	if hb.GetViewNumber() < c.holder.view.Number {
		r.View = encodeView(c.Name, c.holder.view)
	}
	return r, nil
}

// HandlePush installs a view that the holder pushed and acknowledges the newest
// installed view.
func (c *Cell) HandlePush(_ context.Context, from bramleytack.HostID, p *btwire.ViewPush) (*btwire.ViewAck, error) {
	v, err := decodeView(p.GetView())
	if err != nil {
		return nil, err
	}
	if v.Holder != from || p.GetView().GetCell() != string(c.Name) {
		return nil, bramleytack.NewError(bramleytack.CodeForbidden, bramleytack.NotRun, "view was not sent by its holder or is for another cell")
	}
	c.install(v)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.recordContact(c.Timer.Now())
	c.member.setAcks(decodeAcks(p.GetAcknowledgements()))
	return &btwire.ViewAck{Host: string(c.Self.Host), Incarnation: c.Self.Incarnation, ViewNumber: c.acked}, nil
}

// HandleLeaving records at the holder that a member is leaving. Other daemons
// ignore the message.
func (c *Cell) HandleLeaving(_ context.Context, from bramleytack.HostID, s *btwire.EntryState) (*btwire.EntryStateReply, error) {
	m, err := c.checkSender(from, s.GetCell(), s.GetMember())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence, _, ok := c.Lease.Held(); ok && c.holder != nil && c.holder.fence == fence {
		c.holder.recordHeartbeat(c.Timer.Now(), m, 0, s.GetLeaving())
	}
	return &btwire.EntryStateReply{}, nil
}

// checkSender decodes the member that a message names. It returns an error if
// the message is for another cell or the member is not the sending host.
func (c *Cell) checkSender(from bramleytack.HostID, cell string, w *btwire.Member) (Member, error) {
	if cell != string(c.Name) || w.GetHost() != string(from) {
		return Member{}, bramleytack.NewError(bramleytack.CodeForbidden, bramleytack.NotRun, "message names a host that did not send it, or another cell")
	}
	return decodeMember(w)
}
