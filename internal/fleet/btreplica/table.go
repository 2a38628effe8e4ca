package btreplica

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// lapseGrace is how long an upstream stays usable after its registration went
// away around an outage of the store. Registrations that lapsed then are back
// within about two seconds.
const lapseGrace = 2 * time.Second

// Batch is a set of changes of one kind. With Full set, Objects are all objects
// of the kind; otherwise they are what changed after Base.
type Batch struct {
	Kind    string
	Full    bool
	Base    bramleytack.Revision
	Upto    bramleytack.Revision
	Objects []bramleytack.Object
	// AfterOutage marks changes seen within some seconds of a store outage.
	AfterOutage bool
	// FromStore marks changes that this daemon read itself.
	FromStore bool
}

// kindState is the replica of one kind.
type kindState struct {
	upto bramleytack.Revision
	// content is the revision of the newest change.
	content bramleytack.Revision
	objects map[string]bramleytack.Object
	// lapsed holds registrations that went away around an outage, by the time
	// at which they are given up.
	lapsed map[string]time.Time
}

// view is a snapshot with the channel that closes when it is replaced.
type view struct {
	snapshot *bramleytack.Snapshot
	changed  chan struct{}
}

// Table is the replica of all kinds.
type Table struct {
	codec bramleytack.CatalogCodec
	timer bramleytack.Timer
	log   *btevent.Logger

	mu    sync.Mutex
	kinds map[string]*kindState
	// decoded keeps an upstream's form while its registration is unchanged.
	decoded map[string]decodedUpstream
	// leaving holds upstreams that told of their leaving themselves.
	leaving   map[string]bool
	listeners []func(Batch)

	current atomic.Pointer[view]
}

type decodedUpstream struct {
	version  bramleytack.Revision
	upstream *bramleytack.Upstream
}

// NewTable returns an empty replica.
func NewTable(codec bramleytack.CatalogCodec, timer bramleytack.Timer, log *btevent.Logger) *Table {
	t := &Table{codec: codec, timer: timer, log: log, kinds: map[string]*kindState{}, decoded: map[string]decodedUpstream{}, leaving: map[string]bool{}}
	t.current.Store(&view{changed: make(chan struct{})})
	return t
}

// Current returns the snapshot, which is nil before the first configuration,
// and a channel that is closed when another one replaces it.
func (t *Table) Current() (*bramleytack.Snapshot, <-chan struct{}) {
	v := t.current.Load()
	return v.snapshot, v.changed
}

// Snapshot returns the snapshot, or nil before the first configuration.
func (t *Table) Snapshot() *bramleytack.Snapshot { return t.current.Load().snapshot }

// Listen calls f with each accepted batch. It must be called before the first.
func (t *Table) Listen(f func(Batch)) { t.listeners = append(t.listeners, f) }

// Upto returns the revision up to which a kind is complete.
func (t *Table) Upto(kind string) bramleytack.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.kinds[kind]; k != nil {
		return k.upto
	}
	return 0
}

// Content returns the revision of the newest change of a kind.
func (t *Table) Content(kind string) bramleytack.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k := t.kinds[kind]; k != nil {
		return k.content
	}
	return 0
}

// Full returns all objects of a kind.
func (t *Table) Full(kind string) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Batch{Kind: kind, Full: true}
	k := t.kinds[kind]
	if k == nil {
		return b
	}
	b.Upto = k.upto
	for _, o := range k.objects {
		b.Objects = append(b.Objects, o)
	}
	slices.SortFunc(b.Objects, func(a, b bramleytack.Object) int { return cmp.Compare(a.Name, b.Name) })
	return b
}

// Apply takes a batch unless it is older than the replica or leaves a gap. It
// says whether the replica is complete up to the batch's revision.
func (t *Table) Apply(b Batch) bool {
	t.mu.Lock()
	k := t.kinds[b.Kind]
	if k == nil {
		k = &kindState{objects: map[string]bramleytack.Object{}, lapsed: map[string]time.Time{}}
		t.kinds[b.Kind] = k
	}
	switch {
	case b.Upto <= k.upto:
		t.mu.Unlock()
		return true
	case !b.Full && b.Base > k.upto, !b.Full && k.upto == 0:
		t.mu.Unlock()
		return false
	}
	changed := k.apply(b, t.timer.Now())
	if changed {
		k.content = k.newest(b)
		t.rebuild()
	}
	t.mu.Unlock()
	for _, f := range t.listeners {
		f(b)
	}
	return true
}

// apply changes the replica and says whether any object differs.
func (k *kindState) apply(b Batch, now time.Time) bool {
	changed := k.upto == 0
	k.upto = b.Upto
	if b.Full {
		present := make(map[string]bool, len(b.Objects))
		for _, o := range b.Objects {
			present[o.Name] = true
		}
		for name := range k.objects {
			if !present[name] {
				k.remove(name, b, now)
				changed = true
			}
		}
	}
	for _, o := range b.Objects {
		if o.Deleted {
			if old, ok := k.objects[o.Name]; ok && (o.Version == 0 || o.Version >= old.Version) {
				k.remove(o.Name, b, now)
				changed = true
			}
			continue
		}
		if old, ok := k.objects[o.Name]; ok && old.Version >= o.Version {
			delete(k.lapsed, o.Name)
			continue
		}
		k.objects[o.Name] = o
		delete(k.lapsed, o.Name)
		changed = true
	}
	return changed
}

// newest returns the revision of the batch's newest change. A removal has no
// revision of its own, so it counts as the batch's.
func (k *kindState) newest(b Batch) bramleytack.Revision {
	content := k.content
	for _, o := range b.Objects {
		if o.Deleted {
			return b.Upto
		}
		content = max(content, o.Version)
	}
	return content
}

func (k *kindState) remove(name string, b Batch, now time.Time) {
	if b.AfterOutage && b.Kind == bramleytack.KindUpstreams {
		if _, waiting := k.lapsed[name]; !waiting {
			k.lapsed[name] = now.Add(lapseGrace)
		}
		return
	}
	delete(k.objects, name)
	delete(k.lapsed, name)
}

// MarkLeaving notes that an upstream told of its leaving itself. It holds as long
// as the upstream is registered: an incarnation that leaves does not stay.
func (t *Table) MarkLeaving(id bramleytack.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving[string(id)] {
		return
	}
	t.leaving[string(id)] = true
	t.log.Event(btevent.UpstreamLeavingSeen).Str("upstream", string(id)).Send()
	t.rebuild()
}

// Expire drops registrations whose grace has ended.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.timer.Now(), false
	for _, k := range t.kinds {
		for name, until := range k.lapsed {
			if now.After(until) {
				delete(k.lapsed, name)
				delete(k.objects, name)
				changed = true
			}
		}
	}
	if changed {
		t.rebuild()
	}
}

// rebuild decodes the replica into a new snapshot.
func (t *Table) rebuild() {
	old := t.current.Load()
	s := t.decode(old.snapshot)
	if s == nil {
		return
	}
	t.current.Store(&view{snapshot: s, changed: make(chan struct{})})
	close(old.changed)
}

func (t *Table) decode(old *bramleytack.Snapshot) *bramleytack.Snapshot {
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
			t.log.Event(btevent.ConfigUndecoded).Uint64("revision", uint64(o.Version)).Err(err).Send()
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
		t.log.Event(btevent.ConfigInForce).Uint64("version", s.Version).Uint64("revision", uint64(o.Version)).Int("routes", s.Routes.Len()).Send()
	}
	if s.Routes == nil {
		return nil
	}
	t.decodeDomains(s)
	t.decodeUpstreams(s)
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
		u := t.upstream(name, o)
		if u == nil {
			continue
		}
		if t.leaving[name] {
			left := *u
			left.State = bramleytack.UpstreamLeaving
			u = &left
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
			t.log.Event(btevent.UpstreamRemoved).Str("upstream", name).Uint64("upto", uint64(k.upto)).Send()
			delete(t.decoded, name)
			delete(t.leaving, name)
		}
	}
}

// upstream returns the decoded registration, or nil if it names no upstream.
func (t *Table) upstream(name string, o bramleytack.Object) *bramleytack.Upstream {
	if d, ok := t.decoded[name]; ok && d.version == o.Version {
		return d.upstream
	}
	u, err := t.codec.Upstream(name, o.Data, t.timer.Now())
	if err != nil {
		t.log.Event(btevent.UpstreamUndecoded).Str("upstream", name).Uint64("revision", uint64(o.Version)).Err(err).Send()
	} else {
		t.log.Event(btevent.UpstreamRegistered).Str("upstream", name).Str("service", u.Service).Stringer("addr", u.Addr).Str("state", string(u.State)).Uint64("revision", uint64(o.Version)).Send()
	}
	t.decoded[name] = decodedUpstream{version: o.Version, upstream: u}
	return u
}
