package btclaim

import (
	"slices"
	"time"

	"bramleytack"
)

// shardCache is this process's replica of a shard: one version of its head and
// the records of all segments that this version lists.
type shardCache struct {
	version bramleytack.Revision
	header  header
	// headLines are the encoded records of the head, one a line.
	headLines []byte
	// newestClaim is the time of the newest claim in the head.
	newestClaim    time.Time
	headRecords    map[ClaimKey]record
	segmentRecords map[ClaimKey]segmentRecord
}

// segmentRecord is a record with the name of its segment.
type segmentRecord struct {
	record
	segment string
}

func (c *shardCache) get(k ClaimKey) (record, bool) {
	if r, ok := c.headRecords[k]; ok {
		return r, true
	}
	r, ok := c.segmentRecords[k]
	return r.record, ok
}

// hasSegment reports whether the cached head lists a segment, whose records
// are then cached too.
func (c *shardCache) hasSegment(name string) bool {
	return slices.ContainsFunc(c.header.Segments, func(s segment) bool { return s.Name == name })
}

// references reports whether the cached head lists a segment as valid or as
// dropped.
func (c *shardCache) references(name string) bool {
	return c.hasSegment(name) ||
		slices.ContainsFunc(c.header.Dropped, func(s segment) bool { return s.Name == name })
}

// replace sets a newer head, its records and those of segments new to it.
func (c *shardCache) replace(v bramleytack.Revision, h header, lines []byte, inHead []record, inSegments []segmentRecord) {
	c.version, c.headLines = v, lines
	c.setHeader(h)
	if c.segmentRecords == nil {
		c.segmentRecords = map[ClaimKey]segmentRecord{}
	}
	for _, r := range inSegments {
		c.segmentRecords[r.ClaimKey] = r
	}
	c.headRecords, c.newestClaim = map[ClaimKey]record{}, time.Time{}
	c.add(inHead)
}

// advance applies a plan that this process has committed.
func (c *shardCache) advance(v bramleytack.Revision, p *plan) {
	c.version, c.headLines = v, p.lines
	if p.newSegment != nil {
		for k, r := range c.headRecords {
			c.segmentRecords[k] = segmentRecord{record: r, segment: p.newSegment.Name}
		}
		c.headRecords, c.newestClaim = map[ClaimKey]record{}, time.Time{}
	}
	c.setHeader(p.header)
	c.add(p.records)
}

func (c *shardCache) add(records []record) {
	for _, r := range records {
		c.headRecords[r.ClaimKey] = r
		if r.ClaimedAt.After(c.newestClaim) {
			c.newestClaim = r.ClaimedAt
		}
	}
}

// setHeader sets the header and deletes the records of segments that it no
// longer lists.
func (c *shardCache) setHeader(h header) {
	dropped := len(c.header.Segments) > 0 &&
		(len(h.Segments) == 0 || h.Segments[0].Name != c.header.Segments[0].Name)
	c.header = h
	if !dropped {
		return
	}
	for k, r := range c.segmentRecords {
		if !c.hasSegment(r.segment) {
			delete(c.segmentRecords, k)
		}
	}
}
