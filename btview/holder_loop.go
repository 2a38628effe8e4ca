package btview

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btwire"
)

// viewWrite is a write of a view that is not finished or whose outcome is not
// known. While one is pending, no view is confirmed.
type viewWrite struct {
	view     *View
	changeID string
	expected bramleytack.Revision
	// mayTakeEffect is set after an attempt with an unknown outcome.
	mayTakeEffect bool
}

// holderLoop runs holderStep periodically until ctx ends.
func (c *Cell) holderLoop(ctx context.Context) {
	tick := c.Timer.Every(tickPeriod, 0)
	defer tick.Stop()
	for {
		c.holderStep(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// holderStep does the most urgent task of the holder. It does nothing if the
// daemon does not hold the lease.
func (c *Cell) holderStep(ctx context.Context) {
	if !c.updateHolder() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch {
	case c.Timer.Now().Before(c.retryAt):
	case c.suspectsOwnLinks():
		// The error is ignored: the lease repeats the release, and it expires in
		// any case.
		_ = c.Lease.Resign(ctx, resignBackoff)
	case !c.hasReadView():
		c.readStoredView(ctx)
	case c.prepareWrite():
		c.writeView(ctx)
	case c.announceAllAcked():
	default:
		c.readHostList(ctx)
	}
}

// updateHolder reports whether the daemon holds the lease. It starts a new term
// after an acquisition, and records and confirms a heartbeat of the daemon to
// itself.
func (c *Cell) updateHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	fence, _, ok := c.Lease.Held()
	if !ok {
		c.holder, c.pending = nil, nil
		return false
	}
	if c.holder == nil || c.holder.fence != fence {
		c.holder, c.pending = newHolder(now, fence), nil
	}
	c.holder.recordHeartbeat(now, c.Self, c.acked, c.leaving)
	if c.holder.canConfirm() {
		c.member.confirm(now, c.holder.view.Number)
		c.member.setAcks(c.holder.acks())
	}
	return true
}

func (c *Cell) suspectsOwnLinks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.suspectsOwnLinks(c.Timer.Now())
}

func (c *Cell) hasReadView() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.viewRead
}

// readStoredView reads the last view before the term. The first view of the term
// follows it.
func (c *Cell) readStoredView(ctx context.Context) {
	c.retryAt = c.Timer.Now().Add(retryPeriod)
	v, version, _, err := c.getView(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil && version >= c.member.seenVersion {
		c.retryAt = time.Time{}
		c.holder.setStoredView(v, version)
		c.member.seenVersion = version
	}
}

// prepareWrite reports whether a view has to be written and sets c.pending. From
// then on no view is confirmed until the outcome of the write is known.
func (c *Cell) prepareWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return true
	}
	v := c.holder.nextView(c.Timer.Now(), c.Self)
	if v == nil {
		return false
	}
	c.pending = &viewWrite{view: v, changeID: rand.Text(), expected: c.holder.version}
	c.holder.confirming = false
	return true
}

func (c *Cell) writeView(ctx context.Context) {
	c.retryAt = c.Timer.Now().Add(retryPeriod)
	c.mu.Lock()
	h, w := c.holder, c.pending
	c.mu.Unlock()
	data, err := json.Marshal(w.view)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "btview: view cannot be encoded"))
	}
	version, err := c.Store.Put(ctx, bramleytack.Object{Key: c.key(), ChangeID: w.changeID, Data: data}, w.expected)
	switch {
	case err == nil:
		c.completeWrite(h, w, version)
	case errors.Is(err, bramleytack.ErrStoreDown):
		c.cancelWrite(h, w)
	default:
		w.mayTakeEffect = true
		c.readBack(ctx, h, w)
	}
}

// cancelWrite confirms the current view again after an attempt that had no
// effect, unless an earlier attempt may still take effect.
func (c *Cell) cancelWrite(h *holder, w *viewWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != h || w.mayTakeEffect {
		return
	}
	c.pending = nil
	h.confirming = true
}

// readBack reads the view object to learn whether a write took effect. While the
// object is unchanged, the write stays pending and is sent again.
func (c *Cell) readBack(ctx context.Context, h *holder, w *viewWrite) {
	v, version, changeID, err := c.getView(ctx)
	if err != nil {
		return
	}
	if changeID == w.changeID {
		c.completeWrite(h, w, version)
		return
	}
	if version <= w.expected {
		return
	}
	// A late write of a former holder came first.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder == h {
		c.pending = nil
		h.setStoredView(v, version)
	}
}

// completeWrite installs a view that is in the store and pushes it.
func (c *Cell) completeWrite(h *holder, w *viewWrite, version bramleytack.Revision) {
	c.mu.Lock()
	current := c.holder == h
	if current {
		c.pending = nil
		h.setWritten(c.Timer.Now(), w.view, version)
		c.member.seenVersion = max(c.member.seenVersion, version)
	}
	c.mu.Unlock()
	if !current {
		return
	}
	c.retryAt = time.Time{}
	c.install(w.view)
	c.pushView(h, w.view)
}

// pushView sends a view to its members and to those of earlier views.
func (c *Cell) pushView(h *holder, v *View) {
	c.mu.Lock()
	m := &btwire.ViewPush{View: encodeView(c.Name, v), Acknowledgements: encodeAcks(h.acks())}
	c.mu.Unlock()
	sent := map[bramleytack.HostID]bool{c.Self.Host: true}
	send := func(members []Member) {
		for _, to := range members {
			if !sent[to.Host] {
				sent[to.Host] = true
				c.pushes.Go(func() { c.pushTo(h, to, m) })
			}
		}
	}
	send(v.Members)
	for _, p := range v.Previous {
		send(p.Members)
	}
}

func (c *Cell) pushTo(h *holder, to Member, m *btwire.ViewPush) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ack, err := c.Transport.Push(ctx, to.Host, m)
	if err != nil {
		// The next heartbeat of the member gets the view.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := h.peers[to.Host]; ok && p.member.Incarnation == ack.GetIncarnation() {
		p.acked = max(p.acked, ack.GetViewNumber())
	}
}

// announceAllAcked pushes the view once more when all members have acknowledged
// it, so that new owners learn this before their next heartbeat. It reports
// whether it did.
func (c *Cell) announceAllAcked() bool {
	c.mu.Lock()
	h := c.holder
	due := h.markAnnounced()
	c.mu.Unlock()
	if due {
		c.pushView(h, h.view)
	}
	return due
}

// allAcksAnnounced reports whether all members have acknowledged the view and
// this was announced. It is true if the daemon is not the holder.
func (c *Cell) allAcksAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder == nil || c.holder.allAcked() && c.holder.announced == c.holder.view.Number
}

// readHostList reads the host list while acknowledgements are missing and records
// which hosts of earlier views are no longer in it.
func (c *Cell) readHostList(ctx context.Context) {
	if !c.hostListDue() {
		return
	}
	list, err := c.Store.Hosts(ctx)
	if err != nil || len(list.Hosts) == 0 {
		return
	}
	listed := map[netip.Addr]bool{}
	for _, s := range list.Hosts {
		listed[s.Addr] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil {
		c.holder.markGone(listed)
	}
}

func (c *Cell) hostListDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	if !c.holder.canConfirm() || now.Sub(c.hostsReadAt) < hostListPeriod || len(c.holder.acks().missing) == 0 {
		return false
	}
	c.hostsReadAt = now
	return true
}

// markGone records the hosts of earlier views whose addresses are not in listed.
func (h *holder) markGone(listed map[netip.Addr]bool) {
	gone := map[bramleytack.HostID]bool{}
	for _, p := range h.view.Previous {
		for _, m := range p.Members {
			if !listed[m.PeerAddr.Addr()] {
				gone[m.Host] = true
			}
		}
	}
	h.gone = gone
}
