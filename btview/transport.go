package btview

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"bramleytack"
	"bramleytack/btpeer"
	"bramleytack/btwire"
)

// Transport sends messages to peers. PeerTransport implements it over btpeer.
type Transport interface {
	Heartbeat(ctx context.Context, to bramleytack.HostID, m *btwire.Heartbeat) (*btwire.HeartbeatReply, error)
	Push(ctx context.Context, to bramleytack.HostID, m *btwire.ViewPush) (*btwire.ViewAck, error)
	AnnounceLeaving(ctx context.Context, to bramleytack.HostID, m *btwire.EntryState) (*btwire.EntryStateReply, error)
	// SetPeer adds a peer or changes its address.
	SetPeer(host bramleytack.HostID, addr netip.AddrPort)
	RemovePeer(host bramleytack.HostID)
	// Redial replaces the link to a peer that does not reply.
	Redial(host bramleytack.HostID)
}

// PeerTransport is the Transport over the links of a btpeer.Node.
type PeerTransport struct{ *btpeer.Node }

// Heartbeat sends a heartbeat and returns the reply.
func (p PeerTransport) Heartbeat(ctx context.Context, to bramleytack.HostID, m *btwire.Heartbeat) (*btwire.HeartbeatReply, error) {
	return btpeer.Call[btwire.Heartbeat, btwire.HeartbeatReply](ctx, p.Node, to, m)
}

// Push sends a view and returns the acknowledgement.
func (p PeerTransport) Push(ctx context.Context, to bramleytack.HostID, m *btwire.ViewPush) (*btwire.ViewAck, error) {
	return btpeer.Call[btwire.ViewPush, btwire.ViewAck](ctx, p.Node, to, m)
}

// AnnounceLeaving announces that a daemon is leaving.
func (p PeerTransport) AnnounceLeaving(ctx context.Context, to bramleytack.HostID, m *btwire.EntryState) (*btwire.EntryStateReply, error) {
	return btpeer.Call[btwire.EntryState, btwire.EntryStateReply](ctx, p.Node, to, m)
}

// Register registers the cell's handlers for the messages of its peers.
func Register(mux *btpeer.Mux, c *Cell) {
	btpeer.Handle(mux, c.HandleHeartbeat)
	btpeer.Handle(mux, c.HandlePush)
	btpeer.Handle(mux, c.HandleLeaving)
}

func encodeMember(m Member) *btwire.Member {
	return &btwire.Member{
		Host: string(m.Host), Incarnation: m.Incarnation,
		PeerAddr: m.PeerAddr.String(), FailureDomain: string(m.FailureDomain),
	}
}

func decodeMember(m *btwire.Member) (Member, error) {
	addr, err := netip.ParseAddrPort(m.GetPeerAddr())
	if err != nil {
		return Member{}, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "member has no valid peer address").WithCause(err)
	}
	return Member{
		Host: bramleytack.HostID(m.GetHost()), Incarnation: m.GetIncarnation(),
		PeerAddr: addr, FailureDomain: bramleytack.FailureDomainID(m.GetFailureDomain()),
	}, nil
}

func encodeMembers(members []Member) []*btwire.Member {
	list := make([]*btwire.Member, 0, len(members))
	for _, m := range members {
		list = append(list, encodeMember(m))
	}
	return list
}

func decodeMembers(list []*btwire.Member) ([]Member, error) {
	members := make([]Member, 0, len(list))
	for _, w := range list {
		m, err := decodeMember(w)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return members, nil
}

func encodeView(cell bramleytack.CellID, v *View) *btwire.View {
	w := &btwire.View{
		Cell: string(cell), Number: v.Number, Fence: uint64(v.Fence),
		Holder: string(v.Holder), Members: encodeMembers(v.Members),
	}
	for _, p := range v.Previous {
		w.Previous = append(w.Previous, &btwire.PreviousView{
			Number: p.Number, Members: encodeMembers(p.Members), Expired: p.Expired,
		})
	}
	return w
}

func decodeView(w *btwire.View) (*View, error) {
	members, err := decodeMembers(w.GetMembers())
	if err != nil {
		return nil, err
	}
	v := &View{
		Number: w.GetNumber(), Fence: bramleytack.Fence(w.GetFence()),
		Holder: bramleytack.HostID(w.GetHolder()), Members: members,
	}
	for _, p := range w.GetPrevious() {
		members, err := decodeMembers(p.GetMembers())
		if err != nil {
			return nil, err
		}
		v.Previous = append(v.Previous, Previous{Number: p.GetNumber(), Members: members, Expired: p.GetExpired()})
	}
	return v, nil
}

func encodeAcks(a ackStatus) *btwire.Acknowledgements {
	w := &btwire.Acknowledgements{ViewNumber: a.number}
	for host := range a.missing {
		w.Missing = append(w.Missing, string(host))
	}
	for host := range a.gone {
		w.Gone = append(w.Gone, string(host))
	}
	return w
}

func decodeAcks(w *btwire.Acknowledgements) ackStatus {
	a := ackStatus{number: w.GetViewNumber(), missing: map[bramleytack.HostID]bool{}, gone: map[bramleytack.HostID]bool{}}
	for _, host := range w.GetMissing() {
		a.missing[bramleytack.HostID(host)] = true
	}
	for _, host := range w.GetGone() {
		a.gone[bramleytack.HostID(host)] = true
	}
	return a
}

func encodeDuration(d time.Duration) *durationpb.Duration { return durationpb.New(d) }
