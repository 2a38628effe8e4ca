package btconfig

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"bramleytack"
	"bramleytack/btrecord"
)

// KindQuarantine is the store kind of quarantined request fingerprints. The
// name of an object is the fingerprint in hexadecimal.
const KindQuarantine = "quarantine"

// maxTombstones bounds the memory for deleted records. At the design size of
// 83,000 changes a day the tombstones cover several hours even if each change
// is a deletion.
const maxTombstones = 16_384

// Kinds returns the store kinds that make up the configuration.
func Kinds() []string { return append(btrecord.Kinds(), KindQuarantine) }

// Stats counts the objects that a Config holds and those that it received.
type Stats struct {
	// Objects is the number of known objects, Tombstones that of the deleted
	// ones, which Objects does not include.
	Objects    int `json:"objects"`
	Tombstones int `json:"tombstones"`
	// Undecodable is the number of objects whose newest version cannot be
	// decoded.
	Undecodable int `json:"undecodable"`
	// Accepted and Outdated count the objects passed to Apply and ApplyList by
	// whether they were newer than the known ones. Outdated includes those of
	// unknown kinds.
	Accepted uint64 `json:"accepted"`
	Outdated uint64 `json:"outdated"`
	// DecodeFailures counts the accepted objects that could not be decoded.
	DecodeFailures uint64 `json:"decodeFailures"`
	// OutdatedLists counts lists that were older than an accepted list.
	OutdatedLists uint64 `json:"outdatedLists"`
}

// Config holds the newest known objects and the snapshot of them. It implements
// bramleytack.Snapshots and is safe for concurrent use. Use New.
type Config struct {
	current atomic.Pointer[bramleytack.Snapshot]

	mu      sync.Mutex
	objects map[bramleytack.Key]bramleytack.Object
	// listRevisions holds the revision of the newest list of each kind.
	listRevisions map[string]bramleytack.Revision
	// hash is the sum of hashOf over all objects that are not deleted.
	hash uint64
	// workspaces and classes hold decoded records. They are kept to update the
	// priority of a workspace when its class changes.
	workspaces  map[bramleytack.WorkspaceID]btrecord.Workspace
	classes     map[string]bramleytack.Priority
	undecodable map[bramleytack.Key]bool
	subscribers map[chan struct{}]bool
	stats       Stats
}

var _ bramleytack.Snapshots = (*Config)(nil)

// New returns an empty configuration at revision 0.
func New() *Config {
	c := &Config{
		objects:       map[bramleytack.Key]bramleytack.Object{},
		listRevisions: map[string]bramleytack.Revision{},
		workspaces:    map[bramleytack.WorkspaceID]btrecord.Workspace{},
		classes:       map[string]bramleytack.Priority{},
		undecodable:   map[bramleytack.Key]bool{},
		subscribers:   map[chan struct{}]bool{},
	}
	c.current.Store(emptySnapshot())
	return c
}

// Snapshot returns the current snapshot without locking. It must not be changed.
func (c *Config) Snapshot() *bramleytack.Snapshot { return c.current.Load() }

// Apply adds objects and tombstones, in any order, and reports whether any of
// them was new. It keeps the objects' data, which must not change afterwards.
func (c *Config) Apply(objects []bramleytack.Object) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyLocked(objects)
}

// ApplyList applies a complete list of the objects of a kind at a revision. It
// returns the revision after which a watch has to start. A list that is older
// than an accepted one changes nothing.
func (c *Config) ApplyList(kind string, objects []bramleytack.Object, rev bramleytack.Revision) (after bramleytack.Revision, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest := c.listRevisions[kind]; rev < newest {
		c.stats.OutdatedLists++
		return newest, false
	}
	changed = c.applyLocked(append(c.missingLocked(kind, objects, rev), objects...))
	c.listRevisions[kind] = rev
	return rev, changed
}

// missingLocked returns tombstones for the known objects that a list lacks.
func (c *Config) missingLocked(kind string, list []bramleytack.Object, rev bramleytack.Revision) []bramleytack.Object {
	listed := make(map[bramleytack.Key]bool, len(list))
	for _, o := range list {
		listed[o.Key] = true
	}
	var missing []bramleytack.Object
	for key, o := range c.objects {
		if key.Kind == kind && !o.Deleted && o.Version < rev && !listed[key] {
			missing = append(missing, bramleytack.Object{Key: key, Version: rev, Deleted: true})
		}
	}
	return missing
}

func (c *Config) applyLocked(objects []bramleytack.Object) bool {
	b := newBuilder(c)
	for _, o := range objects {
		if !c.acceptLocked(o) {
			c.stats.Outdated++
			continue
		}
		c.stats.Accepted++
		b.apply(o)
	}
	if !b.changed {
		return false
	}
	c.current.Store(b.snapshot())
	c.evictTombstonesLocked()
	for s := range c.subscribers {
		notify(s)
	}
	return true
}

// acceptLocked stores an object if it is newer than the known one of its key. It
// reports whether it did.
func (c *Config) acceptLocked(o bramleytack.Object) bool {
	if !slices.Contains(configKinds, o.Kind) || o.Version == 0 {
		return false
	}
	known, ok := c.objects[o.Key]
	if ok && o.Version <= known.Version || !ok && o.Version <= c.listRevisions[o.Kind] {
		return false
	}
	if ok && !known.Deleted {
		c.hash -= hashOf(known)
		c.stats.Objects--
	}
	if ok && known.Deleted {
		c.stats.Tombstones--
	}
	if o.Deleted {
		o.Data = nil
		c.stats.Tombstones++
	} else {
		c.hash += hashOf(o)
		c.stats.Objects++
	}
	c.objects[o.Key] = o
	return true
}

var configKinds = Kinds()

// evictTombstonesLocked drops the older half of the tombstones when there are
// more than maxTombstones.
func (c *Config) evictTombstonesLocked() {
	if c.stats.Tombstones <= maxTombstones {
		return
	}
	var tombstones []bramleytack.Object
	for _, o := range c.objects {
		if o.Deleted {
			tombstones = append(tombstones, o)
		}
	}
	slices.SortFunc(tombstones, byVersion)
	old := tombstones[:len(tombstones)/2]
	for _, o := range old {
		delete(c.objects, o.Key)
	}
	c.stats.Tombstones -= len(old)
}

// Get returns the newest known object of a record. Its data must not be changed.
func (c *Config) Get(key bramleytack.Key) (bramleytack.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.objects[key]
	return o, ok && !o.Deleted
}

// Version returns the newest known version of a record, also if it is deleted,
// or 0.
func (c *Config) Version(key bramleytack.Key) bramleytack.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objects[key].Version
}

// Since returns the objects and tombstones after a revision in the order of
// their versions. Their data must not be changed.
func (c *Config) Since(rev bramleytack.Revision) []bramleytack.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []bramleytack.Object
	for _, o := range c.objects {
		if o.Version > rev {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, byVersion)
	return list
}

// All returns all objects and tombstones in the order of their versions. Their
// data must not be changed.
func (c *Config) All() []bramleytack.Object { return c.Since(0) }

// Stats returns the current counts.
func (c *Config) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Undecodable = len(c.undecodable)
	return s
}

// Subscribe returns a channel that receives a value after changes. Several
// changes may be reported as one. cancel ends the subscription.
func (c *Config) Subscribe() (changes <-chan struct{}, cancel func()) {
	s := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers[s] = true
	return s, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, s)
	}
}

func notify(s chan struct{}) {
	select {
	case s <- struct{}{}:
	default:
	}
}

func byVersion(a, b bramleytack.Object) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
