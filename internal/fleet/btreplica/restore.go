package btreplica

import (
	"bramleytack"
	"bramleytack/btevent"
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

// ConfigVersion returns the operator's version of the configuration in force, 0 without one.
func (t *Table) ConfigVersion() uint64 {
	if s := t.Snapshot(); s != nil {
		return s.Version
	}
	return 0
}

// missingInCopy reports whether a list may lack an object because the store was restored from a
// copy from before it. The operator removes no configuration.
func missingInCopy(b Batch, o bramleytack.Object) bool {
	return b.Kind == bramleytack.KindConfig && o.Version.Epoch() < b.Upto.Epoch()
}

// takeConfirmed takes newer versions of the configuration from an outdated list of another daemon.
// That one has them from the store as it was before it was restored. It reports whether there
// were any.
func (t *Table) takeConfirmed(k *kindState, b Batch) bool {
	if !b.Full || b.FromStore || b.Kind != bramleytack.KindConfig {
		return false
	}
	changed := false
	for _, o := range b.Objects {
		version, ok := t.configVersion(o)
		if old, exists := k.objects[o.Name]; exists && ok {
			held, readable := t.configVersion(old)
			ok = !readable || version > held
		}
		if ok {
			k.objects[o.Name] = o
			changed = true
		}
	}
	if changed {
		t.rebuild()
	}
	return changed
}
