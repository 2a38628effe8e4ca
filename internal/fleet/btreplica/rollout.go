package btreplica

import (
	"bramleytack"
	"bramleytack/btevent"
)

// decodeRollouts fills the roll-outs of a snapshot. An order that cannot be decoded is ignored.
func (t *Table) decodeRollouts(s *bramleytack.Snapshot) {
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
		if err != nil {
			t.log.Event(btevent.RecordUndecodable).Str("rollout", name).Stringer("revision", o.Version).Err(err).Send()
			continue
		}
		s.Rollouts[r.Service] = r
	}
}
