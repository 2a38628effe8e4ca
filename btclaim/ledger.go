package btclaim

import (
	"slices"
	"time"

	"bramleytack"
)

// ledger is what a process knows of a shard: one version of its head and all
// segments that this version lists.
type ledger struct {
	version bramleytack.Revision
	header  header
	// lines are the encoded records of the head.
	lines  []byte
	newest time.Time
	open   map[ClaimKey]record
	sealed map[ClaimKey]sealedRecord
}

// sealedRecord is a record in a segment.
type sealedRecord struct {
	record
	segment string
}

func (l *ledger) get(k ClaimKey) (record, bool) {
	if r, ok := l.open[k]; ok {
		return r, true
	}
	s, ok := l.sealed[k]
	return s.record, ok
}

// holds says whether the records of a segment are loaded.
func (l *ledger) holds(name string) bool {
	return slices.ContainsFunc(l.header.Segments, func(s segment) bool { return s.Name == name })
}

// lists says whether the head refers to a segment in any way.
func (l *ledger) lists(name string) bool {
	return l.holds(name) ||
		slices.ContainsFunc(l.header.Dropped, func(s segment) bool { return s.Name == name })
}

// replace takes over a newer head and the records of segments new to it.
func (l *ledger) replace(v bramleytack.Revision, h header, lines []byte, open []record, sealed []sealedRecord) {
	l.version, l.lines = v, lines
	l.setHeader(h)
	if l.sealed == nil {
		l.sealed = map[ClaimKey]sealedRecord{}
	}
	for _, r := range sealed {
		l.sealed[r.ClaimKey] = r
	}
	l.open, l.newest = map[ClaimKey]record{}, time.Time{}
	l.add(open)
}

// advance applies a commit of this process.
func (l *ledger) advance(v bramleytack.Revision, p *plan) {
	l.version, l.lines = v, p.lines
	if p.rolled != nil {
		for k, r := range l.open {
			l.sealed[k] = sealedRecord{record: r, segment: p.rolled.Name}
		}
		l.open, l.newest = map[ClaimKey]record{}, time.Time{}
	}
	l.setHeader(p.header)
	l.add(p.records)
}

func (l *ledger) add(records []record) {
	for _, r := range records {
		l.open[r.ClaimKey] = r
		if r.At.After(l.newest) {
			l.newest = r.At
		}
	}
}

// setHeader forgets the records of segments that are no longer listed.
func (l *ledger) setHeader(h header) {
	dropped := len(l.header.Segments) > 0 &&
		(len(h.Segments) == 0 || h.Segments[0].Name != l.header.Segments[0].Name)
	l.header = h
	if !dropped {
		return
	}
	for k, r := range l.sealed {
		if !l.holds(r.segment) {
			delete(l.sealed, k)
		}
	}
}
