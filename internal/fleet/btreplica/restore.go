package btreplica

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

const (
	// copyGrace is how long after the store has come back from an older copy what was confirmed
	// before counts, until it is written again. It is the time for which the store counts as
	// disturbed after its return. A failure domain that was returned meanwhile is out of service
	// for as long.
	copyGrace = 5 * time.Second
	// removedRetention is how long a removal is known. Copies of the store are some seconds old.
	removedRetention = time.Minute
	// forever keeps an object until the store reports it as removed.
	forever = time.Duration(math.MaxInt64)
)

// restoredBy reports whether the store was restored from an older copy between the replica and b.
func (k *kindState) restoredBy(b Batch) bool {
	return k.upto > 0 && b.Upto.Epoch() > k.upto.Epoch()
}

// replaces reports whether an object takes the place of the held one. A configuration is not
// replaced by an older version, whatever the revision: a copy of the store has versions that the
// operator has replaced. One that cannot be decoded replaces none that can.
func (t *Table) replaces(old, o bramleytack.Object) bool {
	if o.Kind != bramleytack.KindConfig {
		return o.Version > old.Version
	}
	if o.Version == old.Version {
		return false
	}
	held, ok := t.configVersion(old)
	if !ok {
		return o.Version > old.Version
	}
	version, ok := t.configVersion(o)
	if ok && version < held {
		t.log.Event(btevent.ConfigRegressed).Uint64("version", version).Stringer("revision", o.Version).Uint64("held", held).Send()
	}
	return ok && (version > held || version == held && o.Version > old.Version)
}

// configVersion returns the operator's version of a configuration. It reports false if the
// configuration cannot be decoded.
func (t *Table) configVersion(o bramleytack.Object) (uint64, bool) {
	var s bramleytack.Snapshot
	if err := t.codec.Config(o.Data, &s); err != nil {
		t.log.Event(btevent.RecordUndecodable).Stringer("revision", o.Version).Err(err).Send()
		return 0, false
	}
	return s.Version, true
}

// ConfigVersion returns the operator's version of the configuration in force, 0 if there is none that
// other daemons can get.
func (t *Table) ConfigVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, s := t.kinds[bramleytack.KindConfig], t.Snapshot()
	if s == nil || k == nil || len(k.objects) == 0 {
		return 0
	}
	return s.Version
}

// Epoch returns the epoch of the store as far as this daemon knows. What daemons wrote to the store
// in an earlier one may be lost.
func (t *Table) Epoch() (epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kinds {
		epoch = max(epoch, k.upto.Epoch())
	}
	return epoch
}

// graceOf returns how long an object stays that a list lacks. An object of an earlier epoch may be
// missing because the copy is older than it: it is then written again. The operator removes no
// configuration.
func (t *Table) graceOf(b Batch, o bramleytack.Object) time.Duration {
	lost := o.Version.Epoch() < b.Upto.Epoch()
	switch b.Kind {
	case bramleytack.KindConfig:
		if lost {
			return forever
		}
	case bramleytack.KindUpstreams:
		if (lost || b.AfterOutage) && !t.isLeaving(o.Name) {
			return lapseGrace
		}
	default:
		if lost {
			return copyGrace
		}
	}
	return 0
}

// graceOfDeleted returns how long an object stays that the store reports as removed.
func (t *Table) graceOfDeleted(b Batch, name string) time.Duration {
	if b.AfterOutage && b.Kind == bramleytack.KindUpstreams && !t.isLeaving(name) {
		return lapseGrace
	}
	return 0
}

// graceOfKind returns how long an object stays that another daemon has as lapsed.
func graceOfKind(kind string) time.Duration {
	if kind == bramleytack.KindUpstreams {
		return lapseGrace
	}
	return copyGrace
}

// remove drops an object, after a grace if there is one. It reports whether the object is dropped
// or begins to lapse.
func (k *kindState) remove(name string, grace time.Duration, now time.Time) bool {
	switch {
	case grace == forever:
		return false
	case grace > 0:
		return k.lapse(name, grace, now)
	}
	k.drop(name, now)
	return true
}

// lapse keeps an object for a grace from the first time that it is missing, which lapse reports.
func (k *kindState) lapse(name string, grace time.Duration, now time.Time) bool {
	if _, ok := k.lapsed[name]; ok {
		return false
	}
	k.lapsed[name] = now.Add(grace)
	return true
}

// drop removes an object.
func (k *kindState) drop(name string, now time.Time) {
	k.removed[name] = formerObject{object: k.objects[name], at: now}
	delete(k.objects, name)
	delete(k.lapsed, name)
	delete(k.handed, name)
}

// withhold reports whether an object is one that was removed before the store came back from a copy
// that still has it. What the operator or the upstream has removed is removed again, unless it is
// still there after a grace. Only the first list of a copy, for which restored is set, shows what
// the copy has: later on the same name may be used anew.
func (t *Table) withhold(k *kindState, o bramleytack.Object, restored bool, now time.Time) bool {
	if w, ok := k.withheld[o.Name]; ok && w.object.Version == o.Version {
		return true
	}
	delete(k.withheld, o.Name)
	r, ok := k.removed[o.Name]
	if !restored || !ok || !t.isFormer(r.object, o) {
		return false
	}
	grace := copyGrace
	if o.Kind == bramleytack.KindEvacuations {
		// The operator may have given the order again, which changes nothing in the copy. It must
		// be in force within 5 s.
		grace = lapseGrace
	}
	k.withheld[o.Name] = formerObject{object: o, at: now.Add(grace)}
	return true
}

// isFormer reports whether an object is one that was removed, or an earlier version of it. For
// registrations the instance tells. Another object must be the same in number and content: an
// order that was given anew may have a lower number.
func (t *Table) isFormer(removed, o bramleytack.Object) bool {
	if removed.Version.Epoch() >= o.Version.Epoch() {
		return false
	}
	if o.Kind != bramleytack.KindUpstreams {
		return removed.Version.Number() == o.Version.Number() && bytes.Equal(removed.Data, o.Data)
	}
	now := t.timer.Now()
	former, err := t.codec.Upstream(o.Name, removed.Data, now)
	u, err2 := t.codec.Upstream(o.Name, o.Data, now)
	return err == nil && err2 == nil && !u.Started.After(former.Started)
}

// expireFormer adds the withheld objects that the store still has after their grace, which it
// reports, and forgets removals.
func (k *kindState) expireFormer(now time.Time) (changed bool) {
	for name, w := range k.withheld {
		if now.After(w.at) {
			k.objects[name] = w.object
			delete(k.withheld, name)
			delete(k.removed, name)
			changed = true
		}
	}
	maps.DeleteFunc(k.removed, func(_ string, r formerObject) bool { return now.Sub(r.at) >= removedRetention })
	return changed
}

// Postpone keeps what lapses or is withheld as it is for d more. It must be called instead of Expire
// while no daemon reads the store, which cannot tell then what it has.
func (t *Table) Postpone(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kinds {
		for name, until := range k.lapsed {
			k.lapsed[name] = until.Add(d)
		}
		for name, w := range k.withheld {
			w.at = w.at.Add(d)
			k.withheld[name] = w
		}
	}
}

// keepLeaving marks an instance whose registration says that it is leaving. An instance that is
// leaving does not return, although a copy of the store may have its earlier registration.
func (t *Table) keepLeaving(u *bramleytack.Upstream) {
	name := string(u.ID)
	if u.State != bramleytack.UpstreamLeaving || u.Started.UnixMilli() <= 0 {
		return
	}
	if m, ok := t.leaving[name]; !ok || m.started.Before(u.Started) {
		t.leaving[name] = leavingMark{started: u.Started, at: t.timer.Now()}
	}
}

// newestOf returns what holds of an upstream that is registered again after the store was restored.
// The registration may be older than the held one: of an earlier instance, or from before the
// instance became cold.
func newestOf(held, u *bramleytack.Upstream) *bramleytack.Upstream {
	switch {
	case held == nil || u == nil:
		return u
	case u.Started.Before(held.Started):
		return held
	case u.Started.Equal(held.Started) && u.ColdUntil.Before(held.ColdUntil):
		u.ColdUntil = held.ColdUntil
	}
	return u
}

// hasLapsed reports whether an object that lapses at another daemon has done so here, or a later one
// of its name was removed.
func (k *kindState) hasLapsed(o bramleytack.Object) bool {
	r, ok := k.removed[o.Name]
	return ok && r.object.Version >= o.Version
}

// Lost returns the objects of a kind that count although the copy from which the store was restored
// lacks them, as a batch for daemons that start. It returns no objects if there are none.
func (t *Table) Lost(kind string) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Batch{Kind: kind}
	k := t.kinds[kind]
	if k == nil {
		return b
	}
	b.Base, b.Upto = k.upto, k.upto
	for name := range k.lapsed {
		if o := k.objects[name]; o.Version.Epoch() < k.upto.Epoch() && !k.handed[name] {
			b.Objects, b.Lapsed = append(b.Objects, o), append(b.Lapsed, name)
		}
	}
	return b
}

// takeConfirmed takes from an outdated batch of another daemon what was confirmed before the store
// was restored: newer versions of the configuration, and objects that the store lacks. It reports
// whether there were any.
func (t *Table) takeConfirmed(k *kindState, b Batch) bool {
	changed := false
	for _, o := range b.Objects {
		switch {
		case b.FromStore:
		case b.Kind == bramleytack.KindConfig:
			changed = b.Full && t.takeVersion(k, o) || changed
		case slices.Contains(b.Lapsed, o.Name):
			changed = k.takeLost(o, graceOfKind(b.Kind), t.timer.Now()) || changed
		}
	}
	if changed {
		t.rebuild()
	}
	return changed
}

// takeVersion takes a configuration if its version is newer.
func (t *Table) takeVersion(k *kindState, o bramleytack.Object) bool {
	old, exists := k.objects[o.Name]
	if exists && old.Version == o.Version {
		return false
	}
	version, ok := t.configVersion(o)
	if exists && ok {
		held, readable := t.configVersion(old)
		ok = !readable || version > held
	}
	if ok {
		k.objects[o.Name] = o
	}
	return ok
}

// takeLost takes an object of an earlier epoch that the store lacks, unless it has lapsed or been
// removed here.
func (k *kindState) takeLost(o bramleytack.Object, grace time.Duration, now time.Time) bool {
	if _, ok := k.objects[o.Name]; ok || k.hasLapsed(o) || o.Version.Epoch() >= k.upto.Epoch() {
		return false
	}
	k.objects[o.Name] = o
	k.handed[o.Name] = o.Kind == bramleytack.KindEvacuations
	return k.lapse(o.Name, grace, now)
}
