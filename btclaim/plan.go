package btclaim

import (
	"bytes"
	"crypto/rand"

	"bramleytack"
)

// plan is one commit: the answers of operations and the records that must be
// in the store before the answers are given.
type plan struct {
	change   string
	expected bramleytack.Revision
	header   header
	lines    []byte
	records  []record
	// rolled is the segment that takes the head's current records.
	rolled *segment
	// ops are the operations that the plan answers, rest the others.
	ops     []*operation
	results []result
	rest    []*operation
	// missing is set when a finish found no claim of its attempt.
	missing bool
	overlay map[ClaimKey]record
	added   []byte
}

// plan decides operations on the loaded ledger. It changes nothing.
func (s *Shard) plan(ops []*operation) (*plan, error) {
	p := &plan{change: rand.Text(), expected: s.ledger.version, overlay: map[ClaimKey]record{}}
	if err := s.planRepairs(p); err != nil {
		return nil, err
	}
	for i, o := range ops {
		if len(p.added) >= s.segmentBytes() {
			p.rest = ops[i:]
			break
		}
		r, err := s.planOne(p, o)
		if err != nil {
			return nil, err
		}
		p.ops = append(p.ops, o)
		p.results = append(p.results, r)
	}
	s.planHead(p)
	return p, nil
}

// planRepairs marks attempts that were claimed but never dispatched as notRun.
func (s *Shard) planRepairs(p *plan) error {
	for _, o := range s.orphans {
		cur, ok := s.ledger.get(o.key)
		if s.ledger.version <= o.after || !ok || cur.Attempt != o.attempt || cur.State != claimed {
			continue
		}
		cur.State = notRun
		if err := p.add(cur); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) planOne(p *plan, o *operation) (result, error) {
	cur, ok := p.overlay[o.next.ClaimKey]
	if !ok {
		cur, ok = s.ledger.get(o.next.ClaimKey)
	}
	if o.finish {
		return p.planFinish(o, cur)
	}
	d := o.decide(cur, ok, s.Timer.Now(), or(s.ProgressLimit, DefaultProgressLimit))
	if d.Kind != Run {
		return result{Decision: d}, nil
	}
	return result{Decision: d}, p.add(o.next)
}

// planFinish records an outcome once: the first one of an attempt stays.
func (p *plan) planFinish(o *operation, cur record) (result, error) {
	if cur.Attempt != o.next.Attempt {
		p.missing = true
		return result{err: errNoClaim}, nil
	}
	if cur.State != claimed {
		return result{}, nil
	}
	cur.State, cur.Answer = o.next.State, o.next.Answer
	return result{}, p.add(cur)
}

func (p *plan) add(r record) error {
	r.Change = p.change
	line, err := encodeRecord(r)
	if err != nil {
		return err
	}
	p.overlay[r.ClaimKey] = r
	p.records = append(p.records, r)
	p.added = append(p.added, line...)
	return nil
}

// planHead decides the new head: which segments it drops and whether the
// current records move to a segment.
func (s *Shard) planHead(p *plan) {
	l := &s.ledger
	p.header = header{SchemaVersion: schemaVersion}
	for _, d := range l.header.Dropped {
		if !s.gone[d.Name] {
			p.header.Dropped = append(p.header.Dropped, d)
		}
	}
	// Only the oldest are dropped, so that the records that stay are always
	// the newest of their keys.
	oldest := s.Timer.Now().Add(-or(s.Retention, DefaultRetention))
	keep := l.header.Segments
	for len(keep) > 0 && keep[0].Newest.Before(oldest) {
		p.header.Dropped = append(p.header.Dropped, keep[0])
		keep = keep[1:]
	}
	p.header.Segments = append(p.header.Segments, keep...)
	p.lines = append(bytes.Clone(l.lines), p.added...)
	if len(l.lines) > 0 && len(p.lines) > s.segmentBytes() {
		p.rolled = &segment{Name: segmentName(l.version), Newest: l.newest}
		p.lines = p.added
	}
}
