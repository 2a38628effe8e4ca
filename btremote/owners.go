package btremote

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"bramleytack"
	"bramleytack/btowner"
	"bramleytack/btpeer"
	"bramleytack/btramp"
	"bramleytack/btroute"
	"bramleytack/btview"
	"bramleytack/btwire"
)

const (
	// reserveTimeout bounds the wait for an owner. A reservation takes one
	// round trip between failure domains.
	reserveTimeout = 500 * time.Millisecond
	// adoptTimeout bounds how long reporting reservations to new owners delays the
	// acknowledgement of a view.
	adoptTimeout = 1500 * time.Millisecond
	// adoptRetry is the time between two attempts to reach an owner, such as one
	// that has just restarted.
	adoptRetry = 100 * time.Millisecond
	// maxPendingAdoptions bounds the adoptions that wait for a view. Further ones
	// are dropped.
	maxPendingAdoptions = 4096
	// unownedRetryAfter is the retry-after value while an upstream has no owner,
	// about the time until the next view.
	unownedRetryAfter = time.Second
	// freeSlotQueueSize bounds the notifications of free slots that wait to be sent.
	freeSlotQueueSize = 256
)

// Owners implements bramleytack.Owner for all upstreams of a cell.
type Owners struct {
	Self  bramleytack.HostID
	Node  *btpeer.Node
	Cell  *btview.Cell
	Table *btowner.Table
	Loads *btroute.Loads
	Timer bramleytack.Timer

	// OnFreeCapacity is called when an upstream of any owner may have a free slot
	// for one more request of this entry. It may be nil.
	OnFreeCapacity func(bramleytack.UpstreamID)

	mu   sync.Mutex
	held map[bramleytack.GrantID]heldReservation
	// pendingAdoptions holds adoptions that arrived before this member installed
	// the view that makes it the owner.
	pendingAdoptions map[bramleytack.GrantID]heldReservation
	// rejectedEntries holds, by upstream, the entries to which a reservation was
	// denied for lack of capacity, oldest first.
	rejectedEntries map[bramleytack.UpstreamID][]bramleytack.HostID
	freeSlots       chan freeSlot
}

// freeSlot is a notification for an entry that lacked capacity before.
type freeSlot struct {
	entry    bramleytack.HostID
	upstream bramleytack.UpstreamID
}

// heldReservation is a reservation that an entry uses.
type heldReservation struct {
	reservation bramleytack.Reservation
	instance    bramleytack.InstanceID
	requestedAt time.Time
}

// Register registers the handlers for reservations of other entries. It must be
// called before Run.
func (o *Owners) Register(mux *btpeer.Mux) {
	btpeer.Handle(mux, o.handleReserve)
	btpeer.Handle(mux, o.handleRelease)
	btpeer.Handle(mux, o.handleAdopt)
	btpeer.Handle(mux, o.handleFreeCapacity)
	o.freeSlots = make(chan freeSlot, freeSlotQueueSize)
}

// Run notifies entries of free slots until the context ends.
func (o *Owners) Run(ctx context.Context) {
	for {
		select {
		case slot := <-o.freeSlots:
			o.notifyEntry(ctx, slot)
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owners) notifyEntry(ctx context.Context, slot freeSlot) {
	if slot.entry == o.Self {
		o.notifyFreeCapacity(slot.upstream)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	// A lost notification needs no retry: the entry tries again by itself after a
	// while.
	_, _ = btpeer.Call[btwire.Room, btwire.RoomReply](ctx, o.Node, slot.entry, &btwire.Room{Upstream: string(slot.upstream)})
}

func (o *Owners) notifyFreeCapacity(id bramleytack.UpstreamID) {
	if o.OnFreeCapacity != nil {
		o.OnFreeCapacity(id)
	}
}

// reserveLocal makes a reservation at an upstream that this daemon owns. If there
// is no free capacity, the entry is notified after a later release.
func (o *Owners) reserveLocal(ctx context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	g, err := o.Table.Reserve(ctx, r)
	if err == nil || bramleytack.AsError(err).Code != bramleytack.CodeOverloaded {
		return g, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rejectedEntries == nil {
		o.rejectedEntries = map[bramleytack.UpstreamID][]bramleytack.HostID{}
	}
	if list := o.rejectedEntries[r.Upstream]; !slices.Contains(list, r.Entry) {
		o.rejectedEntries[r.Upstream] = append(list, r.Entry)
	}
	return g, err
}

// releaseLocal frees a slot of an upstream that this daemon owns and notifies the
// entry that has waited longest. If the queue is full, a later release notifies it.
func (o *Owners) releaseLocal(ctx context.Context, v bramleytack.Release) error {
	err := o.Table.Release(ctx, v)
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.rejectedEntries[v.Upstream]
	if len(list) == 0 {
		return err
	}
	select {
	case o.freeSlots <- freeSlot{entry: list[0], upstream: v.Upstream}:
		o.rejectedEntries[v.Upstream] = slices.Delete(list, 0, 1)
	default:
	}
	return err
}

func (o *Owners) handleFreeCapacity(_ context.Context, _ bramleytack.HostID, m *btwire.Room) (*btwire.RoomReply, error) {
	o.notifyFreeCapacity(bramleytack.UpstreamID(m.GetUpstream()))
	return &btwire.RoomReply{}, nil
}

// Reserve implements bramleytack.Owner.
func (o *Owners) Reserve(ctx context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	requestedAt := o.Timer.Now()
	owner, view := o.Cell.Owner(r.Upstream)
	var g bramleytack.Grant
	var err error
	switch owner {
	case "":
		return g, bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream %s has no owner", r.Upstream).
			WithRetryAfter(unownedRetryAfter)
	case o.Self:
		g, err = o.reserveLocal(ctx, r)
	default:
		g, err = o.reserveRemote(ctx, owner, view, r, requestedAt)
	}
	if err != nil {
		return g, err
	}
	// The reservation is recorded before the view is read. If a view is installed
	// in between, either this check sees it or ReportReservations sends the
	// reservation to the new owner.
	o.addHeld(r, g, requestedAt)
	if _, current := o.Cell.Owner(r.Upstream); g.ViewNumber < current {
		o.releaseAtOwners(ctx, owner, r)
		return bramleytack.Grant{}, bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "grant is of an earlier view")
	}
	return g, nil
}

// releaseAtOwners releases a reservation at the owner that granted it and at the
// current owner, which may have adopted it.
func (o *Owners) releaseAtOwners(ctx context.Context, owner bramleytack.HostID, r bramleytack.Reservation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveTimeout)
	defer cancel()
	v := bramleytack.Release{Grant: r.Grant, Upstream: r.Upstream, Outcome: bramleytack.NotRun}
	if current, _ := o.Cell.Owner(r.Upstream); current != owner {
		if owner == o.Self {
			_ = o.Table.Release(ctx, v)
		} else {
			_ = o.releaseRemote(ctx, owner, v)
		}
	}
	_ = o.Release(ctx, v)
}

// reserveRemote makes a reservation at another daemon. The validity of the grant
// counts from requestedAt, by the clock of this daemon.
func (o *Owners) reserveRemote(
	ctx context.Context, owner bramleytack.HostID, view uint64, r bramleytack.Reservation, requestedAt time.Time,
) (bramleytack.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := btpeer.Call[btwire.Reserve, btwire.ReserveReply](ctx, o.Node, owner, encodeReservation(r, view, requestedAt))
	if err != nil {
		return bramleytack.Grant{}, err
	}
	now := o.Timer.Now()
	for _, d := range reply.GetDigests() {
		o.Loads.SetDigest(now, decodeDigest(d, now))
	}
	if reply.GetRefusal() != nil {
		return bramleytack.Grant{}, decodeRefusal(reply.GetRefusal())
	}
	m := reply.GetGrant()
	return bramleytack.Grant{
		ID: r.Grant, Upstream: r.Upstream, Instance: bramleytack.InstanceID(m.GetInstance()),
		ViewNumber: m.GetViewNumber(), ValidUntil: requestedAt.Add(m.GetValidFor().AsDuration()),
	}, nil
}

// Release implements bramleytack.Owner.
func (o *Owners) Release(ctx context.Context, v bramleytack.Release) error {
	o.mu.Lock()
	delete(o.held, v.Grant)
	o.mu.Unlock()
	owner, _ := o.Cell.Owner(v.Upstream)
	switch owner {
	case "":
		return nil
	case o.Self:
		return o.releaseLocal(ctx, v)
	default:
		return o.releaseRemote(ctx, owner, v)
	}
}

func (o *Owners) releaseRemote(ctx context.Context, owner bramleytack.HostID, v bramleytack.Release) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	_, err := btpeer.Call[btwire.Release, btwire.ReleaseReply](ctx, o.Node, owner, &btwire.Release{
		Grant: string(v.Grant), Upstream: string(v.Upstream), Entry: string(o.Self), Outcome: v.Outcome.String(),
		Failed: v.Failed, Abandoned: v.Abandoned, Tokens: int64(v.Tokens), FirstToken: durationpb.New(v.FirstToken),
	})
	return err
}

func (o *Owners) addHeld(r bramleytack.Reservation, g bramleytack.Grant, requestedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == nil {
		o.held = map[bramleytack.GrantID]heldReservation{}
	}
	o.held[r.Grant] = heldReservation{reservation: r, instance: g.Instance, requestedAt: requestedAt}
}

// ReportReservations sends the reservations that this entry holds to their current
// owners. It must be called when a view is installed, before the view is
// acknowledged.
func (o *Owners) ReportReservations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	now := o.Timer.Now()
	o.adoptLocal(o.takePendingAdoptions(now), now)
	byOwner := map[bramleytack.HostID][]heldReservation{}
	o.mu.Lock()
	for _, h := range o.held {
		owner, _ := o.Cell.Owner(h.reservation.Upstream)
		byOwner[owner] = append(byOwner[owner], h)
	}
	o.mu.Unlock()
	var sent sync.WaitGroup
	for owner, list := range byOwner {
		sent.Go(func() { o.sendAdopt(ctx, owner, list, now) })
	}
	sent.Wait()
}

// sendAdopt sends reservations to one owner and retries until ctx ends. If all
// attempts fail, the owner counts the requests by the load report, for which a new
// owner waits.
func (o *Owners) sendAdopt(ctx context.Context, owner bramleytack.HostID, list []heldReservation, now time.Time) {
	if owner == "" || owner == o.Self {
		o.adoptLocal(list, now)
		return
	}
	m := &btwire.Adopt{Entry: string(o.Self)}
	for _, h := range list {
		m.Reservations = append(m.Reservations, &btwire.HeldReservation{
			Reserve: encodeReservation(h.reservation, 0, now), Instance: string(h.instance), Age: durationpb.New(now.Sub(h.requestedAt)),
		})
	}
	for {
		call, cancel := context.WithTimeout(ctx, reserveTimeout)
		_, err := btpeer.Call[btwire.Adopt, btwire.AdoptReply](call, o.Node, owner, m)
		cancel()
		if err == nil || o.Timer.Sleep(ctx, adoptRetry) != nil {
			return
		}
	}
}

// takePendingAdoptions removes the pending adoptions and returns those whose
// deadline has not passed.
func (o *Owners) takePendingAdoptions(now time.Time) []heldReservation {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []heldReservation
	for _, h := range o.pendingAdoptions {
		if now.Before(h.reservation.Deadline) {
			list = append(list, h)
		}
	}
	clear(o.pendingAdoptions)
	return list
}

// addPendingAdoption stores an adoption of an upstream that this daemon does not
// own yet.
func (o *Owners) addPendingAdoption(h heldReservation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pendingAdoptions == nil {
		o.pendingAdoptions = map[bramleytack.GrantID]heldReservation{}
	}
	if len(o.pendingAdoptions) < maxPendingAdoptions {
		o.pendingAdoptions[h.reservation.Grant] = h
	}
}

func (o *Owners) adoptLocal(list []heldReservation, now time.Time) {
	byUpstream := map[bramleytack.UpstreamID][]btowner.HeldReservation{}
	for _, h := range list {
		id := h.reservation.Upstream
		byUpstream[id] = append(byUpstream[id], btowner.HeldReservation{Reservation: h.reservation, Instance: h.instance, Age: now.Sub(h.requestedAt)})
	}
	for id, held := range byUpstream {
		o.Table.Adopt(id, held)
	}
}

// ReservationCount returns the number of reservations that this entry holds.
func (o *Owners) ReservationCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.held)
}

// Ownership implements btowner.OwnershipSource from the current view.
func (o *Owners) Ownership(_ time.Time, id bramleytack.UpstreamID) (btowner.Ownership, bool) {
	p := o.Cell.MayGrant(id)
	switch p.Mode {
	case btview.Full:
		return btowner.Ownership{ViewNumber: p.ViewNumber, Mode: btramp.Normal}, true
	case btview.Fallback:
		return btowner.Ownership{ViewNumber: p.ViewNumber, Mode: btramp.Fallback}, true
	case btview.HalfWithheld:
		return btowner.Ownership{ViewNumber: p.ViewNumber, Mode: btramp.ReserveHalf}, true
	default:
		return btowner.Ownership{}, false
	}
}

func (o *Owners) handleReserve(ctx context.Context, from bramleytack.HostID, m *btwire.Reserve) (*btwire.ReserveReply, error) {
	now := o.Timer.Now()
	r := decodeReservation(m, now)
	// The entry is identified by its certificate. The entry field of the message is
	// ignored.
	r.Entry = from
	g, err := o.reserveLocal(ctx, r)
	reply := &btwire.ReserveReply{ViewNumber: g.ViewNumber}
	if d, ok := o.Table.Digest(r.Upstream); ok {
		reply.Digests = append(reply.Digests, encodeDigest(d, now))
	}
	if err != nil {
		reply.Refusal = encodeRefusal(bramleytack.AsError(err))
		return reply, nil
	}
	reply.Grant = &btwire.Grant{
		Id: string(g.ID), Upstream: string(g.Upstream), Instance: string(g.Instance),
		ViewNumber: g.ViewNumber, ValidFor: durationpb.New(btowner.GrantValidity),
	}
	return reply, nil
}

func (o *Owners) handleRelease(ctx context.Context, _ bramleytack.HostID, m *btwire.Release) (*btwire.ReleaseReply, error) {
	o.mu.Lock()
	delete(o.pendingAdoptions, bramleytack.GrantID(m.GetGrant()))
	o.mu.Unlock()
	err := o.releaseLocal(ctx, bramleytack.Release{
		Grant: bramleytack.GrantID(m.GetGrant()), Upstream: bramleytack.UpstreamID(m.GetUpstream()),
		Outcome: bramleytack.ParseOutcome(m.GetOutcome()), Failed: m.GetFailed(), Tokens: int(m.GetTokens()),
		Abandoned: m.GetAbandoned(), FirstToken: m.GetFirstToken().AsDuration(),
	})
	return &btwire.ReleaseReply{Known: err == nil}, nil
}

func (o *Owners) handleAdopt(_ context.Context, from bramleytack.HostID, m *btwire.Adopt) (*btwire.AdoptReply, error) {
	now := o.Timer.Now()
	list := make([]heldReservation, 0, len(m.GetReservations()))
	for _, h := range m.GetReservations() {
		r := decodeReservation(h.GetReserve(), now)
		r.Entry = from
		held := heldReservation{
			reservation: r, instance: bramleytack.InstanceID(h.GetInstance()),
			requestedAt: now.Add(-h.GetAge().AsDuration()),
		}
		if o.Table.Owns(r.Upstream) {
			list = append(list, held)
		} else {
			o.addPendingAdoption(held)
		}
	}
	o.adoptLocal(list, now)
	return &btwire.AdoptReply{}, nil
}
