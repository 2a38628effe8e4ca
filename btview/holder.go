package btview

import (
	"slices"
	"time"

	"bramleytack"
)

// peer is what the holder knows about one daemon.
type peer struct {
	member        Member
	lastHeartbeat time.Time
	// acked is the newest view that the daemon acknowledged.
	acked   uint64
	leaving bool
}

// holder is the state of the daemon that holds the lease during one term. It does
// no I/O and reads no clock.
type holder struct {
	fence bramleytack.Fence
	// acquiredAt is when the daemon noticed that it acquired the lease.
	acquiredAt time.Time
	peers      map[bramleytack.HostID]*peer
	// view is the newest view in the store, nil if there is none or viewRead is
	// not set. version is the version of its object.
	view     *View
	version  bramleytack.Revision
	viewRead bool
	// confirming is set while the view may be confirmed to members.
	confirming bool
	// supersededAt is when this holder first wrote a later view, by the number of
	// the earlier one.
	supersededAt map[uint64]time.Time
	// changedAt is when the members first differed from the view's, or zero.
	changedAt time.Time
	// announced is the newest view whose complete acknowledgement was announced.
	announced uint64
	// gone are hosts of earlier views that are not in the host list.
	gone map[bramleytack.HostID]bool
}

func newHolder(now time.Time, fence bramleytack.Fence) *holder {
	return &holder{
		fence: fence, acquiredAt: now, peers: map[bramleytack.HostID]*peer{},
		supersededAt: map[uint64]time.Time{}, gone: map[bramleytack.HostID]bool{},
	}
}

// recordHeartbeat records a heartbeat and the view that it acknowledges.
func (h *holder) recordHeartbeat(now time.Time, m Member, acked uint64, leaving bool) {
	p, ok := h.peers[m.Host]
	if !ok || p.member.Incarnation != m.Incarnation {
		p = &peer{}
		h.peers[m.Host] = p
	}
	p.member, p.lastHeartbeat = m, now
	p.acked = max(p.acked, acked)
	p.leaving = p.leaving || leaving
}

// setStoredView records the view and the version that a read returned.
func (h *holder) setStoredView(v *View, version bramleytack.Revision) {
	h.view, h.version, h.viewRead = v, version, true
}

// liveMembers returns the daemons that sent a heartbeat within MemberTimeout and
// are not leaving.
func (h *holder) liveMembers(now time.Time) []Member {
	var members []Member
	for _, p := range h.peers {
		if !p.leaving && now.Sub(p.lastHeartbeat) < MemberTimeout {
			members = append(members, p.member)
		}
	}
	sortMembers(members)
	return members
}

// nextView returns the view to write, or nil if none is due.
func (h *holder) nextView(now time.Time, self Member) *View {
	members := h.liveMembers(now)
	if !h.viewRead || len(members) == 0 {
		return nil
	}
	if h.view != nil && h.view.Fence == h.fence {
		return h.nextInTerm(now, members, self)
	}
	// The first view of a term is written even if the members are the same,
	// because it makes late writes of former holders fail. It waits until the
	// members have found the new holder.
	if now.Sub(h.acquiredAt) < h.gatherTime() && !h.allPresent(members) {
		return nil
	}
	return h.buildView(now, members, self)
}

// gatherTime returns how long the first view of a term waits for heartbeats.
func (h *holder) gatherTime() time.Duration {
	if h.view == nil {
		return batchDelay
	}
	return gatherTimeout
}

// allPresent reports whether members has all members of the last view. The
// former holder may be absent.
func (h *holder) allPresent(members []Member) bool {
	if h.view == nil {
		return false
	}
	for _, m := range h.view.Members {
		if _, ok := findMember(members, m.Host); !ok && m.Host != h.view.Holder {
			return false
		}
	}
	return true
}

// nextInTerm returns a view with changed members batchDelay after the first
// change, or nil.
func (h *holder) nextInTerm(now time.Time, members []Member, self Member) *View {
	if slices.EqualFunc(members, h.view.Members, func(a, b Member) bool { return a == b }) {
		h.changedAt = time.Time{}
		return nil
	}
	if h.changedAt.IsZero() {
		h.changedAt = now
	}
	if now.Sub(h.changedAt) < batchDelay || len(h.view.Previous) >= maxPrevious {
		return nil
	}
	return h.buildView(now, members, self)
}

func (h *holder) buildView(now time.Time, members []Member, self Member) *View {
	v := &View{Number: 1, Fence: h.fence, Holder: self.Host, Members: members}
	if h.view == nil {
		return v
	}
	v.Number = h.view.Number + 1
	v.Previous = h.previousViews(now)
	return v
}

// previousViews returns the earlier views that a new owner has to take into
// account, and the current one. It omits views that were superseded at least
// WithholdDuration ago or whose members have all acknowledged the current one.
func (h *holder) previousViews(now time.Time) []Previous {
	var list []Previous
	for _, p := range h.view.Previous {
		at, ok := h.supersededAt[p.Number]
		if ok && now.Sub(at) >= WithholdDuration || h.membersAcked(p) {
			continue
		}
		p.Expired = p.Expired || ok && now.Sub(at) >= AckTimeout
		list = append(list, p)
	}
	list = dropRepeats(list)
	return append(list, Previous{Number: h.view.Number, Members: h.view.Members})
}

// dropRepeats drops expired views with the same members as a later one. Otherwise
// a member that leaves and returns repeatedly would make the list long.
func dropRepeats(list []Previous) []Previous {
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

// membersAcked reports whether all members of an earlier view have acknowledged
// the current one. They have then reported their grants to the new owners.
func (h *holder) membersAcked(prev Previous) bool {
	for _, m := range prev.Members {
		if h.ackMissing(m.Host) {
			return false
		}
	}
	return true
}

func (h *holder) ackMissing(host bramleytack.HostID) bool {
	p, ok := h.peers[host]
	return !ok || p.acked < h.view.Number
}

// setWritten records that a view was written to the store.
func (h *holder) setWritten(now time.Time, v *View, version bramleytack.Revision) {
	h.view, h.version = v, version
	h.changedAt = time.Time{}
	h.confirming = true
	for _, p := range v.Previous {
		if _, ok := h.supersededAt[p.Number]; !ok {
			h.supersededAt[p.Number] = now
		}
	}
}

// acks returns which members of the current and the earlier views have not
// acknowledged the current one.
func (h *holder) acks() ackStatus {
	a := ackStatus{number: h.view.Number, missing: map[bramleytack.HostID]bool{}, gone: h.gone}
	for _, p := range append(slices.Clone(h.view.Previous), Previous{Members: h.view.Members}) {
		for _, m := range p.Members {
			if h.ackMissing(m.Host) {
				a.missing[m.Host] = true
			}
		}
	}
	return a
}

// suspectsOwnLinks reports whether most daemons are silent, which indicates a
// fault of the holder's own links. Another daemon should then acquire the lease.
func (h *holder) suspectsOwnLinks(now time.Time) bool {
	if !h.canConfirm() || now.Sub(h.acquiredAt) < minTermAge {
		return false
	}
	responding, silent := 0, 0
	for _, p := range h.peers {
		switch age := now.Sub(p.lastHeartbeat); {
		case p.leaving:
		case age < silentAfter:
			responding++
		case age < 2*MemberTimeout:
			silent++
		}
	}
	return silent > responding
}

// canConfirm reports whether a reply to a heartbeat may have a view lease.
func (h *holder) canConfirm() bool {
	return h.confirming && h.view != nil && h.view.Fence == h.fence
}

// allAcked reports whether no acknowledgement of the current view is missing.
func (h *holder) allAcked() bool {
	return h.canConfirm() && len(h.acks().missing) == 0
}

// markAnnounced reports whether all acknowledgements of the current view have
// arrived and were not announced yet. It marks them as announced.
func (h *holder) markAnnounced() bool {
	if !h.allAcked() || h.announced == h.view.Number {
		return false
	}
	h.announced = h.view.Number
	return true
}
