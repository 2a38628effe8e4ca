package btlease

import (
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

const (
	// Duration is how long the lease lasts, counted from the sending of the
	// acquisition or renewal.
	Duration = 9 * time.Second
	// RenewPeriod is the time between renewals. It leaves time for two more
	// attempts when a renewal fails.
	RenewPeriod = 3 * time.Second
	// WaitDuration is how long a candidate must see the same version before it
	// may acquire the lease. The margin covers clocks that differ in rate by 1%.
	WaitDuration = Duration + Duration/100
	// retryPeriod delays the next store call after a failed or stale one. A write
	// with an unknown outcome is followed by a read at once.
	retryPeriod = 500 * time.Millisecond
	// pollPeriod is the shortest time between a read and one that RequestRead
	// asks for.
	pollPeriod = time.Second
	// idleWait is the length of a wait that another event is expected to end.
	idleWait = time.Hour
)

type stepKind uint8

const (
	stepWait stepKind = iota
	stepRead
	stepWrite
)

type writeKind uint8

const (
	writeAcquire writeKind = iota
	writeRenew
	writeRelease
	// writeRestore creates a deleted object again, with unknownHolder. A
	// candidate could not wait on an absent object: it has no version, so an
	// acquisition and a second deletion during the wait would go unnoticed.
	writeRestore
)

var writeKindNames = [...]string{"acquire", "renew", "release", "restore"}

// String returns the name that state dumps use.
func (k writeKind) String() string { return writeKindNames[k] }

// pendingWrite is a conditional update whose outcome is not known yet.
type pendingWrite struct {
	kind     writeKind
	changeID string
	expected bramleytack.Revision
	term     uint64
	// firstSent is the time just before the first attempt. The lease counts
	// from it.
	firstSent time.Time
	// needsRead is set when the object has to be read to learn the outcome.
	needsRead bool
	// mayTakeEffect is set after an attempt with an unknown outcome.
	mayTakeEffect bool
}

// step is the next action of the caller. at is the end of a wait.
type step struct {
	kind stepKind
	at   time.Time
}

// machine is the state machine of the lease protocol on one host. It does no
// I/O and reads no clock.
type machine struct {
	// acquireDelay is added to WaitDuration. It differs between hosts.
	acquireDelay time.Duration
	newChangeID  func() string

	// known is set while seenVersion and seenAt are valid. Otherwise the object
	// is read again.
	known bool
	// free is set when the lease may be acquired without a wait.
	free bool
	// seenVersion is the newest version seen, 0 for a missing object. seenAt is
	// when it was first seen.
	seenVersion bramleytack.Revision
	seenAt      time.Time
	// seenRecord is the record of the last read, at readAt.
	seenRecord    Record
	readAt        time.Time
	readRequested bool
	// minVersion is the lowest version that is not stale.
	minVersion bramleytack.Revision
	// nextCallAt is the earliest time of the next store call.
	nextCallAt time.Time

	// acquired is set from an acquisition until the release, or until another
	// host is known to have written the object. The lease may have expired.
	acquired bool
	// fence is the version of the acquisition, version that of the last write.
	fence   bramleytack.Revision
	version bramleytack.Revision
	term    uint64
	// leaseStart is the time from which the lease counts.
	leaseStart time.Time

	releasing bool
	// backoff is the time without acquisitions after the release.
	backoff time.Duration
	// acquireAfter is the end of the backoff.
	acquireAfter time.Time

	pending *pendingWrite
}

func (m *machine) held(now time.Time) (bramleytack.Fence, time.Duration, bool) {
	left := Duration - now.Sub(m.leaseStart)
	if !m.acquired || m.releasing || left <= 0 {
		return 0, 0, false
	}
	return bramleytack.Fence(m.fence), left, true
}

// nextStep returns the next step. For stepWrite it has set m.pending.
func (m *machine) nextStep(now time.Time) step {
	m.finishResignation(now)
	at := m.dueAt(now)
	if at.After(now) {
		return step{kind: stepWait, at: at}
	}
	if m.nextCallAt.After(now) {
		return step{kind: stepWait, at: m.nextCallAt}
	}
	if m.pending != nil {
		if m.pending.needsRead {
			return step{kind: stepRead}
		}
		return step{kind: stepWrite}
	}
	kind, ok := m.nextWrite(now)
	if !ok {
		return step{kind: stepRead}
	}
	m.beginWrite(kind, now)
	return step{kind: stepWrite}
}

// dueAt returns when the next store call is due, apart from nextCallAt.
func (m *machine) dueAt(now time.Time) time.Time {
	switch {
	case m.pending != nil:
		return now
	case m.acquired && m.releasing:
		return now
	case m.acquired && now.Sub(m.leaseStart) < Duration:
		return m.leaseStart.Add(RenewPeriod)
	case m.releasing:
		return now.Add(idleWait)
	case now.Before(m.acquireAfter):
		return m.acquireAfter
	case m.acquired, !m.known, m.free, m.readRequested, m.seenVersion == 0:
		return now
	default:
		return m.seenAt.Add(WaitDuration + m.acquireDelay)
	}
}

// nextWrite returns the write that is due now. It returns false when the object
// has to be read first.
func (m *machine) nextWrite(now time.Time) (writeKind, bool) {
	switch {
	case m.acquired && m.releasing:
		return writeRelease, true
	case m.acquired && now.Sub(m.leaseStart) < Duration:
		return writeRenew, true
	case m.acquired:
		return writeAcquire, true
	case m.known && m.free:
		return writeAcquire, true
	case m.known && m.seenVersion == 0:
		return writeRestore, true
	case m.known && !m.readRequested && m.readAt.Sub(m.seenAt) >= WaitDuration:
		return writeAcquire, true
	default:
		return 0, false
	}
}

func (m *machine) beginWrite(kind writeKind, now time.Time) {
	w := &pendingWrite{kind: kind, changeID: m.newChangeID(), expected: m.seenVersion, term: m.seenRecord.Term, firstSent: now}
	if m.acquired {
		w.expected, w.term = m.version, m.term
	}
	if kind == writeAcquire {
		w.term++
	}
	m.pending = w
}

// handleWrite processes the result of the pending write.
func (m *machine) handleWrite(now time.Time, version bramleytack.Revision, err error) {
	w := m.pending
	switch {
	case err == nil:
		m.completeWrite(now, version)
	case errors.Is(err, bramleytack.ErrConflict):
		// The conflict may be with an earlier attempt of the same write.
		w.needsRead = true
		m.minVersion = max(m.minVersion, w.expected+1)
	case errors.Is(err, bramleytack.ErrStoreDown) && !w.mayTakeEffect:
		m.pending = nil
		m.nextCallAt = now.Add(retryPeriod)
	case errors.Is(err, bramleytack.ErrStoreDown):
		w.needsRead = true
		m.nextCallAt = now.Add(retryPeriod)
	default:
		w.mayTakeEffect = true
		w.needsRead = true
	}
}

// handleRead processes the result of a read. A missing object has version 0.
func (m *machine) handleRead(now time.Time, version bramleytack.Revision, changeID string, rec Record, err error) {
	m.readRequested = false
	if err != nil {
		m.nextCallAt = now.Add(retryPeriod)
		return
	}
	if m.pending != nil {
		m.resolvePending(now, version, changeID)
	}
	if m.pending == nil && !m.acquired {
		m.recordVersion(now, version, rec)
	}
}

// resolvePending determines from a read whether the pending write took effect.
func (m *machine) resolvePending(now time.Time, version bramleytack.Revision, changeID string) {
	w := m.pending
	switch {
	case version > 0 && changeID == w.changeID:
		m.completeWrite(now, version)
	case version == 0 && m.minVersion > 0:
		// The object was deleted. A later write of the old version fails.
		m.loseLease()
	case version <= w.expected:
		// The write may still be in flight, or the read is stale. Writing again
		// decides it.
		w.needsRead = false
		m.nextCallAt = now.Add(retryPeriod)
	default:
		m.loseLease()
	}
}

// loseLease drops the lease and the pending write after another host changed
// or deleted the object.
func (m *machine) loseLease() {
	m.minVersion = max(m.minVersion, m.pending.expected+1)
	m.pending = nil
	m.acquired = false
	m.known = false
}

func (m *machine) completeWrite(now time.Time, version bramleytack.Revision) {
	w := m.pending
	m.pending = nil
	m.minVersion = max(m.minVersion, version)
	if w.kind == writeRestore {
		m.recordVersion(now, version, Record{Holder: unknownHolder, Term: w.term})
		return
	}
	m.recordVersion(now, version, Record{Term: w.term})
	switch w.kind {
	case writeAcquire:
		m.acquired, m.fence, m.leaseStart = true, version, w.firstSent
		m.version, m.term = version, w.term
	case writeRenew:
		m.leaseStart = w.firstSent
		m.version = version
	case writeRelease:
		m.acquired = false
		m.known = false
	}
}

// recordVersion records the version and the record that a read or an own write
// showed, unless they are stale.
func (m *machine) recordVersion(now time.Time, version bramleytack.Revision, rec Record) {
	if version > 0 && version < m.minVersion {
		m.nextCallAt = now.Add(retryPeriod)
		return
	}
	// A lease that never existed can be acquired without a wait. After a
	// deletion the last holder may still be active.
	m.free = version > 0 && rec.Holder == "" || version == 0 && m.minVersion == 0
	if !m.known || m.seenVersion != version {
		m.seenAt = now
	}
	m.known, m.seenVersion, m.seenRecord, m.readAt = true, version, rec, now
	m.minVersion = max(m.minVersion, version)
}

// observe records a version that the holder named in a message.
func (m *machine) observe(now time.Time, version bramleytack.Revision) {
	if m.acquired || m.pending != nil || version <= m.minVersion {
		return
	}
	m.known, m.free, m.seenVersion, m.seenAt = true, false, version, now
	m.minVersion = version
}

// requestRead asks for a read, at most one per pollPeriod.
func (m *machine) requestRead(now time.Time) {
	if m.acquired || m.pending != nil || now.Sub(m.readAt) < pollPeriod {
		return
	}
	m.readRequested = true
}

// resign starts to release the lease. The backoff begins when the release is
// done, or at once if there is nothing to release.
func (m *machine) resign(now time.Time, backoff time.Duration) {
	m.backoff = backoff
	if m.acquired || m.pending != nil {
		m.releasing = true
		return
	}
	m.acquireAfter = now.Add(backoff)
}

// finishResignation ends a resignation once the release is written or another
// host has acquired the lease.
func (m *machine) finishResignation(now time.Time) {
	if !m.releasing || m.acquired || m.pending != nil {
		return
	}
	m.releasing = false
	m.acquireAfter = now.Add(m.backoff)
}
