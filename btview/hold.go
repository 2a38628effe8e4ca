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

// viewWrite is a write of a view whose outcome is not known yet. Until it is,
// no view is confirmed.
type viewWrite struct {
	view     *View
	changeID string
	expected bramleytack.Revision
	unknown  bool
}

// holdLoop does the holder's work while the daemon holds the lease.
func (c *Cell) holdLoop(ctx context.Context) {
	tick := c.Timer.Every(tickPeriod, 0)
	defer tick.Stop()
	for {
		c.hold(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cell) hold(ctx context.Context) {
	if !c.lead() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch {
	case c.Timer.Now().Before(c.retryAt):
	case c.cutOff():
		// A failed resignation is tried again, or the lease ends.
		_ = c.Lease.Resign(ctx, resignBackoff)
	case !c.hasRead():
		c.take(ctx)
	case c.prepare():
		c.write(ctx)
	case c.announce():
	default:
		c.readHosts(ctx)
	}
}

// lead starts a term after an acquisition and counts the holder as a member
// that sent a heartbeat. It reports whether the daemon is the holder.
func (c *Cell) lead() bool {
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
	c.holder.heartbeat(now, c.Self, c.acked, c.leaving)
	if c.holder.confirms() {
		c.member.confirm(now, c.holder.view.Number)
		c.member.acknowledged(c.holder.acks())
	}
	return true
}

func (c *Cell) cutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.cutOff(c.Timer.Now())
}

func (c *Cell) hasRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.read
}

// take reads the view that the term begins with.
func (c *Cell) take(ctx context.Context) {
	c.retryAt = c.Timer.Now().Add(retryPeriod)
	v, version, _, err := c.get(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil && version >= c.member.version {
		c.retryAt = time.Time{}
		c.holder.took(v, version)
		c.member.version = version
	}
}

// prepare reports whether a view has to be written. From then on no view is
// confirmed until the write's outcome is known.
func (c *Cell) prepare() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return true
	}
	v := c.holder.next(c.Timer.Now(), c.Self)
	if v == nil {
		return false
	}
	c.pending = &viewWrite{view: v, changeID: rand.Text(), expected: c.holder.version}
	c.holder.confirming = false
	return true
}

func (c *Cell) write(ctx context.Context) {
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
		c.wrote(h, w, version)
	case errors.Is(err, bramleytack.ErrStoreDown):
		c.notWritten(h, w)
	default:
		w.unknown = true
		c.readBack(ctx, h, w)
	}
}

// notWritten resumes the confirmation of the current view after an attempt
// that had no effect, unless an earlier attempt may have had one.
func (c *Cell) notWritten(h *holder, w *viewWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != h || w.unknown {
		return
	}
	c.pending = nil
	h.confirming = true
}

// readBack finds out whether a write took effect. While the object is
// unchanged the write stays pending and is sent again.
func (c *Cell) readBack(ctx context.Context, h *holder, w *viewWrite) {
	v, version, changeID, err := c.get(ctx)
	if err != nil {
		return
	}
	if changeID == w.changeID {
		c.wrote(h, w, version)
		return
	}
	if version <= w.expected {
		return
	}
	// A former holder's late write came first.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder == h {
		c.pending = nil
		h.took(v, version)
	}
}

// wrote brings a written view into use.
func (c *Cell) wrote(h *holder, w *viewWrite, version bramleytack.Revision) {
	c.mu.Lock()
	current := c.holder == h
	if current {
		c.pending = nil
		h.wrote(c.Timer.Now(), w.view, version)
		c.member.version = max(c.member.version, version)
	}
	c.mu.Unlock()
	if !current {
		return
	}
	c.retryAt = time.Time{}
	c.install(w.view)
	c.push(h, w.view)
}

// push sends a view to its members and to those of earlier views.
func (c *Cell) push(h *holder, v *View) {
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

// announce tells the members once that all acknowledgements of a view are
// there, so that new owners need not wait for their next heartbeat.
func (c *Cell) announce() bool {
	c.mu.Lock()
	h := c.holder
	due := h.announce()
	c.mu.Unlock()
	if due {
		c.push(h, h.view)
	}
	return due
}

// settled reports whether the daemon, if it is the holder, has told all
// members that its view is settled.
func (c *Cell) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder == nil || c.holder.settled() && c.holder.announced == c.holder.view.Number
}

// readHosts looks for hosts that are gone while their acknowledgement is
// missing.
func (c *Cell) readHosts(ctx context.Context) {
	if !c.hostsDue() {
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

func (c *Cell) hostsDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	if !c.holder.confirms() || now.Sub(c.hostsAt) < hostsPeriod || len(c.holder.acks().missing) == 0 {
		return false
	}
	c.hostsAt = now
	return true
}

// markGone records the hosts of earlier views that are not listed.
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
