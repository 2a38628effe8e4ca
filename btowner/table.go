package btowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btramp"
)

// Ownership is the right to grant reservations of one upstream, under one
// view.
type Ownership struct {
	ViewNumber uint64
	Mode       btramp.Mode
}

// OwnershipSource reports whether this daemon may grant reservations. It is
// asked for each reservation, so that a daemon that was paused notices a lost
// lease at once.
type OwnershipSource interface {
	Ownership(now time.Time, id bramleytack.UpstreamID) (Ownership, bool)
}

// Table holds the upstreams that a daemon owns. It implements
// bramleytack.Owner for them.
type Table struct {
	cfg   Config
	timer bramleytack.Timer
	// Ownership may be nil: then every reservation is allowed. It must be set
	// before the table is used.
	Ownership OwnershipSource

	// mu guards the map only. Each slot has a mutex of its own.
	mu    sync.RWMutex
	slots map[bramleytack.UpstreamID]*slot
}

type slot struct {
	mu       sync.Mutex
	upstream *Upstream
}

// NewTable returns a table without upstreams.
func NewTable(cfg Config, timer bramleytack.Timer) *Table {
	return &Table{cfg: cfg.withDefaults(), timer: timer, slots: make(map[bramleytack.UpstreamID]*slot)}
}

// Own adds an upstream, unless the table has it.
func (t *Table) Own(record *bramleytack.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.slots[record.ID]; !ok {
		t.slots[record.ID] = &slot{upstream: NewUpstream(t.cfg, t.timer.Now(), record)}
	}
}

// Disown removes an upstream.
func (t *Table) Disown(id bramleytack.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.slots, id)
}

// Owns says whether the table has an upstream.
func (t *Table) Owns(id bramleytack.UpstreamID) bool { return t.slot(id) != nil }

func (t *Table) slot(id bramleytack.UpstreamID) *slot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.slots[id]
}

// with calls f with an upstream, if the table has it.
func (t *Table) with(id bramleytack.UpstreamID, f func(*Upstream)) bool {
	s := t.slot(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.upstream)
	return true
}

// each calls f with each upstream in the order of their ids.
func (t *Table) each(f func(*Upstream)) {
	t.mu.RLock()
	ids := make([]bramleytack.UpstreamID, 0, len(t.slots))
	for id := range t.slots {
		ids = append(ids, id)
	}
	t.mu.RUnlock()
	slices.Sort(ids)
	for _, id := range ids {
		t.with(id, f)
	}
}

// Configure applies a snapshot to the owned upstreams.
func (t *Table) Configure(s *bramleytack.Snapshot) {
	now := t.timer.Now()
	t.each(func(u *Upstream) {
		record, ok := s.Upstreams[u.record.ID]
		if !ok {
			u.Configure(now, u.record, true)
			return
		}
		d, ok := s.FailureDomains[record.FailureDomain]
		u.Configure(now, record, !ok || d.State != bramleytack.DomainActive)
	})
}

// Reserve implements bramleytack.Owner.
func (t *Table) Reserve(_ context.Context, r bramleytack.Reservation) (bramleytack.Grant, error) {
	s := t.slot(r.Upstream)
	if s == nil {
		return bramleytack.Grant{}, refusal(bramleytack.CodeNoUpstream, "upstream is not owned here")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The time is read under the lock: a wait for the lock must not outlast
	// the ownership.
	now := t.timer.Now()
	ownership := Ownership{}
	if t.Ownership != nil {
		p, ok := t.Ownership.Ownership(now, r.Upstream)
		if !ok {
			return bramleytack.Grant{}, refusal(bramleytack.CodeNoUpstream, "no view lease for the upstream")
		}
		ownership = p
		s.upstream.SetMode(p.Mode)
	}
	g, err := s.upstream.Reserve(now, r)
	g.ViewNumber = ownership.ViewNumber
	return g, err
}

// Release implements bramleytack.Owner. A release for an upstream that moved
// away is accepted, since the new owner learns of the end by load report.
func (t *Table) Release(_ context.Context, v bramleytack.Release) error {
	t.with(v.Upstream, func(u *Upstream) { u.Release(t.timer.Now(), v) })
	return nil
}

// Report merges a load report.
func (t *Table) Report(id bramleytack.UpstreamID, r bramleytack.LoadReport) {
	t.with(id, func(u *Upstream) { u.Report(t.timer.Now(), r) })
}

// Adopt counts reservations that an entry holds. It says whether the table
// has the upstream.
func (t *Table) Adopt(id bramleytack.UpstreamID, list []HeldReservation) bool {
	return t.with(id, func(u *Upstream) { u.Adopt(t.timer.Now(), list) })
}

// MarkPossibleRestart holds an upstream that may have restarted at its cold
// limit until a newer report shows its instance.
func (t *Table) MarkPossibleRestart(id bramleytack.UpstreamID) {
	t.with(id, func(u *Upstream) { u.MarkPossibleRestart(t.timer.Now()) })
}

// MarkSynced records that the owner knows every request that runs on the
// upstream.
func (t *Table) MarkSynced(id bramleytack.UpstreamID) { t.with(id, (*Upstream).MarkSynced) }

// Inherit takes over the level from a digest of the previous owner.
func (t *Table) Inherit(d bramleytack.UpstreamDigest) {
	t.with(d.Upstream, func(u *Upstream) { u.Inherit(t.timer.Now(), d) })
}

// EntryGone marks the reservations of an entry that has left the view.
func (t *Table) EntryGone(entry bramleytack.HostID) {
	t.each(func(u *Upstream) { u.EntryGone(entry) })
}

// Victims names the generations that should move to other upstreams.
func (t *Table) Victims() []bramleytack.Reservation {
	var list []bramleytack.Reservation
	now := t.timer.Now()
	t.each(func(u *Upstream) {
		if r, ok := u.Victim(now); ok {
			list = append(list, r)
		}
	})
	return list
}

// Digest returns the digest of an upstream.
func (t *Table) Digest(id bramleytack.UpstreamID) (bramleytack.UpstreamDigest, bool) {
	var d bramleytack.UpstreamDigest
	ok := t.with(id, func(u *Upstream) { d = u.Digest(t.timer.Now()) })
	return d, ok
}

// Digests returns the digests of all owned upstreams.
func (t *Table) Digests() []bramleytack.UpstreamDigest {
	var list []bramleytack.UpstreamDigest
	now := t.timer.Now()
	t.each(func(u *Upstream) { list = append(list, u.Digest(now)) })
	return list
}

// Dump is the state of a Table.
type Dump struct {
	Upstreams []UpstreamDump `json:"upstreams"`
}

// Dump returns the table's state.
func (t *Table) Dump() Dump {
	var d Dump
	t.each(func(u *Upstream) { d.Upstreams = append(d.Upstreams, u.Dump()) })
	return d
}
