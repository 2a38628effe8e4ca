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

// table is a map of the next snapshot. It is copied before its first change.
type table[K comparable, V any] struct {
	m     map[K]V
	owned bool
}

func (t *table[K, V]) own() {
	if t.owned {
		return
	}
	t.m = maps.Clone(t.m)
	t.owned = true
}

func (t *table[K, V]) set(k K, v V) {
	t.own()
	t.m[k] = v
}

func (t *table[K, V]) remove(k K) {
	if _, ok := t.m[k]; !ok {
		return
	}
	t.own()
	delete(t.m, k)
}

// draft is the next snapshot. It belongs to one call that holds the mutex of
// the Config.
type draft struct {
	config  *Config
	changed bool

	revision    bramleytack.Revision
	models      table[string, *bramleytack.Model]
	services    table[string, *bramleytack.ServiceRecord]
	workspaces  table[bramleytack.WorkspaceID, *bramleytack.Workspace]
	domains     table[bramleytack.FailureDomainID, *bramleytack.FailureDomain]
	upstreams   table[bramleytack.UpstreamID, *bramleytack.Upstream]
	commitments table[string, *bramleytack.Commitment]
	quarantined table[string, bool]

	byKeyHash map[string]*bramleytack.Workspace
	byModel   index
	byService index
	// touched holds the upstreams that changed.
	touched map[bramleytack.UpstreamID]bool
}

func newDraft(c *Config) *draft {
	s := c.Snapshot()
	return &draft{
		config:      c,
		revision:    s.Revision,
		models:      table[string, *bramleytack.Model]{m: s.Models},
		services:    table[string, *bramleytack.ServiceRecord]{m: s.Services},
		workspaces:  table[bramleytack.WorkspaceID, *bramleytack.Workspace]{m: s.Workspaces},
		domains:     table[bramleytack.FailureDomainID, *bramleytack.FailureDomain]{m: s.FailureDomains},
		upstreams:   table[bramleytack.UpstreamID, *bramleytack.Upstream]{m: s.Upstreams},
		commitments: table[string, *bramleytack.Commitment]{m: s.Commitments},
		quarantined: table[string, bool]{m: s.Quarantined},
		byKeyHash:   s.ByKeyHash,
		byModel:     index{table: table[string, []*bramleytack.Upstream]{m: s.ByModel}},
		byService:   index{table: table[string, []*bramleytack.Upstream]{m: s.ByService}},
		touched:     map[bramleytack.UpstreamID]bool{},
	}
}

// apply adds one accepted object to the draft.
func (d *draft) apply(o bramleytack.Object) {
	d.changed = true
	d.revision = max(d.revision, o.Version)
	delete(d.config.undecodable, o.Key)
	if o.Deleted {
		d.remove(o.Key)
		return
	}
	if err := d.set(o); err != nil {
		d.config.undecodable[o.Key] = true
		d.config.stats.DecodeFailures++
	}
}

func (d *draft) set(o bramleytack.Object) error {
	if o.Kind == KindQuarantine {
		return d.setQuarantined(o.Name)
	}
	r, err := btrecord.Decode(o)
	if err != nil {
		return err
	}
	switch o.Kind {
	case btrecord.KindModel:
		return decode(btrecord.Models, r, func(m *bramleytack.Model) { d.models.set(m.Name, m) })
	case btrecord.KindService:
		return decode(btrecord.Services, r, func(s *bramleytack.ServiceRecord) { d.services.set(s.Name, s) })
	case btrecord.KindFailureDomain:
		return decode(btrecord.FailureDomains, r, func(f *bramleytack.FailureDomain) { d.domains.set(f.Name, f) })
	case btrecord.KindCommitment:
		return decode(btrecord.Commitments, r, func(c *bramleytack.Commitment) { d.commitments.set(c.Name, c) })
	case btrecord.KindUpstream:
		return decode(btrecord.Upstreams, r, d.setUpstream)
	case btrecord.KindPriorityClass:
		return decode(btrecord.PriorityClasses, r, d.setClass)
	}
	return decode(btrecord.Workspaces, r, d.setWorkspace)
}

func decode[T any](c btrecord.Codec[T], r btrecord.Record, set func(*T)) error {
	v, findings := c.Value(r)
	if err := findings.Err(); err != nil {
		return err
	}
	set(&v)
	return nil
}

func (d *draft) remove(key bramleytack.Key) {
	switch key.Kind {
	case KindQuarantine:
		d.quarantined.remove(key.Name)
	case btrecord.KindModel:
		d.models.remove(key.Name)
	case btrecord.KindService:
		d.services.remove(key.Name)
	case btrecord.KindFailureDomain:
		d.domains.remove(bramleytack.FailureDomainID(key.Name))
	case btrecord.KindCommitment:
		d.commitments.remove(key.Name)
	case btrecord.KindUpstream:
		d.removeUpstream(bramleytack.UpstreamID(key.Name))
	case btrecord.KindPriorityClass:
		delete(d.config.classes, key.Name)
		d.resolveClass(key.Name)
	case btrecord.KindWorkspace:
		delete(d.config.workspaces, bramleytack.WorkspaceID(key.Name))
		d.workspaces.remove(bramleytack.WorkspaceID(key.Name))
	}
}

func (d *draft) setQuarantined(name string) error {
	if !btrecord.ValidHash(name) {
		return errFingerprint
	}
	d.quarantined.set(name, true)
	return nil
}

func (d *draft) setWorkspace(w *btrecord.Workspace) {
	d.config.workspaces[w.Name] = *w
	d.resolveWorkspace(*w)
}

// resolveWorkspace stores a workspace with the priority of its class. A
// workspace whose class is unknown keeps its own priority.
func (d *draft) resolveWorkspace(w btrecord.Workspace) {
	if p, ok := d.config.classes[w.PriorityClass]; ok && w.PriorityClass != "" {
		w.Priority = p
	}
	d.workspaces.set(w.Name, &w.Workspace)
}

func (d *draft) setClass(p *btrecord.PriorityClass) {
	d.config.classes[p.Name] = p.Priority
	d.resolveClass(p.Name)
}

func (d *draft) resolveClass(name string) {
	for _, w := range d.config.workspaces {
		if w.PriorityClass == name {
			d.resolveWorkspace(w)
		}
	}
}

func (d *draft) setUpstream(u *bramleytack.Upstream) {
	d.touchUpstream(u.ID)
	d.upstreams.set(u.ID, u)
	d.touchUpstream(u.ID)
}

func (d *draft) removeUpstream(id bramleytack.UpstreamID) {
	d.touchUpstream(id)
	d.upstreams.remove(id)
}

// touchUpstream marks the index entries that an upstream is in.
func (d *draft) touchUpstream(id bramleytack.UpstreamID) {
	d.touched[id] = true
	u, ok := d.upstreams.m[id]
	if !ok {
		return
	}
	for _, m := range u.Models {
		d.byModel.touch(m)
	}
	if u.Service != "" {
		d.byService.touch(u.Service)
	}
}

// snapshot returns the finished snapshot.
func (d *draft) snapshot() *bramleytack.Snapshot {
	d.byModel.rebuild(d, func(u *bramleytack.Upstream) []string { return u.Models })
	d.byService.rebuild(d, func(u *bramleytack.Upstream) []string { return []string{u.Service} })
	if d.workspaces.owned {
		d.byKeyHash = indexKeys(d.workspaces.m)
	}
	return &bramleytack.Snapshot{
		Revision:       d.revision,
		Models:         d.models.m,
		Services:       d.services.m,
		Workspaces:     d.workspaces.m,
		FailureDomains: d.domains.m,
		Upstreams:      d.upstreams.m,
		Commitments:    d.commitments.m,
		Quarantined:    d.quarantined.m,
		ByKeyHash:      d.byKeyHash,
		ByModel:        d.byModel.m,
		ByService:      d.byService.m,
	}
}

// indexKeys finds workspaces by the hashes of their keys. If two workspaces
// have the same hash, the first name wins on every daemon.
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

// index is a list of upstreams for each model or service.
type index struct {
	table[string, []*bramleytack.Upstream]
	stale map[string]bool
}

func (x *index) touch(name string) {
	if x.stale == nil {
		x.stale = map[string]bool{}
	}
	x.stale[name] = true
}

// rebuild replaces the lists that touched upstreams were or are in.
func (x *index) rebuild(d *draft, names func(*bramleytack.Upstream) []string) {
	if len(x.stale) == 0 {
		return
	}
	next := map[string][]*bramleytack.Upstream{}
	for name := range x.stale {
		next[name] = slices.DeleteFunc(slices.Clone(x.m[name]), func(u *bramleytack.Upstream) bool { return d.touched[u.ID] })
	}
	for id := range d.touched {
		u, ok := d.upstreams.m[id]
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

func (x *index) put(name string, list []*bramleytack.Upstream) {
	if len(list) == 0 {
		x.remove(name)
		return
	}
	slices.SortFunc(list, func(a, b *bramleytack.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	x.set(name, list)
}
