package btowner

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btramp"
)

// Ownership is the right to grant reservations of one upstream under one view.
type Ownership struct {
	ViewNumber uint64
	// Mode lowers the limit while another daemon may act as the owner too.
	Mode btramp.Mode
}

// OwnershipSource decides whether this daemon may grant reservations of an
// upstream now. A Table calls it for each reservation, so that a daemon that was
// paused notices at once that its ownership has ended.
type OwnershipSource interface {
	// Ownership returns false if the daemon may not grant reservations.
	Ownership(now time.Time, id bramleytack.UpstreamID) (Ownership, bool)
}

// Table holds the upstreams that a daemon owns. It implements
// bramleytack.Owner for them and is safe for concurrent use.
type Table struct {
	cfg   Config
	timer bramleytack.Timer
	// Ownership may be nil: then every reservation is allowed. It must be set
	// before the table is used.
	Ownership OwnershipSource

	// mu guards the map only. Each upstream has a mutex of its own.
	mu        sync.RWMutex
	upstreams map[bramleytack.UpstreamID]*lockedUpstream
}

type lockedUpstream struct {
	mu       sync.Mutex
	upstream *Upstream
}

// NewTable returns a table without upstreams.
func NewTable(cfg Config, timer bramleytack.Timer) *Table {
	return &Table{cfg: cfg.withDefaults(), timer: timer, upstreams: make(map[bramleytack.UpstreamID]*lockedUpstream)}
}

// Own adds an upstream, cold and without reservations. It does nothing if the
// table has the upstream.
func (t *Table) Own(record *bramleytack.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.upstreams[record.ID]; !ok {
		t.upstreams[record.ID] = &lockedUpstream{upstream: NewUpstream(t.cfg, t.timer.Now(), record)}
	}
}

// Disown removes an upstream with its reservations.
func (t *Table) Disown(id bramleytack.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
}

// Owns reports whether the table has an upstream.
func (t *Table) Owns(id bramleytack.UpstreamID) bool { return t.lookup(id) != nil }

func (t *Table) lookup(id bramleytack.UpstreamID) *lockedUpstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.upstreams[id]
}

// with calls f with an upstream under its lock. It returns false if the table
// does not have the upstream.
func (t *Table) with(id bramleytack.UpstreamID, f func(*Upstream)) bool {
	u := t.lookup(id)
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u.upstream)
	return true
}

// each calls f with each upstream in the order of their ids.
func (t *Table) each(f func(*Upstream)) {
	t.mu.RLock()
	ids := make([]bramleytack.UpstreamID, 0, len(t.upstreams))
	for id := range t.upstreams {
		ids = append(ids, id)
	}
	t.mu.RUnlock()
	slices.Sort(ids)
	for _, id := range ids {
		t.with(id, f)
	}
}

// Configure applies a snapshot to the owned upstreams. One that has no record,
// or whose failure domain is not active, gets no new work.
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
	u := t.lookup(r.Upstream)
	if u == nil {
		return bramleytack.Grant{}, rejection(bramleytack.CodeNoUpstream, "this daemon does not own the upstream")
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	// The time is read under the lock, since the ownership may end during a wait
	// for the lock.
	now := t.timer.Now()
	ownership := Ownership{}
	if t.Ownership != nil {
		o, ok := t.Ownership.Ownership(now, r.Upstream)
		if !ok {
			return bramleytack.Grant{}, rejection(bramleytack.CodeNoUpstream, "this daemon has no view lease for the upstream")
		}
		ownership = o
		u.upstream.SetMode(o.Mode)
	}
	g, err := u.upstream.Reserve(now, r)
	g.ViewNumber = ownership.ViewNumber
	return g, err
}

// Release implements bramleytack.Owner. It ignores a release for an upstream that
// now has another owner, since that owner sees the end in a load report.
func (t *Table) Release(_ context.Context, v bramleytack.Release) error {
	t.with(v.Upstream, func(u *Upstream) { u.Release(t.timer.Now(), v) })
	return nil
}

// Report merges a load report of an upstream, if the table has it.
func (t *Table) Report(id bramleytack.UpstreamID, r bramleytack.LoadReport) {
	t.with(id, func(u *Upstream) { u.Report(t.timer.Now(), r) })
}

// Adopt counts reservations that the previous owner of an upstream granted. It
// returns false if the table does not have the upstream.
func (t *Table) Adopt(id bramleytack.UpstreamID, list []HeldReservation) bool {
	return t.with(id, func(u *Upstream) { u.Adopt(t.timer.Now(), list) })
}

// MarkPossibleRestart limits an upstream that may have restarted to its cold
// limit until a newer report arrives, or for possibleRestartTimeout at most.
func (t *Table) MarkPossibleRestart(id bramleytack.UpstreamID) {
	t.with(id, func(u *Upstream) { u.MarkPossibleRestart(t.timer.Now()) })
}

// MarkSynced records that this owner knows every request that runs on the
// upstream.
func (t *Table) MarkSynced(id bramleytack.UpstreamID) { t.with(id, (*Upstream).MarkSynced) }

// Inherit takes over the warm-up level from a digest of the previous owner.
func (t *Table) Inherit(d bramleytack.UpstreamDigest) {
	t.with(d.Upstream, func(u *Upstream) { u.Inherit(t.timer.Now(), d) })
}

// EntryGone marks the reservations of an entry daemon that has left the view.
func (t *Table) EntryGone(entry bramleytack.HostID) {
	t.each(func(u *Upstream) { u.EntryGone(entry) })
}

// Victims returns the generations that should restart at other upstreams, at
// most one of each upstream. See [Upstream.Victim].
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

// Digest returns the digest of an upstream, or false if the table does not have
// it.
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

// Dump is the state of a Table in a state dump.
type Dump struct {
	Upstreams []UpstreamDump `json:"upstreams"`
}

// Dump returns the table's state.
func (t *Table) Dump() Dump {
	var d Dump
	t.each(func(u *Upstream) { d.Upstreams = append(d.Upstreams, u.Dump()) })
	return d
}
