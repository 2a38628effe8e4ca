package btview

import (
	"time"

	"bramleytack"
)

// Mode is the extent to which a daemon may grant reservations of an upstream.
type Mode uint8

// The modes in rising order. The first three allow no grants.
const (
	// NotOwner means that this daemon does not own the upstream.
	NotOwner Mode = iota
	// Waiting means that the old owner may still grant, or that its grants may
	// still be in use.
	Waiting
	// Isolated means that the view cannot be confirmed and that neither the store
	// nor any peer has been reached for MemberTimeout.
	Isolated
	// Fallback means that the view cannot be confirmed. A warm upstream is
	// served; a cold one gets half of its base limit, without a ramp.
	Fallback
	// HalfWithheld means that half of the base limit of a cold upstream must stay
	// unused, because the old owner may serve it in Fallback mode.
	HalfWithheld
	// Full means that the whole limit may be used.
	Full
)

var modeNames = [...]string{"notOwner", "waiting", "isolated", "fallback", "reserved", "full"}

// String returns the name of the mode, or "invalid".
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "invalid"
}

// Permission is the result of Cell.MayGrant.
type Permission struct {
	Mode Mode
	// ViewNumber is the number of the view by which the Mode was determined.
	ViewNumber uint64
	// Remaining is the remaining time of the wait in Waiting mode, otherwise that
	// of the view lease.
	Remaining time.Duration
}

// ackStatus is the holder's record of which members have not acknowledged the
// view with a number.
type ackStatus struct {
	number  uint64
	missing map[bramleytack.HostID]bool
	// gone are hosts of earlier views that are not in the host list.
	gone map[bramleytack.HostID]bool
}

// memberState is the state of a daemon as a member of the cell. It does no I/O and
// reads no clock.
type memberState struct {
	self Member
	view *View
	// leaseStart is when the heartbeat or the read was sent that last confirmed
	// this or an earlier view. A later view may take over the lease of an earlier
	// one, because that lease ends before any owner in the later view stops
	// waiting for this member.
	leaseStart time.Time
	// confirmed is set when leaseStart is valid.
	confirmed bool
	// supersededSeenAt is when this member first saw a later view, by the number
	// of the earlier one.
	supersededSeenAt map[uint64]time.Time
	// previousAcked holds the numbers of earlier views all of whose members have
	// acknowledged a later view.
	previousAcked map[uint64]bool
	acks          ackStatus
	// lastConfirmed is the last view that was confirmed.
	lastConfirmed *View
	// seenVersion is the newest version seen of the view object.
	seenVersion bramleytack.Revision
	// lastContact is the result of Cell.LastContact.
	lastContact time.Time
}

// install installs a view if it is newer than the current one and reports whether
// it did.
func (m *memberState) install(now time.Time, v *View) bool {
	if m.view != nil && v.Number <= m.view.Number {
		return false
	}
	if m.supersededSeenAt == nil {
		m.supersededSeenAt = map[uint64]time.Time{}
	}
	if m.view != nil {
		m.markSuperseded(now, m.view.Number)
	}
	for _, p := range v.Previous {
		m.markSuperseded(now, p.Number)
	}
	for number := range m.supersededSeenAt {
		if !hasPrevious(v, number) {
			delete(m.supersededSeenAt, number)
			delete(m.previousAcked, number)
		}
	}
	m.view = v
	return true
}

func (m *memberState) markSuperseded(now time.Time, number uint64) {
	if _, ok := m.supersededSeenAt[number]; !ok {
		m.supersededSeenAt[number] = now
	}
}

func hasPrevious(v *View, number uint64) bool {
	for _, p := range v.Previous {
		if p.Number == number {
			return true
		}
	}
	return false
}

// confirm renews the view lease if the view with the number is installed and this
// daemon is a member of it. sent is when the confirming heartbeat or read was
// sent.
func (m *memberState) confirm(sent time.Time, number uint64) {
	if m.view == nil || m.view.Number != number {
		return
	}
	if me, ok := m.view.Member(m.self.Host); !ok || !sameIncarnation(me, m.self) {
		return
	}
	if !m.confirmed || sent.After(m.leaseStart) {
		m.confirmed, m.leaseStart = true, sent
	}
	m.lastConfirmed = m.view
}

// setAcks records the acknowledgements of the installed view.
func (m *memberState) setAcks(a ackStatus) {
	if m.view == nil || a.number != m.view.Number {
		return
	}
	m.acks = a
	for _, p := range m.view.Previous {
		if !m.allAcknowledged(&p) {
			continue
		}
		if m.previousAcked == nil {
			m.previousAcked = map[uint64]bool{}
		}
		m.previousAcked[p.Number] = true
	}
}

func (m *memberState) recordContact(now time.Time) {
	if now.After(m.lastContact) {
		m.lastContact = now
	}
}

// leaseRemaining returns the remaining time of the view lease, or 0.
func (m *memberState) leaseRemaining(now time.Time) time.Duration {
	if !m.confirmed {
		return 0
	}
	return max(0, LeaseDuration-now.Sub(m.leaseStart))
}

// mayGrant implements Cell.MayGrant. remaining is the remaining time of the view
// lease.
func (m *memberState) mayGrant(now time.Time, id bramleytack.UpstreamID, remaining time.Duration) Permission {
	if m.view == nil {
		return Permission{}
	}
	if remaining <= 0 {
		return m.unconfirmedPermission(now, id)
	}
	p := Permission{ViewNumber: m.view.Number, Remaining: remaining}
	if o, ok := m.view.Owner(id); !ok || !sameIncarnation(o, m.self) {
		return p
	}
	p.Mode = Full
	for i := range m.view.Previous {
		mode, wait := m.modeAfter(now, id, &m.view.Previous[i])
		if mode == Waiting && (p.Mode != Waiting || wait > p.Remaining) {
			p.Remaining = wait
		}
		p.Mode = min(p.Mode, mode)
	}
	return p
}

// modeAfter returns the mode to which an earlier view restricts this owner, and
// the remaining time if that is Waiting.
func (m *memberState) modeAfter(now time.Time, id bramleytack.UpstreamID, prev *Previous) (Mode, time.Duration) {
	old, ok := owner(prev.Members, id)
	if !ok || sameIncarnation(old, m.self) || m.previousAcked[prev.Number] {
		return Full, 0
	}
	elapsed := now.Sub(m.supersededSeenAt[prev.Number])
	if !prev.Expired && elapsed < AckTimeout {
		return Waiting, AckTimeout - elapsed
	}
	if elapsed < WithholdDuration && m.ackMissing(old.Host) && !m.acks.gone[old.Host] {
		return HalfWithheld, 0
	}
	return Full, 0
}

func (m *memberState) allAcknowledged(prev *Previous) bool {
	for _, p := range prev.Members {
		if m.ackMissing(p.Host) {
			return false
		}
	}
	return true
}

// ackMissing reports whether a host has not acknowledged the installed view. Until
// the holder sends the acknowledgements, all but this host's count as missing.
func (m *memberState) ackMissing(host bramleytack.HostID) bool {
	if host == m.self.Host {
		return false
	}
	return m.acks.number != m.view.Number || m.acks.missing[host]
}

// unconfirmedPermission returns the permission without a view lease. It depends on
// the last confirmed view.
func (m *memberState) unconfirmedPermission(now time.Time, id bramleytack.UpstreamID) Permission {
	if m.lastConfirmed == nil {
		return Permission{ViewNumber: m.view.Number}
	}
	p := Permission{ViewNumber: m.lastConfirmed.Number}
	o, ok := m.lastConfirmed.Owner(id)
	switch {
	case !ok || !sameIncarnation(o, m.self):
	case m.lastConfirmed != m.view && !m.owns(id):
		// A later view has another owner.
	case now.Sub(m.lastContact) >= MemberTimeout:
		p.Mode = Isolated
	default:
		p.Mode = Fallback
	}
	return p
}

func (m *memberState) owns(id bramleytack.UpstreamID) bool {
	o, ok := m.view.Owner(id)
	return ok && sameIncarnation(o, m.self)
}
