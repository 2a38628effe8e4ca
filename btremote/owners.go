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
	// adoptTimeout bounds what a change of ownership may delay the
	// acknowledgement of a view.
	adoptTimeout = 1500 * time.Millisecond
	// adoptRetry spaces the tries to reach an owner that has just restarted.
	adoptRetry = 100 * time.Millisecond
	// maxEarly bounds the adoptions that wait for a view.
	maxEarly = 4096
	// unownedRetry is the advice while an upstream has no owner: about the time
	// to the next view.
	unownedRetry = time.Second
	// roomQueue bounds the news of room that wait to be sent.
	roomQueue = 256
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
	held map[bramleytack.GrantID]heldGrant
	// early holds adoptions that arrived before this member installed the view
	// that makes it the owner.
	early map[bramleytack.GrantID]heldGrant
	// refused holds the entries that were refused for lack of room, oldest
	// first, by upstream.
	refused map[bramleytack.UpstreamID][]bramleytack.HostID
	rooms   chan room
}

// room is news for an entry that was refused.
type room struct {
	entry    bramleytack.HostID
	upstream bramleytack.UpstreamID
}

// heldGrant is a reservation that this entry uses.
type heldGrant struct {
	reservation bramleytack.Reservation
	instance    bramleytack.InstanceID
	asked       time.Time
}

// Register makes the daemon answer the reservations of other entries.
func (o *Owners) Register(mux *btpeer.Mux) {
	btpeer.Handle(mux, o.handleReserve)
	btpeer.Handle(mux, o.handleRelease)
	btpeer.Handle(mux, o.handleAdopt)
	btpeer.Handle(mux, o.handleRoom)
	o.rooms = make(chan room, roomQueue)
}

// Run tells entries of room until the context ends.
func (o *Owners) Run(ctx context.Context) {
	for {
		select {
		case r := <-o.rooms:
			o.tell(ctx, r)
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owners) tell(ctx context.Context, r room) {
	if r.entry == o.Self {
		o.announce(r.upstream)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	// An entry that misses the news tries again by itself after a while.
	_, _ = btpeer.Call[btwire.Room, btwire.RoomReply](ctx, o.Node, r.entry, &btwire.Room{Upstream: string(r.upstream)})
}

func (o *Owners) announce(id bramleytack.UpstreamID) {
	if o.OnFreeCapacity != nil {
		o.OnFreeCapacity(id)
	}
}

// reserveHere reserves an owned upstream for an entry and remembers the entry
// if there is no room.
func (o *Owners) reserveHere(ctx context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	g, err := o.Table.Reserve(ctx, r)
	if err == nil || bramleytack.AsError(err).Code != bramleytack.CodeOverloaded {
		return g, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil {
		o.refused = map[bramleytack.UpstreamID][]bramleytack.HostID{}
	}
	if list := o.refused[r.Upstream]; !slices.Contains(list, r.Entry) {
		o.refused[r.Upstream] = append(list, r.Entry)
	}
	return g, err
}

// releaseHere frees a place of an owned upstream and offers it to the entry
// that has waited longest.
func (o *Owners) releaseHere(ctx context.Context, v bramleytack.Release) error {
	err := o.Table.Release(ctx, v)
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.refused[v.Upstream]
	if len(list) == 0 {
		return err
	}
	select {
	case o.rooms <- room{entry: list[0], upstream: v.Upstream}:
		o.refused[v.Upstream] = slices.Delete(list, 0, 1)
	default:
	}
	return err
}

func (o *Owners) handleRoom(_ context.Context, _ bramleytack.HostID, m *btwire.Room) (*btwire.RoomReply, error) {
	o.announce(bramleytack.UpstreamID(m.GetUpstream()))
	return &btwire.RoomReply{}, nil
}

// Reserve implements bramleytack.Owner.
func (o *Owners) Reserve(ctx context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	asked := o.Timer.Now()
	owner, view := o.Cell.Owner(r.Upstream)
	var g bramleytack.Grant
	var err error
	switch owner {
	case "":
		return g, bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "upstream %s has no owner", r.Upstream).
			WithRetryAfter(unownedRetry)
	case o.Self:
		g, err = o.reserveHere(ctx, r)
	default:
		g, err = o.reserveAt(ctx, owner, view, r, asked)
	}
	if err != nil {
		return g, err
	}
	// The grant is held before the view is looked at: a view that is installed
	// in between is either seen here or its owner is told of the grant.
	o.hold(r, g, asked)
	if _, current := o.Cell.Owner(r.Upstream); g.ViewNumber < current {
		o.giveUp(ctx, owner, r)
		return bramleytack.Grant{}, bramleytack.NewError(bramleytack.CodeNoUpstream, bramleytack.NotRun, "grant is of an earlier view")
	}
	return g, nil
}

// giveUp ends a reservation at the owner that granted it and at the current one,
// which may have adopted it.
func (o *Owners) giveUp(ctx context.Context, owner bramleytack.HostID, r bramleytack.Reservation) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveTimeout)
	defer cancel()
	v := bramleytack.Release{Grant: r.Grant, Upstream: r.Upstream, Outcome: bramleytack.NotRun}
	if current, _ := o.Cell.Owner(r.Upstream); current != owner {
		if owner == o.Self {
			_ = o.Table.Release(ctx, v)
		} else {
			_ = o.releaseAt(ctx, owner, v)
		}
	}
	_ = o.Release(ctx, v)
}

// reserveAt asks the owner over its link.
func (o *Owners) reserveAt(
	ctx context.Context, owner bramleytack.HostID, view uint64, r bramleytack.Reservation, asked time.Time,
) (bramleytack.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reply, err := btpeer.Call[btwire.Reserve, btwire.ReserveReply](ctx, o.Node, owner, encodeReservation(r, view, asked))
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
		ViewNumber: m.GetViewNumber(), ValidUntil: asked.Add(m.GetValidFor().AsDuration()),
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
		return o.releaseHere(ctx, v)
	default:
		return o.releaseAt(ctx, owner, v)
	}
}

func (o *Owners) releaseAt(ctx context.Context, owner bramleytack.HostID, v bramleytack.Release) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	_, err := btpeer.Call[btwire.Release, btwire.ReleaseReply](ctx, o.Node, owner, &btwire.Release{
		Grant: string(v.Grant), Upstream: string(v.Upstream), Entry: string(o.Self), Outcome: v.Outcome.String(),
		Failed: v.Failed, Abandoned: v.Abandoned, Tokens: int64(v.Tokens), FirstToken: durationpb.New(v.FirstToken),
	})
	return err
}

func (o *Owners) hold(r bramleytack.Reservation, g bramleytack.Grant, asked time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == nil {
		o.held = map[bramleytack.GrantID]heldGrant{}
	}
	o.held[r.Grant] = heldGrant{reservation: r, instance: g.Instance, asked: asked}
}

// ReportReservations tells the new owners which reservations this entry holds. It is called
// when a view is installed, before the view is acknowledged.
func (o *Owners) ReportReservations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	now := o.Timer.Now()
	o.adopt(o.takeEarly(now), now)
	byOwner := map[bramleytack.HostID][]heldGrant{}
	o.mu.Lock()
	for _, h := range o.held {
		owner, _ := o.Cell.Owner(h.reservation.Upstream)
		byOwner[owner] = append(byOwner[owner], h)
	}
	o.mu.Unlock()
	var sent sync.WaitGroup
	for owner, list := range byOwner {
		sent.Go(func() { o.adoptAt(ctx, owner, list, now) })
	}
	sent.Wait()
}

// adoptAt tells one owner. A lost message is made good by the load report,
// which a new owner waits for.
func (o *Owners) adoptAt(ctx context.Context, owner bramleytack.HostID, list []heldGrant, now time.Time) {
	if owner == "" || owner == o.Self {
		o.adopt(list, now)
		return
	}
	m := &btwire.Adopt{Entry: string(o.Self)}
	for _, h := range list {
		m.Reservations = append(m.Reservations, &btwire.HeldReservation{
			Reserve: encodeReservation(h.reservation, 0, now), Instance: string(h.instance), Age: durationpb.New(now.Sub(h.asked)),
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

// takeEarly returns the early adoptions and forgets them.
func (o *Owners) takeEarly(now time.Time) []heldGrant {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []heldGrant
	for _, h := range o.early {
		if now.Before(h.reservation.Deadline) {
			list = append(list, h)
		}
	}
	clear(o.early)
	return list
}

// keepEarly keeps the adoptions of an upstream that is not owned here yet.
func (o *Owners) keepEarly(h heldGrant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.early == nil {
		o.early = map[bramleytack.GrantID]heldGrant{}
	}
	if len(o.early) < maxEarly {
		o.early[h.reservation.Grant] = h
	}
}

func (o *Owners) adopt(list []heldGrant, now time.Time) {
	byUpstream := map[bramleytack.UpstreamID][]btowner.HeldReservation{}
	for _, h := range list {
		id := h.reservation.Upstream
		byUpstream[id] = append(byUpstream[id], btowner.HeldReservation{Reservation: h.reservation, Instance: h.instance, Age: now.Sub(h.asked)})
	}
	for id, held := range byUpstream {
		o.Table.Adopt(id, held)
	}
}

// ReservationCount returns the number of reservations that this entry uses.
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
	// The certificate names the entry; what the message says of it does not count.
	r.Entry = from
	g, err := o.reserveHere(ctx, r)
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
	delete(o.early, bramleytack.GrantID(m.GetGrant()))
	o.mu.Unlock()
	err := o.releaseHere(ctx, bramleytack.Release{
		Grant: bramleytack.GrantID(m.GetGrant()), Upstream: bramleytack.UpstreamID(m.GetUpstream()),
		Outcome: bramleytack.ParseOutcome(m.GetOutcome()), Failed: m.GetFailed(), Tokens: int(m.GetTokens()),
		Abandoned: m.GetAbandoned(), FirstToken: m.GetFirstToken().AsDuration(),
	})
	return &btwire.ReleaseReply{Known: err == nil}, nil
}

func (o *Owners) handleAdopt(_ context.Context, from bramleytack.HostID, m *btwire.Adopt) (*btwire.AdoptReply, error) {
	now := o.Timer.Now()
	list := make([]heldGrant, 0, len(m.GetReservations()))
	for _, h := range m.GetReservations() {
		r := decodeReservation(h.GetReserve(), now)
		r.Entry = from
		held := heldGrant{
			reservation: r, instance: bramleytack.InstanceID(h.GetInstance()),
			asked: now.Add(-h.GetAge().AsDuration()),
		}
		if o.Table.Owns(r.Upstream) {
			list = append(list, held)
		} else {
			o.keepEarly(held)
		}
	}
	o.adopt(list, now)
	return &btwire.AdoptReply{}, nil
}
