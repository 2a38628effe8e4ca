package btreplica

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// lapseGrace is how long an upstream stays usable after the store, on its return from an
// outage, no longer had its registration. Registrations that lapsed because of the outage
// return within about two seconds.
const lapseGrace = 2 * time.Second

// maxRejectedEntries is the number of entries that cannot be read which are logged of one
// batch.
const maxRejectedEntries = 8

// Batch holds objects of one kind. With Full set, Objects are all objects of the kind;
// otherwise they are what changed after Base.
type Batch struct {
	Kind string
	Full bool
	Base bramleytack.Revision
	// Upto is the revision up to which the batch is complete.
	Upto    bramleytack.Revision
	Objects []bramleytack.Object
	// AfterOutage is set if the batch was read as the store returned from an outage.
	AfterOutage bool
	// FromStore is set if this daemon read the batch from the store, not from a peer.
	FromStore bool
	// Lapsed are the names of Objects whose registration the store no longer has.
	Lapsed []string
}

// kindState is the replica of one kind.
type kindState struct {
	// upto is the revision up to which objects is complete.
	upto bramleytack.Revision
	// lastChange is the revision of the newest change.
	lastChange bramleytack.Revision
	objects    map[string]bramleytack.Object
	// lapsed holds the names of objects that the store no longer has because of an outage or
	// of an older copy, with the time at which they are dropped.
	lapsed map[string]time.Time
	// handed holds those of lapsed that another daemon has handed on, and that are not handed on
	// again: a chain of daemons that start would keep them for ever.
	handed map[string]bool
	// removed holds objects that were removed lately, withheld those of them that came back
	// with an older copy of the store.
	removed  map[string]formerObject
	withheld map[string]formerObject
}

// formerObject is an object that is not part of the replica, with the time of its removal or
// until which it is withheld.
type formerObject struct {
	object bramleytack.Object
	at     time.Time
}

// currentSnapshot is a snapshot with a channel that is closed when it is replaced.
type currentSnapshot struct {
	snapshot *bramleytack.Snapshot
	changed  chan struct{}
}

// Table is the replica of all kinds. It is safe for concurrent use.
type Table struct {
	codec bramleytack.CatalogCodec
	timer bramleytack.Timer
	log   *btevent.Logger

	mu    sync.Mutex
	kinds map[string]*kindState
	// decoded caches the decoded registrations by name.
	decoded map[string]decodedUpstream
	// leaving holds the instances that are leaving, by their own word or the store's.
	leaving   map[string]leavingMark
	listeners []func(Batch)

	current atomic.Pointer[currentSnapshot]
}

// leavingMark is the word of one instance of an upstream that it is leaving.
type leavingMark struct {
	started time.Time
	at      time.Time
}

// leavingRetention is how long a mark outlasts its registration, which may lapse and come
// back during an outage of the store.
const leavingRetention = 5 * time.Minute

// decodedUpstream is a decoded version of a registration. upstream is nil if it could
// not be decoded.
type decodedUpstream struct {
	version  bramleytack.Revision
	data     []byte
	upstream *bramleytack.Upstream
}

// NewTable returns an empty replica.
func NewTable(codec bramleytack.CatalogCodec, timer bramleytack.Timer, log *btevent.Logger) *Table {
	t := &Table{codec: codec, timer: timer, log: log, kinds: map[string]*kindState{}, decoded: map[string]decodedUpstream{}, leaving: map[string]leavingMark{}}
	t.current.Store(&currentSnapshot{changed: make(chan struct{})})
	return t
}

// Current returns the snapshot, which is nil before the first configuration,
// and a channel that is closed when another one replaces it.
func (t *Table) Current() (*bramleytack.Snapshot, <-chan struct{}) {
	c := t.current.Load()
	return c.snapshot, c.changed
}

// Snapshot returns the snapshot, or nil before the first configuration.
func (t *Table) Snapshot() *bramleytack.Snapshot { return t.current.Load().snapshot }

// OnApply registers f to be called with each accepted batch, on the goroutine of the
// call of Apply and without locks. It must be called before the first Apply.
func (t *Table) OnApply(f func(Batch)) { t.listeners = append(t.listeners, f) }

// Upto returns the revision up to which a kind is complete, 0 before the first list.
func (t *Table) Upto(kind string) bramleytack.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.kinds[kind]; k != nil {
		return k.upto
	}
	return 0
}

// LastChange returns the revision of the newest change of a kind, 0 if there is none.
// Unlike Upto it does not rise when the store reports that nothing changed.
func (t *Table) LastChange(kind string) bramleytack.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.kinds[kind]; k != nil {
		return k.lastChange
	}
	return 0
}

// FullBatch returns all objects of a kind.
func (t *Table) FullBatch(kind string) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Batch{Kind: kind, Full: true}
	k := t.kinds[kind]
	if k == nil {
		return b
	}
	b.Upto = k.upto
	for name, o := range k.objects {
		if k.handed[name] {
			continue
		}
		b.Objects = append(b.Objects, o)
		if _, ok := k.lapsed[name]; ok {
			b.Lapsed = append(b.Lapsed, name)
		}
	}
	// Each daemon decides by what it has seen itself.
	for _, w := range k.withheld {
		b.Objects = append(b.Objects, w.object)
	}
	slices.Sort(b.Lapsed)
	slices.SortFunc(b.Objects, func(a, b bramleytack.Object) int { return cmp.Compare(a.Name, b.Name) })
	return b
}

// Apply adds a batch to the replica unless it is outdated or leaves a gap. It reports
// whether the replica is now complete up to the batch's revision; if not, the caller
// needs a full batch.
func (t *Table) Apply(b Batch) bool {
	b.Objects = t.named(b)
	t.mu.Lock()
	k := t.kinds[b.Kind]
	if k == nil {
		k = &kindState{objects: map[string]bramleytack.Object{}, lapsed: map[string]time.Time{}, handed: map[string]bool{}, removed: map[string]formerObject{}, withheld: map[string]formerObject{}}
		t.kinds[b.Kind] = k
	}
	switch {
	case b.Upto <= k.upto:
		changed := t.takeConfirmed(k, b)
		t.mu.Unlock()
		if changed {
			t.notify(b)
		}
		return true
	case !b.Full && b.Base > k.upto, !b.Full && k.upto == 0:
		t.mu.Unlock()
		return false
	}
	if k.restoredBy(b) {
		t.log.Event(btevent.StoreRestored).Str("kind", b.Kind).Stringer("held", k.upto).Stringer("upto", b.Upto).Bool("fromStore", b.FromStore).Send()
	}
	if t.apply(k, b, t.timer.Now()) {
		t.rebuild()
	}
	t.mu.Unlock()
	t.notify(b)
	return true
}

// notify calls the listeners.
func (t *Table) notify(b Batch) {
	for _, f := range t.listeners {
		f(b)
	}
}

// named returns the objects of a batch that have a name. It logs those that could not be
// read, at most maxRejectedEntries of them.
func (t *Table) named(b Batch) []bramleytack.Object {
	rejected := 0
	objects := make([]bramleytack.Object, 0, len(b.Objects))
	for _, o := range b.Objects {
		if o.Err != nil {
			if rejected++; rejected <= maxRejectedEntries {
				t.log.Event(btevent.EntryRejected).Str("kind", b.Kind).Str("name", o.Name).Stringer("revision", o.Version).Err(o.Err).Send()
			}
		}
		if o.Name != "" {
			objects = append(objects, o)
		}
	}
	if rejected > maxRejectedEntries {
		t.log.Event(btevent.EntryRejected).Str("kind", b.Kind).Int("more", rejected-maxRejectedEntries).Send()
	}
	return objects
}

// apply adds a batch to the replica of its kind and reports whether any object changed. The
// first list counts as a change. A removal has no revision of its own, so it counts as made at
// that of b.
func (t *Table) apply(k *kindState, b Batch, now time.Time) bool {
	changed, restored := k.upto == 0, k.restoredBy(b)
	if restored {
		// The other daemons have to list the kind, too.
		k.lastChange, changed = b.Upto, true
	}
	k.upto = b.Upto
	if b.Full {
		present := make(map[string]bool, len(b.Objects))
		for _, o := range b.Objects {
			present[o.Name] = true
		}
		for name, o := range k.objects {
			if !present[name] && k.remove(name, t.graceOf(b, o), now) {
				k.lastChange, changed = b.Upto, true
			}
		}
		maps.DeleteFunc(k.withheld, func(name string, _ formerObject) bool { return !present[name] })
	}
	for _, o := range b.Objects {
		if o.Deleted {
			delete(k.withheld, o.Name)
			if old, ok := k.objects[o.Name]; ok && (o.Version == 0 || o.Version >= old.Version) {
				k.remove(o.Name, t.graceOfDeleted(b, o.Name), now)
				k.lastChange, changed = b.Upto, true
			}
			continue
		}
		lapsed := slices.Contains(b.Lapsed, o.Name)
		if !lapsed {
			delete(k.lapsed, o.Name)
			delete(k.handed, o.Name)
		}
		if old, ok := k.objects[o.Name]; ok && !t.replaces(old, o) || !ok && (lapsed && k.hasLapsed(o) || t.withhold(k, o, restored, now)) {
			continue
		}
		if _, ok := k.objects[o.Name]; !ok && lapsed && b.Kind == bramleytack.KindEvacuations {
			k.handed[o.Name] = true
		}
		k.objects[o.Name] = o
		k.lastChange, changed = max(k.lastChange, o.Version), true
	}
	for _, name := range b.Lapsed {
		// Without the mark, a daemon that has just started would keep an upstream that
		// has ended: the other daemons drop it without a change in the store.
		if _, ok := k.objects[name]; ok {
			k.lapse(name, graceOfKind(b.Kind), now)
		}
	}
	return changed
}

// isLeaving reports whether an upstream has announced, in the store or by itself, that it
// is leaving. Its removal is no lapse.
func (t *Table) isLeaving(name string) bool {
	u := t.decoded[name].upstream
	if u == nil {
		return false
	}
	m, ok := t.leaving[name]
	return u.State == bramleytack.UpstreamLeaving || ok && m.started.Equal(u.Started)
}

// MarkLeaving records that an instance of an upstream itself said that it is leaving, and
// reports whether that is news. An instance that is leaving does not return: the mark
// stays, whatever the store says.
func (t *Table) MarkLeaving(u *bramleytack.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := string(u.ID)
	if m, ok := t.leaving[name]; ok && !m.started.Before(u.Started) {
		return false
	}
	t.leaving[name] = leavingMark{started: u.Started, at: t.timer.Now()}
	t.log.Event(btevent.UpstreamLeavingReported).Str("upstream", name).Time("started", u.Started).Send()
	t.rebuild()
	return true
}

// Leaving returns instances that are marked as leaving and whose registrations do not say so, at
// most limit of them.
func (t *Table) Leaving(limit int) []*bramleytack.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var marked []*bramleytack.Upstream
	for name, m := range t.leaving {
		if u := t.decoded[name].upstream; u != nil && u.State != bramleytack.UpstreamLeaving && u.Started.Equal(m.started) && len(marked) < limit {
			marked = append(marked, u)
		}
	}
	return marked
}

// Expire drops the lapsed objects whose grace has ended, and adds the withheld ones that the
// store still has. It must be called periodically.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.timer.Now(), false
	for _, k := range t.kinds {
		for name, until := range k.lapsed {
			if now.After(until) {
				k.drop(name, now)
				changed = true
			}
		}
		changed = k.expireFormer(now) || changed
	}
	if changed {
		t.rebuild()
	}
}

// rebuild decodes the replica into a new snapshot and publishes it. Without a usable
// configuration it does nothing.
func (t *Table) rebuild() {
	old := t.current.Load()
	s := t.decodeSnapshot(old.snapshot)
	if s == nil {
		return
	}
	t.current.Store(&currentSnapshot{snapshot: s, changed: make(chan struct{})})
	close(old.changed)
}

// decodeSnapshot returns the snapshot of the replica, or nil if there is no usable
// configuration. The configuration in old stays in force if the new one cannot be
// decoded or has a lower version.
func (t *Table) decodeSnapshot(old *bramleytack.Snapshot) *bramleytack.Snapshot {
	config := t.kinds[bramleytack.KindConfig]
	if config == nil || len(config.objects) == 0 {
		return nil
	}
	s := &bramleytack.Snapshot{}
	for _, o := range config.objects {
		if old != nil && old.Revision == o.Version {
			*s = *old
			continue
		}
		if err := t.codec.Config(o.Data, s); err != nil {
			t.log.Event(btevent.RecordUndecodable).Stringer("revision", o.Version).Err(err).Send()
			if old == nil {
				return nil
			}
			*s = *old
			continue
		}
		if old != nil && s.Version < old.Version {
			t.log.Event(btevent.ConfigRegressed).Uint64("version", s.Version).Uint64("held", old.Version).Send()
			*s = *old
			continue
		}
		s.Revision = o.Version
		t.log.Event(btevent.ConfigInForce).Uint64("version", s.Version).Stringer("revision", o.Version).Int("routes", s.Routes.Len()).Send()
	}
	if s.Routes == nil {
		return nil
	}
	t.decodeDomains(s)
	t.decodeUpstreams(s)
	t.decodeRollouts(s, old)
	return s
}

func (t *Table) decodeDomains(s *bramleytack.Snapshot) {
	s.FailureDomains = map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{}
	if k := t.kinds[bramleytack.KindEvacuations]; k != nil {
		for name := range k.objects {
			id := bramleytack.FailureDomainID(name)
			s.FailureDomains[id] = &bramleytack.FailureDomain{Name: id, State: bramleytack.DomainOut}
		}
	}
}

func (t *Table) decodeUpstreams(s *bramleytack.Snapshot) {
	s.Upstreams = map[bramleytack.UpstreamID]*bramleytack.Upstream{}
	s.ByService = map[string][]*bramleytack.Upstream{}
	k := t.kinds[bramleytack.KindUpstreams]
	if k == nil {
		return
	}
	for name, o := range k.objects {
		u := t.decodeUpstream(name, o)
		if u == nil {
			continue
		}
		t.keepLeaving(u)
		if m, ok := t.leaving[name]; ok && m.started.Equal(u.Started) {
			leaving := *u
			leaving.State = bramleytack.UpstreamLeaving
			u = &leaving
		}
		s.Upstreams[u.ID] = u
		s.ByService[u.Service] = append(s.ByService[u.Service], u)
		if s.FailureDomains[u.FailureDomain] == nil {
			s.FailureDomains[u.FailureDomain] = &bramleytack.FailureDomain{Name: u.FailureDomain, State: bramleytack.DomainActive}
		}
	}
	for _, list := range s.ByService {
		slices.SortFunc(list, func(a, b *bramleytack.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	for name := range t.decoded {
		if _, ok := k.objects[name]; !ok {
			t.log.Event(btevent.UpstreamRemoved).Str("upstream", name).Stringer("upto", k.upto).Send()
			delete(t.decoded, name)
		}
	}
	for name, m := range t.leaving {
		// Without a start time, a later instance of the same name looks the same.
		if _, ok := k.objects[name]; !ok && (m.started.IsZero() || t.timer.Now().Sub(m.at) > leavingRetention) {
			delete(t.leaving, name)
		}
	}
}

// decodeUpstream returns the upstream of a registration, or nil if it cannot be
// decoded.
func (t *Table) decodeUpstream(name string, o bramleytack.Object) *bramleytack.Upstream {
	if d, ok := t.decoded[name]; ok && (d.version == o.Version || d.version.Epoch() != o.Version.Epoch() && bytes.Equal(d.data, o.Data)) {
		// A registration has durations that count from when it was written.
		return d.upstream
	}
	u, err := t.codec.Upstream(name, o.Data, t.timer.Now())
	if d, ok := t.decoded[name]; ok && d.version.Epoch() < o.Version.Epoch() {
		u = newestOf(d.upstream, u)
	}
	if err != nil {
		t.log.Event(btevent.RegistrationUndecodable).Str("upstream", name).Stringer("revision", o.Version).Err(err).Send()
	} else {
		t.log.Event(btevent.UpstreamRegistered).Str("upstream", name).Str("service", u.Service).Stringer("addr", u.Addr).Str("state", string(u.State)).Stringer("revision", o.Version).Send()
	}
	t.decoded[name] = decodedUpstream{version: o.Version, data: o.Data, upstream: u}
	return u
}
