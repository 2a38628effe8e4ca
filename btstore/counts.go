package btstore

import "sync/atomic"

// Counts are the numbers of HTTP calls by class, including repeats.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Retries are the reads and writes that repeated another call.
	Retries uint64 `json:"retries"`
	// ReadBacks are the reads that resolved writes with a lost response.
	ReadBacks uint64 `json:"readBacks"`
}

type counters struct {
	reads, writes, watches, retries, readBacks atomic.Uint64
}

// Counts returns the numbers of calls so far.
func (c *Client) Counts() Counts {
	return Counts{
		Reads:     c.counters.reads.Load(),
		Writes:    c.counters.writes.Load(),
		Watches:   c.counters.watches.Load(),
		Retries:   c.counters.retries.Load(),
		ReadBacks: c.counters.readBacks.Load(),
	}
}
