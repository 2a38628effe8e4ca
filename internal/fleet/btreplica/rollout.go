package btreplica

import (
	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
)

// decodeRollouts fills the roll-outs of a snapshot. An order that cannot be decoded, or is of another
// service than its name says, stays as it is in old, which may be nil.
func (t *Table) decodeRollouts(s, old *bramleytack.Snapshot) {
	codec, ok := t.codec.(bramleytack.RolloutCodec)
	if !ok {
		return
	}
	s.Rollouts = nil
	k := t.kinds[bramleytack.KindRollouts]
	if k == nil {
		return
	}
	s.Rollouts = make(map[string]*bramleytack.Rollout, len(k.objects))
	for name, o := range k.objects {
		r, err := codec.Rollout(o)
		if err == nil && r.Service != name {
			err = errors.Newf("order of service %q", r.Service)
		}
		if err != nil {
			if old != nil && old.Rollouts[name] != nil {
				s.Rollouts[name] = old.Rollouts[name]
			}
			t.log.Event(btevent.RecordUndecodable).Str("rollout", name).Stringer("revision", o.Version).Err(err).Send()
			continue
		}
		s.Rollouts[r.Service] = r
	}
}
