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

// Cell is one daemon's participation in the membership of its cell. The exported
// fields must be set before the first call and not changed afterwards. Run is
// called once; the other methods are safe for concurrent use.
type Cell struct {
	Name      bramleytack.CellID
	Self      Member
	Lease     *btlease.Lease
	Store     bramleytack.Store
	Timer     bramleytack.Timer
	Transport Transport
	// OnView is called with each installed view before it is acknowledged. Calls
	// do not overlap. It must return soon. It may be nil.
	OnView func(*View)
	// ConfigRevision returns the revision of the daemon's configuration, for
	// heartbeats and their replies. It may be nil.
	ConfigRevision func() bramleytack.Revision
	// OnConfigRevision is called with each configuration revision that a peer
	// reports. It may be nil.
	OnConfigRevision func(host bramleytack.HostID, r bramleytack.Revision)

	// installing is a lock that orders installations and their OnView calls.
	installing chan struct{}

	mu     sync.Mutex
	member memberState
	// acked is the number of the newest view for which OnView has returned.
	acked uint64
	// holder is nil while this daemon does not hold the lease.
	holder *holder
	// pending is nil while no write of a view is pending.
	pending     *viewWrite
	hostsReadAt time.Time
	target      target
	// targetTerm is the newest term of the lease for which target was set from
	// the lease object.
	targetTerm uint64
	// targetTurn counts the changes of target after failures.
	targetTurn int
	viewReadAt time.Time
	leaving    bool
	// retryAt is the earliest time of the holder loop's next step. Only
	// holderLoop uses it.
	retryAt time.Time
	// failures counts consecutive heartbeats without a reply of the holder. Only
	// heartbeatLoop uses it.
	failures     int
	heartbeatNow chan struct{}
	once         sync.Once
	pushes       sync.WaitGroup
}

// target is the daemon that heartbeats go to.
type target struct {
	host bramleytack.HostID
	addr netip.AddrPort
}

// Run runs the membership protocol until ctx ends. It does not leave the cell.
func (c *Cell) Run(ctx context.Context) {
	c.init()
	var running sync.WaitGroup
	running.Go(func() { c.heartbeatLoop(ctx) })
	running.Go(func() { c.viewReadLoop(ctx) })
	running.Go(func() { c.holderLoop(ctx) })
	running.Wait()
	c.pushes.Wait()
}

// View returns the installed view, or nil if there is none yet.
func (c *Cell) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.view
}

// Owner returns the owner of an upstream in the installed view, and the view's
// number. The host is empty if there is no view.
func (c *Cell) Owner(id bramleytack.UpstreamID) (bramleytack.HostID, uint64) {
	v := c.View()
	if v == nil {
		return "", 0
	}
	m, _ := v.Owner(id)
	return m.Host, v.Number
}

// MayGrant returns to what extent this daemon may grant reservations of an
// upstream now.
func (c *Cell) MayGrant(id bramleytack.UpstreamID) Permission {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	return c.member.mayGrant(now, id, c.member.leaseRemaining(now))
}

// Leave removes the daemon from the view and releases the lease. It returns when
// both are done, or with the context's error. Run must be running meanwhile.
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
	// The next holder does not know the acknowledgements that this one has. If
	// the lease were released now, the new owners of this view would have to wait
	// again.
	for end := c.Timer.Now().Add(AckTimeout); !c.allAcksAnnounced() && c.Timer.Now().Before(end); {
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
	return ok && sameIncarnation(m, c.Self) && len(v.Members) > 1
}

func (c *Cell) sendLeaving(ctx context.Context) {
	to, ok := c.heartbeatTarget()
	if !ok || to.host == c.Self.Host {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The error is ignored because the heartbeats announce the same.
	_, _ = c.Transport.AnnounceLeaving(ctx, to.host, &btwire.EntryState{
		Cell: string(c.Name), Member: encodeMember(c.Self), Leaving: true,
	})
}

func (c *Cell) init() {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heartbeatNow = make(chan struct{}, 1)
		c.installing = make(chan struct{}, 1)
		c.member.self = c.Self
	})
}

// install installs a view if it is newer than the current one, calls OnView and
// then acknowledges the view by a heartbeat.
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
	c.updatePeers(old, v)
	c.targetHolder(v)
	if c.OnView != nil {
		c.OnView(v)
	}
	c.mu.Lock()
	c.acked = v.Number
	c.mu.Unlock()
	c.triggerHeartbeat()
}

// updatePeers gives the transport the addresses of the new view's members and
// removes peers that are in neither this view nor its earlier ones.
func (c *Cell) updatePeers(old, v *View) {
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

// targetHolder makes the holder of a view the target of heartbeats.
func (c *Cell) targetHolder(v *View) {
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
		_, ok := findMember(p.Members, host)
		return ok
	})
}

func (c *Cell) triggerHeartbeat() {
	c.init()
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// viewReadLoop renews the view lease by reads of the view object while the holder
// does not renew it.
func (c *Cell) viewReadLoop(ctx context.Context) {
	tick := c.Timer.Every(tickPeriod, 0)
	defer tick.Stop()
	for {
		if c.viewReadDue() {
			c.readView(ctx)
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cell) viewReadDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Timer.Now()
	stale := c.member.leaseRemaining(now) <= LeaseDuration-viewReadPeriod
	if !stale || now.Sub(c.viewReadAt) < viewReadPeriod {
		return false
	}
	c.viewReadAt = now
	return true
}

func (c *Cell) readView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.Timer.Now()
	v, version, _, err := c.getView(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.member.recordContact(c.Timer.Now())
	outdated := version < c.member.seenVersion
	c.member.seenVersion = max(c.member.seenVersion, version)
	c.mu.Unlock()
	if v == nil || outdated {
		return
	}
	c.install(v)
	c.mu.Lock()
	c.member.confirm(sent, v.Number)
	c.mu.Unlock()
}

// getView reads the view object and returns the view, the object's version and
// its change id. The view is nil if there is no object.
func (c *Cell) getView(ctx context.Context) (*View, bramleytack.Revision, string, error) {
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

func (c *Cell) reportConfigRevision(host bramleytack.HostID, r uint64) {
	if c.OnConfigRevision != nil {
		c.OnConfigRevision(host, bramleytack.Revision(r))
	}
}

// LastContact returns when a peer last sent a heartbeat, a view or a reply, or
// the store last answered a read of the view.
func (c *Cell) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.lastContact
}

// ViewLeaseStart returns when this member sent the newest heartbeat or read that
// confirmed its view.
func (c *Cell) ViewLeaseStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.leaseStart
}
