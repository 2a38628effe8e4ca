package btview

import (
	"slices"
	"time"

	"bramleytack"
)

// peer is what the holder knows of one daemon.
type peer struct {
	member  Member
	heard   time.Time
	acked   uint64
	leaving bool
}

// holder is the state of the daemon that holds the lease, without its I/O. All
// times are passed in.
type holder struct {
	fence bramleytack.Fence
	// began is when the lease was acquired.
	began time.Time
	peers map[bramleytack.HostID]*peer
	// view is the newest view in the store, nil before the first is read.
	view    *View
	version bramleytack.Revision
	read    bool
	// confirming is set while the view may be confirmed to members.
	confirming bool
	// successor is when a later view was written, by the earlier's number.
	successor map[uint64]time.Time
	changed   time.Time
	// announced is the newest view that all members are told to be settled.
	announced uint64
	gone      map[bramleytack.HostID]bool
}

func newHolder(now time.Time, fence bramleytack.Fence) *holder {
	return &holder{
		fence: fence, began: now, peers: map[bramleytack.HostID]*peer{},
		successor: map[uint64]time.Time{}, gone: map[bramleytack.HostID]bool{},
	}
}

// heartbeat records a heartbeat with the view that it acknowledges.
func (h *holder) heartbeat(now time.Time, m Member, acked uint64, leaving bool) {
	p, ok := h.peers[m.Host]
	if !ok || p.member.Incarnation != m.Incarnation {
		p = &peer{}
		h.peers[m.Host] = p
	}
	p.member, p.heard = m, now
	p.acked = max(p.acked, acked)
	p.leaving = p.leaving || leaving
}

// took records what the store holds when the lease was acquired.
func (h *holder) took(v *View, version bramleytack.Revision) {
	h.view, h.version, h.read = v, version, true
}

// wanted returns the members that the next view should have.
func (h *holder) wanted(now time.Time) []Member {
	var members []Member
	for _, p := range h.peers {
		if !p.leaving && now.Sub(p.heard) < SilenceLimit {
			members = append(members, p.member)
		}
	}
	sortMembers(members)
	return members
}

// next returns the view to write, or nil when no change is due.
func (h *holder) next(now time.Time, self Member) *View {
	members := h.wanted(now)
	if !h.read || len(members) == 0 {
		return nil
	}
	if h.view != nil && h.view.Fence == h.fence {
		return h.change(now, members, self)
	}
	// The first view of a term is written even if the members are the same: it
	// makes late writes of former holders fail. It waits for the members to
	// find the new holder.
	if now.Sub(h.began) < h.gathering() && !h.complete(members) {
		return nil
	}
	return h.build(now, members, self)
}

// gathering is how long the first view of a term waits for members.
func (h *holder) gathering() time.Duration {
	if h.view == nil {
		return batchPeriod
	}
	return gatherLimit
}

// complete reports whether all members of the last view but its holder are
// among those heard from.
func (h *holder) complete(members []Member) bool {
	if h.view == nil {
		return false
	}
	for _, m := range h.view.Members {
		if _, ok := find(members, m.Host); !ok && m.Host != h.view.Holder {
			return false
		}
	}
	return true
}

// change returns the next view of the same term once a batch is complete.
func (h *holder) change(now time.Time, members []Member, self Member) *View {
	if slices.EqualFunc(members, h.view.Members, func(a, b Member) bool { return a == b }) {
		h.changed = time.Time{}
		return nil
	}
	if h.changed.IsZero() {
		h.changed = now
	}
	if now.Sub(h.changed) < batchPeriod || len(h.view.Previous) >= maxPrevious {
		return nil
	}
	return h.build(now, members, self)
}

func (h *holder) build(now time.Time, members []Member, self Member) *View {
	v := &View{Number: 1, Fence: h.fence, Holder: self.Host, Members: members}
	if h.view == nil {
		return v
	}
	v.Number = h.view.Number + 1
	v.Previous = h.previous(now)
	return v
}

// previous returns the earlier views that a new owner has to respect.
func (h *holder) previous(now time.Time) []Previous {
	var list []Previous
	for _, p := range h.view.Previous {
		at, ok := h.successor[p.Number]
		if ok && now.Sub(at) >= WithholdDuration || h.left(p) {
			continue
		}
		p.Expired = p.Expired || ok && now.Sub(at) >= SettleDuration
		list = append(list, p)
	}
	list = withoutRepeats(list)
	return append(list, Previous{Number: h.view.Number, Members: h.view.Members})
}

// withoutRepeats drops expired views with the same members as a later one. A
// member that comes and goes would make the list long otherwise.
func withoutRepeats(list []Previous) []Previous {
	var kept []Previous
	for i, p := range list {
		repeated := slices.ContainsFunc(list[i+1:], func(later Previous) bool {
			return p.Expired && slices.Equal(p.Members, later.Members)
		})
		if !repeated {
			kept = append(kept, p)
		}
	}
	return kept
}

// left reports whether all members of an earlier view acknowledged the current
// one. Its grants are then known to their new owners.
func (h *holder) left(prev Previous) bool {
	for _, m := range prev.Members {
		if h.missing(m.Host) {
			return false
		}
	}
	return true
}

func (h *holder) missing(host bramleytack.HostID) bool {
	p, ok := h.peers[host]
	return !ok || p.acked < h.view.Number
}

// wrote records that a view is in the store.
func (h *holder) wrote(now time.Time, v *View, version bramleytack.Revision) {
	h.view, h.version = v, version
	h.changed = time.Time{}
	h.confirming = true
	for _, p := range v.Previous {
		if _, ok := h.successor[p.Number]; !ok {
			h.successor[p.Number] = now
		}
	}
}

// acks returns who has not acknowledged the current view.
func (h *holder) acks() acks {
	a := acks{number: h.view.Number, missing: map[bramleytack.HostID]bool{}, gone: h.gone}
	for _, p := range append(slices.Clone(h.view.Previous), Previous{Members: h.view.Members}) {
		for _, m := range p.Members {
			if h.missing(m.Host) {
				a.missing[m.Host] = true
			}
		}
	}
	return a
}

// cutOff reports whether the silence of most daemons speaks for a fault of the
// holder's own links. Another daemon should then take the lease.
func (h *holder) cutOff(now time.Time) bool {
	if !h.confirms() || now.Sub(h.began) < settledAge {
		return false
	}
	heard, silent := 0, 0
	for _, p := range h.peers {
		switch age := now.Sub(p.heard); {
		case p.leaving:
		case age < quietLimit:
			heard++
		case age < 2*SilenceLimit:
			silent++
		}
	}
	return silent > heard
}

// confirms reports whether heartbeats may be answered with a view lease.
func (h *holder) confirms() bool {
	return h.confirming && h.view != nil && h.view.Fence == h.fence
}

// settled reports whether nobody's acknowledgement is missing.
func (h *holder) settled() bool {
	return h.confirms() && len(h.acks().missing) == 0
}

// announce reports, once per view, that all acknowledgements are there.
func (h *holder) announce() bool {
	if !h.settled() || h.announced == h.view.Number {
		return false
	}
	h.announced = h.view.Number
	return true
}
