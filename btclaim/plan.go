package btclaim

import (
	"bytes"
	"crypto/rand"

	"bramleytack"
)

// plan is one commit: the results of operations and the records that must be
// in the store before the results are delivered.
type plan struct {
	// changeID identifies the commit in the records that it writes.
	changeID string
	// expected is the version of the head that the plan is based on.
	expected bramleytack.Revision
	// header and lines are the content of the new head.
	header  header
	lines   []byte
	records []record
	// newSegment, if set, is the segment that the head's current records move
	// to.
	newSegment *segment
	// ops are the operations that the plan decides. postponed are those that
	// are left to the next commit.
	ops       []*operation
	results   []result
	postponed []*operation
	// attemptNotFound is set if a finish found no claim with its attempt.
	attemptNotFound bool
	// planned holds the newest planned record of each key, addedLines all
	// planned records as encoded.
	planned    map[ClaimKey]record
	addedLines []byte
}

// plan decides operations on the cached shard, which it does not change.
func (s *Shard) plan(ops []*operation) (*plan, error) {
	p := &plan{changeID: rand.Text(), expected: s.cache.version, planned: map[ClaimKey]record{}}
	if err := s.planOrphans(p); err != nil {
		return nil, err
	}
	for i, o := range ops {
		if len(p.addedLines) >= s.segmentBytes() {
			p.postponed = ops[i:]
			break
		}
		r, err := s.planOperation(p, o)
		if err != nil {
			return nil, err
		}
		p.ops = append(p.ops, o)
		p.results = append(p.results, r)
	}
	s.planHead(p)
	return p, nil
}

// planOrphans marks the claims of orphans as notRun.
func (s *Shard) planOrphans(p *plan) error {
	for _, o := range s.orphans {
		cur, ok := s.cache.get(o.key)
		if s.cache.version <= o.after || !ok || cur.Attempt != o.attempt || cur.State != claimed {
			continue
		}
		cur.State = notRun
		if err := p.add(cur); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) planOperation(p *plan, o *operation) (result, error) {
	cur, ok := p.planned[o.next.ClaimKey]
	if !ok {
		cur, ok = s.cache.get(o.next.ClaimKey)
	}
	if o.finish {
		return p.planFinish(o, cur)
	}
	d := o.decide(cur, ok, s.Timer.Now(), orDefault(s.OutcomeTimeout, DefaultOutcomeTimeout))
	if d.Kind != Run {
		return result{Decision: d}, nil
	}
	return result{Decision: d}, p.add(o.next)
}

// planFinish records the first outcome of an attempt and ignores later ones.
func (p *plan) planFinish(o *operation, cur record) (result, error) {
	if o.next.Attempt == "" {
		return p.planAbandon(o, cur)
	}
	if cur.Attempt != o.next.Attempt {
		p.attemptNotFound = true
		return result{err: errNoSuchAttempt}, nil
	}
	if cur.State != claimed {
		return result{}, nil
	}
	cur.State, cur.Response = o.next.State, o.next.Response
	return result{}, p.add(cur)
}

// planAbandon marks the claim as notRun if it belongs to the same request of
// the same entry daemon. Otherwise the begin of that request had no effect.
func (p *plan) planAbandon(o *operation, cur record) (result, error) {
	if cur.State != claimed || cur.Request != o.next.Request || cur.Entry != o.next.Entry {
		return result{}, nil
	}
	cur.State = notRun
	return result{}, p.add(cur)
}

// add plans to write a record.
func (p *plan) add(r record) error {
	r.ChangeID = p.changeID
	line, err := encodeRecord(r)
	if err != nil {
		return err
	}
	p.planned[r.ClaimKey] = r
	p.records = append(p.records, r)
	p.addedLines = append(p.addedLines, line...)
	return nil
}

// planHead sets the header and the lines of the new head. It drops segments
// whose retention has ended and moves the current records to a segment if the
// head would become too large.
func (s *Shard) planHead(p *plan) {
	cache := &s.cache
	p.header = header{SchemaVersion: schemaVersion}
	for _, d := range cache.header.Dropped {
		if !s.deletedSegments[d.Name] {
			p.header.Dropped = append(p.header.Dropped, d)
		}
	}
	// Segments are dropped from the oldest on and without gaps, so that the
	// newest record of a key is never dropped before an older one.
	oldest := s.Timer.Now().Add(-orDefault(s.Retention, DefaultRetention))
	kept := cache.header.Segments
	for len(kept) > 0 && kept[0].Newest.Before(oldest) {
		p.header.Dropped = append(p.header.Dropped, kept[0])
		kept = kept[1:]
	}
	p.header.Segments = append(p.header.Segments, kept...)
	p.lines = append(bytes.Clone(cache.headLines), p.addedLines...)
	if len(cache.headLines) > 0 && len(p.lines) > s.segmentBytes() {
		p.newSegment = &segment{Name: segmentName(cache.version), Newest: cache.newestClaim}
		p.lines = p.addedLines
	}
}
