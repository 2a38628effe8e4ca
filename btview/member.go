package btview

import (
	"time"

	"bramleytack"
)

// Mode says how far an owner may grant reservations of an upstream.
type Mode uint8

// The modes. The zero value allows nothing.
const (
	// NotOwner means that another member owns the upstream, or none.
	NotOwner Mode = iota
	// Waiting means that the old owner's grants may still be in use.
	Waiting
	// Isolated means that neither the store nor any peer can be reached.
	Isolated
	// Fallback means that the view cannot be confirmed: a warm upstream is
	// served, a cold one gets half of its base limit, without a ramp.
	Fallback
	// HalfWithheld means that half of the base limit of a cold upstream stays
	// unused, since the old owner may serve it in Fallback.
	HalfWithheld
	// Full means that the whole limit may be used.
	Full
)

var modeNames = [...]string{"notOwner", "waiting", "isolated", "fallback", "reserved", "full"}

// String returns the name of the mode.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "invalid"
}

// Permission is the answer of MayGrant.
type Permission struct {
	Mode       Mode
	ViewNumber uint64
	// Left is the time that the view lease still lasts, or the wait when the
	// mode is Waiting.
	Left time.Duration
}

// acks tells which members have not installed a view yet.
type acks struct {
	number  uint64
	missing map[bramleytack.HostID]bool
	gone    map[bramleytack.HostID]bool
}

// member is the state of one daemon as a member. All times are passed in.
type member struct {
	self Member
	view *View
	// leaseStart is the sending of the heartbeat or the read that confirmed
	// this or an earlier view. A lease of an earlier view ends before any
	// owner of a later one stops waiting for this member.
	leaseStart time.Time
	confirmed  bool
	// since holds when a view with a higher number was first seen, by the
	// number of the earlier view.
	since map[uint64]time.Time
	// settled holds the numbers of earlier views that all their members left.
	settled map[uint64]bool
	acks    acks
	// lastHeld is the last view that was confirmed.
	lastHeld *View
	// version is the newest version of the view object seen.
	version bramleytack.Revision
	// contact is the last answer of the store or a peer.
	contact time.Time
}

// install takes a view if it is newer than the installed one.
func (m *member) install(now time.Time, v *View) bool {
	if m.view != nil && v.Number <= m.view.Number {
		return false
	}
	if m.since == nil {
		m.since = map[uint64]time.Time{}
	}
	if m.view != nil {
		m.mark(now, m.view.Number)
	}
	for _, p := range v.Previous {
		m.mark(now, p.Number)
	}
	for number := range m.since {
		if !listed(v, number) {
			delete(m.since, number)
			delete(m.settled, number)
		}
	}
	m.view = v
	return true
}

func (m *member) mark(now time.Time, number uint64) {
	if _, ok := m.since[number]; !ok {
		m.since[number] = now
	}
}

func listed(v *View, number uint64) bool {
	for _, p := range v.Previous {
		if p.Number == number {
			return true
		}
	}
	return false
}

// confirm extends the view lease. Sent is when the heartbeat or the read that
// proves the view was sent.
func (m *member) confirm(sent time.Time, number uint64) {
	if m.view == nil || m.view.Number != number {
		return
	}
	if me, ok := m.view.Member(m.self.Host); !ok || !same(me, m.self) {
		return
	}
	if !m.confirmed || sent.After(m.leaseStart) {
		m.confirmed, m.leaseStart = true, sent
	}
	m.lastHeld = m.view
}

func (m *member) acknowledged(a acks) {
	if m.view == nil || a.number != m.view.Number {
		return
	}
	m.acks = a
	for _, p := range m.view.Previous {
		if !m.allAcknowledged(&p) {
			continue
		}
		if m.settled == nil {
			m.settled = map[uint64]bool{}
		}
		m.settled[p.Number] = true
	}
}

func (m *member) reached(now time.Time) {
	if now.After(m.contact) {
		m.contact = now
	}
}

// lease returns the remaining time of the view lease.
func (m *member) lease(now time.Time) time.Duration {
	if !m.confirmed {
		return 0
	}
	return max(0, LeaseDuration-now.Sub(m.leaseStart))
}

// mayGrant decides for one upstream. Left is the time that the view is
// confirmed for.
func (m *member) mayGrant(now time.Time, id bramleytack.UpstreamID, left time.Duration) Permission {
	if m.view == nil {
		return Permission{}
	}
	if left <= 0 {
		return m.unconfirmed(now, id)
	}
	p := Permission{ViewNumber: m.view.Number, Left: left}
	if o, ok := m.view.Owner(id); !ok || !same(o, m.self) {
		return p
	}
	p.Mode = Full
	for i := range m.view.Previous {
		mode, wait := m.after(now, id, &m.view.Previous[i])
		if mode == Waiting && (p.Mode != Waiting || wait > p.Left) {
			p.Left = wait
		}
		p.Mode = min(p.Mode, mode)
	}
	return p
}

// after says what an earlier view leaves to this owner.
func (m *member) after(now time.Time, id bramleytack.UpstreamID, prev *Previous) (Mode, time.Duration) {
	old, ok := owner(prev.Members, id)
	if !ok || same(old, m.self) || m.settled[prev.Number] {
		return Full, 0
	}
	passed := now.Sub(m.since[prev.Number])
	if !prev.Expired && passed < SettleDuration {
		return Waiting, SettleDuration - passed
	}
	if passed < WithholdDuration && m.missing(old.Host) && !m.acks.gone[old.Host] {
		return HalfWithheld, 0
	}
	return Full, 0
}

func (m *member) allAcknowledged(prev *Previous) bool {
	for _, p := range prev.Members {
		if m.missing(p.Host) {
			return false
		}
	}
	return true
}

// missing reports whether a host has not acknowledged the installed view.
// Without word from the holder nobody has.
func (m *member) missing(host bramleytack.HostID) bool {
	if host == m.self.Host {
		return false
	}
	return m.acks.number != m.view.Number || m.acks.missing[host]
}

// unconfirmed decides without a view lease, by the last view held.
func (m *member) unconfirmed(now time.Time, id bramleytack.UpstreamID) Permission {
	if m.lastHeld == nil {
		return Permission{ViewNumber: m.view.Number}
	}
	p := Permission{ViewNumber: m.lastHeld.Number}
	o, ok := m.lastHeld.Owner(id)
	switch {
	case !ok || !same(o, m.self):
	case m.lastHeld != m.view && !m.owns(id):
		// The member has seen a view that gives the upstream to another.
	case now.Sub(m.contact) >= SilenceLimit:
		p.Mode = Isolated
	default:
		p.Mode = Fallback
	}
	return p
}

func (m *member) owns(id bramleytack.UpstreamID) bool {
	o, ok := m.view.Owner(id)
	return ok && same(o, m.self)
}
