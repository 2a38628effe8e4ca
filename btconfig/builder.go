package btconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
)

var errFingerprint = errors.New("btconfig: name is not a fingerprint")

func emptySnapshot() *bramleytack.Snapshot {
	return &bramleytack.Snapshot{
		Models:         map[string]*bramleytack.Model{},
		Services:       map[string]*bramleytack.ServiceRecord{},
		Workspaces:     map[bramleytack.WorkspaceID]*bramleytack.Workspace{},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{},
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{},
		Commitments:    map[string]*bramleytack.Commitment{},
		ByKeyHash:      map[string]*bramleytack.Workspace{},
		ByModel:        map[string][]*bramleytack.Upstream{},
		ByService:      map[string][]*bramleytack.Upstream{},
		Quarantined:    map[string]bool{},
	}
}

// copyOnWriteMap is a map of the next snapshot. It is shared with the current
// snapshot until its first change, which copies it.
type copyOnWriteMap[K comparable, V any] struct {
	m      map[K]V
	copied bool
}

func (c *copyOnWriteMap[K, V]) ensureCopied() {
	if c.copied {
		return
	}
	c.m = maps.Clone(c.m)
	c.copied = true
}

func (c *copyOnWriteMap[K, V]) set(k K, v V) {
	c.ensureCopied()
	c.m[k] = v
}

func (c *copyOnWriteMap[K, V]) remove(k K) {
	if _, ok := c.m[k]; !ok {
		return
	}
	c.ensureCopied()
	delete(c.m, k)
}

// builder builds the next snapshot from the current one. Only one call uses it,
// which holds the mutex of the Config.
type builder struct {
	config  *Config
	changed bool

	revision    bramleytack.Revision
	models      copyOnWriteMap[string, *bramleytack.Model]
	services    copyOnWriteMap[string, *bramleytack.ServiceRecord]
	workspaces  copyOnWriteMap[bramleytack.WorkspaceID, *bramleytack.Workspace]
	domains     copyOnWriteMap[bramleytack.FailureDomainID, *bramleytack.FailureDomain]
	upstreams   copyOnWriteMap[bramleytack.UpstreamID, *bramleytack.Upstream]
	commitments copyOnWriteMap[string, *bramleytack.Commitment]
	quarantined copyOnWriteMap[string, bool]

	byKeyHash map[string]*bramleytack.Workspace
	byModel   index
	byService index
	// changedUpstreams holds the upstreams that were set or removed.
	changedUpstreams map[bramleytack.UpstreamID]bool
}

func newBuilder(c *Config) *builder {
	s := c.Snapshot()
	return &builder{
		config:           c,
		revision:         s.Revision,
		models:           copyOnWriteMap[string, *bramleytack.Model]{m: s.Models},
		services:         copyOnWriteMap[string, *bramleytack.ServiceRecord]{m: s.Services},
		workspaces:       copyOnWriteMap[bramleytack.WorkspaceID, *bramleytack.Workspace]{m: s.Workspaces},
		domains:          copyOnWriteMap[bramleytack.FailureDomainID, *bramleytack.FailureDomain]{m: s.FailureDomains},
		upstreams:        copyOnWriteMap[bramleytack.UpstreamID, *bramleytack.Upstream]{m: s.Upstreams},
		commitments:      copyOnWriteMap[string, *bramleytack.Commitment]{m: s.Commitments},
		quarantined:      copyOnWriteMap[string, bool]{m: s.Quarantined},
		byKeyHash:        s.ByKeyHash,
		byModel:          index{copyOnWriteMap: copyOnWriteMap[string, []*bramleytack.Upstream]{m: s.ByModel}},
		byService:        index{copyOnWriteMap: copyOnWriteMap[string, []*bramleytack.Upstream]{m: s.ByService}},
		changedUpstreams: map[bramleytack.UpstreamID]bool{},
	}
}

// apply adds one accepted object. An object that cannot be decoded leaves the
// last valid version of its record in the snapshot.
func (b *builder) apply(o bramleytack.Object) {
	b.changed = true
	b.revision = max(b.revision, o.Version)
	delete(b.config.undecodable, o.Key)
	if o.Deleted {
		b.remove(o.Key)
		return
	}
	if err := b.set(o); err != nil {
		b.config.undecodable[o.Key] = true
		b.config.stats.DecodeFailures++
	}
}

func (b *builder) set(o bramleytack.Object) error {
	if o.Kind == KindQuarantine {
		return b.setQuarantined(o.Name)
	}
	r, err := btrecord.Decode(o)
	if err != nil {
		return err
	}
	switch o.Kind {
	case btrecord.KindModel:
		return decode(btrecord.Models, r, func(m *bramleytack.Model) { b.models.set(m.Name, m) })
	case btrecord.KindService:
		return decode(btrecord.Services, r, func(s *bramleytack.ServiceRecord) { b.services.set(s.Name, s) })
	case btrecord.KindFailureDomain:
		return decode(btrecord.FailureDomains, r, func(f *bramleytack.FailureDomain) { b.domains.set(f.Name, f) })
	case btrecord.KindCommitment:
		return decode(btrecord.Commitments, r, func(c *bramleytack.Commitment) { b.commitments.set(c.Name, c) })
	case btrecord.KindUpstream:
		return decode(btrecord.Upstreams, r, b.setUpstream)
	case btrecord.KindPriorityClass:
		return decode(btrecord.PriorityClasses, r, b.setClass)
	}
	return decode(btrecord.Workspaces, r, b.setWorkspace)
}

// decode calls set with the value of a record, if the record is valid.
func decode[T any](c btrecord.Codec[T], r btrecord.Record, set func(*T)) error {
	v, findings := c.Value(r)
	if err := findings.Err(); err != nil {
		return err
	}
	set(&v)
	return nil
}

func (b *builder) remove(key bramleytack.Key) {
	switch key.Kind {
	case KindQuarantine:
		b.quarantined.remove(key.Name)
	case btrecord.KindModel:
		b.models.remove(key.Name)
	case btrecord.KindService:
		b.services.remove(key.Name)
	case btrecord.KindFailureDomain:
		b.domains.remove(bramleytack.FailureDomainID(key.Name))
	case btrecord.KindCommitment:
		b.commitments.remove(key.Name)
	case btrecord.KindUpstream:
		b.removeUpstream(bramleytack.UpstreamID(key.Name))
	case btrecord.KindPriorityClass:
		delete(b.config.classes, key.Name)
		b.resolveClass(key.Name)
	case btrecord.KindWorkspace:
		delete(b.config.workspaces, bramleytack.WorkspaceID(key.Name))
		b.workspaces.remove(bramleytack.WorkspaceID(key.Name))
	}
}

func (b *builder) setQuarantined(name string) error {
	if !btrecord.ValidHash(name) {
		return errFingerprint
	}
	b.quarantined.set(name, true)
	return nil
}

func (b *builder) setWorkspace(w *btrecord.Workspace) {
	b.config.workspaces[w.Name] = *w
	b.resolveWorkspace(*w)
}

// resolveWorkspace stores a workspace with the priority of its class. A
// workspace whose class is unknown keeps its own priority.
func (b *builder) resolveWorkspace(w btrecord.Workspace) {
	if p, ok := b.config.classes[w.PriorityClass]; ok && w.PriorityClass != "" {
		w.Priority = p
	}
	b.workspaces.set(w.Name, &w.Workspace)
}

func (b *builder) setClass(p *btrecord.PriorityClass) {
	b.config.classes[p.Name] = p.Priority
	b.resolveClass(p.Name)
}

// resolveClass updates the priority of the workspaces of a class.
func (b *builder) resolveClass(name string) {
	for _, w := range b.config.workspaces {
		if w.PriorityClass == name {
			b.resolveWorkspace(w)
		}
	}
}

func (b *builder) setUpstream(u *bramleytack.Upstream) {
	b.markUpstream(u.ID)
	b.upstreams.set(u.ID, u)
	b.markUpstream(u.ID)
}

func (b *builder) removeUpstream(id bramleytack.UpstreamID) {
	b.markUpstream(id)
	b.upstreams.remove(id)
}

// markUpstream marks an upstream as changed and the index lists that it is in
// as stale.
func (b *builder) markUpstream(id bramleytack.UpstreamID) {
	b.changedUpstreams[id] = true
	u, ok := b.upstreams.m[id]
	if !ok {
		return
	}
	for _, m := range u.Models {
		b.byModel.markStale(m)
	}
	if u.Service != "" {
		b.byService.markStale(u.Service)
	}
}

// snapshot rebuilds the stale indexes and returns the new snapshot.
func (b *builder) snapshot() *bramleytack.Snapshot {
	b.byModel.rebuild(b, func(u *bramleytack.Upstream) []string { return u.Models })
	b.byService.rebuild(b, func(u *bramleytack.Upstream) []string { return []string{u.Service} })
	if b.workspaces.copied {
		b.byKeyHash = indexKeys(b.workspaces.m)
	}
	return &bramleytack.Snapshot{
		Revision:       b.revision,
		Models:         b.models.m,
		Services:       b.services.m,
		Workspaces:     b.workspaces.m,
		FailureDomains: b.domains.m,
		Upstreams:      b.upstreams.m,
		Commitments:    b.commitments.m,
		Quarantined:    b.quarantined.m,
		ByKeyHash:      b.byKeyHash,
		ByModel:        b.byModel.m,
		ByService:      b.byService.m,
	}
}

// indexKeys maps the hashes of API keys to workspaces. If two workspaces have
// the same hash, the one whose name sorts first has it, so that all daemons
// agree.
func indexKeys(workspaces map[bramleytack.WorkspaceID]*bramleytack.Workspace) map[string]*bramleytack.Workspace {
	byHash := make(map[string]*bramleytack.Workspace, len(workspaces))
	for _, w := range workspaces {
		for _, h := range w.KeyHashes {
			if other, ok := byHash[h]; !ok || w.Name < other.Name {
				byHash[h] = w
			}
		}
	}
	return byHash
}

// index holds the upstreams of each model or service, ordered by their ids.
type index struct {
	copyOnWriteMap[string, []*bramleytack.Upstream]
	// stale holds the names whose lists have to be rebuilt.
	stale map[string]bool
}

func (x *index) markStale(name string) {
	if x.stale == nil {
		x.stale = map[string]bool{}
	}
	x.stale[name] = true
}

// rebuild replaces the stale lists. names returns the names whose lists hold an
// upstream.
func (x *index) rebuild(b *builder, names func(*bramleytack.Upstream) []string) {
	if len(x.stale) == 0 {
		return
	}
	next := map[string][]*bramleytack.Upstream{}
	for name := range x.stale {
		next[name] = slices.DeleteFunc(slices.Clone(x.m[name]), func(u *bramleytack.Upstream) bool { return b.changedUpstreams[u.ID] })
	}
	for id := range b.changedUpstreams {
		u, ok := b.upstreams.m[id]
		if !ok {
			continue
		}
		for _, name := range names(u) {
			if x.stale[name] {
				next[name] = append(next[name], u)
			}
		}
	}
	for name, list := range next {
		x.put(name, list)
	}
}

// put sorts and sets the list of a name. A name without upstreams is removed.
func (x *index) put(name string, list []*bramleytack.Upstream) {
	if len(list) == 0 {
		x.remove(name)
		return
	}
	slices.SortFunc(list, func(a, b *bramleytack.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	x.set(name, list)
}
