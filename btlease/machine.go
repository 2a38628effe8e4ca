package btlease

import (
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// The times of a lease.
const (
	// Duration is how long the lease lasts after the sending of a renewal.
	Duration = 9 * time.Second
	// RenewPeriod leaves time for two more attempts when a renewal fails.
	RenewPeriod = 3 * time.Second
	// WaitDuration is how long a candidate watches an unchanged version. The
	// margin covers clocks that differ in rate by 1%.
	WaitDuration = Duration + Duration/100
	// retryPeriod spaces store calls after a failure.
	retryPeriod = 500 * time.Millisecond
	// pollPeriod spaces the reads that RequestRead asks for.
	pollPeriod = time.Second
	// forever is a wait that ends with another event.
	forever = time.Hour
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
	// writeRestore replaces a deleted object by one that nobody holds yet. An
	// absent object has no version by which two deletions could be told apart.
	writeRestore
)

var writeKindNames = [...]string{"acquire", "renew", "release", "restore"}

// String returns the name of the kind.
func (k writeKind) String() string { return writeKindNames[k] }

// write is a conditional update with an outcome that is not known yet.
type write struct {
	kind     writeKind
	changeID string
	expected bramleytack.Revision
	term     uint64
	// first is the moment before the first sending.
	first time.Time
	// read is set when the outcome has to be read back.
	read bool
	// unknown is set when an attempt may still take effect.
	unknown bool
}

// step is what the machine wants done next. At is the end of a wait.
type step struct {
	kind stepKind
	at   time.Time
}

// machine is the lease protocol of one host without its I/O. All times are
// passed in.
type machine struct {
	spread      time.Duration
	newChangeID func() string

	known    bool
	free     bool
	seen     bramleytack.Revision
	seenAt   time.Time
	seenRec  Record
	readAt   time.Time
	poked    bool
	floor    bramleytack.Revision
	nextCall time.Time

	own     bool
	fence   bramleytack.Revision
	version bramleytack.Revision
	term    uint64
	start   time.Time

	releasing bool
	backoff   time.Duration
	contendAt time.Time

	pending *write
}

func (m *machine) held(now time.Time) (bramleytack.Fence, time.Duration, bool) {
	left := Duration - now.Sub(m.start)
	if !m.own || m.releasing || left <= 0 {
		return 0, 0, false
	}
	return bramleytack.Fence(m.fence), left, true
}

// next returns the next step. A step that writes has set pending.
func (m *machine) next(now time.Time) step {
	m.settle(now)
	at := m.due(now)
	if at.After(now) {
		return step{kind: stepWait, at: at}
	}
	if m.nextCall.After(now) {
		return step{kind: stepWait, at: m.nextCall}
	}
	if m.pending != nil {
		if m.pending.read {
			return step{kind: stepRead}
		}
		return step{kind: stepWrite}
	}
	kind, ok := m.wanted(now)
	if !ok {
		return step{kind: stepRead}
	}
	m.begin(kind, now)
	return step{kind: stepWrite}
}

// due returns when the next store call is due.
func (m *machine) due(now time.Time) time.Time {
	switch {
	case m.pending != nil:
		return now
	case m.own && m.releasing:
		return now
	case m.own && now.Sub(m.start) < Duration:
		return m.start.Add(RenewPeriod)
	case m.releasing:
		return now.Add(forever)
	case now.Before(m.contendAt):
		return m.contendAt
	case m.own, !m.known, m.free, m.poked, m.seen == 0:
		return now
	default:
		return m.seenAt.Add(WaitDuration + m.spread)
	}
}

// wanted returns the write that is due now. It returns false when the object
// has to be read first.
func (m *machine) wanted(now time.Time) (writeKind, bool) {
	switch {
	case m.own && m.releasing:
		return writeRelease, true
	case m.own && now.Sub(m.start) < Duration:
		return writeRenew, true
	case m.own:
		return writeAcquire, true
	case m.known && m.free:
		return writeAcquire, true
	case m.known && m.seen == 0:
		return writeRestore, true
	case m.known && !m.poked && m.readAt.Sub(m.seenAt) >= WaitDuration:
		return writeAcquire, true
	default:
		return 0, false
	}
}

func (m *machine) begin(kind writeKind, now time.Time) {
	w := &write{kind: kind, changeID: m.newChangeID(), expected: m.seen, term: m.seenRec.Term, first: now}
	if m.own {
		w.expected, w.term = m.version, m.term
	}
	if kind == writeAcquire {
		w.term++
	}
	m.pending = w
}

// wrote takes the result of the pending write.
func (m *machine) wrote(now time.Time, version bramleytack.Revision, err error) {
	w := m.pending
	switch {
	case err == nil:
		m.succeed(now, version)
	case errors.Is(err, bramleytack.ErrConflict):
		// The conflict may be with an earlier attempt of the same write.
		w.read = true
		m.floor = max(m.floor, w.expected+1)
	case errors.Is(err, bramleytack.ErrStoreDown) && !w.unknown:
		m.pending = nil
		m.nextCall = now.Add(retryPeriod)
	case errors.Is(err, bramleytack.ErrStoreDown):
		w.read = true
		m.nextCall = now.Add(retryPeriod)
	default:
		w.unknown = true
		w.read = true
	}
}

// read takes the result of a read. A missing object has version 0.
func (m *machine) read(now time.Time, version bramleytack.Revision, changeID string, rec Record, err error) {
	m.poked = false
	if err != nil {
		m.nextCall = now.Add(retryPeriod)
		return
	}
	if m.pending != nil {
		m.readBack(now, version, changeID)
	}
	if m.pending == nil && !m.own {
		m.see(now, version, rec)
	}
}

func (m *machine) readBack(now time.Time, version bramleytack.Revision, changeID string) {
	w := m.pending
	switch {
	case version > 0 && changeID == w.changeID:
		m.succeed(now, version)
	case version == 0 && m.floor > 0:
		// The object was deleted. A later write of the old version fails.
		m.lose()
	case version <= w.expected:
		// The write may be under way still, or the read is stale. A repeated
		// attempt settles it.
		w.read = false
		m.nextCall = now.Add(retryPeriod)
	default:
		m.lose()
	}
}

// lose drops the lease after another host wrote the object.
func (m *machine) lose() {
	m.floor = max(m.floor, m.pending.expected+1)
	m.pending = nil
	m.own = false
	m.known = false
}

func (m *machine) succeed(now time.Time, version bramleytack.Revision) {
	w := m.pending
	m.pending = nil
	m.floor = max(m.floor, version)
	if w.kind == writeRestore {
		m.see(now, version, Record{Holder: unknownHolder, Term: w.term})
		return
	}
	m.see(now, version, Record{Term: w.term})
	switch w.kind {
	case writeAcquire:
		m.own, m.fence, m.start = true, version, w.first
		m.version, m.term = version, w.term
	case writeRenew:
		m.start = w.first
		m.version = version
	case writeRelease:
		m.own = false
		m.known = false
	}
}

// see records the current version of another holder's lease.
func (m *machine) see(now time.Time, version bramleytack.Revision, rec Record) {
	if version > 0 && version < m.floor {
		m.nextCall = now.Add(retryPeriod)
		return
	}
	// A cell that never had a lease needs no waiting time. After a deletion the
	// last holder may still be active.
	m.free = version > 0 && rec.Holder == "" || version == 0 && m.floor == 0
	if !m.known || m.seen != version {
		m.seenAt = now
	}
	m.known, m.seen, m.seenRec, m.readAt = true, version, rec, now
	m.floor = max(m.floor, version)
}

// observe takes a version that the holder named in a message.
func (m *machine) observe(now time.Time, version bramleytack.Revision) {
	if m.own || m.pending != nil || version <= m.floor {
		return
	}
	m.known, m.free, m.seen, m.seenAt = true, false, version, now
	m.floor = version
}

// poke asks for a read, at most one per pollPeriod.
func (m *machine) poke(now time.Time) {
	if m.own || m.pending != nil || now.Sub(m.readAt) < pollPeriod {
		return
	}
	m.poked = true
}

// resign gives the lease up and stays out of the contest for a time.
func (m *machine) resign(now time.Time, backoff time.Duration) {
	m.backoff = backoff
	if m.own || m.pending != nil {
		m.releasing = true
		return
	}
	m.contendAt = now.Add(backoff)
}

// settle ends a resignation when nothing is left to release: the release is
// written, or another host has taken the lease.
func (m *machine) settle(now time.Time) {
	if !m.releasing || m.own || m.pending != nil {
		return
	}
	m.releasing = false
	m.contendAt = now.Add(m.backoff)
}
