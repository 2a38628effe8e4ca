package btview

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btlease"
	"bramleytack/btwire"
)

// Cell is a daemon's part in the membership of its cell. The exported fields
// are set before Run and not changed after it.
type Cell struct {
	Name      bramleytack.CellID
	Self      Member
	Lease     *btlease.Lease
	Store     bramleytack.Store
	Timer     bramleytack.Timer
	Transport Transport
	// OnView is called with each installed view before it is acknowledged. It
	// must return soon. It may be nil.
	OnView func(*View)
	// ConfigRevision returns the revision of the daemon's configuration, for
	// heartbeats and their replies. It may be nil.
	ConfigRevision func() bramleytack.Revision
	// OnConfigRevision is called with the revision of a peer. It may be nil.
	OnConfigRevision func(host bramleytack.HostID, r bramleytack.Revision)

	// installing keeps installations and their callbacks in order.
	installing chan struct{}

	mu      sync.Mutex
	member  member
	acked   uint64
	holder  *holder
	pending *viewWrite
	hostsAt time.Time
	target  target
	// term is the newest term of the lease that target was taken from.
	term    uint64
	rotate  int
	readAt  time.Time
	leaving bool
	// retryAt is when the holder's loop may call the store again. Only the
	// loop uses it.
	retryAt time.Time
	// failures counts heartbeats without the holder's answer in a row. Only
	// the heartbeats' loop uses it.
	failures int
	beat     chan struct{}
	once     sync.Once
	pushes   sync.WaitGroup
}

// target is the daemon that heartbeats go to.
type target struct {
	host bramleytack.HostID
	addr netip.AddrPort
}

// Run takes part in the cell until ctx ends.
func (c *Cell) Run(ctx context.Context) {
	c.init()
	var running sync.WaitGroup
	running.Go(func() { c.beatLoop(ctx) })
	running.Go(func() { c.readLoop(ctx) })
	running.Go(func() { c.holdLoop(ctx) })
	running.Wait()
	c.pushes.Wait()
}

// View returns the installed view, or nil.
func (c *Cell) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.view
}

// Owner returns the owner of an upstream by the installed view, and the view's
// number. The host is empty when there is no view.
func (c *Cell) Owner(id bramleytack.UpstreamID) (bramleytack.HostID, uint64) {
	v := c.View()
	if v == nil {
		return "", 0
	}
	m, _ := v.Owner(id)
	return m.Host, v.Number
}

// MayGrant says how far this daemon may grant reservations of an upstream now.
func (c *Cell) MayGrant(id bramleytack.UpstreamID) Permission {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	return c.member.mayGrant(now, id, c.member.lease(now))
}

// Leave takes the daemon out of the view and gives the lease up. It returns
// when both are done, or with the context's error. Run has to go on meanwhile.
func (c *Cell) Leave(ctx context.Context) error {
	c.init()
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	for c.isMember() {
		c.sendLeaving(ctx)
		if err := c.Timer.Sleep(ctx, tickPeriod); err != nil {
			return errors.Wrap(err, "btview: the view still has the leaving member")
		}
	}
	// The next holder knows no acknowledgements yet. Owners that start in this
	// view would have to wait again.
	for end := c.Timer.Now().Add(SettleDuration); !c.settled() && c.Timer.Now().Before(end); {
		if err := c.Timer.Sleep(ctx, tickPeriod); err != nil {
			break
		}
	}
	return c.Lease.Release(ctx)
}

func (c *Cell) isMember() bool {
	v := c.View()
	if v == nil {
		return false
	}
	m, ok := v.Member(c.Self.Host)
	// The last member cannot leave a view without members.
	return ok && same(m, c.Self) && len(v.Members) > 1
}

func (c *Cell) sendLeaving(ctx context.Context) {
	to, ok := c.heartbeatTarget()
	if !ok || to.host == c.Self.Host {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A lost message is made up for by the heartbeat, which says the same.
	_, _ = c.Transport.State(ctx, to.host, &btwire.EntryState{
		Cell: string(c.Name), Member: encodeMember(c.Self), Leaving: true,
	})
}

func (c *Cell) init() {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.beat = make(chan struct{}, 1)
		c.installing = make(chan struct{}, 1)
		c.member.self = c.Self
	})
}

// install takes a newer view, runs the callback and then acknowledges.
func (c *Cell) install(v *View) {
	// A push may arrive before Run.
	c.init()
	c.installing <- struct{}{}
	defer func() { <-c.installing }()
	c.mu.Lock()
	old := c.member.view
	ok := c.member.install(c.Timer.Now(), v)
	c.mu.Unlock()
	if !ok {
		return
	}
	c.connect(old, v)
	c.aim(v)
	if c.OnView != nil {
		c.OnView(v)
	}
	c.mu.Lock()
	c.acked = v.Number
	c.mu.Unlock()
	c.wake()
}

// connect makes the members of a view known to the transport.
func (c *Cell) connect(old, v *View) {
	for _, m := range v.Members {
		c.Transport.SetPeer(m.Host, m.PeerAddr)
	}
	if old == nil {
		return
	}
	for _, m := range old.Members {
		if _, ok := v.Member(m.Host); !ok && !inPrevious(v, m.Host) {
			c.Transport.RemovePeer(m.Host)
		}
	}
}

// aim sends the next heartbeats to the holder of a view.
func (c *Cell) aim(v *View) {
	m, ok := v.Member(v.Holder)
	if !ok || m.Host == c.Self.Host {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = target{m.Host, m.PeerAddr}
}

func inPrevious(v *View, host bramleytack.HostID) bool {
	return slices.ContainsFunc(v.Previous, func(p Previous) bool {
		_, ok := find(p.Members, host)
		return ok
	})
}

func (c *Cell) wake() {
	c.init()
	select {
	case c.beat <- struct{}{}:
	default:
	}
}

// readLoop renews the view lease from the store while the holder does not.
func (c *Cell) readLoop(ctx context.Context) {
	tick := c.Timer.Every(tickPeriod, 0)
	defer tick.Stop()
	for {
		if c.readDue() {
			c.readView(ctx)
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cell) readDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	stale := c.member.lease(now) <= LeaseDuration-readPeriod
	if !stale || now.Sub(c.readAt) < readPeriod {
		return false
	}
	c.readAt = now
	return true
}

func (c *Cell) readView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.Timer.Now()
	v, version, _, err := c.get(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.member.reached(c.Timer.Now())
	old := version < c.member.version
	c.member.version = max(c.member.version, version)
	c.mu.Unlock()
	if v == nil || old {
		return
	}
	c.install(v)
	c.mu.Lock()
	c.member.confirm(sent, v.Number)
	c.mu.Unlock()
}

// get reads the view object. The view is nil if there is none.
func (c *Cell) get(ctx context.Context) (*View, bramleytack.Revision, string, error) {
	o, err := c.Store.Get(ctx, c.key())
	if errors.Is(err, bramleytack.ErrNotFound) {
		return nil, 0, "", nil
	}
	if err != nil {
		return nil, 0, "", err
	}
	v := &View{}
	if err := json.Unmarshal(o.Data, v); err != nil {
		return nil, 0, "", errors.Wrap(err, "btview: view object cannot be decoded")
	}
	return v, o.Version, o.ChangeID, nil
}

func (c *Cell) key() bramleytack.Key {
	return bramleytack.Key{Kind: Kind, Name: string(c.Name)}
}

func (c *Cell) configRevision() uint64 {
	if c.ConfigRevision == nil {
		return 0
	}
	return uint64(c.ConfigRevision())
}

func (c *Cell) sawConfig(host bramleytack.HostID, r uint64) {
	if c.OnConfigRevision != nil {
		c.OnConfigRevision(host, bramleytack.Revision(r))
	}
}

// LastContact returns the time of the last answer of the store or of a peer.
func (c *Cell) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.contact
}

// ViewLeaseStart returns the start of the view lease: when this member last asked the
// holder or the store with success.
func (c *Cell) ViewLeaseStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.leaseStart
}
